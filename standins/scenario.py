"""Parse scenario files: one step per line, validated before anything is started."""

import inspect
import shlex
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cuminstile.exceptions import Finding

WITHIN = "within"
MAX_VERB_WORDS = 4
SENDING_VERBS = ("send", "burst")
CONVERSIONS: Mapping[Any, Callable[[str], Any]] = {float: float, int: int, str: str}


class ScenarioError(Exception):
    """A scenario file is not valid; carries all findings about it."""

    def __init__(self, findings: Sequence[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = tuple(findings)


@dataclass(frozen=True)
class Step:
    """One line of a scenario.

    Parameters
    ----------
    words : tuple of str
        The positional arguments after the verb.
    options : mapping of str to value
        The arguments of the form `name=value`, converted to their types.
    within_s : float or None
        Timeout of an expectation, which is checked repeatedly until it holds; None
        checks it once.
    """

    file: str
    line: int
    text: str
    verb: str
    words: tuple[str, ...] = ()
    options: Mapping[str, Any] = field(default_factory=dict)
    within_s: float | None = None

    def finding(self, code: str, message: str) -> Finding:
        """Return a finding about this line."""
        return Finding(self.file, f"line {self.line}", code, message)


@dataclass(frozen=True)
class Scenario:
    """A scenario file and its steps."""

    path: Path
    steps: tuple[Step, ...]

    @property
    def name(self) -> str:
        """Return the name of the file without its extension."""
        return self.path.stem

    def words_of(self, verb: str) -> tuple[str, ...]:
        """Return the positional arguments of all steps that have the verb."""
        return tuple(
            word for step in self.steps if step.verb == verb for word in step.words
        )


@dataclass(frozen=True)
class Names:
    """Names of programs and objects that the steps of a scenario may refer to."""

    vms: frozenset[str] = frozenset()
    upstreams: frozenset[str] = frozenset()
    data_centres: frozenset[str] = frozenset()
    pipelines: frozenset[str] = frozenset()
    versions: frozenset[str] = frozenset()
    programs: frozenset[str] = frozenset()

    def allowed_values(self, parameter: str) -> frozenset[str] | None:
        """Return the names allowed for a step's parameter, or None for any value."""
        known: dict[str, frozenset[str]] = {
            "program": self.programs,
            "programs": self.programs,
            "vm": self.vms,
            "other": self.vms,
            "vms": self.vms,
            "via": self.vms | {""},
            "without": self.vms | {""},
            "upstream": self.upstreams,
            "upstreams": self.upstreams,
            "target": self.upstreams | {"platform"},
            "place": self.upstreams | self.data_centres,
            "places": self.upstreams | self.data_centres,
            "centre": self.data_centres,
            "end": self.data_centres | {"platform", "upstreams"},
            "pipeline": self.pipelines,
            "version": self.versions,
        }
        return known.get(parameter)


Action = Callable[..., Any]


def read_steps(path: Path, actions: Mapping[str, Action]) -> tuple[Step, ...]:
    """Parse the steps of a file.

    Raises
    ------
    ScenarioError
        With one finding for each line that is not a valid step.
    """
    steps: list[Step] = []
    findings: list[Finding] = []
    for number, text in enumerate(path.read_text("utf-8").splitlines(), 1):
        location = Step(path.name, number, text.strip(), "")
        try:
            words = shlex.split(text, comments=True)
        except ValueError as error:
            findings.append(location.finding("bad_line", f"{error}; close the quotes"))
            continue
        if not words:
            continue
        step = read_step(location, words, actions)
        if isinstance(step, Finding):
            findings.append(step)
        else:
            steps.append(step)
    if findings:
        raise ScenarioError(findings)
    return tuple(steps)


def read_step(
    location: Step, words: list[str], actions: Mapping[str, Action]
) -> Step | Finding:
    """Parse one line; return its step, or a finding that shows the correct usage."""
    verb = find_verb(words, actions)
    if verb is None:
        known = ", ".join(sorted(actions))
        return location.finding(
            "unknown_step", f"unknown step {words[0]!r}; known steps: {known}"
        )
    action = actions[verb]
    rest = words[len(verb.split()) :]
    usage = format_usage(verb, action)
    within_s: float | None = None
    if verb.startswith("expect") and rest[-2:-1] == [WITHIN]:
        try:
            within_s = float(rest[-1])
        except ValueError:
            return location.finding(
                "bad_value", f"'within' must be a number of seconds; usage: {usage}"
            )
        rest = rest[:-2]
    arguments = tuple(word for word in rest if "=" not in word)
    raw_options = dict(word.split("=", 1) for word in rest if "=" in word)
    try:
        bound = inspect.signature(action).bind(None, *arguments, **raw_options)
        options = convert_options(action, raw_options)
    except (TypeError, ValueError) as error:
        return location.finding("bad_step", f"{error}; usage: {usage}")
    del bound
    return Step(
        location.file, location.line, location.text, verb, arguments, options, within_s
    )


def find_verb(words: Sequence[str], actions: Mapping[str, Action]) -> str | None:
    """Return the longest verb that the words of a line start with."""
    for count in range(MAX_VERB_WORDS, 0, -1):
        verb = " ".join(words[:count])
        if verb in actions:
            return verb
    return None


def convert_options(action: Action, raw_options: Mapping[str, str]) -> dict[str, Any]:
    """Convert option values to the types of the action's parameters.

    Raises
    ------
    ValueError
        If the parameter is a number and the value is not.
    """
    parameters = inspect.signature(action).parameters
    options: dict[str, Any] = {}
    for name, value in raw_options.items():
        annotation = parameters[name].annotation if name in parameters else str
        try:
            options[name] = CONVERSIONS.get(annotation, str)(value)
        except ValueError:
            raise ValueError(f"{name}={value} is not a number") from None
    return options


def format_usage(verb: str, action: Action) -> str:
    """Return the usage text of a step, built from its function's parameters."""
    parts = [verb]
    for parameter in tuple(inspect.signature(action).parameters.values())[1:]:
        name = parameter.name
        if parameter.kind is parameter.VAR_POSITIONAL:
            parts.append(f"[{name.upper()}...]")
        elif parameter.kind is parameter.VAR_KEYWORD:
            parts.append("[NAME=VALUE...]")
        elif parameter.kind is parameter.KEYWORD_ONLY:
            option = f"{name}={parameter.default}"
            required = parameter.default is parameter.empty
            parts.append(f"{name}={name.upper()}" if required else f"[{option}]")
        else:
            parts.append(name.upper())
    if verb.startswith("expect"):
        parts.append("[within SECONDS]")
    return repr(" ".join(parts))


def check_names(
    steps: Sequence[Step], actions: Mapping[str, Action], names: Names
) -> list[Finding]:
    """Return a finding for each name that does not exist in the arrangement."""
    findings: list[Finding] = []
    for step in steps:
        bound = inspect.signature(actions[step.verb]).bind(
            None, *step.words, **step.options
        )
        for parameter, value in bound.arguments.items():
            known = names.allowed_values(parameter)
            if known is None:
                continue
            values = value if isinstance(value, tuple) else (value,)
            findings += [
                step.finding(
                    "unknown_name",
                    f"unknown {parameter} {item!r}; known names:"
                    f" {', '.join(sorted(filter(None, known)))}",
                )
                for item in values
                if item not in known
            ]
    return findings


def check_requests_sent(
    steps: Sequence[Step], actions: Mapping[str, Action]
) -> list[Finding]:
    """Return a finding for each step that names requests no earlier step sends."""
    sent: set[str] = set()
    findings: list[Finding] = []
    for step in steps:
        if "names" in inspect.signature(actions[step.verb]).parameters:
            findings += [
                step.finding("unknown_name", f"no earlier line sends {name}")
                for name in step.words
                if name not in sent and step.verb != "promise"
            ]
        if step.verb in SENDING_VERBS:
            sent.add(step.options["name"])
    return findings

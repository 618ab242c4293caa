"""Read scenarios: one step a line, checked whole before anything starts."""

import inspect
import shlex
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cuminstile.exceptions import Finding

WITHIN = "within"
LONGEST_VERB = 4
SENDING = ("send", "burst")
CONVERSIONS: Mapping[Any, Callable[[str], Any]] = {float: float, int: int, str: str}


class ScenarioError(Exception):
    """Carry every finding about a scenario file."""

    def __init__(self, findings: Sequence[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = tuple(findings)


@dataclass(frozen=True)
class Step:
    """Hold one line of a scenario.

    Parameters
    ----------
    words : tuple of str
        What follows the verb.
    options : mapping of str to value
        The words of the form `name=value`, converted.
    within_s : float or None
        How long an expectation may take to come true; None checks it once.
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
    """Hold a checked scenario; the first steps may only describe it."""

    path: Path
    steps: tuple[Step, ...]

    @property
    def name(self) -> str:
        """Return the name of the file without its ending."""
        return self.path.stem

    def words_of(self, verb: str) -> tuple[str, ...]:
        """Return the words of every step with a verb."""
        return tuple(
            word for step in self.steps if step.verb == verb for word in step.words
        )


@dataclass(frozen=True)
class Names:
    """Hold the names that the steps of a scenario may use."""

    vms: frozenset[str] = frozenset()
    upstreams: frozenset[str] = frozenset()
    centres: frozenset[str] = frozenset()
    pipelines: frozenset[str] = frozenset()
    versions: frozenset[str] = frozenset()
    programs: frozenset[str] = frozenset()

    def of(self, parameter: str) -> frozenset[str] | None:
        """Return what a parameter of a step may name, or None for anything."""
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
            "place": self.upstreams | self.centres,
            "places": self.upstreams | self.centres,
            "centre": self.centres,
            "end": self.centres | {"platform", "upstreams"},
            "pipeline": self.pipelines,
            "version": self.versions,
        }
        return known.get(parameter)


Action = Callable[..., Any]


def read_steps(path: Path, actions: Mapping[str, Action]) -> tuple[Step, ...]:
    """Return the steps of a file.

    Raises
    ------
    ScenarioError
        With a finding for each line that is no step.
    """
    steps: list[Step] = []
    findings: list[Finding] = []
    for number, text in enumerate(path.read_text("utf-8").splitlines(), 1):
        place = Step(path.name, number, text.strip(), "")
        try:
            words = shlex.split(text, comments=True)
        except ValueError as error:
            findings.append(place.finding("bad_line", f"{error}; close the quotes"))
            continue
        if not words:
            continue
        step = read_step(place, words, actions)
        if isinstance(step, Finding):
            findings.append(step)
        else:
            steps.append(step)
    if findings:
        raise ScenarioError(findings)
    return tuple(steps)


def read_step(
    place: Step, words: list[str], actions: Mapping[str, Action]
) -> Step | Finding:
    """Return the step in a line, or what is wrong with it and what would be right."""
    verb = verb_of(words, actions)
    if verb is None:
        known = ", ".join(sorted(actions))
        return place.finding(
            "unknown_step", f"no step is {words[0]!r}; there are {known}"
        )
    action = actions[verb]
    rest = words[len(verb.split()) :]
    usage = usage_of(verb, action)
    within_s: float | None = None
    if verb.startswith("expect") and rest[-2:-1] == [WITHIN]:
        try:
            within_s = float(rest[-1])
        except ValueError:
            return place.finding("bad_value", f"'within' takes seconds; write {usage}")
        rest = rest[:-2]
    plain = tuple(word for word in rest if "=" not in word)
    given = dict(word.split("=", 1) for word in rest if "=" in word)
    try:
        bound = inspect.signature(action).bind(None, *plain, **given)
        options = converted(action, given)
    except (TypeError, ValueError) as error:
        return place.finding("bad_step", f"{error}; write {usage}")
    del bound
    return Step(place.file, place.line, place.text, verb, plain, options, within_s)


def verb_of(words: Sequence[str], actions: Mapping[str, Action]) -> str | None:
    """Return the longest verb that a line begins with."""
    for count in range(LONGEST_VERB, 0, -1):
        verb = " ".join(words[:count])
        if verb in actions:
            return verb
    return None


def converted(action: Action, given: Mapping[str, str]) -> dict[str, Any]:
    """Return the options as the action's parameters want them.

    Raises
    ------
    ValueError
        If a value is no number where one is wanted.
    """
    parameters = inspect.signature(action).parameters
    options: dict[str, Any] = {}
    for name, value in given.items():
        wanted = parameters[name].annotation if name in parameters else str
        try:
            options[name] = CONVERSIONS.get(wanted, str)(value)
        except ValueError:
            raise ValueError(f"{name}={value} is no number") from None
    return options


def usage_of(verb: str, action: Action) -> str:
    """Return how a step is written, from the parameters of its function."""
    parts = [verb]
    for parameter in tuple(inspect.signature(action).parameters.values())[1:]:
        name = parameter.name
        if parameter.kind is parameter.VAR_POSITIONAL:
            parts.append(f"[{name.upper()}...]")
        elif parameter.kind is parameter.VAR_KEYWORD:
            parts.append("[NAME=VALUE...]")
        elif parameter.kind is parameter.KEYWORD_ONLY:
            shown = f"{name}={parameter.default}"
            required = parameter.default is parameter.empty
            parts.append(f"{name}={name.upper()}" if required else f"[{shown}]")
        else:
            parts.append(name.upper())
    if verb.startswith("expect"):
        parts.append("[within SECONDS]")
    return repr(" ".join(parts))


def check_names(
    steps: Sequence[Step], actions: Mapping[str, Action], names: Names
) -> list[Finding]:
    """Return a finding for each name that the arrangement does not have."""
    findings: list[Finding] = []
    for step in steps:
        bound = inspect.signature(actions[step.verb]).bind(
            None, *step.words, **step.options
        )
        for parameter, value in bound.arguments.items():
            known = names.of(parameter)
            if known is None:
                continue
            every = value if isinstance(value, tuple) else (value,)
            findings += [
                step.finding(
                    "unknown_name",
                    f"there is no {parameter} {item!r}; there are"
                    f" {', '.join(sorted(filter(None, known)))}",
                )
                for item in every
                if item not in known
            ]
    return findings


def check_sent(steps: Sequence[Step], actions: Mapping[str, Action]) -> list[Finding]:
    """Return a finding for each step about requests that no step before sends."""
    sent: set[str] = set()
    findings: list[Finding] = []
    for step in steps:
        if "names" in inspect.signature(actions[step.verb]).parameters:
            findings += [
                step.finding("unknown_name", f"no line before sends {name}")
                for name in step.words
                if name not in sent and step.verb != "promise"
            ]
        if step.verb in SENDING:
            sent.add(step.options["name"])
    return findings

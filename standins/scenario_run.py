"""Run scenarios against real processes and report the problems."""

import inspect
import random
import sys
import tempfile
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import anyio
import fire

from cuminstile.commands.timeline import format_line
from cuminstile.objects.collection import index_objects

from .arrangement import Arrangement, load_objects, plan_vms
from .balancer import Balancer
from .caller import Result
from .fleet import LINK, PLATFORM
from .scenario import (
    Action,
    Names,
    Scenario,
    ScenarioError,
    Step,
    check_names,
    check_requests_sent,
    read_steps,
)
from .scenario_expectations import EXPECTATIONS
from .scenario_golden import session_text
from .scenario_session import Session
from .scenario_steps import ACTIONS, StepError
from .startup import running

TIMEOUT_S = 20.0
POLL_INTERVAL_MS = 100
DESCRIPTIVE_VERBS = frozenset({"promise", "golden", "start"})
MAX_REQUEST_ENTRIES = 60
VM_LIST_LAG_MS = 2_000
VERBS: Mapping[str, Action] = {**ACTIONS, **EXPECTATIONS}
WARM = {"warm_after_runs": 0, "report_lag_ms": 200}
CONTROLS = {"engine": {**WARM, "token_ms": 4}, "pool": WARM, "service": WARM}
SETTINGS = {"shutdown_linger_ms": 1_000}


@dataclass(frozen=True)
class Report:
    """Result of a scenario.

    Parameters
    ----------
    problems : tuple of str
        Empty if the scenario passed.
    timeline : tuple of str
        The steps and the events of all VMs in order; empty if there are no problems.
    session : str
        The whole session with times and ids normalised, if the scenario has the step
        `golden` and no problems.
    """

    problems: tuple[str, ...]
    timeline: tuple[str, ...]
    session: str

    def __str__(self) -> str:
        """Return the problems and the time line."""
        return "\n".join((*self.timeline, "", *self.problems))


def load_scenario(path: Path) -> Scenario:
    """Parse and validate a scenario file.

    Raises
    ------
    ScenarioError
        If the file is not valid; carries all findings.
    """
    scenario = Scenario(path, read_steps(path, VERBS))
    starts = [step for step in scenario.steps if step.verb == "start"]
    if len(starts) != 1:
        location = Step(path.name, 1, "", "start")
        message = "write one line 'start OBJECTS [DATA_CENTRE=NUMBER_OF_VMS...]'"
        raise ScenarioError([location.finding("no_start", message)])
    arrangement = arrange(path, starts[0])
    findings = check_names(scenario.steps, VERBS, names_of(arrangement, scenario.steps))
    findings += check_requests_sent(scenario.steps, VERBS)
    if findings:
        raise ScenarioError(findings)
    return scenario


def arrange(path: Path, step: Step) -> Arrangement:
    """Return the arrangement that the step `start` describes.

    Raises
    ------
    ScenarioError
        If the objects or a data centre do not exist, or a count is not a number.
    """
    folder = path.parent / "objects" / step.words[0]
    counts = dict(step.options)
    linked = counts.pop("linked", "no") == "yes"
    known = sorted(item.name for item in path.parent.glob("objects/*"))
    if not folder.is_dir():
        message = f"unknown objects {step.words[0]!r}; known: {', '.join(known)}"
        raise ScenarioError([step.finding("unknown_name", message)])
    objects = load_objects(folder)
    data_centres = index_objects(objects).data_centres
    unknown = sorted(set(counts) - set(data_centres))
    if unknown or not all(str(count).isdigit() for count in counts.values()):
        message = (
            "write DATA_CENTRE=NUMBER_OF_VMS;"
            f" data centres: {', '.join(sorted(data_centres))}"
        )
        raise ScenarioError([step.finding("bad_step", message)])
    return Arrangement(
        objects=objects,
        vms=plan_vms({name: int(count) for name, count in counts.items()}),
        linked=linked,
        platform={"vm_lag_ms": VM_LIST_LAG_MS},
        controls=CONTROLS,
        settings=SETTINGS,
    )


def names_of(arrangement: Arrangement, steps: Sequence[Step]) -> Names:
    """Return the names that the steps may refer to."""
    objects = index_objects(arrangement.objects)
    moved = (step.options["new"] for step in steps if step.verb == "move")
    return Names(
        vms=frozenset(plan.name for plan in arrangement.vms),
        upstreams=frozenset(objects.upstreams),
        data_centres=frozenset(objects.data_centres),
        pipelines=frozenset(objects.pipelines),
        versions=frozenset((*objects.versions, *moved)),
        programs=frozenset(
            (
                *(plan.name for plan in arrangement.vms),
                *objects.upstreams,
                PLATFORM,
                LINK,
            )
        ),
    )


async def run_scenario(scenario: Scenario, folder: Path) -> Report:
    """Run a scenario and return its report."""
    start = next(step for step in scenario.steps if step.verb == "start")
    arrangement = arrange(scenario.path, start)
    async with (
        running(arrangement, folder) as fleet,
        anyio.create_task_group() as tasks,
    ):
        balancer = Balancer(fleet, random.Random(scenario.name))
        session = Session(fleet, tasks, balancer, fleet.objects)
        tasks.start_soon(balancer.run_check_loop)
        problems = await run_steps(session, scenario)
        text = ""
        if not problems and any(step.verb == "golden" for step in scenario.steps):
            text = await session_text(session)
        tasks.cancel_scope.cancel()
    return Report(tuple(problems), tuple(timeline_of(session, problems)), text)


async def run_steps(session: Session, scenario: Scenario) -> list[str]:
    """Run the steps up to the first that fails; return its problems."""
    with anyio.move_on_after(TIMEOUT_S):
        for step in scenario.steps:
            if step.verb in DESCRIPTIVE_VERBS:
                continue
            session.add_note(step.text)
            problems = await run_step(session, step)
            if problems:
                return [f"{step.file}:{step.line}: {step.text}", *problems]
        return []
    return [f"{scenario.path.name} took more than {TIMEOUT_S:.0f} s"]


async def run_step(session: Session, step: Step) -> list[str]:
    """Run one step and return its problems; repeat an expectation with `within`."""
    action = VERBS[step.verb]
    deadline_s = anyio.current_time() + (step.within_s or 0.0)
    while True:
        try:
            problems = await call(action, session, step)
        except StepError as error:
            return [str(error)]
        if not problems or step.within_s is None:
            return problems
        if anyio.current_time() >= deadline_s:
            return [*problems, f"expectation did not hold within {step.within_s} s"]
        await anyio.sleep(POLL_INTERVAL_MS / 1000.0)


async def call(action: Action, session: Session, step: Step) -> list[str]:
    """Call a step's function, synchronous or asynchronous, and return its problems."""
    result: Any = action(session, *step.words, **step.options)
    if inspect.isawaitable(result):
        result = await result
    return result or []


def timeline_of(session: Session, problems: list[str]) -> list[str]:
    """Return the steps and the events of all VMs in order, then failed replies.

    Events of requests are limited to the last `MAX_REQUEST_ENTRIES`.
    """
    if not problems:
        return []
    entries = session.entries()
    plain = [entry for entry in entries if "request" not in entry.fields]
    requests = [entry for entry in entries if "request" in entry.fields]
    lines = [format_line(entry) for entry in (*plain, *requests[-MAX_REQUEST_ENTRIES:])]
    lines += [f"{moment(note.at_ms)} scenario: {note.text}" for note in session.notes]
    not_answered = [
        f"reply: {reply.sent.mark} at {reply.vm or 'no VM'}: {reply.result}"
        f" {reply.code} {reply.ran} {' '.join(reply.faults)}"
        for reply in session.all_replies
        if reply.result is not Result.ANSWERED
    ]
    return [*sorted(lines), *not_answered]


def moment(wall_ms: int) -> str:
    """Return a time in ms since 1970 UTC in the format of the time line."""
    text = datetime.fromtimestamp(wall_ms / 1000.0, UTC).strftime("%Y-%m-%dT%H:%M:%S.")
    return f"{text}{wall_ms % 1000:03d}Z+0"


def main(*files: str) -> None:
    """Run scenario files one after another; exit status 0 if all of them pass."""
    failed = False
    for name in files:
        try:
            scenario = load_scenario(Path(name))
        except ScenarioError as error:
            print(error)
            failed = True
            continue
        with tempfile.TemporaryDirectory(prefix="cuminstile-scenario-") as folder:
            report = anyio.run(run_scenario, scenario, Path(folder))
        print(f"{scenario.name}: {'as expected' if not report.problems else report}")
        failed = failed or bool(report.problems)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)

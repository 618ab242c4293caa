"""Calls of a simulated upstream, and a log of every run."""

import json
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from enum import StrEnum
from pathlib import Path
from typing import Any

import anyio
from pydantic import TypeAdapter


class Outcome(StrEnum):
    """Outcome of a run; each of them counts as a run."""

    RUNNING = "running"
    ANSWERED = "answered"
    FAILED = "failed"
    CANCELLED = "cancelled"
    OVERLOADED = "overloaded"


@dataclass(frozen=True)
class Call:
    """Body of `POST /run`."""

    attempt: str
    stage: str
    version: str
    organisation: str = ""
    input: Any = None
    stream: bool = False
    priority: int = 0
    remaining_ms: float = 0.0
    resume_at: int = 0
    idempotency_key: str | None = None


@dataclass(frozen=True)
class Order:
    """Body of `POST /orders`."""

    fencing: int
    order: str
    version: str = ""
    role: str = ""


CALL: TypeAdapter[Call] = TypeAdapter(Call)
ORDER: TypeAdapter[Order] = TypeAdapter(Order)


@dataclass
class Run:
    """Run of one call.

    Parameters
    ----------
    at_ms, ended_ms : int
        Start and end in ms since 1970 UTC; `ended_ms` is 0 while it runs.
    in_flight : int
        Number of calls in flight at its arrival, including this one.
    cold_told_ms_ago : float or None
        For a cold upstream, ms since a response first reported that it is cold; None
        if it is warm or if no response has reported it.
    """

    attempt: str
    stage: str
    version: str
    organisation: str
    idempotency_key: str | None
    at_ms: int
    state: str
    in_flight: int
    cold_told_ms_ago: float | None = None
    outcome: Outcome = Outcome.RUNNING
    ended_ms: int = 0


@dataclass(frozen=True)
class Faults:
    """Faults of one call, drawn at its arrival."""

    fail: bool = False
    drop: bool = False
    late: bool = False
    cross: bool = False
    truncate: bool = False
    repeat: bool = False


@dataclass
class ActiveCall:
    """Call in flight.

    Parameters
    ----------
    tokens : list of str
        Tokens generated so far, from index `call.resume_at` of the complete answer.
    changed : anyio.Event
        Set when a token is generated or the work ends, then replaced by a new event.
    outcome : Outcome
        How the work ended, or `RUNNING`.
    """

    call: Call
    run: Run
    faults: Faults
    accepted_ms: float
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    tokens: list[str] = field(default_factory=list)
    changed: anyio.Event = field(default_factory=anyio.Event)
    outcome: Outcome = Outcome.RUNNING
    output: Any = None
    work_ms: float = 0.0

    def wake(self) -> None:
        """Wake the task that sends the response."""
        self.changed.set()
        self.changed = anyio.Event()

    def stop(self, outcome: Outcome) -> None:
        """Cancel the work and set its outcome."""
        self.outcome = outcome
        self.scope.cancel()


@dataclass
class RunLog:
    """Log of all runs, optionally in a file that survives restarts."""

    path: Path | None = None
    runs: list[Run] = field(default_factory=list)

    def load(self) -> None:
        """Load the runs of earlier processes from the file."""
        if self.path is None or not self.path.exists():
            return
        for line in self.path.read_text("utf-8").splitlines():
            self.runs.append(Run(**json.loads(line)))

    def add(self, run: Run) -> None:
        """Record a run before its work starts."""
        self.runs.append(run)
        if self.path is None:
            return
        with self.path.open("a", encoding="utf-8") as file:
            file.write(json.dumps(asdict(run)) + "\n")

    def rows(self, after: int) -> list[dict[str, Any]]:
        """Return the runs from index `after` as JSON objects."""
        return [asdict(run) for run in self.runs[after:]]


def values_under(value: Any, name: str) -> Iterator[Any]:
    """Yield every value with the key `name` at any depth of a JSON value."""
    if isinstance(value, dict):
        for key, item in value.items():
            if key == name:
                yield item
            else:
                yield from values_under(item, name)
    elif isinstance(value, list):
        for item in value:
            yield from values_under(item, name)


def marks_of(value: Any) -> list[str]:
    """Return the sorted marks that callers and earlier stages added to an input."""
    found: set[str] = set()
    for mark in values_under(value, "mark"):
        found.add(str(mark))
    for marks in values_under(value, "marks"):
        found.update(str(mark) for mark in marks)
    return sorted(found)

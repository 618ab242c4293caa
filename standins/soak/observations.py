"""What callers and upstreams saw in a soak, and the record that keeps it."""

from __future__ import annotations

import hashlib
import json
import time
from dataclasses import asdict, dataclass, field
from typing import TextIO

Fields = tuple[tuple[str, str], ...]
"""Head fields in the sequence of the message, with names in lower case."""
LONGEST_TEXT = 2_000
"""Longer bodies are kept as their digest."""


@dataclass(frozen=True)
class Sent:
    """A caller sent the request `attempt` to a VM on the route `route`."""

    at_s: float
    attempt: str
    vm: str
    route: str
    method: str
    target: str
    fields: Fields
    body: str


@dataclass(frozen=True)
class Written:
    """A caller has written a request to its last byte."""

    at_s: float
    attempt: str


@dataclass(frozen=True)
class CutOff:
    """A connection ended before a caller, who waited, received an answer's head."""

    at_s: float
    attempt: str


@dataclass(frozen=True)
class Signalled:
    """The soak sent a signal, by its name, to the process of a VM."""

    at_s: float
    vm: str
    signal: str


@dataclass(frozen=True)
class Received:
    """A caller received an answer at the place of the answer to `attempt`."""

    at_s: float
    attempt: str
    status: int
    fields: Fields
    body: str
    complete: bool


@dataclass(frozen=True)
class Run:
    """An upstream began to run a request; `run` is unique in the soak."""

    at_s: float
    run: int
    upstream: str
    service: str
    attempt: str
    method: str
    target: str
    fields: Fields
    body: str


@dataclass(frozen=True)
class Reused:
    """An upstream got a request behind the start of another answer.

    Parameters
    ----------
    after_s : float
        Time since it had sent that start, while no request waited.
    """

    at_s: float
    attempt: str
    after_s: float


@dataclass(frozen=True)
class Answered:
    """An upstream began its first answer to a run, in one of the ways to answer.

    Parameters
    ----------
    body : str
        The whole body, also if the answer is broken off.
    """

    at_s: float
    run: int
    status: int
    body: str
    way: str = ""


@dataclass(frozen=True)
class StageItem:
    """An upstream worked on one item of a stage call."""

    at_s: float
    upstream: str
    service: str
    attempt: str
    stage: int
    piece: int
    key: str
    inputs: tuple[str, ...]


@dataclass(frozen=True)
class Unasked:
    """A caller received a byte on a connection on which no request waited."""

    at_s: float
    vm: str


@dataclass(frozen=True)
class Disturbed:
    """A fault of the schedule began."""

    at_s: float
    fault: str
    target: str


@dataclass(frozen=True)
class Drained:
    """The store confirmed that an upstream leaves; it serves on for a while."""

    at_s: float
    upstream: str


@dataclass(frozen=True)
class Ordered:
    """The store confirmed an order to move traffic to the version of an upstream."""

    at_s: float
    upstream: str


@dataclass(frozen=True)
class KeysChanged:
    """The store confirmed a manifest in which the callers' key is valid or not."""

    at_s: float
    are_valid: bool


@dataclass(frozen=True)
class Crashed:
    """A part of a prompt ended an upstream."""

    at_s: float
    upstream: str
    poison: str


@dataclass(frozen=True)
class MemoryUsed:
    """A process of a VM has used more memory than ever before."""

    at_s: float
    vm: str
    pid: int
    most_mb: float


@dataclass(frozen=True)
class VmEnded:
    """A VM's process ended with `code` and nobody had asked for it."""

    at_s: float
    vm: str
    code: int


Observation = (
    Sent
    | Written
    | CutOff
    | Signalled
    | Received
    | Run
    | Reused
    | Answered
    | StageItem
    | Disturbed
    | Drained
    | Ordered
    | KeysChanged
    | Crashed
    | MemoryUsed
    | VmEnded
    | Unasked
)


@dataclass
class Record:
    """All observations of one soak.

    Parameters
    ----------
    file : TextIO or None
        Takes one JSON line an observation.
    """

    file: TextIO | None = None
    observations: list[Observation] = field(default_factory=list)
    began_s: float = field(default_factory=time.monotonic)
    sent: dict[str, Sent] = field(default_factory=dict)
    written: dict[str, Written] = field(default_factory=dict)
    cut_off: list[CutOff] = field(default_factory=list)
    signalled: list[Signalled] = field(default_factory=list)
    received: list[Received] = field(default_factory=list)
    runs: dict[int, Run] = field(default_factory=dict)
    runs_of: dict[str, list[Run]] = field(default_factory=dict)
    answered: dict[int, Answered] = field(default_factory=dict)
    reused: list[Reused] = field(default_factory=list)
    stage_items: list[StageItem] = field(default_factory=list)
    disturbed: list[Disturbed] = field(default_factory=list)
    drained: dict[str, Drained] = field(default_factory=dict)
    ordered: dict[str, Ordered] = field(default_factory=dict)
    keys_changed: list[KeysChanged] = field(default_factory=list)
    crashed: list[Crashed] = field(default_factory=list)
    memory_used: list[MemoryUsed] = field(default_factory=list)
    ended: list[VmEnded] = field(default_factory=list)
    unasked: list[Unasked] = field(default_factory=list)

    def now_s(self) -> float:
        """Return the seconds since the soak began."""
        return round(time.monotonic() - self.began_s, 4)

    def add(self, observation: Observation) -> None:
        """Keep and write one observation."""
        self.observations.append(observation)
        self.index(observation)
        if self.file is not None:
            line = {"seen": type(observation).__name__, **asdict(observation)}
            self.file.write(json.dumps(line) + "\n")

    def index(self, observation: Observation) -> None:
        """Make an observation available by what the checks ask for."""
        match observation:
            case Sent():
                self.sent[observation.attempt] = observation
            case Written():
                self.written[observation.attempt] = observation
            case CutOff():
                self.cut_off.append(observation)
            case Signalled():
                self.signalled.append(observation)
            case Received():
                self.received.append(observation)
            case Run():
                self.runs[observation.run] = observation
                self.runs_of.setdefault(observation.attempt, []).append(observation)
            case Answered():
                self.answered.setdefault(observation.run, observation)
            case Reused():
                self.reused.append(observation)
            case StageItem():
                self.stage_items.append(observation)
            case KeysChanged():
                self.keys_changed.append(observation)
            case Crashed():
                self.crashed.append(observation)
            case MemoryUsed():
                self.memory_used.append(observation)
            case VmEnded():
                self.ended.append(observation)
            case Unasked():
                self.unasked.append(observation)
            case Disturbed():
                self.disturbed.append(observation)
            case Ordered():
                self.ordered[observation.upstream] = observation
            case Drained():
                self.drained.setdefault(observation.upstream, observation)


def as_text(body: bytes) -> str:
    """Return a body as text, or the digest of a long one."""
    if len(body) > LONGEST_TEXT:
        return "sha256 " + hashlib.sha256(body).hexdigest()
    return body.decode("latin-1")


def get_field(fields: Fields, name: str) -> str:
    """Return the first field with a lower-case name, or an empty text."""
    for key, value in fields:
        if key == name:
            return value
    return ""

"""Know what each request in progress waits for, to name it when the process ends.

Does no I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from .schedule import ShutdownTimes


class Phase(StrEnum):
    """What a request waits for.

    `BODY`: the rest of its body. `STAGES`: the results of its stages. `TRIAL`: another
    request that runs on trial. `UPSTREAM`: the answer of an upstream.
    """

    ACCEPTED = "accepted"
    BODY = "body"
    STAGES = "stages"
    TRIAL = "trial"
    UPSTREAM = "upstream"


@dataclass(eq=False, slots=True)
class RequestInProgress:
    """One request that has no complete answer yet; times are monotonic ms.

    Parameters
    ----------
    expires_at_ms : float
        When the wait ends, by the caller's deadline or the operator's limit.
    where : str
        Whom it waits for: address of a scheduler, id of an upstream.
    since_ms : float
        When the phase began.
    moves : int
        How often its staged work went to another scheduler.
    """

    id: str = ""
    route: str = ""
    arrived_ms: float = 0.0
    expires_at_ms: float = 0.0
    phase: Phase = Phase.ACCEPTED
    where: str = ""
    since_ms: float = 0.0
    moves: int = 0

    def enter(self, phase: Phase, where: str, now_ms: float) -> None:
        """Note that the request begins to wait for something else."""
        self.phase, self.where, self.since_ms = phase, where, now_ms


@dataclass
class RequestsInProgress:
    """The requests of a process that have no complete answer yet.

    Parameters
    ----------
    watchers : set of callable
        Called with the times of a shutdown when it begins.
    """

    requests: set[RequestInProgress] = field(default_factory=set)
    watchers: set[Callable[[ShutdownTimes], None]] = field(default_factory=set)

    def __len__(self) -> int:
        return len(self.requests)

    def __iter__(self) -> Iterator[RequestInProgress]:
        return iter(sorted(self.requests, key=lambda request: request.arrived_ms))

    def begin(self, request: RequestInProgress) -> None:
        """Add a request."""
        self.requests.add(request)

    def end(self, request: RequestInProgress) -> None:
        """Remove a request that has ended, if it was added."""
        self.requests.discard(request)

    def begin_shutdown(self, times: ShutdownTimes) -> None:
        """Tell each one that waits when the last answers are written."""
        for watch in tuple(self.watchers):
            watch(times)

"""Count what callers demand of the upstreams of each service, at one VM.

A kind of request is measured by the time for which one keeps an upstream busy, so that
a shift to a dearer kind shows as soon as its requests arrive. Does no I/O.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..duties.messages import DemandEntry
from ..recency import remember

RATE_WINDOW_MS = 2_000.0
"""Time over which arrivals are counted; a few requests of each VM fall into it."""
WORK_WEIGHT = 0.1
"""Weight of the newest request in the mean work of its kind."""
MAX_WORK_MS = 2_000.0
"""Longest wait for a first event that counts as work; the rest is some other fault."""
MAX_KINDS = 1_000
"""Kinds of requests whose work is remembered for a service."""
BASE_WINDOW_MS = 15_000.0
"""How long the shortest wait for a first event is remembered, at least."""


@dataclass(frozen=True, slots=True)
class Run:
    """One request that an upstream answered.

    Parameters
    ----------
    first_ms, took_ms : float
        Time from the send to the first event and to the end of the answer.
    slots : int
        Requests that the upstream runs at once.
    reads_prompt : bool
        Whether the upstream reads a prompt before the first event. It reads one prompt
        at a time, while it writes `slots` answers at once.
    """

    first_ms: float
    took_ms: float
    slots: int
    reads_prompt: bool


@dataclass
class ServiceDemand:
    """Demand for the upstreams of one service; times are monotonic ms.

    Parameters
    ----------
    arrivals : deque of tuple
        Time and kind of each request in the window, the oldest first.
    refusals : deque of float
        Times at which requests were refused because no upstream was free.
    work_ms : OrderedDict of str to float
        Mean time for which a request keeps one whole upstream busy, by kind.
    shortest_ms, shortest_before_ms : float
        Shortest wait for a first event since `shortest_since_ms`, and in the window
        before it: the part that does not depend on the load.
    waiting : int
        Requests that were sent and have not begun to run.
    """

    arrivals: deque[tuple[float, str]] = field(default_factory=deque)
    refusals: deque[float] = field(default_factory=deque)
    work_ms: OrderedDict[str, float] = field(default_factory=OrderedDict)
    shortest_ms: float = float("inf")
    shortest_before_ms: float = float("inf")
    shortest_since_ms: float = 0.0
    waiting: int = 0

    def base_ms(self, first_ms: float, now_ms: float) -> float:
        """Take a wait for a first event into account; return the shortest of late."""
        if now_ms - self.shortest_since_ms > BASE_WINDOW_MS:
            self.shortest_before_ms = self.shortest_ms
            self.shortest_ms = float("inf")
            self.shortest_since_ms = now_ms
        self.shortest_ms = min(self.shortest_ms, first_ms)
        return min(self.shortest_ms, self.shortest_before_ms)

    def record_run(self, kind: str, run: Run, now_ms: float) -> None:
        """Record how long one request kept an upstream busy."""
        slots = max(1, run.slots)
        if run.reads_prompt:
            read_ms = run.first_ms - self.base_ms(run.first_ms, now_ms)
            written_ms = max(0.0, run.took_ms - run.first_ms)
            work_ms = min(MAX_WORK_MS, read_ms) + written_ms / slots
        else:
            work_ms = run.took_ms / slots
        known_ms = self.work_ms.get(kind, work_ms)
        mean_ms = known_ms + WORK_WEIGHT * (work_ms - known_ms)
        remember(self.work_ms, kind, mean_ms, MAX_KINDS)

    def discard_old(self, now_ms: float) -> None:
        """Discard what is older than the window."""
        while self.arrivals and self.arrivals[0][0] < now_ms - RATE_WINDOW_MS:
            self.arrivals.popleft()
        while self.refusals and self.refusals[0] < now_ms - RATE_WINDOW_MS:
            self.refusals.popleft()

    def mean_work_ms(self) -> float:
        """Return the mean work of the requests in the window.

        A kind of which none has run yet counts like the others.
        """
        counts: dict[str, int] = {}
        for _, kind in self.arrivals:
            counts[kind] = counts.get(kind, 0) + 1
        known = {kind: n for kind, n in counts.items() if kind in self.work_ms}
        total = sum(known.values())
        if not total:
            works = self.work_ms.values()
            return sum(works) / len(works) if works else 0.0
        return sum(self.work_ms[kind] * n for kind, n in known.items()) / total


@dataclass
class LocalDemand:
    """Demand that this VM sees, by service."""

    services: dict[str, ServiceDemand] = field(default_factory=dict)

    def of(self, service: str) -> ServiceDemand:
        """Return the demand for a service."""
        return self.services.setdefault(service, ServiceDemand())

    def record_request(self, service: str, kind: str, now_ms: float) -> None:
        """Record a request that a caller sent, whatever becomes of it.

        It counts though no upstream is there: a pool that died is still wanted.
        """
        demand = self.of(service)
        demand.discard_old(now_ms)
        demand.arrivals.append((now_ms, kind))

    def record_refused(self, service: str, now_ms: float) -> None:
        """Record a request that was refused because no upstream was free."""
        demand = self.of(service)
        demand.discard_old(now_ms)
        demand.refusals.append(now_ms)

    def record_waiting(self, service: str, change: int) -> None:
        """Record that a request was sent (1), or began to run or ended (-1)."""
        self.of(service).waiting += change

    def record_run(self, service: str, kind: str, run: Run, now_ms: float) -> None:
        """Record a request that an upstream answered."""
        self.of(service).record_run(kind, run, now_ms)


def local_demand(
    demand: LocalDemand, data_centre: str, in_flight: Mapping[str, int], now_ms: float
) -> tuple[DemandEntry, ...]:
    """Return what callers of this VM demand, an entry for each service.

    Parameters
    ----------
    data_centre : str
        Where this VM stands: the upstreams there serve its callers if no others can.
    in_flight : mapping of str to int
        Requests that upstreams have, by service; other services are left out.
    """
    entries = []
    for service, running in in_flight.items():
        own = demand.of(service)
        own.discard_old(now_ms)
        entries.append(
            DemandEntry(
                service,
                data_centre,
                len(own.arrivals) * 1000.0 / RATE_WINDOW_MS,
                max(0, own.waiting),
                running,
                len(own.refusals) * 1000.0 / RATE_WINDOW_MS,
                own.mean_work_ms(),
            )
        )
    return tuple(entries)

"""Queue of the work items of one stage service, and the state of its upstreams."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from ..estimates.estimate import Estimate
from .chain import INFEASIBLE_AFTER_MS, SLACK_STEP_MS, WorkItem
from .model import BatchSpec

DATA_CENTRE_SPARE_MS = 200.0
"""Time that an item must have left, when an upstream in its preferred data centre
becomes available, to wait for that."""
FULL_PAUSE_MS = 400.0
"""How long an upstream that lacked memory for a result gets none of that size: about
one call, in which other results are used and freed."""
SLOWNESS_DECAY_MS = 5_000.0
"""Time after which a measured slowness has decayed to about a third: a slow upstream
stays slow for some seconds."""
SLOWNESS_WEIGHT = 0.4
"""Weight of the newest call in the moving average of the slowness."""
TOO_SLOW_FACTOR = 1.6
"""Slowness relative to another upstream above which an upstream gets work only if it
would be completed sooner there."""


def worker_estimate() -> Estimate:
    """Return a new estimate of an upstream of a stage."""
    return Estimate(lasting_decay_ms=SLOWNESS_DECAY_MS, lasting_weight=SLOWNESS_WEIGHT)


@dataclass(frozen=True, slots=True)
class StoredResult:
    """Size in bytes of a stored result, and when it expires unless it is freed."""

    size: int
    expires_ms: float


@dataclass(slots=True)
class Worker:
    """State of one upstream of a stage; times are monotonic ms, sizes are bytes.

    Parameters
    ----------
    calls : int
        Calls in progress.
    reserved : int
        Memory reserved for the results of these calls.
    stored : dict of str to StoredResult
        The results stored there, by handle, the oldest first.
    available_at_ms : float
        When it can get a call again after one was refused or failed.
    full_until_ms : float
        Until when it gets no item whose result is as large as `full_size`: it had
        less free memory than is known here.
    estimate : Estimate
        Duration of its calls relative to the expected one.
    started_ms : int
        Start of the upstream's process as it reports it; it stores nothing of before.
    """

    id: str
    service: str
    address: str
    data_centre: str
    usable: bool = True
    calls: int = 0
    reserved: int = 0
    stored: dict[str, StoredResult] = field(default_factory=dict)
    available_at_ms: float = 0.0
    busy_until_ms: float = 0.0
    full_until_ms: float = 0.0
    full_size: int = 0
    estimate: Estimate = field(default_factory=worker_estimate)
    started_ms: int = 0

    @property
    def next_call_at_ms(self) -> float:
        """Return when the next call can begin, which may be in the past."""
        return max(self.available_at_ms, self.busy_until_ms if self.calls else 0.0)

    def slowness_at(self, now_ms: float) -> float:
        """Return the estimated duration of its calls relative to the expected one.

        A measurement decays towards 1 with its age, so that an upstream that was slow
        is tried again.
        """
        return self.estimate.slowness(now_ms)

    def record_call(
        self, expected_ms: float, took_ms: float, now_ms: float, failed: bool = False
    ) -> None:
        """Record the duration of a call; one that failed early is ignored."""
        if failed and took_ms < expected_ms:
            return
        self.estimate.record_time(expected_ms, took_ms, now_ms)

    def memory_used(self, now_ms: float) -> int:
        """Remove expired results; return the memory used or reserved, in bytes."""
        for handle, result in list(self.stored.items()):
            if result.expires_ms > now_ms:
                break
            del self.stored[handle]
        return self.reserved + sum(result.size for result in self.stored.values())

    def record_full(self, size: int, now_ms: float) -> None:
        """Record that the upstream had no memory for a result of this size."""
        if now_ms >= self.full_until_ms or size < self.full_size:
            self.full_size = size
        self.full_until_ms = now_ms + FULL_PAUSE_MS


@dataclass(frozen=True, slots=True)
class Speeds:
    """Slowness of each usable upstream of a service at one time, by id.

    Parameters
    ----------
    fastest : float
        The smallest of them, 1 without an upstream.
    """

    slowness: dict[str, float]
    fastest: float


@dataclass(slots=True)
class ServiceQueue:
    """Items of one service that can start now, and its upstreams.

    Parameters
    ----------
    open_items : dict of int to int
        Number of admitted items neither completed nor in a call, by rank.
    last_start_ms : float
        When the last call to any of the upstreams began, in monotonic ms.
    """

    spec: BatchSpec
    ready: list[WorkItem] = field(default_factory=list)
    workers: dict[str, Worker] = field(default_factory=dict)
    open_items: dict[int, int] = field(default_factory=dict)
    last_start_ms: float = -math.inf

    def speeds_at(self, now_ms: float) -> Speeds:
        """Return the slowness of the usable upstreams."""
        slowness = {w.id: w.slowness_at(now_ms) for w in self.usable_workers()}
        return Speeds(slowness, min(slowness.values(), default=1.0))

    def idle_workers(self, now_ms: float) -> list[Worker]:
        """Return the upstreams that can get a call now, the fastest first."""
        idle = [
            worker
            for worker in self.workers.values()
            if worker.usable and not worker.calls and now_ms >= worker.available_at_ms
        ]
        return sorted(
            idle, key=lambda w: (round(w.slowness_at(now_ms), 1), len(w.stored))
        )

    def usable_workers(self) -> list[Worker]:
        """Return the upstreams that can get calls."""
        return [worker for worker in self.workers.values() if worker.usable]

    def capacity(self, now_ms: float) -> float:
        """Return the usable capacity in upstreams of nominal speed, at least 0.1."""
        speeds = [1.0 / w.slowness_at(now_ms) for w in self.usable_workers()]
        return max(0.1, sum(speeds))

    def mean_slowness(self, now_ms: float) -> float:
        """Return the average call duration relative to the expected one, at least 1."""
        count = len(self.usable_workers())
        return max(1.0, count / self.capacity(now_ms))

    def amortised_item_ms(self) -> float:
        """Return the time of a full call divided by its number of items."""
        return self.call_time_ms(self.spec.batch) / self.spec.batch

    def call_time_ms(self, count: float) -> float:
        """Return the time of a call with `count` items at nominal speed."""
        return self.spec.call_ms + self.spec.item_ms * min(count, self.spec.batch)

    def start_interval_ms(self) -> float:
        """Return the minimum time between the starts of two calls.

        Spreading the starts of the upstreams over the time of a call lets items that
        arrive in between share the next call and its fixed cost.
        """
        workers = max(1, len(self.usable_workers()))
        return self.call_time_ms(len(self.ready)) / workers

    def next_start_ms(self) -> float:
        """Return when the next call can begin; a full batch need not wait."""
        return self.last_start_ms + self.start_interval_ms()

    def available_in_ms(self, now_ms: float) -> float:
        """Return when the first upstream becomes available, in ms from now."""
        times = [worker.next_call_at_ms for worker in self.usable_workers()]
        return max(0.0, min(times, default=now_ms) - now_ms)

    def is_too_slow(self, worker: Worker, speeds: Speeds, now_ms: float) -> bool:
        """Return whether items would be completed sooner by waiting for another one."""
        own = speeds.slowness[worker.id]
        if own <= TOO_SLOW_FACTOR * speeds.fastest:
            return False
        call_ms = self.call_time_ms(len(self.ready))
        return any(
            max(0.0, other.next_call_at_ms - now_ms)
            + call_ms * speeds.slowness[other.id]
            < call_ms * own
            for other in self.usable_workers()
            if own > TOO_SLOW_FACTOR * speeds.slowness[other.id]
        )

    def available_by_data_centre(
        self, speeds: Speeds, now_ms: float
    ) -> dict[str, float]:
        """Return when an upstream of each data centre becomes available.

        Upstreams that are too slow don't count; a data centre without others is
        missing.
        """
        available_ms: dict[str, float] = {}
        for worker in self.usable_workers():
            if self.is_too_slow(worker, speeds, now_ms):
                continue
            own_ms = max(now_ms, worker.next_call_at_ms)
            known_ms = available_ms.get(worker.data_centre, math.inf)
            available_ms[worker.data_centre] = min(known_ms, own_ms)
        return available_ms


def waits_for_data_centre(
    item: WorkItem, worker: Worker, available_ms: dict[str, float]
) -> bool:
    """Return whether an item should wait for an upstream in its own data centre.

    Parameters
    ----------
    available_ms : dict of str to float
        When an upstream of each data centre becomes available, in monotonic ms.
    """
    data_centre = item.data_centre
    if not data_centre or data_centre == worker.data_centre:
        return False
    soonest_ms = available_ms.get(data_centre, math.inf)
    return soonest_ms + DATA_CENTRE_SPARE_MS < item.latest_start_ms


def urgency(
    item: WorkItem, worker: Worker, now_ms: float
) -> tuple[bool, int, int, bool, float]:
    """Return the sort key of an item; lower keys go first.

    Items that can't be in time go behind the others, those of the latest stages
    first, as most work has gone into them. Of the others, more urgent requests go
    first, then items with the least slack; among items of about the same slack, those
    that prefer the upstream's data centre or none.
    """
    late = item.latest_start_ms + INFEASIBLE_AFTER_MS < now_ms
    priority = item.chain.spec.priority
    elsewhere = bool(item.data_centre) and item.data_centre != worker.data_centre
    if late:
        return (True, -item.stage.number, priority, elsewhere, item.latest_start_ms)
    slack = int(item.latest_start_ms // SLACK_STEP_MS)
    return (False, priority, slack, elsewhere, item.latest_start_ms)

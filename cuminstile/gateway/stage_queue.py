"""Hold the upstreams of a stage's service, and the pieces that wait for them."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from .chain import HOPELESS_AFTER_MS, SLACK_STEP_MS, WorkItem
from .model import BatchSpec

ZONE_SPARE_MS = 200.0
"""Time that must be left when the upstream of a piece's own data centre is free."""
FULL_PAUSE_MS = 400.0
"""How long an upstream without room gets no result of that size: about one call, in
which results of others are used and freed."""
SLOWNESS_AGE_MS = 5_000.0
"""The age at which a measured slowness counts a third: an upstream that is slow for a
while stays so for some seconds."""
SLOWNESS_WEIGHT = 0.4
"""Weight of the newest call in the measured slowness."""
TOO_SLOW = 1.6
"""Slowness against the fastest upstream from which one gets work only if it would be
done sooner there than at the others."""


@dataclass(frozen=True, slots=True)
class StoredResult:
    """Tell how much room a result takes, and when it lapses if nobody frees it."""

    size: int
    expires_ms: float


@dataclass(slots=True)
class Worker:
    """Hold what is known of one upstream that makes pieces.

    Parameters
    ----------
    calls : int
        Calls in progress.
    reserved : int
        Room that the results of these calls will take.
    held : dict of str to HeldResult
        The results that lie there, by handle, the oldest first.
    free_at_ms : float
        When it may be given a call again after it refused one.
    full_until_ms : float
        Until when it gets no piece whose result is as large as `full_size`: it had
        less room than is known here.
    slowness : float
        How many times its calls took what they should, when last measured.
    """

    id: str
    service: str
    address: str
    zone: str
    usable: bool = True
    calls: int = 0
    reserved: int = 0
    stored: dict[str, StoredResult] = field(default_factory=dict)
    free_at_ms: float = 0.0
    busy_until_ms: float = 0.0
    full_until_ms: float = 0.0
    full_size: int = 0
    slowness: float = 1.0
    measured_ms: float = 0.0

    def slowness_at(self, now_ms: float) -> float:
        """Return how many times its calls take what they should, as far as known.

        A measurement loses its weight with its age, so that an upstream that was slow
        is tried again.
        """
        age_ms = now_ms - self.measured_ms
        return 1.0 + (self.slowness - 1.0) * math.exp(-age_ms / SLOWNESS_AGE_MS)

    def note_call(
        self, expected_ms: float, took_ms: float, now_ms: float, failed: bool = False
    ) -> None:
        """Take over how long a call took; one that failed soon tells nothing."""
        if failed and took_ms < expected_ms:
            return
        before = self.slowness_at(now_ms)
        newest = took_ms / max(1.0, expected_ms)
        self.slowness = before + SLOWNESS_WEIGHT * (newest - before)
        self.measured_ms = now_ms

    def memory_used(self, now_ms: float) -> int:
        """Return the room taken or reserved, without results that have lapsed."""
        for handle, result in list(self.stored.items()):
            if result.expires_ms > now_ms:
                break
            del self.stored[handle]
        return self.reserved + sum(result.size for result in self.stored.values())

    def note_full(self, size: int, now_ms: float) -> None:
        """Take back what was thought of its room: a result of this size had none."""
        if now_ms >= self.full_until_ms or size < self.full_size:
            self.full_size = size
        self.full_until_ms = now_ms + FULL_PAUSE_MS


@dataclass(slots=True)
class ServiceQueue:
    """Hold the pieces that could start now, and the upstreams of one service.

    Parameters
    ----------
    open_pieces : dict of int to int
        Pieces that are admitted and neither made nor in a call, by priority.
    last_start_ms : float
        When the last call to any of the upstreams began.
    """

    spec: BatchSpec
    ready: list[WorkItem] = field(default_factory=list)
    workers: dict[str, Worker] = field(default_factory=dict)
    open_items: dict[int, int] = field(default_factory=dict)
    last_start_ms: float = -math.inf

    def usable_workers(self) -> list[Worker]:
        """Return the upstreams that may get calls."""
        return [worker for worker in self.workers.values() if worker.usable]

    def capacity(self, now_ms: float) -> float:
        """Return how many upstreams of nominal speed the usable ones amount to."""
        speeds = [1.0 / w.slowness_at(now_ms) for w in self.usable_workers()]
        return max(0.1, sum(speeds))

    def mean_slowness(self, now_ms: float) -> float:
        """Return how many times a call takes what it should, on average."""
        count = len(self.usable_workers())
        return max(1.0, count / self.capacity(now_ms))

    def piece_ms(self) -> float:
        """Return the time of one piece with its share of a full call."""
        return self.call_time_ms(self.spec.batch) / self.spec.batch

    def call_time_ms(self, count: float) -> float:
        """Return the time of a call with `count` pieces at a sound upstream."""
        return self.spec.call_ms + self.spec.item_ms * min(count, self.spec.batch)

    def start_gap_ms(self) -> float:
        """Return the least time between the starts of two calls.

        Spread over the time of a call, the upstreams start one after the other, and
        pieces that arrive in between share the next call and its fixed cost.
        """
        workers = max(1, len(self.usable_workers()))
        return self.call_time_ms(len(self.ready)) / workers

    def next_start_ms(self) -> float:
        """Return when the next call may begin, unless its batch is full."""
        return self.last_start_ms + self.start_gap_ms()

    def free_in_ms(self, now_ms: float) -> float:
        """Return when the first upstream is free, in ms from now."""
        times = [
            max(worker.free_at_ms, worker.busy_until_ms if worker.calls else 0.0)
            for worker in self.usable_workers()
        ]
        return max(0.0, min(times, default=now_ms) - now_ms)

    def too_slow(self, worker: Worker, now_ms: float) -> bool:
        """Tell whether pieces would be made sooner if they waited for another one."""
        own = worker.slowness_at(now_ms)
        sound = [
            other
            for other in self.usable_workers()
            if own > TOO_SLOW * other.slowness_at(now_ms)
        ]
        call_ms = self.call_time_ms(len(self.ready))
        return any(
            max(0.0, other.busy_until_ms - now_ms) * bool(other.calls)
            + call_ms * other.slowness_at(now_ms)
            < call_ms * own
            for other in sound
        )


def waits_for_zone(
    item: WorkItem, worker: Worker, queue: ServiceQueue, now_ms: float
) -> bool:
    """Tell whether a piece waits for an upstream in its own data centre."""
    zone = item.zone
    if not zone or zone == worker.zone:
        return False
    free_ms = min(
        (
            max(now_ms, other.free_at_ms, other.busy_until_ms if other.calls else 0.0)
            for other in queue.usable_workers()
            if other.zone == zone and not queue.too_slow(other, now_ms)
        ),
        default=math.inf,
    )
    return free_ms + ZONE_SPARE_MS < item.latest_start_ms


def urgency(
    item: WorkItem, worker: Worker, now_ms: float
) -> tuple[bool, int, int, bool, float]:
    """Return the rank of a piece, the lowest first.

    Pieces that can't be in time go behind the others, those nearest to their end
    first, as most work is in them. Of the others the more urgent requests go first,
    then those with the least slack; among pieces of about the same slack, those that
    had better be made in the upstream's data centre.
    """
    late = item.latest_start_ms + HOPELESS_AFTER_MS < now_ms
    priority = item.chain.spec.priority
    elsewhere = bool(item.zone) and item.zone != worker.zone
    if late:
        return (True, -item.stage.number, priority, elsewhere, item.latest_start_ms)
    slack = int(item.latest_start_ms // SLACK_STEP_MS)
    return (False, priority, slack, elsewhere, item.latest_start_ms)

"""Decide how many upstreams of a service should run in each data centre.

Designed for loads that change faster than an upstream starts: a wave, a jump, a shift
to a dearer kind of request, a pool that dies and returns. More upstreams are ordered at
once; fewer only when no moment of the last while needed them, and step by step. What an
upstream bears follows from what callers wait for, never from what upstreams cost. Does
no I/O.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import ceil

from ..duties.messages import DemandEntry

WAIT_SHARE = 0.1
"""Share of a target that a request may wait for the prompts of others to be read."""
WAIT_FACTOR = 1.5
"""Mean wait behind others at half load, in units of the mean work of a request: prompts
differ much in length."""
MIN_BUSY, MAX_BUSY = 0.25, 0.7
"""Bounds of the share of its time that an upstream may be busy with reading."""
MAX_SLOT_SHARE = 0.7
"""Share of the slots that may be taken: the fuller a batch, the slower each answer."""
DRAIN_MS = 2_000.0
"""Time in which requests that have begun to queue should be worked off."""
TREND_MS = 3_000.0
"""Time over which the growth of the demand is measured."""
LEAST_RISE = 1.3
"""Rise of the demand between the halves of that time from which it counts as growth."""
MAX_GROWTH = 1.5
"""Largest growth that is expected: a rise seldom goes on as it began."""
HOLD_MS = 12_000.0
"""How long an upstream must have been needed at no moment before it is given back."""
UNUSED_HOLD_MS = 30_000.0
"""The same for a service that no caller has used since the decisions began: callers
may be about to come."""
DOWN_STEP_MS = 3_000.0
"""Pause between two orders of fewer upstreams for one pool."""
DOWN_SHARE = 0.25
"""Largest share of a pool that one order gives back; at least one upstream."""
MISSING_MS = 5_000.0
"""How long an upstream may be missing before another is ordered in its place; most that
crash are back before that."""
FOLLOW_MS = 4_000.0
"""How long beyond the start of an upstream the platform may take to follow an order."""
RETRY_MS = 1_000.0
"""Pause before an order is sent again that the platform didn't accept."""
LOST_MS = 4_000.0
"""How long no VM of a data centre may be heard before its demand counts as unknown."""


@dataclass(frozen=True, slots=True)
class Pool:
    """Upstreams of one service in one data centre, as this VM sees them.

    Parameters
    ----------
    least, most : int
        Bounds of the number that may be ordered.
    start_ms : float
        Time from an order until a new upstream serves at its full rate.
    slots : int
        Requests that one upstream runs at once.
    listed, working : int
        Upstreams that run and don't leave, and those of them that can serve now.
    target_ms : float
        Shortest latency target of the service's callers.
    taken_out : bool
        Whether the data centre gets no requests.
    """

    service: str
    data_centre: str
    least: int
    most: int
    start_ms: float
    slots: int
    listed: int
    working: int
    target_ms: float
    taken_out: bool = False

    @property
    def name(self) -> str:
        """Return its name, the same on all VMs."""
        return f"{self.service}/{self.data_centre}"


@dataclass(frozen=True, slots=True)
class Order:
    """Order of a number of upstreams for one pool, and what it was decided from.

    Parameters
    ----------
    before : int
        The number that was ordered, or ran, before.
    needed : float
        Upstreams that the demand keeps as busy as callers bear.
    reason : str
        `demand`, `missing`, `unneeded`, `bounds` or `repeat`.
    """

    service: str
    data_centre: str
    wanted: int
    before: int = 0
    needed: float = 0.0
    reason: str = ""

    @property
    def name(self) -> str:
        """Return the name of the pool."""
        return f"{self.service}/{self.data_centre}"


@dataclass
class PoolState:
    """What is known of one pool over time; times are monotonic ms.

    Parameters
    ----------
    since_ms : float
        Since when it is decided on without interruption.
    wanted : int or None
        The number last ordered, None before the first order.
    accepted : bool
        Whether the platform accepted that order.
    seen : int
        Largest number of upstreams that ran at once, until the first order.
    sent_ms, raised_ms, lowered_ms : float
        When an order was last sent, and when more and fewer were last ordered.
    needs : deque of tuple
        Time and number of upstreams that were needed, in the time that counts.
    used : bool
        Whether callers have used the service in that time.
    heard_ms : float
        When a VM of the data centre was last heard, negative for never.
    missing_since_ms : float
        Since when fewer upstreams work than are needed, negative for not.
    """

    since_ms: float
    wanted: int | None = None
    accepted: bool = True
    seen: int = 0
    sent_ms: float = -1e12
    raised_ms: float = -1e12
    lowered_ms: float = -1e12
    needs: deque[tuple[float, float]] = field(default_factory=deque)
    used: bool = False
    heard_ms: float = -1.0
    missing_since_ms: float = -1.0


@dataclass
class ScalingState:
    """The pools by name, as the VM that decides knows them."""

    pools: dict[str, PoolState] = field(default_factory=dict)

    def record_answer(self, order: Order, accepted: bool, now_ms: float) -> None:
        """Record whether the platform accepted an order."""
        state = self.pools.get(order.name)
        if state is None:
            return
        state.accepted = accepted
        state.sent_ms = now_ms


@dataclass(frozen=True, slots=True)
class Demand:
    """Demand for the upstreams of a pool, over all VMs.

    Parameters
    ----------
    busy : float
        Upstreams that the requests which arrive keep busy all the time.
    queued_work_ms : float
        Time for which the waiting requests keep one upstream busy.
    in_flight : int
        Requests that upstreams have.
    work_ms : float
        Longest mean time, of all VMs, for which a request keeps an upstream busy.
    used : bool
        Whether there is any request.
    """

    busy: float = 0.0
    queued_work_ms: float = 0.0
    in_flight: int = 0
    work_ms: float = 0.0
    used: bool = False


def add_entry(demand: Demand, entry: DemandEntry) -> Demand:
    """Return a demand with what one VM sees besides."""
    return Demand(
        demand.busy + entry.requests * entry.work_ms / 1000.0,
        demand.queued_work_ms + entry.queued * entry.work_ms,
        demand.in_flight + entry.in_flight,
        max(demand.work_ms, entry.work_ms),
        demand.used or entry.requests > 0 or entry.in_flight > 0,
    )


def demand_by_pool(demands: Mapping[str, Iterable[DemandEntry]]) -> dict[str, Demand]:
    """Return the demand by pool of what all VMs see.

    Callers count where their VM stands: the upstreams there serve them when no others
    can be reached.
    """
    found: dict[str, Demand] = {}
    for entries in demands.values():
        for entry in entries:
            name = f"{entry.service}/{entry.data_centre}"
            found[name] = add_entry(found.get(name, Demand()), entry)
    return found


def spread_needs(pools: Iterable[Pool], needs: Mapping[str, float]) -> dict[str, float]:
    """Return the needs with what a pool can't serve spread over the others.

    A pool serves nothing in a data centre that is taken out, and no more than `most`
    upstreams do elsewhere.
    """
    listed = list(pools)
    spread = dict(needs)
    for service in {pool.service for pool in listed}:
        own = [pool for pool in listed if pool.service == service]
        room = [
            pool for pool in own if not pool.taken_out and needs[pool.name] < pool.most
        ]
        if not room:
            continue
        left = 0.0
        for pool in own:
            borne = 0.0 if pool.taken_out else min(needs[pool.name], pool.most)
            left += needs[pool.name] - borne
            spread[pool.name] = borne
        for pool in room:
            spread[pool.name] += left / len(room)
    return spread


def sound_busy_share(target_ms: float, work_ms: float) -> float:
    """Return the share of its time that an upstream may be busy for its callers.

    The mean wait behind others is `WAIT_FACTOR` times the work of a request at half
    load, and grows with b / (1 - b) for a busy share of b.
    """
    allowed_ms = WAIT_SHARE * target_ms
    behind_ms = WAIT_FACTOR * work_ms
    if allowed_ms + behind_ms <= 0:
        return MAX_BUSY
    return min(MAX_BUSY, max(MIN_BUSY, allowed_ms / (allowed_ms + behind_ms)))


def needed_upstreams(pool: Pool, demand: Demand) -> float:
    """Return how many upstreams serve a demand as its callers need it."""
    busy = demand.busy + demand.queued_work_ms / DRAIN_MS
    by_time = busy / sound_busy_share(pool.target_ms, demand.work_ms)
    by_slots = demand.in_flight / (max(1, pool.slots) * MAX_SLOT_SHARE)
    return max(by_time, by_slots)


def expected_growth(needs: Iterable[tuple[float, float]], now_ms: float) -> float:
    """Return by which factor the need is expected to grow within `TREND_MS`.

    A small rise is the chance of single requests, or a wave that falls again before an
    upstream would have started.
    """
    recent = [need for at_ms, need in needs if at_ms >= now_ms - TREND_MS]
    half = len(recent) // 2
    before, after = sum(recent[:half]), sum(recent[len(recent) - half :])
    if half < 2 or after < before * LEAST_RISE or before <= 0:
        return 1.0
    # The two halves lie half of the time apart.
    return min(MAX_GROWTH, 1.0 + 2.0 * (after / before - 1.0))


def decide_orders(
    state: ScalingState,
    pools: Iterable[Pool],
    demands: Mapping[str, Iterable[DemandEntry]],
    now_ms: float,
) -> tuple[Order, ...]:
    """Return the orders that are due now; their answers go to `record_answer`.

    Parameters
    ----------
    demands : mapping of str to iterable of DemandEntry
        The latest entries of the VMs that are heard, by VM.
    """
    listed = list(pools)
    found = demand_by_pool(demands)
    needs = {
        pool.name: needed_upstreams(pool, found.get(pool.name, Demand()))
        for pool in listed
    }
    needs = spread_needs(listed, needs)
    for name in state.pools.keys() - needs.keys():
        del state.pools[name]
    orders = []
    for pool in listed:
        known = state.pools.setdefault(pool.name, PoolState(now_ms))
        if pool.name in found:
            known.heard_ms = now_ms
            known.used |= found[pool.name].used
        order = decide_pool(known, pool, needs[pool.name], now_ms)
        if order is not None:
            orders.append(order)
    return tuple(orders)


def decide_pool(
    state: PoolState, pool: Pool, needed: float, now_ms: float
) -> Order | None:
    """Return the order for one pool that is due now, None if there is none.

    Fewer upstreams are never ordered for a data centre whose VMs have fallen silent:
    how many callers it has is not known, and it may be reached again.
    """
    state.seen = max(state.seen, pool.listed)
    if state.heard_ms >= 0 and now_ms - state.heard_ms > LOST_MS:
        state.since_ms = now_ms
    record_need(state, needed, now_ms)
    before = bounded(state.seen, pool) if state.wanted is None else state.wanted
    missing = missing_upstreams(state, pool, before, needed, now_ms)
    growth = expected_growth(state.needs, now_ms)
    raised = bounded(ceil(needed * growth) + missing, pool)
    lowered = lowered_number(state, pool, before, now_ms)
    if raised > before:
        state.raised_ms = now_ms
        wanted, reason = raised, "missing" if missing else "demand"
    elif lowered < before:
        state.lowered_ms = now_ms
        wanted, reason = lowered, "unneeded"
    elif bounded(before, pool) != before:
        wanted, reason = bounded(before, pool), "bounds"
    elif needs_repeat(state, pool, now_ms):
        wanted, reason = before, "repeat"
    else:
        return None
    state.wanted, state.accepted, state.sent_ms = wanted, False, now_ms
    return Order(
        pool.service, pool.data_centre, wanted, before, round(needed, 2), reason
    )


def record_need(state: PoolState, needed: float, now_ms: float) -> None:
    """Record what is needed now, and discard what is too old to count."""
    state.needs.append((now_ms, needed))
    while state.needs[0][0] < now_ms - HOLD_MS:
        state.needs.popleft()


def lowered_number(state: PoolState, pool: Pool, before: int, now_ms: float) -> int:
    """Return to how many upstreams a pool may go down now, `before` if it may not."""
    hold_ms = HOLD_MS if state.used else UNUSED_HOLD_MS
    if (
        now_ms - state.since_ms < hold_ms
        or now_ms - state.raised_ms < HOLD_MS
        or now_ms - state.lowered_ms < DOWN_STEP_MS
    ):
        return before
    peak = max(need for _, need in state.needs)
    lowest = before - max(1, int(before * DOWN_SHARE))
    return min(before, bounded(max(lowest, ceil(peak)), pool))


def missing_upstreams(
    state: PoolState, pool: Pool, before: int, needed: float, now_ms: float
) -> int:
    """Return how many upstreams to order in place of those that are gone for good.

    Those that were ordered a moment ago are still starting, and aren't missing.
    """
    starting = now_ms - state.sent_ms < pool.start_ms + FOLLOW_MS
    expected = min(before, ceil(needed))
    if pool.working >= expected or pool.taken_out or starting:
        state.missing_since_ms = -1.0
        return 0
    if state.missing_since_ms < 0:
        state.missing_since_ms = now_ms
    if now_ms - state.missing_since_ms < MISSING_MS:
        return 0
    return expected - pool.working + max(0, before - ceil(needed))


def bounded(wanted: int, pool: Pool) -> int:
    """Return a number of upstreams within the bounds of its pool."""
    return max(pool.least, min(pool.most, wanted))


def needs_repeat(state: PoolState, pool: Pool, now_ms: float) -> bool:
    """Return whether the last order has to be sent once more.

    That is so if the platform did not accept it, or has not followed it in its time.
    """
    if state.wanted is None:
        return False
    silent_ms = now_ms - state.sent_ms
    if not state.accepted:
        return silent_ms >= RETRY_MS
    return pool.listed != state.wanted and silent_ms >= pool.start_ms + FOLLOW_MS

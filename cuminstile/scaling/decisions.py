"""Decide how many upstreams of a service should run in each data centre.

Designed for loads that change faster than an upstream starts: a wave, a jump, a shift
to a dearer kind of request, a pool that dies and returns. More upstreams are ordered at
once; fewer only when no moment of the last while needed them, and step by step. What an
upstream bears follows from what callers wait for, never from what upstreams cost. Does
no I/O.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable, Mapping, Sequence
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
TREND_MS = 4_000.0
"""Time over which the growth of the demand is measured."""
LEAST_RISE = 1.1
"""Rise above all of the time before from which the demand counts as growing."""
MAX_GROWTH = 1.25
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
ROUNDING = 1e-9
"""Errors of adding parts up that don't count as a need."""

Needs = deque[tuple[float, float]]
"""Times in monotonic ms and the number of upstreams needed then, the oldest first."""


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
        Since when its needs are known without interruption, from the first caller on.
    wanted : int or None
        The number last ordered, None before the first order.
    accepted : bool
        Whether the platform accepted that order.
    seen : int
        Largest number of upstreams that ran at once, until the first order.
    sent_ms, raised_ms, lowered_ms : float
        When an order was last sent, and when more and fewer were last ordered.
    needs : deque of tuple
        What was needed in the time that counts.
    used : bool
        Whether callers have used the service since the decisions began.
    is_short : bool
        Whether fewer upstreams of the service work than its callers need.
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
    needs: Needs = field(default_factory=deque)
    used: bool = False
    is_short: bool = False
    heard_ms: float = -1.0
    missing_since_ms: float = -1.0

    def number(self, pool: Pool) -> int:
        """Return how many upstreams there are to be as things stand."""
        return max(self.seen, pool.least) if self.wanted is None else self.wanted


@dataclass
class ScalingState:
    """What the VM that decides knows.

    Parameters
    ----------
    pools : dict of str to PoolState
        The pools by name.
    totals : dict of str to deque of tuple
        By service, what all its pools together needed, with the time.
    """

    pools: dict[str, PoolState] = field(default_factory=dict)
    totals: dict[str, Needs] = field(default_factory=dict)

    def forget_others(self, by_service: Mapping[str, Sequence[Pool]]) -> None:
        """Forget pools and services that there are no more."""
        names = {pool.name for pools in by_service.values() for pool in pools}
        self.pools = {n: one for n, one in self.pools.items() if n in names}
        self.totals = {n: one for n, one in self.totals.items() if n in by_service}

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
    requests : float
        Requests that arrive per second.
    work_ms_per_s : float
        Time for which the requests of a second have an upstream, waits there included.
    queued, in_flight : int
        Requests that wait at upstreams, and all that upstreams have.
    """

    requests: float = 0.0
    work_ms_per_s: float = 0.0
    queued: int = 0
    in_flight: int = 0

    @property
    def work_ms(self) -> float:
        """Return the mean work of a request, waits included."""
        return self.work_ms_per_s / self.requests if self.requests else 0.0

    @property
    def used(self) -> bool:
        """Return whether there is any request."""
        return self.requests > 0 or self.in_flight > 0


def add_entry(demand: Demand, entry: DemandEntry) -> Demand:
    """Return a demand with what one VM sees besides."""
    return Demand(
        demand.requests + entry.requests,
        demand.work_ms_per_s + entry.requests * entry.work_ms,
        demand.queued + entry.queued,
        demand.in_flight + entry.in_flight,
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


def spread_needs(
    pools: Sequence[Pool],
    needs: Mapping[str, float],
    numbers: Mapping[str, int],
    closed: Collection[str],
) -> dict[str, float]:
    """Return the needs by pool with what a pool can't serve spread over the others.

    Requests go to any data centre, so that spare upstreams of one serve the callers of
    another before more are ordered.

    Parameters
    ----------
    pools : sequence of Pool
        All pools of one service.
    numbers : mapping of str to int
        How many upstreams each pool has, or will have.
    closed : collection of str
        Pools that serve nobody else's callers: taken out, or not heard of.
    """
    has = {name: 0 if name in closed else number for name, number in numbers.items()}
    excess = {name: max(0.0, needs[name] - number) for name, number in has.items()}
    spare = {name: max(0.0, number - needs[name]) for name, number in has.items()}
    all_excess, all_spare = sum(excess.values()), sum(spare.values())
    moved = min(all_excess, all_spare)
    if moved > 0:
        excess = {n: part * (1.0 - moved / all_excess) for n, part in excess.items()}
        spare = {n: part * (1.0 - moved / all_spare) for n, part in spare.items()}
    room = [pool for pool in pools if pool.name not in closed]
    room = [pool for pool in room if has[pool.name] < pool.most]
    left = 0.0
    spread: dict[str, float] = {}
    for pool in pools:
        name = pool.name
        most = 0 if name in closed else pool.most
        borne = max(0.0, min(excess[name], most - has[name]))
        left += excess[name] - borne
        spread[name] = has[name] - spare[name] + borne
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


def true_work_share(pools: Iterable[Pool], found: Mapping[str, Demand]) -> float:
    """Return the share of the measured work of a service that is not waiting.

    What waits for an upstream is part of what was measured. With a busy share b, a mean
    of b / (1 - b) requests are at each upstream, and work is 1 - b of their time there.
    Requests go to any pool, so that the share is the same for all.
    """
    listed = list(pools)
    present = sum(
        found[pool.name].work_ms_per_s / 1000.0 for pool in listed if pool.name in found
    )
    upstreams = sum(pool.working for pool in listed)
    return 1.0 / (1.0 + present / max(1, upstreams))


def needed_upstreams(pool: Pool, demand: Demand, work_share: float) -> float:
    """Return how many upstreams serve a demand as its callers need it."""
    work_ms = demand.work_ms * work_share
    busy = demand.requests * work_ms / 1000.0
    # With as many waiting as running, the queue is no more than chance.
    backlog = max(0.0, demand.queued - 2.0 * demand.work_ms_per_s / 1000.0)
    busy += backlog * work_ms / DRAIN_MS
    by_time = busy / sound_busy_share(pool.target_ms, work_ms)
    by_slots = demand.in_flight / (max(1, pool.slots) * MAX_SLOT_SHARE)
    return max(by_time, by_slots)


def expected_growth(needs: Needs, lead_ms: float, now_ms: float) -> float:
    """Return by which factor the need is expected to grow within `lead_ms`.

    Only a need above that of all the time before counts as growing: a wave comes back
    to where it was.
    """
    recent = [need for at_ms, need in needs if at_ms > now_ms - TREND_MS]
    earlier = [need for at_ms, need in needs if at_ms <= now_ms - TREND_MS]
    half = len(recent) // 2
    if half < 2 or not earlier:
        return 1.0
    before = sum(recent[:half]) / half
    after = sum(recent[-half:]) / half
    if after <= max(*earlier, before) * LEAST_RISE or before <= 0:
        return 1.0
    # The two halves lie half of the time apart.
    rise = (after - before) * lead_ms / (TREND_MS / 2)
    return min(MAX_GROWTH, 1.0 + rise / after)


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
    found = demand_by_pool(demands)
    by_service: dict[str, list[Pool]] = {}
    for pool in pools:
        by_service.setdefault(pool.service, []).append(pool)
    state.forget_others(by_service)
    orders: list[Order] = []
    for own in by_service.values():
        orders += decide_service(state, own, found, now_ms)
    return tuple(orders)


def decide_service(
    state: ScalingState,
    pools: Sequence[Pool],
    found: Mapping[str, Demand],
    now_ms: float,
) -> list[Order]:
    """Return the orders that are due now for the pools of one service.

    Parameters
    ----------
    found : mapping of str to Demand
        The demand by pool, without those of which no VM is heard.
    """
    for pool in pools:
        known = state.pools.setdefault(pool.name, PoolState(now_ms))
        update_pool(known, pool, found.get(pool.name), now_ms)
    numbers = {pool.name: state.pools[pool.name].number(pool) for pool in pools}
    closed = {pool.name for pool in pools if is_closed(state, pool, now_ms)}
    open_pools = [pool for pool in pools if pool.name not in closed]
    share = true_work_share(open_pools, found)
    needs = {
        pool.name: needed_upstreams(pool, found.get(pool.name, Demand()), share)
        for pool in pools
    }
    total = sum(needs.values())
    totals = state.totals.setdefault(pools[0].service, deque())
    record_need(totals, total, now_ms)
    growth = expected_growth(totals, max(pool.start_ms for pool in pools), now_ms)
    grown = {name: need * growth for name, need in needs.items()}
    needed = spread_needs(pools, needs, numbers, closed)
    expected = spread_needs(pools, grown, numbers, closed)
    is_short = sum(pool.working for pool in open_pools) < total
    orders = []
    for pool in pools:
        known, name = state.pools[pool.name], pool.name
        known.is_short = is_short and name not in closed
        record_need(known.needs, needed[name], now_ms)
        order = decide_pool(known, pool, needed[name], expected[name], now_ms)
        if order is not None:
            orders.append(order)
    return orders


def update_pool(
    state: PoolState, pool: Pool, demand: Demand | None, now_ms: float
) -> None:
    """Take over how a pool is seen now; `demand` is None if no VM there is heard.

    How many callers a silent data centre has is not known, and it may be reached again:
    its upstreams have to be unneeded for a whole while from then on.
    """
    state.seen = max(state.seen, pool.listed)
    if demand is not None:
        state.heard_ms = now_ms
        if demand.used and not state.used:
            state.used, state.since_ms = True, now_ms
    elif is_silent(state, now_ms):
        state.since_ms = now_ms


def is_silent(state: PoolState, now_ms: float) -> bool:
    """Return whether the VMs of a data centre have fallen silent."""
    return state.heard_ms >= 0 and now_ms - state.heard_ms > LOST_MS


def is_closed(state: ScalingState, pool: Pool, now_ms: float) -> bool:
    """Return whether a pool serves no callers of other data centres."""
    return pool.taken_out or is_silent(state.pools[pool.name], now_ms)


def decide_pool(
    state: PoolState, pool: Pool, needed: float, expected: float, now_ms: float
) -> Order | None:
    """Return the order for one pool that is due now, None if there is none.

    Parameters
    ----------
    needed, expected : float
        Upstreams that are needed now, and soon.
    """
    before = state.number(pool)
    missing = missing_upstreams(state, pool, before, needed, now_ms)
    raised = bounded(ceil(expected - ROUNDING) + missing, pool)
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


def record_need(needs: Needs, needed: float, now_ms: float) -> None:
    """Record what is needed now, and discard what is too old to count."""
    needs.append((now_ms, needed))
    while needs[0][0] < now_ms - HOLD_MS:
        needs.popleft()


def lowered_number(state: PoolState, pool: Pool, before: int, now_ms: float) -> int:
    """Return to how many upstreams a pool may go down now, `before` if it may not.

    Those that are gone count among the ordered ones: fewer are given back meanwhile.
    """
    hold_ms = HOLD_MS if state.used else UNUSED_HOLD_MS
    if (
        now_ms - state.since_ms < hold_ms
        or now_ms - state.raised_ms < HOLD_MS
        or now_ms - state.lowered_ms < DOWN_STEP_MS
    ):
        return before
    gone = max(0, before - pool.working)
    peak = max(need for _, need in state.needs)
    lowest = before - max(1, int(before * DOWN_SHARE))
    return min(before, bounded(max(lowest, ceil(peak - ROUNDING) + gone), pool))


def missing_upstreams(
    state: PoolState, pool: Pool, before: int, needed: float, now_ms: float
) -> int:
    """Return how many upstreams to order in place of those that are gone for good.

    Those that were ordered a moment ago are still starting, and aren't missing. Nothing
    is ordered as long as the upstreams elsewhere serve all callers.
    """
    starting = now_ms - state.sent_ms < pool.start_ms + FOLLOW_MS
    expected = min(before, ceil(needed))
    if pool.working >= expected or not state.is_short or starting:
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

"""Decide how many upstreams of a service should run in each data centre.

Designed for loads that change faster than an upstream starts: a wave, a jump, a shift
to a dearer kind of request, a pool that dies and returns. More upstreams are ordered at
once; fewer only when no moment of the last while needed them, and step by step. Does no
I/O.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from math import ceil

from ..duties.messages import DemandEntry
from .growth import HOLD_MS, expected_growth, record_need
from .needs import (
    Demand,
    demand_by_pool,
    needed_upstreams,
    spread_needs,
    true_work_share,
)
from .pools import Order, Pool, PoolState, ScalingState

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

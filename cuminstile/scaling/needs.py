"""Decide how many upstreams the demand of callers needs, pool by pool. Does no I/O.

What an upstream bears follows from what callers wait for.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass

from ..duties.messages import DemandEntry
from .pools import Pool

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

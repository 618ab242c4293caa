"""Pools of upstreams, what is known of them over time, and orders for them."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from .growth import Needs


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

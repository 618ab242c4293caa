"""Simulation of callers and pools against the decisions, in virtual time."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from cuminstile.duties.messages import DemandEntry
from cuminstile.scaling.decisions import decide_orders
from cuminstile.scaling.pools import Order, Pool, ScalingState

SERVICE = "chat"
STEP_MS = 1_000.0
START_MS = 11_000.0
POOL = Pool(SERVICE, "a", 2, 12, START_MS, 12, 4, 4, 1_000.0)
TRUE_WORK_MS = 50.0

Load = Callable[[float], Mapping[str, tuple[float, float]]]
"""Returns by data centre the requests per second, and the true work of one in ms."""


@dataclass
class Fleet:
    """Pools that follow the orders after their start, and what callers measure there.

    Parameters
    ----------
    running, dead : dict of str to int
        Upstreams by data centre: those that run or are down, and how many are down.
    silent : set of str
        Data centres whose VMs are not heard.
    starting : list of tuple
        When an order takes effect, for which data centre, and how many it wants.
    """

    pools: dict[str, Pool]
    running: dict[str, int]
    dead: dict[str, int] = field(default_factory=dict)
    silent: set[str] = field(default_factory=set)
    state: ScalingState = field(default_factory=ScalingState)
    orders: list[tuple[float, Order]] = field(default_factory=list)
    starting: list[tuple[float, str, int]] = field(default_factory=list)
    accepts: bool = True
    now_ms: float = 0.0

    def run(self, seconds: int, load: Load) -> None:
        """Let time pass, with a decision each second."""
        for _ in range(seconds):
            self.now_ms += STEP_MS
            self.start_upstreams()
            demands = self.demands(load(self.now_ms))
            pools = [self.seen(name) for name in self.pools]
            for order in decide_orders(self.state, pools, demands, self.now_ms):
                self.orders.append((self.now_ms, order))
                self.state.record_answer(order, self.accepts, self.now_ms)
                if self.accepts:
                    self.follow(order)

    def start_upstreams(self) -> None:
        """Start what was ordered long enough ago."""
        for due_ms, name, wanted in self.starting:
            if due_ms <= self.now_ms:
                self.running[name] = wanted
        self.starting = [one for one in self.starting if one[0] > self.now_ms]

    def follow(self, order: Order) -> None:
        """Take an order over; fewer upstreams run at once, more after their start."""
        name = order.data_centre
        wait_ms = START_MS if order.wanted > self.running[name] else 0.0
        self.starting = [one for one in self.starting if one[1] != name]
        self.starting.append((self.now_ms + wait_ms, name, order.wanted))

    def seen(self, name: str) -> Pool:
        """Return a pool as the VM that decides sees it."""
        working = self.running[name] - self.dead.get(name, 0)
        return replace(self.pools[name], listed=working, working=working)

    def demands(
        self, load: Mapping[str, tuple[float, float]]
    ) -> dict[str, tuple[DemandEntry, ...]]:
        """Return what two VMs of each data centre see; waits count as measured work."""
        reached = self.pools.keys() - self.silent
        working = sum(self.seen(name).working for name in reached)
        busy = sum(rate * work_ms for rate, work_ms in load.values()) / 1000.0
        share = min(0.9, busy / max(1, working))
        entries = {}
        for name, (rate, work_ms) in load.items():
            measured_ms = work_ms / (1.0 - share)
            entry = DemandEntry(SERVICE, name, rate / 2, 0, 0, 0.0, measured_ms)
            if name not in self.silent:
                entries |= {f"{name}-1": (entry,), f"{name}-2": (entry,)}
        return entries

    def wanted(self, name: str) -> int:
        """Return what was ordered last for a pool, or runs if nothing was."""
        for _, order in reversed(self.orders):
            if order.data_centre == name:
                return order.wanted
        return self.running[name]

    def since(self, ms: float) -> list[Order]:
        """Return the orders from a time on."""
        return [order for at_ms, order in self.orders if at_ms >= ms]


def make_fleet(names: str = "ab", running: int = 4, most: int = 12) -> Fleet:
    """Return a fleet with one pool in each of some data centres."""
    pools = {name: replace(POOL, data_centre=name, most=most) for name in names}
    return Fleet(pools, dict.fromkeys(names, running))


def steady(rate: float, names: str = "ab", work_ms: float = TRUE_WORK_MS) -> Load:
    """Return a load that stays as it is; the rate is that of each data centre."""
    return lambda now_ms: dict.fromkeys(names, (rate, work_ms))

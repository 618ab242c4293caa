"""Keep what this VM knows about each upstream of its data centre."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from itertools import count

from ..objects.model import Upstream
from .loaded_versions import Loaded
from .ranking import compact_id

NEVER_MS = float("-inf")


class Condition(IntEnum):
    """Tell how much an upstream bears; the numbers travel between VMs."""

    COLD = 0
    WARM = 1
    UNAVAILABLE = 2


@dataclass
class UpstreamState:
    """Hold what this VM knows about one upstream.

    Parameters
    ----------
    calls : dict of int to float
        When the bytes of each call of this VM that runs there now left, in ms;
        infinity while they have not.
    incarnation : int
        Compact number of the upstream's incarnation; 0 while unknown.
    condition : Condition
        What the freshest evidence says; cold while unknown.
    evidence_ms : float
        The moment that the evidence is about.
    shown : bool
        Whether an answer or a refusal showed the condition, not a load report.
    ramp : float
        Calls in flight that the owner may have there while it is cold.
    limit : float
        Calls in flight that all VMs together may have there while it is warm.
    reported_in_flight, reported_capacity, reported_ms : int, int, float
        The latest load report and the moment that it is about.
    mean_ms, deviation_ms : float
        Smoothed time of good answers.
    slow_streak : int
        Answers in a row that took far longer than usual.
    failures : int
        Failed calls in a row.
    ejected_until_ms, ejections : float, int
        Until when it gets no call, and how often that happened in a row.
    unread_polls : int
        Polls in a row without a load report.
    suspects : int
        Suspected requests that wait for the upstream or have it for themselves.
    reserved_warm : bool
        Whether it is taken as cold only for their sake.
    loaded : Loaded
        Which versions it has loaded.
    """

    upstream: Upstream
    calls: dict[int, float] = field(default_factory=dict)
    numbers: "count[int]" = field(default_factory=count)
    incarnation: int = 0
    condition: Condition = Condition.COLD
    evidence_ms: float = NEVER_MS
    cold_observed: bool = False
    ramp_limit: float = 0.0
    limit: float = 0.0
    reported_in_flight: int = 0
    reported_capacity: int = 0
    reported_ms: float = NEVER_MS
    mean_ms: float = 0.0
    deviation_ms: float = 0.0
    slow_streak: int = 0
    failures: int = 0
    ejected_until_ms: float = NEVER_MS
    ejections: int = 0
    unread_polls: int = 0
    suspects: int = 0
    reserved_warm: bool = False
    loaded: Loaded = field(default_factory=Loaded)

    def __post_init__(self) -> None:
        """Start with what the upstream's object allows."""
        self.ramp_limit = float(self.upstream.cold_capacity)
        self.limit = float(self.upstream.capacity)

    @property
    def name(self) -> str:
        """Return the upstream's name."""
        return self.upstream.name

    @property
    def in_flight(self) -> int:
        """Return how many calls of this VM run there now."""
        return len(self.calls)

    @property
    def capacity(self) -> int:
        """Return what the upstream bears when warm, by its object and its report."""
        if self.reported_capacity:
            return min(self.upstream.capacity, self.reported_capacity)
        return self.upstream.capacity

    def sent_until(self, at_ms: float) -> int:
        """Return how many of the present calls had left by `at_ms`."""
        return sum(sent_ms <= at_ms for sent_ms in self.calls.values())


@dataclass
class UpstreamTable:
    """Hold the upstreams of this VM's data centre by name and by compact number.

    Parameters
    ----------
    ticked_ms : float
        When this process last showed that it runs; minus infinity at the start.
    settled_ms : float
        From when on warm upstreams may be called again after a pause.
    working, working_ms : tuple of str, float
        The VMs that share the upstreams, and when that was worked out.
    """

    by_name: dict[str, UpstreamState] = field(default_factory=dict)
    by_id: dict[int, UpstreamState] = field(default_factory=dict)
    last_tick_ms: float = NEVER_MS
    settled_ms: float = NEVER_MS
    working: tuple[str, ...] = ()
    working_ms: float = NEVER_MS

    def state_of(self, upstream: Upstream) -> UpstreamState:
        """Return the state of one upstream, fresh if its object has changed."""
        state = self.by_name.get(upstream.name)
        if state is None or state.upstream.address != upstream.address:
            state = UpstreamState(upstream)
            self.by_name[upstream.name] = state
            self.index(state)
        state.upstream = upstream
        return state

    def index(self, state: UpstreamState) -> None:
        """Make a state known by its number; of two with one number the first name.

        The other is never told about by other VMs, hence stays cold, which is safe.
        """
        number = compact_id(state.name)
        present = self.by_id.get(number)
        if present is None or state.name <= present.name:
            self.by_id[number] = state

    def keep(self, upstreams: Iterable[Upstream]) -> None:
        """Know the upstreams given, and forget every other one."""
        names: set[str] = set()
        for upstream in upstreams:
            names.add(upstream.name)
            self.state_of(upstream)
        for name in tuple(self.by_name):
            state = self.by_name[name]
            if name not in names and not state.calls:
                del self.by_name[name]
                self.by_id.pop(compact_id(name), None)

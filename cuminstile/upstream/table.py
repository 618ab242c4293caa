"""What this VM knows about each upstream of its data centre."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from itertools import count

from ..objects.model import Upstream
from .loaded_versions import LoadedVersions
from .ranking import compact_id

NEVER_MS = float("-inf")


class Condition(IntEnum):
    """How many calls an upstream can take; the numbers are sent between VMs."""

    COLD = 0
    WARM = 1
    UNAVAILABLE = 2


@dataclass
class UpstreamState:
    """What this VM knows about one upstream.

    Parameters
    ----------
    calls : dict of int to float
        When each call of this VM that is in flight was sent, in ms; infinity before it
        is sent.
    incarnation : int
        Compact number of the upstream's incarnation; 0 while unknown.
    condition : Condition
        Condition according to the latest evidence; cold while unknown.
    evidence_ms : float
        Time that the latest evidence describes.
    cold_observed : bool
        Whether the upstream was observed to be cold, for example in an answer or a
        refusal. A load report alone then does not mark it warm: it has to ramp up.
    ramp_limit : float
        Limit of the owner's calls in flight while the upstream is cold.
    limit : float
        Limit of all VMs' calls in flight while the upstream is warm.
    reported_in_flight, reported_capacity, reported_ms : int, int, float
        The latest load report, and the time that it describes.
    mean_ms, deviation_ms : float
        Smoothed time of good answers, and its deviation.
    slow_streak : int
        Consecutive answers that took far longer than usual.
    failures : int
        Consecutive failed calls.
    ejected_until_ms, ejections : float, int
        Until when the upstream is ejected, and the number of consecutive ejections.
    unread_polls : int
        Consecutive polls without a load report.
    suspect_calls : int
        Calls of suspected requests that wait for the upstream or run there isolated.
    reserved_warm : bool
        Whether the upstream is marked cold only because of these calls.
    loaded : LoadedVersions
        The versions that the upstream has loaded.
    """

    upstream: Upstream
    calls: dict[int, float] = field(default_factory=dict)
    call_numbers: "count[int]" = field(default_factory=count)
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
    suspect_calls: int = 0
    reserved_warm: bool = False
    loaded: LoadedVersions = field(default_factory=LoadedVersions)

    def __post_init__(self) -> None:
        """Start with the limits in the upstream's object."""
        self.ramp_limit = float(self.upstream.cold_capacity)
        self.limit = float(self.upstream.capacity)

    @property
    def name(self) -> str:
        """Return the upstream's name."""
        return self.upstream.name

    @property
    def in_flight(self) -> int:
        """Return how many calls of this VM are in flight at the upstream."""
        return len(self.calls)

    @property
    def capacity(self) -> int:
        """Return the capacity when warm: the least of its object and its report."""
        if self.reported_capacity:
            return min(self.upstream.capacity, self.reported_capacity)
        return self.upstream.capacity

    def sent_by(self, at_ms: float) -> int:
        """Return how many of the calls in flight had been sent by `at_ms`."""
        return sum(sent_ms <= at_ms for sent_ms in self.calls.values())


@dataclass
class UpstreamTable:
    """The upstreams of this VM's data centre, by name and by compact number.

    Parameters
    ----------
    last_tick_ms : float
        When the polling loop last ran; minus infinity at the start.
    usable_from_ms : float
        When warm upstreams may be called again after a pause.
    working, working_ms : tuple of str, float
        The VMs that share the upstreams, and when they were determined.
    """

    by_name: dict[str, UpstreamState] = field(default_factory=dict)
    by_id: dict[int, UpstreamState] = field(default_factory=dict)
    last_tick_ms: float = NEVER_MS
    usable_from_ms: float = NEVER_MS
    working: tuple[str, ...] = ()
    working_ms: float = NEVER_MS

    def state_of(self, upstream: Upstream) -> UpstreamState:
        """Return the state of one upstream; a changed address gets a new state."""
        state = self.by_name.get(upstream.name)
        if state is None or state.upstream.address != upstream.address:
            state = UpstreamState(upstream)
            self.by_name[upstream.name] = state
            self.index(state)
        state.upstream = upstream
        return state

    def index(self, state: UpstreamState) -> None:
        """Index a state by its compact number.

        If two upstreams have the same number, the one whose name sorts first gets it.
        Other VMs never report the other one, so it stays cold, which is safe.
        """
        number = compact_id(state.name)
        existing = self.by_id.get(number)
        if existing is None or state.name <= existing.name:
            self.by_id[number] = state

    def set_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """Add the given upstreams, and remove all others without calls in flight."""
        names: set[str] = set()
        for upstream in upstreams:
            names.add(upstream.name)
            self.state_of(upstream)
        for name in tuple(self.by_name):
            state = self.by_name[name]
            if name not in names and not state.calls:
                del self.by_name[name]
                self.by_id.pop(compact_id(name), None)

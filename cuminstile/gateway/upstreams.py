"""State of each upstream as seen by this VM.

Designed for upstreams that slow down, fail part of their requests, become cold or
leave while requests are in progress. Does no I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from ..eras.position import UNREAD, Position
from ..estimates.estimate import Estimate
from ..estimates.report import LoadReport
from ..recency import remember
from .model import Service, Upstream

EJECT_AFTER_FAILURES = 3
"""Consecutive failures after which an upstream is ejected for a while."""
EJECT_MS = 1_000.0
"""Duration of the first ejection; doubled for each further one."""
EJECT_MAX_MS = 8_000.0
"""Longest ejection; a restarted upstream is up after some seconds."""
LATENCY_WEIGHT = 0.2
"""Weight of the newest answer time in the moving average."""
BUSY_MS = 400.0
"""How long an upstream that refused a request as full ranks behind the others."""
LOAD_AGE_MS = 1_000.0
"""How long a load that an upstream reported is valid."""


MAX_OTHERS = 15
"""Other upstreams that are looked at when one of a service has crashed."""
MAX_WORDS = 1_024
"""Processes of upstreams whose own words are remembered, of each kind."""


def process_of(upstream_id: str, started_ms: int) -> str:
    """Return the name of one process of an upstream."""
    return f"{upstream_id}@{started_ms}"


@dataclass(slots=True)
class UpstreamState:
    """State of one upstream as seen by this VM; times are monotonic ms.

    Parameters
    ----------
    unconfirmed : bool
        Whether its record went missing around an outage of the store.
    in_flight : int
        Requests of this VM that run or wait there.
    tokens_in_flight : int
        Prompt tokens of these requests that the engine has to read.
    """

    info: Upstream
    cold_until_ms: float = 0.0
    unconfirmed: bool = False
    in_flight: int = 0
    tokens_in_flight: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until_ms: float = 0.0
    busy_until_ms: float = 0.0
    latency_ms: float = 0.0
    estimate: Estimate = field(default_factory=Estimate)
    cold_tokens: float = 0.0
    cold_refilled_ms: float = 0.0

    @property
    def process(self) -> str:
        """Return the name of its process, see `process_of`."""
        return process_of(self.info.id, self.info.started_ms)


@dataclass(frozen=True, slots=True)
class UpstreamListAge:
    """Version and age of the list of upstreams on which a decision is based.

    Parameters
    ----------
    version : int
        Offset of the list in the store's log.
    age_ms : float
        Time since that was confirmed to be the newest.
    """

    version: int
    age_ms: float


@dataclass
class UpstreamTable:
    """The upstreams by id.

    Parameters
    ----------
    version : Position
        The position in the store's log after the last record read.
    confirmed_ms : float
        Monotonic time at which that was last known to be the newest.
    left : OrderedDict of str to float
        When processes of upstreams said themselves that they leave, in monotonic ms.
    closed_until_ms : OrderedDict of str to float
        Until when processes of upstreams want no requests of this VM.
    taken_out : frozenset of str
        Data centres that get no new requests.
    held_back : dict of str to frozenset of str
        By service, the versions that get no requests because they have not been judged.
    """

    states: dict[str, UpstreamState] = field(default_factory=dict)
    version: Position = UNREAD
    confirmed_ms: float = 0.0
    left: OrderedDict[str, float] = field(default_factory=OrderedDict)
    closed_until_ms: OrderedDict[str, float] = field(default_factory=OrderedDict)
    taken_out: frozenset[str] = frozenset()
    held_back: dict[str, frozenset[str]] = field(default_factory=dict)

    def confirm(self, version: Position, at_ms: float) -> None:
        """Record that the list was read up to a position at a monotonic time in ms."""
        self.version = version
        self.confirmed_ms = at_ms

    def age(self, now_ms: float) -> UpstreamListAge:
        """Return the version and age of the list."""
        return UpstreamListAge(self.version.offset, round(now_ms - self.confirmed_ms))

    def versions(self, service: str) -> set[str]:
        """Return the versions that the upstreams of a service run."""
        return {
            state.info.version
            for state in self.states.values()
            if state.info.service == service
        }

    def replace(
        self, upstreams: Iterable[Upstream], unconfirmed: Collection[str], now_ms: float
    ) -> list[str]:
        """Replace the upstreams by the discovered ones; return the ids removed."""
        listed = {upstream.id: upstream for upstream in upstreams}
        gone = [name for name in self.states if name not in listed]
        for name in gone:
            del self.states[name]
        for name, info in listed.items():
            known = self.states.get(name)
            if known is None or known.info.started_ms != info.started_ms:
                self.states[name] = UpstreamState(info, now_ms + info.cold_ms)
                continue
            if info.cold_ms != known.info.cold_ms:
                known.cold_until_ms = now_ms + info.cold_ms
            known.info = info
        for name, state in self.states.items():
            state.unconfirmed = name in unconfirmed
        return gone

    def usable(self, service: str) -> list[UpstreamState]:
        """Return the upstreams of a service that get new requests, now or soon.

        Unconfirmed ones are included only if there are no others.
        """
        usable = [
            state
            for state in self.states.values()
            if state.info.service == service and self.is_usable(state)
        ]
        return [state for state in usable if not state.unconfirmed] or usable

    def is_usable(self, state: UpstreamState) -> bool:
        """Return whether an upstream may get new requests unless it is closed."""
        info = state.info
        return (
            not info.leaving
            and process_of(info.id, info.started_ms) not in self.left
            and info.data_centre not in self.taken_out
            and info.version not in self.held_back.get(info.service, ())
        )

    def others(self, state: UpstreamState) -> list[UpstreamState]:
        """Return some other upstreams of a service that are not known to leave."""
        others = [
            other
            for other in self.states.values()
            if other.info.service == state.info.service
            and other.info.id != state.info.id
            and self.is_usable(other)
        ]
        return others[:MAX_OTHERS]

    def open(self, service: str, now_ms: float) -> list[UpstreamState]:
        """Return the upstreams of a service that get new requests now."""
        usable = self.usable(service)
        if not self.closed_until_ms:
            return usable
        return [state for state in usable if self.closed_for_ms(state, now_ms) <= 0]

    def closed_for_ms(self, state: UpstreamState, now_ms: float) -> float:
        """Return how long an upstream still wants no requests of this VM."""
        process = state.process
        return self.closed_until_ms.get(process, 0.0) - now_ms

    def opens_in_ms(self, service: str, now_ms: float) -> float | None:
        """Return when the first upstream opens; None if one is open, or none is left.

        The time is in ms from now.
        """
        left_ms = [self.closed_for_ms(state, now_ms) for state in self.usable(service)]
        first_ms = min(left_ms, default=0.0)
        return first_ms if first_ms > 0 else None

    def may_get(self, state: UpstreamState, now_ms: float) -> bool:
        """Return whether a request that was assigned to an upstream may be sent now."""
        return self.is_usable(state) and self.closed_for_ms(state, now_ms) <= 0

    def record_left(self, process: str, now_ms: float) -> bool:
        """Record that a process says that it leaves; return whether that is new.

        It holds for the process, whatever the list says of it: its next start is
        another process.
        """
        if process in self.left:
            return False
        remember(self.left, process, now_ms, MAX_WORDS)
        return True

    def record_closed(self, process: str, until_ms: float) -> bool:
        """Record until when a process wants no requests; return whether it is longer.

        A later word that ends sooner changes nothing.
        """
        if until_ms <= self.closed_until_ms.get(process, 0.0):
            return False
        remember(self.closed_until_ms, process, until_ms, MAX_WORDS)
        return True


def record_success(state: UpstreamState, latency_ms: float) -> None:
    """Record an answer and its time; resets failures and ejections."""
    state.failures = 0
    state.ejections = 0
    if state.latency_ms:
        change = latency_ms - state.latency_ms
        state.latency_ms += LATENCY_WEIGHT * change
    else:
        state.latency_ms = latency_ms


def record_failure(state: UpstreamState, now_ms: float) -> bool:
    """Record a failure; return whether the upstream is ejected because of it."""
    state.failures += 1
    if state.failures < EJECT_AFTER_FAILURES:
        return False
    length_ms = min(EJECT_MAX_MS, EJECT_MS * 2**state.ejections)
    state.ejected_until_ms = now_ms + length_ms
    state.ejections += 1
    state.failures = 0
    return True


def record_unreachable(state: UpstreamState, now_ms: float) -> None:
    """Eject an upstream to which no connection could be opened."""
    length_ms = min(EJECT_MAX_MS, EJECT_MS * 2**state.ejections)
    state.ejected_until_ms = now_ms + length_ms
    state.ejections += 1


def record_load(state: UpstreamState, load: LoadReport, now_ms: float) -> None:
    """Record the load that an upstream reports."""
    state.estimate.apply_report(load, now_ms)


def acquire_cold_token(
    state: UpstreamState, service: Service, vm_count: int, now_ms: float
) -> bool:
    """Acquire a token of this VM's share of a cold upstream's request rate.

    Returns whether there was one; an upstream that is not cold needs none. Each VM has
    an equal share of the rate and starts without a token, so that all VMs together
    stay below the rate without communication.
    """
    if now_ms >= state.cold_until_ms or service.cold_per_s <= 0:
        return True
    rate_per_ms = service.cold_per_s / 1000.0 / max(1, vm_count)
    if state.cold_refilled_ms:
        state.cold_tokens += (now_ms - state.cold_refilled_ms) * rate_per_ms
    state.cold_tokens = min(1.0, state.cold_tokens)
    state.cold_refilled_ms = now_ms
    if state.cold_tokens < 1.0:
        return False
    state.cold_tokens -= 1.0
    return True


def slot_usage(state: UpstreamState, now_ms: float) -> float:
    """Return the share of an upstream's slots that is in use, as far as known."""
    used = float(state.in_flight)
    load = state.estimate.report
    if load is not None and state.estimate.age_ms(now_ms) < LOAD_AGE_MS:
        used = max(used, float(load.running + load.waiting))
    return used / max(1, state.info.slots)

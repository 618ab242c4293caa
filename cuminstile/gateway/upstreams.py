"""Keep what this VM knows of each upstream, and choose one for a request.

Answers the pattern of upstreams that slow down, fail part of their requests, turn
cold or leave while requests go on. Needs no network.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from ..rendezvous import weight
from .model import PromptPart, Service, Upstream

EJECT_AFTER_FAILURES = 3
"""Failures in a row after which an upstream gets nothing for a while."""
EJECT_MS = 1_000.0
"""The first time that a failing upstream gets nothing; doubled each time."""
EJECT_MAX_MS = 8_000.0
"""The longest such time; an upstream that restarts is back after some seconds."""
LATENCY_WEIGHT = 0.2
"""Weight of the newest answer time in the moving mean."""
BUSY_MS = 400.0
"""How long a refusal for being full makes an upstream the last choice."""
LOAD_AGE_MS = 1_000.0
"""How long a load that an upstream reported counts."""
OTHER_ZONE_COST = 0.1
"""What another data centre costs in the choice, as a share of one place."""


@dataclass(slots=True)
class UpstreamState:
    """Hold what this VM has seen of one upstream; times are monotonic ms.

    Parameters
    ----------
    in_flight : int
        Requests of this VM that run or wait there.
    tokens_in_flight : int
        Prompt tokens of these requests that the engine has to read.
    doubtful : bool
        Whether its record went missing around an outage of the store.
    """

    info: Upstream
    cold_until_ms: float = 0.0
    doubtful: bool = False
    in_flight: int = 0
    tokens_in_flight: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until_ms: float = 0.0
    busy_until_ms: float = 0.0
    latency_ms: float = 0.0
    load: tuple[int, int, int] | None = None
    load_at_ms: float = -LOAD_AGE_MS
    cold_tokens: float = 0.0
    cold_refilled_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class UpstreamListAge:
    """Tell by which list of upstreams something was decided.

    Parameters
    ----------
    version : int
        Where the list stands in the store's log.
    age_ms : float
        Time since that was confirmed.
    """

    version: int
    age_ms: float


@dataclass
class UpstreamTable:
    """Hold the upstreams by id.

    Parameters
    ----------
    version : int
        The offset in the store's log behind the last record read, -1 before the first.
    confirmed_ms : float
        Monotonic time at which that was last known to be the newest.
    taken_out : frozenset of str
        Data centres that get nothing new.
    held_back : dict of str to str
        The version of a service that gets nothing, as nobody has judged it yet.
    """

    states: dict[str, UpstreamState] = field(default_factory=dict)
    version: int = -1
    confirmed_ms: float = 0.0
    taken_out: frozenset[str] = frozenset()
    held_back: dict[str, str] = field(default_factory=dict)

    def confirm(self, version: int, at_ms: float) -> None:
        """Note that the list was read up to an offset at a monotonic time in ms."""
        self.version = version
        self.confirmed_ms = at_ms

    def age(self, now_ms: float) -> UpstreamListAge:
        """Return which list this is and how old."""
        return UpstreamListAge(self.version, round(now_ms - self.confirmed_ms))

    def replace(
        self, upstreams: Iterable[Upstream], doubtful: Collection[str], now_ms: float
    ) -> list[str]:
        """Take over the discovered upstreams; return the ids that are gone."""
        listed = {upstream.id: upstream for upstream in upstreams}
        gone = [name for name in self.states if name not in listed]
        for name in gone:
            del self.states[name]
        for name, info in listed.items():
            known = self.states.get(name)
            if known is None or known.info.born_ms != info.born_ms:
                self.states[name] = UpstreamState(info, now_ms + info.cold_ms)
                continue
            if info.cold_ms != known.info.cold_ms:
                known.cold_until_ms = now_ms + info.cold_ms
            known.info = info
        for name, state in self.states.items():
            state.doubtful = name in doubtful
        return gone

    def usable(self, service: str) -> list[UpstreamState]:
        """Return the upstreams of a service that may get new requests.

        Doubtful ones are among them only if there are no others.
        """
        usable = [
            state
            for state in self.states.values()
            if state.info.service == service
            and not state.info.leaving
            and state.info.zone not in self.taken_out
            and state.info.version != self.held_back.get(service)
        ]
        return [state for state in usable if not state.doubtful] or usable


def record_success(state: UpstreamState, latency_ms: float) -> None:
    """Take an answer as a sign of health."""
    state.failures = 0
    state.ejections = 0
    if state.latency_ms:
        change = latency_ms - state.latency_ms
        state.latency_ms += LATENCY_WEIGHT * change
    else:
        state.latency_ms = latency_ms


def record_failure(state: UpstreamState, now_ms: float) -> bool:
    """Count a failure; return whether the upstream is ejected by it."""
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


def record_load(
    state: UpstreamState, load: tuple[int, int, int], now_ms: float
) -> None:
    """Take over the load that an upstream reports."""
    state.load = load
    state.load_at_ms = now_ms


def acquire_cold_token(
    state: UpstreamState, service: Service, vm_count: int, now_ms: float
) -> bool:
    """Take one of this VM's share of the requests that a cold upstream bears.

    Each VM holds an equal share of the rate and starts without a token, so that all
    together stay below the rate whatever they know of each other.
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


def places_taken(state: UpstreamState, now_ms: float) -> float:
    """Return the share of an upstream's places that is taken, as far as known."""
    taken = float(state.in_flight)
    if state.load is not None and now_ms - state.load_at_ms < LOAD_AGE_MS:
        taken = max(taken, float(state.load[0] + state.load[1]))
    return taken / max(1, state.info.slots)


Cost = Callable[[UpstreamState], float]


def by_load(now_ms: float, zone: str) -> Cost:
    """Return the cost for plain services: places taken, speed, data centre."""

    def cost(state: UpstreamState) -> float:
        slots = max(1, state.info.slots)
        taken = places_taken(state, now_ms) + state.in_flight / slots
        slow = state.latency_ms / 1000.0
        away = OTHER_ZONE_COST / slots if state.info.zone != zone else 0.0
        return taken + slow + away

    return cost


def session_of(parts: tuple[PromptPart, ...]) -> str:
    """Return the key of the longest shared beginning: the part before the last."""
    if len(parts) >= 2:
        return parts[-2].id
    return ""


READ_TOKENS_PER_PLACE = 2_000.0
"""Prompt tokens in flight that weigh as much as one running request: one chunk."""
PLACES_PER_MB = 2.0
"""Places that an engine beside the inputs may be ahead for each MB not to be moved."""
PLACES_PER_1000_TOKENS = 1.0
"""Places that the engine of a session may be ahead for 1,000 tokens not to be read."""


def by_session(
    parts: tuple[PromptPart, ...],
    candidates: Iterable[UpstreamState],
    input_bytes: dict[str, int],
    now_ms: float,
) -> Cost:
    """Return the cost for engines: load, tokens to read, inputs to move.

    Parameters
    ----------
    input_bytes : dict of str to int
        Size of the inputs by the data centre in which they lie.
    """
    session = session_of(parts)
    names = [state.info.id for state in candidates]
    home = max(names, key=lambda name: weight(session, name)) if session else ""
    shared_tokens = sum(part.tokens for part in parts[:-1])
    all_bytes = sum(input_bytes.values())

    def cost(state: UpstreamState) -> float:
        load = places_taken(state, now_ms) * max(1, state.info.slots)
        load += state.tokens_in_flight / READ_TOKENS_PER_PLACE
        if state.info.id != home:
            load += shared_tokens / 1000.0 * PLACES_PER_1000_TOKENS
        moved = all_bytes - input_bytes.get(state.info.zone, 0)
        return load + moved / 1e6 * PLACES_PER_MB

    return cost


def choose(
    candidates: Iterable[UpstreamState],
    cost: Cost,
    now_ms: float,
    tried: Collection[str],
) -> UpstreamState | None:
    """Return the cheapest upstream: sound ones first, then full, then ejected ones."""

    def rank(state: UpstreamState) -> tuple[bool, bool, float]:
        return (
            now_ms < state.ejected_until_ms,
            now_ms < state.busy_until_ms,
            cost(state),
        )

    left = [state for state in candidates if state.info.id not in tried]
    return min(left, key=rank, default=None)

"""Choose an upstream for a request by what it would cost there.

Designed for engines whose reports are stale when they arrive, and for requests that
share the beginnings of their prompts. Does no I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

from ..estimates.engines import SpeedView, home_order, view_speeds
from ..rendezvous import weight
from .model import PromptPart
from .upstreams import UpstreamState, slot_usage

OTHER_DATA_CENTRE_COST = 0.1
"""Cost of another data centre in the choice, as a share of one slot."""
READ_TOKENS_PER_SLOT = 2_000.0
"""Prompt tokens in flight that cost as much as one running request: one chunk."""
SLOTS_PER_MB = 2.0
"""Cost in slots of each MB of inputs that has to move to another data centre."""
OUTPUT_TOKENS_PER_SLOT = 500.0
"""Tokens of an answer that cost as much as one running request."""
MAX_OUTPUT_HINT = 4_000
"""A larger hint counts as this: hints are often far off."""
SPILL_SLOTS = 0.5
"""Cost in slots of the last engine in a session's order against its first one: VMs that
leave its engine don't all go to the same other one."""
SLOTS_PER_1000_TOKENS = 1.0
"""Cost in slots of 1,000 prompt tokens that another engine than the session's reads."""

Cost = Callable[[UpstreamState], float]


def load_cost(now_ms: float, data_centre: str) -> Cost:
    """Return the cost function for plain services: slot usage, latency, data centre."""

    def cost(state: UpstreamState) -> float:
        slots = max(1, state.info.slots)
        used = slot_usage(state, now_ms) + state.in_flight / slots
        latency = state.latency_ms / 1000.0 * state.estimate.bout(now_ms)
        remote = (
            OTHER_DATA_CENTRE_COST / slots
            if state.info.data_centre != data_centre
            else 0.0
        )
        return used + latency + remote

    return cost


def session_of(parts: tuple[PromptPart, ...]) -> str:
    """Return the key of the longest shared prompt prefix: the part before the last."""
    if len(parts) >= 2:
        return parts[-2].id
    return ""


def session_cost(
    parts: tuple[PromptPart, ...],
    candidates: Iterable[UpstreamState],
    input_bytes: dict[str, int],
    now_ms: float,
    output_hint: int = 0,
) -> Cost:
    """Return the cost function for engines: load, tokens to read, inputs to move.

    Parameters
    ----------
    input_bytes : dict of str to int
        Size of the inputs by the data centre that stores them.
    output_hint : int
        Tokens that the answer may have, 0 if unknown.
    """
    session = session_of(parts)
    states = list(candidates)
    speeds = view_speeds({s.info.id: s.estimate for s in states}, now_ms)
    if speeds is not None:
        return uneven_cost(parts, speeds, input_bytes, now_ms, output_hint)
    names = [state.info.id for state in states]
    session_upstream = (
        max(names, key=lambda name: weight(session, name), default="")
        if session
        else ""
    )
    shared_tokens = sum(part.tokens for part in parts[:-1])
    all_bytes = sum(input_bytes.values())

    def cost(state: UpstreamState) -> float:
        load = slot_usage(state, now_ms) * max(1, state.info.slots)
        load += state.tokens_in_flight / READ_TOKENS_PER_SLOT
        if state.info.id != session_upstream:
            load += shared_tokens / 1000.0 * SLOTS_PER_1000_TOKENS
        moved = all_bytes - input_bytes.get(state.info.data_centre, 0)
        return load + moved / 1e6 * SLOTS_PER_MB

    return cost


def uneven_cost(
    parts: tuple[PromptPart, ...],
    speeds: SpeedView,
    input_bytes: dict[str, int],
    now_ms: float,
    output_hint: int,
) -> Cost:
    """Return the cost function for engines that report how fast they are.

    All that the engine has to do counts by its slowness now: what runs there, the
    tokens that others and this request let it read, with the shared ones unless it is
    the session's engine, the tokens of the answer: a long one leaves a slow engine
    sooner. The session's engine is drawn by lasting speed.
    """
    order = home_order(session_of(parts), speeds)
    own_tokens = parts[-1].tokens if parts else 0
    shared_tokens = sum(part.tokens for part in parts[:-1])
    all_bytes = sum(input_bytes.values())

    def cost(state: UpstreamState) -> float:
        place = order[state.info.id]
        load = slot_usage(state, now_ms) * max(1, state.info.slots)
        load += state.tokens_in_flight / READ_TOKENS_PER_SLOT
        load += own_tokens / 1000.0 * SLOTS_PER_1000_TOKENS
        load += min(output_hint, MAX_OUTPUT_HINT) / OUTPUT_TOKENS_PER_SLOT
        if place:
            load += shared_tokens / 1000.0 * SLOTS_PER_1000_TOKENS
        load += SPILL_SLOTS * place / len(order)
        moved = all_bytes - input_bytes.get(state.info.data_centre, 0)
        return load * speeds.now[state.info.id] + moved / 1e6 * SLOTS_PER_MB

    return cost


def choose(
    candidates: Iterable[UpstreamState],
    cost: Cost,
    now_ms: float,
    tried: Collection[str],
) -> UpstreamState | None:
    """Return the upstream with the lowest cost that was not tried, if there is one.

    Healthy upstreams go first, then full ones, then ejected ones.
    """

    def rank(state: UpstreamState) -> tuple[bool, bool, float]:
        return (
            now_ms < state.ejected_until_ms,
            now_ms < state.busy_until_ms,
            cost(state),
        )

    untried = [state for state in candidates if state.info.id not in tried]
    return min(untried, key=rank, default=None)

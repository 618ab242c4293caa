"""Choose one of several upstreams for a call."""

from collections.abc import Callable, Sequence

from .table import UpstreamState

Choice = Callable[[Sequence[UpstreamState]], UpstreamState]


def least_in_flight(candidates: Sequence[UpstreamState]) -> UpstreamState:
    """Return the upstream with the fewest own calls for its capacity."""
    return min(candidates, key=load_of)


def load_of(state: UpstreamState) -> float:
    """Return the share of the upstream's capacity that own calls use."""
    return state.in_flight / state.upstream.capacity

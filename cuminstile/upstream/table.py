"""Keep the state of each upstream and hand out slots for calls."""

from dataclasses import dataclass, field

from ..objects.model import Upstream


@dataclass
class UpstreamState:
    """Hold what this VM knows about one upstream.

    Parameters
    ----------
    in_flight : int
        Calls of this VM that run there now.
    """

    upstream: Upstream
    in_flight: int = 0
    incarnation: str = ""
    state: str = ""


@dataclass
class UpstreamTable:
    """Hold the upstreams of this VM's data centre by name."""

    by_name: dict[str, UpstreamState] = field(default_factory=dict)

    def state_of(self, upstream: Upstream) -> UpstreamState:
        """Return the state of one upstream, fresh if its object has changed."""
        state = self.by_name.get(upstream.name)
        if state is None or state.upstream.address != upstream.address:
            state = UpstreamState(upstream)
            self.by_name[upstream.name] = state
        state.upstream = upstream
        return state

"""Test cuminstile.gateway.upstreams."""

from cuminstile.gateway.model import PromptPart
from cuminstile.gateway.upstreams import choose, session_cost


# Guards against closing callers' connections while a service has no upstream.
def test_session_without_any_upstream_has_no_choice() -> None:
    parts = (PromptPart("a", 10), PromptPart("b", 10))
    cost = session_cost(parts, [], {}, 0.0)
    assert choose([], cost, 0.0, ()) is None

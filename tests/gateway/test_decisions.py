"""Test routes, returning callers and the choice of upstreams."""

from cuminstile.gateway.model import (
    Limits,
    Manifest,
    Organisation,
    PromptPart,
    Route,
    RouteKind,
    Target,
)
from cuminstile.gateway.returning_callers import REMEMBERED_MS, ReturningCallers
from cuminstile.gateway.routing import (
    find_route,
    make_index,
    needs_key,
    pick_target,
    priority_of,
)
from cuminstile.gateway.upstream_costs import choose, load_cost, session_cost
from cuminstile.gateway.upstreams import (
    EJECT_AFTER_FAILURES,
    UpstreamState,
    record_failure,
)

from .test_state import make_upstream


def make_route(prefix: str, **changes: object) -> Route:
    fields = {
        "name": prefix,
        "host": "h",
        "prefix": prefix,
        "kind": RouteKind.ONCE,
        "timeout_ms": 1e3,
        "target_ms": 500.0,
        "priority": 2,
        "targets": (Target("s", 1.0),),
        "max_attempts": 1,
    }
    return Route(**{**fields, **changes})


def test_longest_prefix_of_the_host_wins() -> None:
    routes = (make_route("/a/"), make_route("/a/b/"), make_route("/", host="other"))
    index = make_index(Manifest(1, routes, {}, Limits()))
    assert find_route(index, "h", "/a/b/c") == routes[1]
    assert find_route(index, "h", "/a/x") == routes[0]
    assert find_route(index, "h", "/a") is None
    assert find_route(index, "other", "/a") == routes[2]


def test_public_route_and_manifest_without_organisations_need_no_key() -> None:
    keyed = Manifest(1, (), {}, Limits(), {"k": Organisation("o")})
    assert needs_key(keyed, make_route("/a/"))
    assert not needs_key(keyed, make_route("/a/", public=True))
    assert not needs_key(Manifest(1, (), {}, Limits()), make_route("/a/"))


def test_organisation_goes_before_route_in_priority() -> None:
    urgent = priority_of(make_route("/a/", priority=9), Organisation("o", 0))
    less = priority_of(make_route("/a/", priority=0), Organisation("p", 1))
    assert urgent < less
    assert priority_of(make_route("/a/"), None) == 2


def test_targets_are_drawn_by_weight() -> None:
    targets = (Target("a", 90.0), Target("b", 10.0))
    picks = [pick_target(targets, n / 100) for n in range(100)]
    assert (picks.count("a"), picks.count("b")) == (90, 10)


def test_returning_caller_is_recognised_by_its_key_for_a_while() -> None:
    returning_callers = ReturningCallers()
    assert returning_callers.waited_ms("k", 100.0) == 0.0
    assert returning_callers.waited_ms("k", 400.0) == 300.0
    assert returning_callers.waited_ms("other", 400.0) == 0.0
    assert returning_callers.waited_ms("k", 100.0 + REMEMBERED_MS) == 0.0
    assert returning_callers.waited_ms("", 5.0) == 0.0


def make_states(count: int = 3) -> list[UpstreamState]:
    return [
        UpstreamState(make_upstream(f"u{n}", data_centre=f"z{n}")) for n in range(count)
    ]


def test_upstream_that_failed_is_the_last_choice_for_a_while() -> None:
    states = make_states(2)
    for _ in range(EJECT_AFTER_FAILURES):
        record_failure(states[0], 0.0)
    cost = load_cost(10.0, "z0")
    assert choose(states, cost, 10.0, ()) is states[1]
    assert choose(states, cost, 10.0, {"u1"}) is states[0]
    assert choose(states, load_cost(5_000.0, "z0"), 5_000.0, ()) is states[0]


def test_session_stays_on_its_engine_until_that_has_more_work() -> None:
    states = make_states()
    parts = (PromptPart("shared", 2_500), PromptPart("s7", 3_800), PromptPart("o", 9))

    def pick() -> UpstreamState:
        chosen = choose(states, session_cost(parts, states, {}, 0.0), 0.0, ())
        assert chosen is not None
        return chosen

    home = pick()
    home.in_flight = 3
    assert pick() is home
    home.in_flight = 20
    assert pick() is not home


def test_large_inputs_draw_a_request_to_their_data_centre() -> None:
    states = make_states()
    parts = (PromptPart("s7", 200), PromptPart("o", 9))
    for data_centre in ("z0", "z1", "z2"):
        cost = session_cost(parts, states, {data_centre: 4_500_000}, 0.0)
        chosen = choose(states, cost, 0.0, ())
        assert chosen is not None
        assert chosen.info.data_centre == data_centre

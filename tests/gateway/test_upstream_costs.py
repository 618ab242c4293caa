"""Test cuminstile.gateway.upstream_costs: engines of uneven speed, and none at all."""

from collections import Counter

from cuminstile.gateway.model import PromptPart
from cuminstile.gateway.upstream_costs import choose, session_cost
from cuminstile.gateway.upstreams import UpstreamState

from .test_state import make_upstream

SLOWNESS = (0.7, 0.7, 0.7, 1.7, 1.7)
SECOND_MS = 1_000.0


def make_engines(slowness: tuple[float | None, ...] = SLOWNESS) -> list[UpstreamState]:
    """Return engines with reports of some seconds, the last ones two seconds old."""
    engines = [
        UpstreamState(make_upstream(f"u{n}", slots=24)) for n in range(len(slowness))
    ]
    for engine, figure in zip(engines, slowness, strict=True):
        for n in range(6):
            engine.estimate.record_report(0, 0, 24, figure, n * SECOND_MS)
    return engines


def parts_of(session: str) -> tuple[PromptPart, ...]:
    return PromptPart("all", 2_500), PromptPart(session, 3_800), PromptPart("o", 2_900)


def pick(engines: list[UpstreamState], session: str, now_ms: float = 7_000.0) -> str:
    cost = session_cost(parts_of(session), engines, {}, now_ms)
    chosen = choose(engines, cost, now_ms, ())
    assert chosen is not None
    return chosen.info.id


# Guards against closing callers' connections while a service has no upstream.
def test_session_without_any_upstream_has_no_choice() -> None:
    parts = (PromptPart("a", 10), PromptPart("b", 10))
    cost = session_cost(parts, [], {}, 0.0)
    assert choose([], cost, 0.0, ()) is None


def test_uneven_engines_share_sessions_by_their_speed() -> None:
    engines = make_engines()
    counts = Counter(pick(engines, f"s{n}") for n in range(600))
    assert all(counts[name] > 120 for name in ("u0", "u1", "u2"))
    assert counts["u3"] + counts["u4"] < 100


def test_two_vms_that_see_the_same_fast_engine_do_not_both_fill_it() -> None:
    """Each VM knows only its own requests; one engine reports to be the fastest."""
    vms = [make_engines((0.6, 0.7, 0.7, 1.7, 1.7)) for _ in range(2)]
    total: Counter[str] = Counter()
    for n in range(300):
        for vm, engines in enumerate(vms):
            total[pick(engines, f"v{vm} s{n}")] += 1
    assert total["u0"] < 0.5 * total.total()


def test_hot_session_leaves_its_engine_for_others_in_its_own_order() -> None:
    engines = make_engines()
    by_id = {engine.info.id: engine for engine in engines}
    second = set()
    for n in range(60):
        home = pick(engines, f"s{n}")
        if by_id[home].estimate.usual_report > 1.0:
            continue
        by_id[home].in_flight = 3
        assert pick(engines, f"s{n}") == home
        by_id[home].in_flight = 20
        second.add((home, pick(engines, f"s{n}")))
        by_id[home].in_flight = 0
    from_u0 = {other for home, other in second if home == "u0"}
    assert len(from_u0) > 1
    assert "u0" not in from_u0


def test_engine_in_a_slow_bout_gets_new_sessions_again_when_it_is_over() -> None:
    engines = make_engines()
    session = next(f"s{n}" for n in range(99) if pick(engines, f"s{n}") == "u0")
    engines[0].estimate.record_report(0, 0, 24, 7.0, 7_000.0)
    assert pick(engines, session) != "u0"
    assert pick(engines, session, 8_500.0) == "u0"
    assert engines[0].ejected_until_ms == 0.0


def test_engines_of_three_figures_are_chosen_as_if_all_were_alike() -> None:
    engines = make_engines((None,) * 5)
    unknown = [UpstreamState(engine.info) for engine in engines]
    for n in range(50):
        assert pick(engines, f"s{n}") == pick(unknown, f"s{n}")


def test_long_answer_leaves_a_slow_engine_sooner_than_a_short_one() -> None:
    engines = make_engines()

    def slow_share(hint: int) -> float:
        slow = 0
        for n in range(300):
            own = (PromptPart(f"s{n}", 900), PromptPart("o", 100))
            cost = session_cost(own, engines, {}, 7_000.0, hint)
            chosen = choose(engines, cost, 7_000.0, ())
            slow += chosen is not None and chosen.info.id in ("u3", "u4")
        return slow / 300

    assert slow_share(4_000) < slow_share(0)

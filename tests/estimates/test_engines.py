"""Test cuminstile.estimates.engines: sessions drawn by speed."""

from collections import Counter

from cuminstile.estimates.engines import SpeedView, home_order, view_speeds
from cuminstile.estimates.estimate import Estimate

SLOWNESS = {"u0": 0.7, "u1": 0.7, "u2": 1.7}


def home(session: str, usual: dict[str, float]) -> str:
    order = home_order(session, SpeedView(usual, usual))
    return min(order, key=lambda name: order[name])


def test_faster_engines_get_more_sessions_and_share_them() -> None:
    counts = Counter(home(f"s{n}", SLOWNESS) for n in range(2_000))
    assert 800 < counts["u0"] < 1_100
    assert 800 < counts["u1"] < 1_100
    assert 0 < counts["u2"] < 200


def test_vms_that_know_speeds_differently_agree_on_most_sessions() -> None:
    other = {**SLOWNESS, "u0": 0.8}
    same = sum(home(f"s{n}", SLOWNESS) == home(f"s{n}", other) for n in range(1_000))
    assert same > 850


def test_sessions_stay_when_the_speed_of_another_engine_changes() -> None:
    slower = {**SLOWNESS, "u0": 1.7}
    for n in range(500):
        before, after = home(f"s{n}", SLOWNESS), home(f"s{n}", slower)
        assert before == after or before == "u0"


def test_engines_without_a_figure_give_no_view_of_speeds() -> None:
    plain = Estimate()
    plain.record_report(1, 0, 24, None, 0.0)
    assert view_speeds({"u0": plain, "u1": Estimate()}, 0.0) is None


def test_unknown_engine_counts_as_the_median_of_the_others() -> None:
    estimates = {name: Estimate() for name in ("u0", "u1", "u2", "new")}
    for name, slowness in SLOWNESS.items():
        for at_ms in range(0, 5_000, 1_000):
            estimates[name].record_report(0, 0, 24, slowness, at_ms)
    view = view_speeds(estimates, 5_000.0)
    assert view is not None
    assert view.usual["new"] == view.now["new"] == view.usual["u0"]

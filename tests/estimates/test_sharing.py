"""Test cuminstile.estimates.sharing: VMs that tell each other of speeds."""

import math

from cuminstile.estimates.engines import home_order, view_speeds
from cuminstile.estimates.estimate import Estimate
from cuminstile.estimates.sharing import (
    REPEAT_MS,
    Speed,
    SpeedSharing,
    apply_samples,
    apply_told,
)

SLOWNESS = {"u0": 0.7, "u1": 1.7, "u2": 0.7, "u3": 1.7}


def make_estimates() -> dict[str, Estimate]:
    return {name: Estimate() for name in SLOWNESS}


def gather(hub: SpeedSharing, hub_knows: dict[str, Estimate]) -> tuple[Speed, ...]:
    """Let five VMs report one engine after the other, one of them in a bout."""
    for n in range(5):
        for name, slowness in SLOWNESS.items():
            vm, known = SpeedSharing(), Estimate()
            known.record_report(1, 0, 24, slowness * (2.5 if n == 2 else 1.0), 0.0)
            vm.note_report(name, known)
            apply_samples(hub_knows, vm.take_unsent(), n * 1_000.0)
            assert vm.take_unsent() == ()
    return hub.take_changes(hub_knows, 5_000.0)


def test_vm_that_sent_nothing_draws_the_same_engine_as_the_hub() -> None:
    hub_knows, vm_knows = make_estimates(), make_estimates()
    apply_told(vm_knows, gather(SpeedSharing(), hub_knows))
    hub_view = view_speeds(hub_knows, 6_000.0)
    vm_view = view_speeds(vm_knows, 6_000.0)
    assert hub_view is not None
    assert vm_view is not None
    for n in range(200):
        assert home_order(f"s{n}", hub_view) == home_order(f"s{n}", vm_view)


def test_hub_tells_changes_once_and_repeats_all_after_a_while() -> None:
    hub, hub_knows = SpeedSharing(), make_estimates()
    assert len(gather(hub, hub_knows)) == len(SLOWNESS)
    assert hub.take_changes(hub_knows, 5_100.0) == ()
    assert len(hub.take_changes(hub_knows, 5_000.0 + REPEAT_MS)) == len(SLOWNESS)


def test_own_reports_count_until_a_hub_knows_more() -> None:
    knows = {"u0": Estimate()}
    for at_ms in (0.0, 1_000.0, 2_000.0):
        knows["u0"].record_report(1, 0, 24, 1.7, at_ms)
    before = knows["u0"].usual_report
    apply_told(knows, [Speed("u0", 0.7, 1)])
    assert knows["u0"].usual_report == before
    apply_told(knows, [Speed("u0", 0.7, 5)])
    assert knows["u0"].usual_report < 0.8


def test_words_of_other_vms_that_make_no_sense_change_nothing() -> None:
    knows = make_estimates()
    bad = [Speed("u0", v, 5) for v in (0.0, -1.0, math.nan, math.inf)]
    apply_told(knows, [*bad, Speed("gone", 0.7, 5), Speed("u1", 0.7, -3)])
    apply_samples(knows, [*bad, Speed("gone", 0.7, 1)], 0.0)
    assert view_speeds(knows, 0.0) is None


def test_lastingly_slow_upstream_is_logged_once() -> None:
    sharing, estimate = SpeedSharing(), Estimate()
    lines = 0
    for n in range(8):
        estimate.record_report(1, 0, 24, 2.0, n * 1_000.0)
        lines += sharing.is_worth_a_line("u0", estimate)
    assert lines == 1

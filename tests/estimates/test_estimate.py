"""Test cuminstile.estimates.estimate and the reports that it takes."""

import pytest

from cuminstile.estimates.estimate import REPORT_DECAY_MS, Estimate
from cuminstile.estimates.report import LoadReport
from cuminstile.platform.headers import parse_load


def test_slow_bout_is_over_when_its_report_is_old() -> None:
    estimate = Estimate()
    for at_ms in (-2_000.0, -1_000.0, 0.0):
        estimate.record_report(3, 0, 24, 1.0, at_ms)
    estimate.record_report(3, 0, 24, 2.5, 1_000.0)
    assert estimate.slowness(1_000.0) == pytest.approx(2.5)
    assert estimate.bout(1_000.0) == pytest.approx(2.5)
    assert 1.0 < estimate.slowness(1_000.0 + REPORT_DECAY_MS) < 1.6
    assert estimate.slowness(4_000.0) == pytest.approx(1.0, abs=0.01)


def test_engine_that_always_reports_the_same_is_lastingly_slow() -> None:
    estimate = Estimate()
    for at_ms in range(0, 5_000, 1_000):
        estimate.record_report(3, 0, 24, 1.7, at_ms)
    assert estimate.slowness(60_000.0) == pytest.approx(1.7, rel=0.1)
    assert estimate.bout(4_000.0) == pytest.approx(1.0, rel=0.1)


def test_reports_of_one_bout_count_once() -> None:
    estimate = Estimate()
    for at_ms in (0.0, 1_000.0):
        estimate.record_report(3, 0, 24, 0.7, at_ms)
    for at_ms in range(2_000, 2_450, 50):
        estimate.record_report(3, 0, 24, 1.75, at_ms)
    assert estimate.slowness(10_000.0) < 0.8


def test_reported_bout_does_not_count_as_lasting_slowness() -> None:
    bout, slow = Estimate(), Estimate()
    for at_ms in range(0, 2_000, 200):
        bout.record_report(1, 0, 24, 2.5, at_ms)
        bout.record_time(100.0, 250.0, at_ms)
        slow.record_time(100.0, 250.0, at_ms)
    assert bout.lasting_at(2_000.0) == pytest.approx(1.0)
    assert slow.lasting_at(2_000.0) > 2.0


def test_measured_slowness_is_forgotten_so_that_the_upstream_is_tried_again() -> None:
    estimate = Estimate()
    estimate.record_time(100.0, 800.0, 0.0)
    assert estimate.slowness(0.0) > 2.0
    assert estimate.slowness(120_000.0) < 1.1


def test_report_of_three_figures_says_nothing_of_speed() -> None:
    estimate = Estimate()
    estimate.record_report(9, 2, 24, None, 0.0)
    assert estimate.slowness(0.0) == 1.0


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"3,1,8", LoadReport(3, 1, 8)),
        (b"3, 1, 8, 250", LoadReport(3, 1, 8, 2.5)),
        (b"3,1,8,87.5", LoadReport(3, 1, 8, 0.875)),
        (b"3,1,8,", LoadReport(3, 1, 8)),
        (b"3,1,8,-5", LoadReport(3, 1, 8)),
        (b"3,1,8,0", LoadReport(3, 1, 8)),
        (b"3,1,8,nan", LoadReport(3, 1, 8)),
        (b"3,1,8,inf", LoadReport(3, 1, 8)),
        (b"3,1,8,x", LoadReport(3, 1, 8)),
        (b"3,1,8,120,7", LoadReport(3, 1, 8, 1.2)),
        (b"3,1", None),
        (b"3,-1,8,100", None),
        (b"9" * 5_000 + b",1,8,100", None),
        (b"", None),
    ],
)
def test_load_report_with_a_bad_fourth_figure_keeps_the_others(
    value: bytes, expected: LoadReport | None
) -> None:
    assert parse_load(value) == expected

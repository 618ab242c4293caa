"""Test cuminstile.crash_suspects: which request is blamed for crashes."""

import random

import pytest

from cuminstile.crash_limits import QUARANTINE_MS, SUSPICION_VALID_MS, Suspicion
from cuminstile.crash_merging import merge_suspect
from cuminstile.crash_suspects import (
    MAX_CRASHES,
    MAX_ENDED,
    MAX_SUSPECTS,
    CrashTable,
)

F, G = b"f" * 16, b"g" * 16


def make_table() -> CrashTable:
    return CrashTable(suspect_after=2, quarantine_after=3)


def crash_three(table: CrashTable, fingerprint: bytes = F, at_ms: float = 0.0) -> None:
    """Record three crashes, the last one on trial."""
    for number in range(3):
        table.record_crash(
            fingerprint, "s", f"u{number}@{at_ms}", at_ms + number, number == 2
        )


def test_request_is_suspected_then_quarantined() -> None:
    table = make_table()
    assert table.record_crash(F, "s", "u0@1", 0.0) is Suspicion.NONE
    assert table.record_crash(F, "s", "u1@1", 1.0) is Suspicion.SUSPECTED
    assert table.record_crash(F, "s", "u2@1", 2.0, True) is Suspicion.QUARANTINED


def test_one_process_counts_once() -> None:
    table = make_table()
    for _ in range(5):
        assert table.record_crash(F, "s", "u0@1", 0.0, True) is Suspicion.NONE
    assert table.record_crash(F, "s", "u0@2", 0.0) is Suspicion.SUSPECTED


# Guards against blaming what runs everywhere when many upstreams crash at once.
def test_crashes_without_a_trial_quarantine_nothing() -> None:
    table = make_table()
    for number in range(10):
        table.record_crash(F, "s", f"u{number}@1", 0.0)
    assert table.get(F, 1.0) is Suspicion.SUSPECTED
    assert table.record_good_run(F, 2.0)
    assert table.get(F, 3.0) is Suspicion.NONE


# Guards against blaming a request on trial while half of a service is killed.
def test_crash_on_trial_proves_nothing_while_most_crash_without_the_request() -> None:
    table = make_table()
    for number in range(12):
        table.record_crash(b"%016d" % number, "s", f"other{number}@1", 0.0)
    crash_three(table)
    assert table.get(F, 10.0) is Suspicion.SUSPECTED
    assert table.record_crash(F, "s", "u9@1", 20.0, True) is Suspicion.QUARANTINED


def test_several_requests_that_crash_upstreams_do_not_excuse_each_other() -> None:
    table = make_table()
    names = [b"%016d" % number for number in range(6)]
    for name in names:
        for number in range(3):
            process = f"{name.decode()}-{number}@1"
            table.record_crash(name, "s", process, 0.0, number == 2)
    for name in names:
        process = f"{name.decode()}-last@1"
        table.record_crash(name, "s", process, 1.0, on_trial=True)
    assert {table.get(name, 2.0) for name in names} == {Suspicion.QUARANTINED}


def test_crashes_of_another_service_are_no_explanation() -> None:
    table = make_table()
    for number in range(12):
        table.record_crash(b"%016d" % number, "t", f"other{number}@1", 0.0)
    crash_three(table)
    assert table.get(F, 10.0) is Suspicion.QUARANTINED


def test_what_shared_an_upstream_is_cleared_by_its_next_run() -> None:
    table = make_table()
    for process in ("u0@1", "u1@1"):
        for fingerprint in (F, G):
            table.record_crash(fingerprint, "s", process, 0.0)
    assert table.record_good_run(G, 1.0)
    table.record_crash(F, "s", "u2@1", 2.0, True)
    assert table.get(G, 3.0) is Suspicion.NONE
    assert table.get(F, 3.0) is Suspicion.QUARANTINED


def test_suspicion_and_quarantine_fade() -> None:
    table = make_table()
    table.record_crash(G, "s", "u0@1", 0.0)
    table.record_crash(G, "s", "u1@1", 0.0)
    crash_three(table)
    assert table.get(G, SUSPICION_VALID_MS) is Suspicion.NONE
    assert table.get(F, QUARANTINE_MS + 3.0) is Suspicion.SUSPECTED
    later_ms = QUARANTINE_MS + SUSPICION_VALID_MS + 3.0
    assert table.get(F, later_ms) is Suspicion.NONE


# Guards against more than three trials after the third crash, however long it goes on.
def test_trials_after_a_quarantine_become_rare() -> None:
    table = make_table()
    crash_three(table)
    trials, now_ms = 0, 10.0
    while now_ms < 24 * 3_600_000.0:
        if table.get(F, now_ms) is not Suspicion.QUARANTINED:
            trials += 1
            table.record_crash(F, "s", f"later{trials}@1", now_ms, True)
        now_ms += 5_000.0
    assert trials <= 3


def test_crash_of_a_living_upstream_is_retracted_everywhere() -> None:
    table, other = make_table(), make_table()
    crash_three(table)
    merge_suspect(other, F, table.by_fingerprint[F], 5.0)
    for each in (table, other):
        each.retract_crash("u1@0.0", 6.0)
        assert each.get(F, 7.0) is Suspicion.SUSPECTED
    merge_suspect(other, F, table.by_fingerprint[F], 8.0)
    assert other.crash_count(F, 9.0) == 2


def test_memory_is_bounded_and_quarantines_are_dropped_last() -> None:
    table = make_table()
    crash_three(table)
    for number in range(MAX_SUSPECTS + 1_000):
        table.record_crash(b"%016d" % number, "s", f"p{number}@1", 10.0)
        table.record_good_run(b"%016d" % (number - 2_000), 10.0)
    for number in range(50):
        table.record_crash(G, "s", f"g{number}@1", 20.0)
    assert table.get(F, 21.0) is Suspicion.QUARANTINED
    assert len(table.by_fingerprint) <= MAX_SUSPECTS
    assert len(table.cleared_ms) <= MAX_SUSPECTS
    assert len(table.ended_ms["s"]) <= MAX_ENDED
    assert table.crash_count(G, 21.0) <= MAX_CRASHES


@pytest.mark.parametrize("seed", range(20))
def test_request_that_is_answered_half_the_time_is_never_quarantined_for_long(
    seed: int,
) -> None:
    """Draw crashes of a hot request's upstreams for other reasons, and good runs."""
    source = random.Random(seed)
    table, now_ms, blamed_ms = make_table(), 0.0, 0.0
    for number in range(400):
        now_ms += 50.0
        suspicion = table.get(F, now_ms)
        if suspicion is Suspicion.QUARANTINED:
            blamed_ms += 50.0
        if source.random() < 0.1:
            table.record_crash(G if number % 2 else F, "s", f"u{number}@1", now_ms)
        elif suspicion is not Suspicion.QUARANTINED:
            table.record_good_run(F, now_ms)
    assert blamed_ms == 0.0

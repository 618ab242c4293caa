"""Test cuminstile.crash_suspects: which parts of prompts are blamed."""

from cuminstile.crash_limits import PROVEN_PART_LIMITS, QUARANTINE_MS, Suspicion
from cuminstile.crash_merging import merge_suspect
from cuminstile.crash_suspects import (
    MAX_ANSWERED,
    MAX_SUSPECTS,
    CrashTable,
)

R, S, T = b"r" * 16, b"s" * 16, b"t" * 16
BAD, TWIN, POPULAR = b"b" * 16, b"w" * 16, b"p" * 16


def make_table() -> CrashTable:
    return CrashTable(suspect_after=2, quarantine_after=3)


def crash(
    table: CrashTable,
    request: bytes,
    parts: tuple[bytes, ...],
    process: str,
    at_ms: float,
    on_trial: bool = False,
) -> None:
    """Record a crash; on trial if it is, with a trial of all its parts before."""
    if on_trial:
        for part in parts:
            table.begin_trial(part, at_ms + 100.0)
    table.record_crash(request, "s", process, at_ms, on_trial, parts)


def blame(table: CrashTable, parts: tuple[bytes, ...]) -> None:
    """Record three crashes under requests with the same parts, the last on trial."""
    for number, request in enumerate((R, S, T)):
        crash(table, request, parts, f"u{number}@1", float(number), number == 2)


def test_part_is_suspected_at_once_and_quarantined_after_a_trial() -> None:
    table = make_table()
    crash(table, R, (BAD,), "u0@1", 0.0)
    assert table.get(BAD, 0.0) is Suspicion.SUSPECTED
    assert table.get(R, 0.0) is Suspicion.NONE
    crash(table, S, (BAD,), "u1@1", 1.0)
    crash(table, T, (BAD,), "u2@1", 2.0, on_trial=True)
    assert table.get(BAD, 3.0) is Suspicion.QUARANTINED
    assert table.quarantined((b"new", BAD), 3.0) == BAD


def test_part_that_ran_well_takes_more_crashes() -> None:
    table = make_table()
    table.record_good_run(POPULAR, 0.0, is_part=True)
    for number in range(PROVEN_PART_LIMITS.suspect_after - 1):
        crash(table, b"%016d" % number, (POPULAR,), f"u{number}@1", 1.0 + number)
        assert table.get(POPULAR, 2.0 + number) is Suspicion.NONE
    crash(table, R, (POPULAR,), "u8@1", 10.0)
    assert table.get(POPULAR, 10.0) is Suspicion.SUSPECTED


def test_parts_that_always_come_together_are_refused_together_alone() -> None:
    table = make_table()
    blame(table, (BAD, TWIN))
    assert table.quarantined((R, TWIN, BAD), 5.0) is not None
    assert table.quarantined((R, TWIN), 5.0) is None
    assert table.quarantined((R, BAD), 5.0) is None
    assert table.suspected((R, TWIN), 5.0) == [TWIN]


def test_answer_clears_one_of_two_and_the_other_is_refused_alone() -> None:
    table = make_table()
    blame(table, (BAD, TWIN))
    assert table.record_good_run(TWIN, 6.0, is_part=True)
    assert table.get(TWIN, 7.0) is Suspicion.NONE
    assert table.quarantined((R, BAD), 7.0) == BAD


def test_crash_of_one_of_two_excuses_the_other() -> None:
    table = make_table()
    blame(table, (BAD, TWIN))
    crash(table, b"n" * 16, (BAD,), "u9@1", 6.0, on_trial=True)
    assert table.quarantined((R, BAD), 7.0) == BAD
    assert table.get(TWIN, 7.0) is Suspicion.NONE


def test_blamed_part_excuses_what_ran_beside_it() -> None:
    table = make_table()
    other = b"o" * 16
    table.record_crash(other, "s", "u0@1", 0.0, parts=(POPULAR,))
    blame(table, (BAD,))
    assert table.get(POPULAR, 5.0) is Suspicion.NONE
    assert table.crash_count(other, 5.0) == 0
    table.record_crash(other, "s", "u2@1", 6.0, parts=(POPULAR,))
    assert table.get(POPULAR, 7.0) is Suspicion.NONE


# Guards against requests that wait for a trial which has ended, as the crash of its
# upstream was known already from another request there.
def test_trial_at_an_upstream_whose_crash_is_known_ends_with_it() -> None:
    table = make_table()
    crash(table, R, (BAD,), "u0@1", 0.0)
    table.begin_trial(BAD, 3_000.0)
    table.record_crash(S, "s", "u0@1", 1.0, on_trial=True, parts=(BAD,))
    assert table.trial_left_ms(BAD, 2.0) == 0.0


def test_quarantine_is_lifted_as_a_run_with_the_part_goes_well() -> None:
    table = make_table()
    blame(table, (POPULAR,))
    assert table.get(POPULAR, 5.0) is Suspicion.QUARANTINED
    table.record_long_run(POPULAR, 6.0)
    assert table.get(POPULAR, 7.0) is Suspicion.SUSPECTED
    late = make_table()
    blame(late, (POPULAR,))
    assert merge_suspect(table, POPULAR, late.by_fingerprint[POPULAR], 8.0) in (
        True,
        False,
    )
    assert table.get(POPULAR, 9.0) is Suspicion.SUSPECTED
    assert merge_suspect(late, POPULAR, table.by_fingerprint[POPULAR], 9.0)
    assert late.get(POPULAR, 10.0) is Suspicion.SUSPECTED


def test_first_quarantine_of_a_part_that_ran_well_is_short() -> None:
    table = make_table()
    table.record_good_run(POPULAR, 0.0, is_part=True)
    for number in range(5):
        request = b"%016d" % number
        crash(table, request, (POPULAR,), f"u{number}@1", 1.0, number == 4)
    assert table.get(POPULAR, 2.0) is Suspicion.QUARANTINED
    after_ms = 1.0 + PROVEN_PART_LIMITS.first_quarantine_ms
    assert table.get(POPULAR, after_ms) is Suspicion.SUSPECTED
    crash(table, R, (POPULAR,), "u8@1", after_ms, on_trial=True)
    assert table.get(POPULAR, after_ms + QUARANTINE_MS - 1.0) is Suspicion.QUARANTINED


def test_memory_is_bounded_however_many_parts_there_are() -> None:
    table = make_table()
    blame(table, (BAD,))
    for number in range(2 * MAX_ANSWERED):
        name = b"%016d" % number
        table.record_good_run(name, 10.0, is_part=True)
        if number < 2 * MAX_SUSPECTS and number % 8 == 0:
            parts = tuple(b"%08d%08d" % (number, part) for part in range(8))
            table.record_crash(name, "s", f"p{number}@1", 10.0, parts=parts)
    assert len(table.answered_ms) <= MAX_ANSWERED
    assert len(table.by_fingerprint) <= MAX_SUSPECTS
    assert table.get(BAD, 11.0) is Suspicion.QUARANTINED

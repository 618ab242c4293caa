"""Test cuminstile.crash_merging: what VMs take over from each other."""

from dataclasses import replace

from cuminstile.crash_limits import Suspicion
from cuminstile.crash_merging import merge_suspect

from .test_crash_parts import BAD, POPULAR, R, blame, crash
from .test_crash_suspects import F, crash_three, make_table


def test_merge_adds_up_the_crashes_that_several_vms_saw() -> None:
    tables = [make_table() for _ in range(3)]
    for number, table in enumerate(tables):
        table.record_crash(F, "s", f"u{number}@1", float(number))
    assert merge_suspect(tables[2], F, tables[0].by_fingerprint[F], 5.0)
    assert merge_suspect(tables[2], F, tables[1].by_fingerprint[F], 5.0)
    assert not merge_suspect(tables[2], F, tables[1].by_fingerprint[F], 6.0)
    assert tables[2].get(F, 7.0) is Suspicion.SUSPECTED
    assert tables[2].record_crash(F, "s", "u9@1", 8.0, True) is Suspicion.QUARANTINED
    assert merge_suspect(tables[0], F, tables[2].by_fingerprint[F], 9.0)
    assert tables[0].get(F, 10.0) is Suspicion.QUARANTINED


def test_older_crashes_do_not_return_after_a_good_run() -> None:
    table, other = make_table(), make_table()
    crash_three(table)
    crash_three(other)
    assert table.record_good_run(F, 10.0)
    assert not merge_suspect(table, F, other.by_fingerprint[F], 11.0)
    assert table.get(F, 12.0) is Suspicion.NONE


def test_stale_report_of_an_excused_part_is_left_out() -> None:
    table, other = make_table(), make_table()
    other.record_crash(R, "s", "u1@1", 0.0, parts=(POPULAR,))
    blame(table, (BAD,))
    assert not merge_suspect(table, POPULAR, other.by_fingerprint[POPULAR], 5.0)
    assert table.get(POPULAR, 6.0) is Suspicion.NONE


def test_end_of_a_trial_is_taken_over_from_the_vm_that_held_it() -> None:
    holder, other = make_table(), make_table()
    crash(holder, R, (BAD,), "u0@1", 0.0)
    holder.begin_trial(BAD, 3_000.0)
    report = holder.by_fingerprint[BAD]
    report.told_by = "10.0.0.1:1"
    merge_suspect(other, BAD, report, 1.0)
    assert other.trial_left_ms(BAD, 2.0) > 0.0
    holder.end_trial(BAD)
    merge_suspect(other, BAD, report, 3.0)
    assert other.trial_left_ms(BAD, 4.0) == 0.0


# Guards against two VMs that each believe the other one's trial goes on, as both begin
# one before they hear of each other.
def test_trials_that_two_vms_begin_at_once_both_end() -> None:
    tables = [make_table(), make_table()]
    for table in tables:
        crash(table, R, (BAD,), "u0@1", 0.0)
        table.begin_trial(BAD, 3_000.0)
    reports = [replace(table.by_fingerprint[BAD]) for table in tables]
    for number, table in enumerate(tables):
        reports[1 - number].told_by = f"10.0.0.{1 - number}:1"
        reports[1 - number].trial_until_ms += 1.0
        merge_suspect(table, BAD, reports[1 - number], 1.0)
    for table in tables:
        assert table.by_fingerprint[BAD].trial_by == ""
        table.end_trial(BAD)
        assert table.trial_left_ms(BAD, 2.0) == 0.0

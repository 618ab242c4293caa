"""Test cuminstile.records.verdicts."""

from cuminstile.objects.collection import index_objects
from cuminstile.records.client import Record
from cuminstile.records.verdicts import (
    RECORD_CODEC,
    Verdict,
    VerdictRecord,
    VerdictState,
    settled_version,
)
from trials.behaviours import good
from trials.moves import Plan, objects_of
from trials.setting import NEW, OLD


def verdict(
    number: int, kind: Verdict, in_use: str = NEW, start_ms: int = 0
) -> VerdictRecord:
    return VerdictRecord(
        1, number, f"n{kind}", kind, in_use, "why", "vm", f"m{number}", "generate",
        OLD, NEW, start_ms, start_ms + 1,
    )  # fmt: skip


def record(offset: int, item: VerdictRecord) -> Record:
    return Record(offset, 5_000, RECORD_CODEC.encode(item))


def test_first_verdict_in_the_log_counts() -> None:
    state = VerdictState()
    assert state.apply(record(0, verdict(1, Verdict.TAKEN_BACK))) is not None
    assert state.apply(record(1, verdict(1, Verdict.DONE))) is None
    assert state.of(1) == Verdict.TAKEN_BACK


def test_verdict_in_the_log_overrides_one_from_a_peer() -> None:
    state = VerdictState()
    assert state.apply_from_peer(verdict(1, Verdict.DONE))
    assert state.apply(record(0, verdict(1, Verdict.TAKEN_BACK))) is not None
    assert not state.apply_from_peer(verdict(1, Verdict.DONE))
    assert state.of(1) == Verdict.TAKEN_BACK


def test_copy_renews_a_verdict_and_changes_nothing() -> None:
    state = VerdictState()
    state.apply(record(0, verdict(1, Verdict.DONE)))
    copy = Record(9, 700_000, RECORD_CODEC.encode(verdict(1, Verdict.DONE)))
    assert state.apply(copy) is None
    assert state.by_number[1].written_ms == 700_000
    assert state.by_number[1].offset == 0


def settled(*records: VerdictRecord) -> str:
    state = VerdictState()
    for offset, item in enumerate(records):
        state.apply(record(offset, item))
    objects = index_objects(objects_of(Plan(good(), good())))
    return settled_version(objects, state.by_number.values(), "generate")


def test_stage_uses_the_version_of_its_latest_move_in_any_log_order() -> None:
    first = verdict(1, Verdict.DONE, NEW, start_ms=10)
    second = verdict(2, Verdict.TAKEN_BACK, OLD, start_ms=20)
    assert settled(first) == NEW
    assert settled(first, second) == settled(second, first) == OLD


def test_version_that_the_objects_lack_is_not_used() -> None:
    gone = verdict(3, Verdict.DONE, "generate-0", start_ms=30)
    assert settled(verdict(1, Verdict.DONE, NEW, start_ms=10), gone) == NEW

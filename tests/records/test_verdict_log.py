"""Test cuminstile.records.verdict_log."""

from cuminstile.const import CONFIG_RENEWAL_INTERVAL_MS, MOVE_STREAM
from cuminstile.events import Event
from cuminstile.records.verdict_log import read_verdicts
from cuminstile.records.verdicts import Verdict
from trials.behaviours import failing, good
from trials.moves import Plan, Trial


def test_malformed_record_is_skipped_and_logged() -> None:
    trial = Trial(Plan(failing(1.0), good(), duration_ms=60_000), 1)
    trial.platform.append_now(MOVE_STREAM, b"\xff nothing")
    trial.run_to(1.05)
    assert trial.verdict() == Verdict.TAKEN_BACK
    for vm in trial.vms:
        refused = [
            item for item in vm.journal.ring if item.event == Event.MOVE_VERDICT_REFUSED
        ]
        assert len(refused) == 1


def test_verdict_is_copied_before_it_is_trimmed() -> None:
    trial = Trial(Plan(failing(1.0), good(), duration_ms=60_000), 1)
    trial.run_to(1.05)
    first = len(trial.platform.streams[MOVE_STREAM])
    trial.run_for_ms(CONFIG_RENEWAL_INTERVAL_MS)
    assert len(trial.platform.streams[MOVE_STREAM]) > first
    trial.platform.trim(MOVE_STREAM, first)
    late = trial.add_vm("vm-0-9", "dc0")
    for vm in trial.vms:
        late.sessions.by_name.pop(vm.settings.name, None)
        vm.sessions.by_name.pop("vm-0-9", None)
    trial.run_for_ms(1_000)
    assert (
        late.traffic.verdicts.of(next(iter(trial.decided_moves())))
        == Verdict.TAKEN_BACK
    )


async def test_reading_continues_after_a_gap() -> None:
    trial = Trial(Plan(good(), good()), 1)
    for _ in range(5):
        trial.platform.append_now(MOVE_STREAM, b"x")
    trial.platform.trim(MOVE_STREAM, 3)
    vm = trial.vms[0]
    for _ in range(3):
        await read_verdicts(vm, 0)
    assert vm.traffic.verdicts.next_offset == 5
    assert vm.traffic.verdicts.caught_up

"""Test cuminstile.vm.move_exchange."""

from cuminstile.moves import move_number
from cuminstile.records.verdicts import Verdict
from cuminstile.vm.messages import CODEC, MoveStep, MoveVerdict
from cuminstile.vm.move_exchange import on_move_step, on_move_verdict
from trials.behaviours import failing, good
from trials.moves import Plan, Trial

# Half of what heartbeats (1.4 KB/s) leave of the control budget of 4 KB/s.
BYTES_PER_S = 1_300.0
TARGET_VMS = 20
FRAME_BYTES = 8


def test_move_stays_within_the_control_budget_in_a_large_data_centre() -> None:
    routes = tuple(f"route-{index}" for index in range(10))
    plan = Plan(good(), good(), 200.0, 20_000, (TARGET_VMS,), routes=routes)
    trial = Trial(plan, 1)
    trial.run_to(0.1)
    before = trial.sent_by("vm-0-0")
    trial.run_to(0.9)
    sent = trial.sent_by("vm-0-0")
    seconds = 0.8 * 20.0
    total = sent.count_bytes - before.count_bytes
    total += FRAME_BYTES * (sent.messages - before.messages)
    assert total / seconds < BYTES_PER_S


def test_new_vm_gets_the_verdict_from_peers_while_the_platform_is_unavailable() -> None:
    trial = Trial(Plan(failing(1.0), good(), duration_ms=60_000), 1)
    trial.run_to(1.05)
    late = trial.add_vm("vm-0-9", "dc0")
    trial.platform.unavailable_vms.add("vm-0-9")
    trial.run_for_ms(1_000)
    assert late.traffic.verdicts.of(move_number(trial.move)) == Verdict.TAKEN_BACK


def test_new_vm_starts_no_move_before_it_knows_past_decisions() -> None:
    trial = Trial(Plan(good(), good(), duration_ms=60_000), 1)
    trial.run_to(0.5)
    late = trial.add_vm("vm-1-9", "dc1")
    trial.platform.unavailable_vms.add("vm-1-9")
    for vm in trial.vms:
        late.sessions.by_name.pop(vm.settings.name, None)
        vm.sessions.by_name.pop("vm-1-9", None)
    trial.run_to(0.9)
    assert not late.traffic.moves


async def test_step_out_of_range_is_clamped_and_a_malformed_verdict_refused() -> None:
    trial = Trial(Plan(good(), good(), duration_ms=60_000), 1)
    trial.run_to(0.05)
    vm = trial.vms[0]
    session = next(iter(vm.sessions.by_name.values()))
    number = move_number(trial.move)
    await on_move_step(vm, session, MoveStep(number, 1_000, False, ""))
    assert vm.traffic.moves[number].share(trial.clock.wall_ms()) == 1.0
    await on_move_verdict(vm, session, MoveVerdict(b"\x00"))
    assert vm.traffic.verdicts.of(number) == Verdict.NONE


def test_decision_received_before_its_move_is_known_is_stored() -> None:
    trial = Trial(Plan(failing(1.0), good(), duration_ms=60_000), 1)
    vm = trial.vms[0]
    number = move_number(trial.move)
    data = CODEC.encode(MoveStep(number, 0, True, "bad"))
    trial.deliver(vm, data)
    trial.run_to(0.5)
    assert trial.reason() == "bad"
    assert not trial.call_times.new_at_ms

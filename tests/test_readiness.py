"""Test cuminstile.readiness: a joining VM gets no requests before it is ready."""

from cuminstile.clock import VirtualClock
from cuminstile.readiness import CONNECT_LIMIT_MS, unready_reason
from cuminstile.runtime import Vm
from cuminstile.upstream.leases import ABSTENTION_VALID_MS, LEASE_MS, reset_leases
from cuminstile.upstream.peer_probes import Probe, ProbeResult

from .fakes.objects import single_stage_objects
from .fakes.vms import make_test_vm, set_configuration


def make_joining_vm() -> Vm:
    """Return a VM that has just started while another VM is listed."""
    vm = make_test_vm("vm-a", "a")
    vm.clock = VirtualClock(at_ms=10_000.0)
    vm.members.add("vm-b", "a", "127.0.0.1:1")
    set_configuration(vm, single_stage_objects({"gen-a": "127.0.0.1:2"}))
    reset_leases(vm)
    return vm


def advance_clock_ms(vm: Vm, duration_ms: float) -> None:
    vm.clock.at_ms += duration_ms  # type: ignore[attr-defined]


def test_vm_without_configuration_is_not_ready():
    vm = make_joining_vm()
    vm.members.by_name.clear()
    assert unready_reason(vm) == ""
    vm.configuration.current = None
    assert unready_reason(vm) == "no configuration"


def test_vm_that_joins_an_older_one_waits_until_it_can_hold_leases():
    vm = make_joining_vm()
    vm.members.mark_seen("vm-b", vm.clock.now_ms())
    assert unready_reason(vm) == "joining"
    advance_clock_ms(vm, LEASE_MS)
    assert unready_reason(vm) == ""


def test_vm_is_ready_at_once_if_all_others_are_recently_started():
    vm = make_joining_vm()
    vm.members.mark_seen("vm-b", vm.clock.now_ms())
    vm.leases.recently_started_until_ms["vm-b"] = (
        vm.clock.now_ms() + ABSTENTION_VALID_MS
    )
    assert unready_reason(vm) == ""


def test_vm_is_ready_at_once_if_all_others_are_dead():
    vm = make_joining_vm()
    assert unready_reason(vm) == "joining"
    probe = Probe(ProbeResult.REFUSED, vm.clock.now_ms())
    vm.leases.probes.by_name["vm-b"] = probe
    assert unready_reason(vm) == ""


def test_vm_waits_for_its_first_sessions_but_not_forever():
    vm = make_joining_vm()
    advance_clock_ms(vm, LEASE_MS)
    assert unready_reason(vm) == "connecting"
    advance_clock_ms(vm, CONNECT_LIMIT_MS)
    assert unready_reason(vm) == ""


def test_vm_stays_ready_when_a_session_ends():
    vm = make_joining_vm()
    vm.members.mark_seen("vm-b", vm.clock.now_ms())
    advance_clock_ms(vm, LEASE_MS)
    assert "vm-b" not in vm.sessions.by_name
    assert unready_reason(vm) == ""

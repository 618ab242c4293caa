"""Test cuminstile.operator.upstreams."""

import dataclasses

from cuminstile.commands.survey import merge_upstreams
from cuminstile.crash_limits import SUSPICION_VALID_MS, Suspicion
from cuminstile.objects.model import DataCentre, DataCentreState
from cuminstile.operator.report import (
    StatusReport,
    UpstreamReport,
    UpstreamStatus,
    VmReport,
    VmState,
)
from cuminstile.operator.status import make_status
from cuminstile.operator.upstreams import MAX_SHOWN_QUARANTINES, upstreams_reporter
from cuminstile.runtime import Vm
from cuminstile.upstream.table import Condition, UpstreamState
from tests.fakes.objects import single_stage_objects
from tests.fakes.virtual import make_platform, make_test_vm
from tests.fakes.vms import set_configuration

ADDRESSES = {"one-a": "127.0.0.1:1", "two-a": "127.0.0.1:2", "one-b": "127.0.0.1:3"}
OBJECTS = single_stage_objects(ADDRESSES)


def make_one() -> Vm:
    """Return a VM of data centre a whose upstream one-a is warm."""
    vm = make_test_vm("vm1", make_platform(), data_centre="a")
    set_configuration(vm, OBJECTS)
    state = known(vm, "one-a")
    state.condition, state.evidence_ms = Condition.WARM, 0.0
    return vm


def known(vm: Vm, name: str) -> UpstreamState:
    """Return the VM's state of an upstream."""
    return vm.upstreams.state_of(vm.objects.upstreams[name])


def codes(vm: Vm) -> list[tuple[str, str]]:
    """Return the code and subject of each problem of the upstreams."""
    problems = upstreams_reporter(vm)().problems
    return [(item.code.value, item.subject) for item in problems]


async def test_upstreams_of_the_same_data_centre_are_reported() -> None:
    vm = make_one()
    known(vm, "one-a").calls[0] = 0.0
    status = make_status(vm, (upstreams_reporter(vm),))
    found = [(item.name, item.state, item.in_flight) for item in status.upstreams]
    assert found == [("one-a", "warm", 1), ("two-a", "unknown", 0)]
    assert status.problems == ()


async def test_an_upstream_with_only_a_load_report_is_not_unknown() -> None:
    vm = make_one()
    known(vm, "two-a").reported_ms = 0.0
    assert codes(vm) == [("upstream_cold", "two-a")]


async def test_cold_ejected_and_unavailable_upstreams_are_problems() -> None:
    vm = make_one()
    state = known(vm, "one-a")
    state.condition = Condition.COLD
    assert codes(vm) == [("upstream_cold", "one-a")]
    state.ejected_until_ms = vm.clock.now_ms() + 1.0
    assert codes(vm) == [("upstream_ejected", "one-a")]
    state.condition = Condition.UNAVAILABLE
    assert codes(vm) == [("upstream_away", "one-a")]


async def test_cold_upstreams_are_no_problem_while_the_data_centre_is_out() -> None:
    vm = make_one()
    known(vm, "one-a").condition = Condition.COLD
    out = [
        dataclasses.replace(item, state=DataCentreState.OUT)
        if isinstance(item, DataCentre) and item.name == "a"
        else item
        for item in OBJECTS
    ]
    set_configuration(vm, tuple(out), 1)
    assert codes(vm) == []


async def test_quarantined_requests_are_problems_while_they_are_refused() -> None:
    vm = make_one()
    now_ms = vm.clock.now_ms()
    for number in range(MAX_SHOWN_QUARANTINES + 1):
        vm.crashes.put(bytes([number] * 16), Suspicion.QUARANTINED, now_ms)
    vm.crashes.put(b"s" * 16, Suspicion.SUSPECTED, now_ms)
    assert codes(vm)[0] == ("request_quarantined", "request 000000000000")
    assert len(codes(vm)) == MAX_SHOWN_QUARANTINES
    await vm.clock.advance_ms(SUSPICION_VALID_MS)  # type: ignore[attr-defined]
    assert codes(vm) == []


def merged(*statuses: UpstreamStatus) -> UpstreamReport:
    """Return the merged report on one upstream to which each VM gives a status."""
    vm = VmReport("vm1", "a", "i", VmState.LIVE, 0)
    reports = [
        StatusReport(True, 0, (), vm, (vm,), (UpstreamReport("u", "a", item, 1, 2),))
        for item in statuses
    ]
    (found,) = merge_upstreams(reports)
    return found


def test_the_worst_status_that_vms_report_is_shown() -> None:
    unknown, warm = UpstreamStatus.UNKNOWN, UpstreamStatus.WARM
    assert merged(warm, unknown).state is warm
    assert merged(UpstreamStatus.COLD, warm).state is UpstreamStatus.COLD
    assert (merged(warm, warm).in_flight, merged(warm, warm).limit) == (2, 4)

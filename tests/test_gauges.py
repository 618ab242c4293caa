"""Test cuminstile.gauges."""

from typing import Any, cast

import anyio

from cuminstile.gauges import update_gauges
from cuminstile.queueing import Ticket, Waiter, WaitQueue
from cuminstile.records.follow import record_in_force
from cuminstile.runtime import Vm
from cuminstile.upstream.table import Condition
from cuminstile.upstream.waiting import skip_release
from cuminstile.vm.messages import Heartbeat, StageDone
from cuminstile.vm.sessions import Session, registered
from tests.fakes.bookings import Cluster
from tests.fakes.objects import single_stage_objects
from tests.fakes.virtual import make_platform, make_test_vm
from tests.fakes.vms import set_configuration

OBJECTS = single_stage_objects({"one-a": "127.0.0.1:1", "two-a": "127.0.0.1:2"})


class Sink:
    """Connection that discards what a session sends."""

    async def send(self, data: bytes) -> None:
        """Discard the data."""


def make_configured_vm() -> Vm:
    vm = make_test_vm("vm1", make_platform(), data_centre="a")
    set_configuration(vm, OBJECTS, 7)
    record_in_force(vm)
    return vm


def value(vm: Vm, name: str, **labels: str) -> Any:
    """Return the current value of one metric."""
    update_gauges(vm)
    return getattr(vm.metrics, name).get(labels)


def make_session(vm: Vm, name: str) -> Session:
    return Session(name, "a", "i", cast(Any, Sink()), cast(Any, None), 0.0)


async def test_config_age_counts_from_when_the_version_came_into_force() -> None:
    vm = make_configured_vm()
    await vm.clock.advance_ms(500.0)  # type: ignore[attr-defined]
    record_in_force(vm)
    assert value(vm, "config_version") == 7
    assert value(vm, "config_age_ms") == 500.0
    set_configuration(vm, OBJECTS, 8)
    record_in_force(vm)
    assert value(vm, "config_age_ms") == 0.0


async def test_platform_outage_lasts_until_the_platform_answers() -> None:
    vm = make_configured_vm()
    vm.platform_unavailable_since_ms = vm.clock.now_ms()
    await vm.clock.advance_ms(300.0)  # type: ignore[attr-defined]
    assert value(vm, "platform_away_ms") == 300.0
    vm.platform_unavailable_since_ms = None
    assert value(vm, "platform_away_ms") == 0.0


async def test_upstreams_are_counted_in_each_state() -> None:
    vm = make_configured_vm()
    state = vm.upstreams.state_of(vm.objects.upstreams["one-a"])
    state.condition, state.evidence_ms = Condition.WARM, 0.0
    assert value(vm, "upstreams", state="warm") == 1
    assert value(vm, "upstreams", state="unknown") == 1
    state.condition = Condition.UNAVAILABLE
    assert value(vm, "upstreams", state="warm") == 0
    assert value(vm, "upstreams", state="away") == 1


async def test_waiting_calls_are_counted_by_version() -> None:
    vm = make_configured_vm()
    wait_queue: WaitQueue[Any] = WaitQueue(vm.clock, 8, skip_release)
    vm.wait_queue.by_version["generate-1"] = wait_queue
    assert value(vm, "waiting_calls", version="generate-1") == 0
    wait_queue.waiting.append(Waiter(Ticket("org", 1, 0.0, 0.0), 0, lambda: None))
    assert value(vm, "waiting_calls", version="generate-1") == 1


async def test_control_bytes_outlast_their_session_and_exclude_calls() -> None:
    vm = make_configured_vm()
    vm.members.add("vm2", "a", "127.0.0.1:3")
    session = make_session(vm, "vm2")
    async with registered(vm, session):
        assert value(vm, "sessions", data_centre="a") == 1
        await session.send(Heartbeat(1, 0, 7, False))
        control = session.sent_bytes
        await session.send(StageDone(0, "x", "v", "u", "a", "vm1", 1, 0.0))
        assert session.sent_bytes > control > 0
        assert value(vm, "control_sent_bytes_total") == control
    assert value(vm, "sessions", data_centre="a") == 0
    assert value(vm, "control_sent_bytes_total") == control


async def test_claims_are_counted_by_result() -> None:
    async with anyio.create_task_group() as tasks:
        cluster = Cluster(tasks)
        one = (await cluster.start("a1", "a")).vm
        other = (await cluster.start("a2", "a")).vm
        set_configuration(one, OBJECTS)
        call = cluster.call("k")
        for vm in (one, other):
            tasks.start_soon(cluster.send, vm.settings.name, call)
        await cluster.clock.advance_ms(10.0)
        assert value(one, "claims_unrecorded") == 1
        await cluster.clock.advance_ms(2_000.0)
        results = [
            [
                vm.metrics.claims_total.values.get({"result": result}, 0)
                for vm in (one, other)
            ]
            for result in ("first", "given_up", "replayed")
        ]
        assert sorted(results[0]) == [0, 1]
        assert results[0] == results[1][::-1] == results[2][::-1]
        assert value(one, "claims_unrecorded") == 0
        assert value(one, "claims_streams") >= 1
        assert value(one, "claims_appends_total") >= 2
        assert value(one, "claims_appended_bytes_total") >= 100
        tasks.cancel_scope.cancel()

"""Test cuminstile.upstream.orders on a virtual clock, with fake engines."""

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from typing import Any

import anyio
import httpcore

from cuminstile.attempts import local_upstreams
from cuminstile.calls import StageCall
from cuminstile.const import ORDER_STREAM
from cuminstile.events import Event
from cuminstile.objects.model import TrafficMove, Upstream, UpstreamVersion
from cuminstile.runtime import Vm
from cuminstile.upstream.orders import (
    ORDER_REPEAT_MS,
    ORDER_SEND_LIMIT_MS,
    ORDER_VALID_MS,
    UNLOAD_AFTER_MS,
    OrderResult,
    run_order_loop,
)
from tests.fakes.objects import single_stage_objects
from tests.fakes.platform import FakePlatform
from tests.fakes.virtual import make_platform, make_test_vm
from tests.fakes.vms import set_configuration


@dataclass
class Engine:
    """A fake engine that gets the orders instead of a VM's upstream pool.

    Parameters
    ----------
    accepted : list of tuple
        Time in ms, fencing number, order and version of each accepted order.
    """

    platform: FakePlatform
    checks: bool = False
    highest: int = -1
    accepted: list[tuple[float, int, str, str]] = field(default_factory=list)

    async def request(
        self, method: str, address: str, path: str, **options: Any
    ) -> httpcore.Response:
        """Accept an order, unless the engine checks its number and has a newer one."""
        await options["extensions"]["trace"]("http11.send_request_headers.started", {})
        body = json.loads(options["content"])
        if self.checks and body["fencing"] < self.highest:
            return httpcore.Response(409, content=b"{}")
        self.highest = max(self.highest, body["fencing"])
        now_ms = self.platform.clock.now_ms()
        self.accepted.append((now_ms, body["fencing"], body["order"], body["version"]))
        return httpcore.Response(200, content=b"{}")


def make_vms(engine: Engine, count: int = 1, checks: bool = False) -> list[Vm]:
    """Return VMs without sessions between them, which all order the same engine."""
    versions = ("generate-1", "generate-2")
    objects = tuple(
        replace(item, versions=versions, checks_fencing=checks)
        if isinstance(item, Upstream)
        else item
        for item in single_stage_objects({"gen-a": "127.0.0.1:9"})
    )
    later = UpstreamVersion("upstream_version", "generate-2", "generate", "weights-2")
    engine.checks = checks
    vms = [
        make_test_vm(f"vm-{number}", engine.platform, data_centre="a")
        for number in range(count)
    ]
    for vm in vms:
        vm.upstream_pool = engine  # type: ignore[assignment]
        set_configuration(vm, (*objects, later))
    return vms


def report(vm: Vm, *versions: str) -> None:
    """Apply a report that lists the loaded versions at a VM."""
    state = vm.upstreams.state_of(vm.objects.upstreams["gen-a"])
    state.loaded.apply_report(frozenset(versions), "process-1", vm.clock.now_ms())


@asynccontextmanager
async def ordering(*vms: Vm) -> AsyncIterator[None]:
    """Run the order loops of the VMs until the block ends."""
    async with anyio.create_task_group() as tasks:
        for vm in vms:
            tasks.start_soon(run_order_loop, vm)
        yield
        tasks.cancel_scope.cancel()


async def pass_time(engine: Engine, duration_ms: float, *vms: Vm) -> None:
    """Advance the time while the reports of the engine stay the same."""
    clock = engine.platform.clock
    for _ in range(int(duration_ms / 500.0)):
        for vm in vms:
            state = vm.upstreams.state_of(vm.objects.upstreams["gen-a"])
            report(vm, *state.loaded.versions)
        await clock.advance_ms(500.0)


async def test_missing_version_is_ordered_once_with_its_records_offset() -> None:
    engine = Engine(make_platform())
    engine.platform.put(ORDER_STREAM, b"no record of ours")
    (vm,) = make_vms(engine)
    report(vm, "generate-1")
    async with ordering(vm):
        await pass_time(engine, ORDER_REPEAT_MS - 1_000.0, vm)
        orders = [order[1:] for order in engine.accepted]
        assert orders == [(1, "load", "generate-2")]
        assert engine.platform.weights == ["weights-2"]
        await pass_time(engine, 2_000.0, vm)
    assert len(engine.accepted) == 2
    refused = [
        item for item in vm.journal.ring if item.event is Event.ORDER_RECORD_REFUSED
    ]
    assert len(refused) == 1


async def test_the_version_that_a_move_needs_soonest_is_loaded_first() -> None:
    engine = Engine(make_platform())
    (vm,) = make_vms(engine)
    objects = [*vm.objects.upstreams.values(), *vm.objects.versions.values()]
    move = TrafficMove(
        kind="traffic_move", name="m", stage="generate", from_version="generate-1",
        to_version="generate-2", start_at_ms=0, finish_by_ms=1,
    )  # fmt: skip
    set_configuration(vm, (*single_stage_objects({}), *objects, move))
    report(vm, "something-else")
    async with ordering(vm):
        await pass_time(engine, 500.0, vm)
    assert [order[3] for order in engine.accepted] == ["generate-2", "generate-1"]


async def test_upstream_without_fencing_gets_orders_of_one_vm_at_a_time() -> None:
    engine = Engine(make_platform())
    vms = make_vms(engine, count=3)
    for vm in vms:
        report(vm, "generate-1")
    async with ordering(*vms):
        await pass_time(engine, 20_000.0, *vms)
    times = [order[0] for order in engine.accepted]
    gaps = [later - first for first, later in zip(times, times[1:], strict=False)]
    assert len(times) >= 2
    assert min(gaps) >= ORDER_VALID_MS - ORDER_SEND_LIMIT_MS


async def test_a_vm_frozen_after_its_announcement_sends_nothing() -> None:
    engine = Engine(make_platform())
    (vm,) = make_vms(engine)
    report(vm, "generate-1")
    append = engine.platform.append

    async def append_and_freeze(stream: str, payload: bytes) -> int:
        offset = await append(stream, payload)
        engine.platform.clock.at_ms += ORDER_SEND_LIMIT_MS
        return offset

    engine.platform.append = append_and_freeze  # type: ignore[method-assign]
    async with ordering(vm):
        await pass_time(engine, 500.0, vm)
    assert engine.accepted == []
    given = [item for item in vm.journal.ring if item.event is Event.ORDER_GIVEN]
    assert [item.fields["result"] for item in given] == [OrderResult.NOT_SENT]


async def test_upstream_with_fencing_refuses_the_older_order() -> None:
    engine = Engine(make_platform())
    vms = make_vms(engine, count=1, checks=True)
    report(vms[0], "generate-1")
    engine.highest = 7
    async with ordering(*vms):
        await pass_time(engine, 500.0, *vms)
    given = [item for item in vms[0].journal.ring if item.event is Event.ORDER_GIVEN]
    assert [item.fields["result"] for item in given] == [OrderResult.OLD_FENCING]
    assert engine.accepted == []


async def test_orders_wait_for_the_platform_and_for_the_weight_store() -> None:
    engine = Engine(make_platform())
    (vm,) = make_vms(engine)
    engine.platform.is_unavailable = True
    report(vm, "generate-1")
    async with ordering(vm):
        await pass_time(engine, 5_000.0, vm)
        assert engine.accepted == []
        engine.platform.is_unavailable = False
        engine.platform.weights_wait_ms = 4_000
        await pass_time(engine, 3_000.0, vm)
        assert engine.accepted == []
        assert len(engine.platform.weights) == 1
        engine.platform.weights_wait_ms = 0
        await pass_time(engine, 6_000.0, vm)
    assert len(engine.accepted) == 1


async def test_undeclared_version_is_unloaded_after_a_delay() -> None:
    engine = Engine(make_platform())
    (vm,) = make_vms(engine)
    report(vm, "generate-1", "generate-2", "generate-0")
    async with ordering(vm):
        await pass_time(engine, UNLOAD_AFTER_MS - 500.0, vm)
        assert engine.accepted == []
        await pass_time(engine, 1_000.0, vm)
    assert [order[2:] for order in engine.accepted] == [("unload", "generate-0")]


def test_calls_skip_an_upstream_that_lacks_their_version() -> None:
    engine = Engine(make_platform())
    (vm,) = make_vms(engine)
    call = StageCall(
        request="r", organisation="org", pipeline="chat", step="g", stage="generate",
        version="generate-2", input={}, stream=False, priority=0, deadline_ms=1e12,
    )  # fmt: skip
    assert len(local_upstreams(vm, call, [])) == 1
    report(vm, "generate-1")
    assert local_upstreams(vm, call, []) == []
    assert len(local_upstreams(vm, replace(call, version="generate-1"), [])) == 1
    # A VM that does not poll the upstream learns it from a refusal, and retries later.
    state = vm.upstreams.state_of(vm.objects.upstreams["gen-a"])
    state.loaded.apply_report(frozenset(), "process-1", vm.clock.now_ms())
    state.loaded.record_missing("generate-2", vm.clock.now_ms())
    assert local_upstreams(vm, call, []) == []
    vm.clock.at_ms += 1_000.0  # type: ignore[attr-defined]
    assert len(local_upstreams(vm, call, [])) == 1

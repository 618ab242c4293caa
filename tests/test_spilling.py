"""Test cuminstile.spilling over real sessions in one process."""

from dataclasses import replace
from typing import Any

import anyio
import pytest
from anyio.abc import SocketStream

from cuminstile.calls import RunTrace, StageCall, drop_tokens
from cuminstile.exceptions import CuminstileError, ErrorCode
from cuminstile.objects.model import AnyObject, Upstream
from cuminstile.runtime import Vm
from cuminstile.settings import LimitSettings
from cuminstile.stages import run_stage
from cuminstile.upstream.table import Condition
from cuminstile.vm.messages import RunStage

from .fakes.objects import single_stage_objects
from .fakes.upstreams import send_json, upstream
from .fakes.vms import connected, make_test_vm, set_configuration

WORK_S = 0.4


def make_call(vm: Vm, number: int, deadline_ms: float = 4_000.0) -> StageCall:
    return StageCall(
        request=f"r{number}",
        organisation="org",
        pipeline="chat",
        step="g",
        stage="generate",
        version="generate-1",
        input={},
        stream=False,
        priority=0,
        deadline_ms=vm.clock.now_ms() + deadline_ms,
    )


async def work(body: dict[str, Any], stream: SocketStream) -> None:
    await anyio.sleep(WORK_S)
    answer = {"attempt": body["attempt"], "output": "done", "state": "warm"}
    await send_json(stream, 200, {**answer, "incarnation": "i"})


def one_slot_each(**addresses: str) -> tuple[AnyObject, ...]:
    """Return objects whose upstreams have a capacity of one call each."""
    named = {f"gen-{name}": address for name, address in addresses.items()}
    return tuple(
        replace(item, capacity=1) if isinstance(item, Upstream) else item
        for item in single_stage_objects(named)
    )


def warm_up(vm: Vm) -> None:
    """Mark the upstreams of a VM's data centre as warm on this VM."""
    for item in vm.objects.upstreams.values():
        if item.data_centre == vm.settings.data_centre:
            state = vm.upstreams.state_of(item)
            state.condition = Condition.WARM
            state.limit = 1.0


async def run_many(vm: Vm, count: int, deadline_ms: float = 4_000.0) -> list[Any]:
    """Run calls concurrently; return the data centre or error code of each."""
    results: list[Any] = []

    async def one(number: int) -> None:
        call = make_call(vm, number, deadline_ms)
        try:
            outcome = await run_stage(vm, call, RunTrace(), drop_tokens, True)
            results.append(outcome.data_centre)
        except CuminstileError as error:
            results.append(error.code)

    async with anyio.create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(one, number)
    return results


@pytest.mark.parametrize(("spill", "expected_s"), [(True, WORK_S), (False, 2 * WORK_S)])
async def test_work_goes_where_a_slot_is_free_instead_of_waiting(
    spill: bool, expected_s: float
) -> None:
    limits = LimitSettings(spill=spill)
    near = make_test_vm("vm-a1", "a", limits=limits)
    far = make_test_vm("vm-b1", "b", limits=limits)
    async with upstream(work) as here, upstream(work) as there, connected(near, far):
        for vm in (near, far):
            set_configuration(vm, one_slot_each(a=here.address, b=there.address))
            warm_up(vm)
        started_ms = near.clock.now_ms()
        results = await run_many(near, 2)
        elapsed_s = (near.clock.now_ms() - started_ms) / 1_000.0
    assert sorted(results) == (["a", "b"] if spill else ["a", "a"])
    assert expected_s <= elapsed_s < expected_s + WORK_S


@pytest.mark.parametrize("pause_s", [0.0, 0.025])
async def test_full_places_are_not_asked_over_and_over(pause_s: float) -> None:
    near = make_test_vm("vm-a1", "a")
    far = make_test_vm("vm-b1", "b")
    asked: list[RunStage] = []
    original = far.handlers[RunStage]

    async def count(vm: Vm, session: Any, message: RunStage) -> None:
        asked.append(message)
        await original(vm, session, message)

    far.handlers[RunStage] = count
    async with upstream(work) as here, upstream(work) as there, connected(near, far):
        for vm in (near, far):
            set_configuration(vm, one_slot_each(a=here.address, b=there.address))
            warm_up(vm)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_many, far, 8)
            await anyio.sleep(0.05)
            async with anyio.create_task_group() as calls:
                for _ in range(40):
                    calls.start_soon(run_many, near, 1, 1_000.0)
                    if pause_s:
                        await anyio.sleep(pause_s)
                await anyio.sleep(max(0.0, 1.0 - 40 * pause_s))
                calls.cancel_scope.cancel()
            tasks.cancel_scope.cancel()
    # One second: one request per 100 ms, and one more before the first refusal.
    assert 0 < len(asked) <= 12


async def test_work_that_was_handed_over_never_waits() -> None:
    vm = make_test_vm("vm-a1", "a")
    async with upstream(work) as here, connected(vm):
        set_configuration(vm, one_slot_each(a=here.address))
        warm_up(vm)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_many, vm, 1)
            await anyio.sleep(0.05)
            call = replace(make_call(vm, 9), can_wait=False)
            with pytest.raises(CuminstileError) as caught, anyio.fail_after(0.1):
                await run_stage(vm, call, RunTrace(), drop_tokens, False)
            tasks.cancel_scope.cancel()
    assert caught.value.code is ErrorCode.OVERLOADED


@pytest.mark.parametrize("caller", [0, 1])
async def test_no_call_waits_for_a_cold_upstream_beside_a_free_slot(
    caller: int,
) -> None:
    here = [make_test_vm("vm-a1", "a"), make_test_vm("vm-a2", "a")]
    far = make_test_vm("vm-b1", "b")
    async with upstream(work) as near, upstream(work) as there, connected(*here, far):
        for vm in (*here, far):
            set_configuration(vm, one_slot_each(a=near.address, b=there.address))
        warm_up(far)
        # No VM has a lease for the cold upstream of data centre a yet.
        results = await run_many(here[caller], 1)
    assert results == ["b"]

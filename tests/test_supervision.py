"""Test cuminstile.supervision."""

import anyio

from cuminstile.clock import VirtualClock, settle
from cuminstile.events import Event
from cuminstile.runtime import Vm
from cuminstile.supervision import supervise

from .fakes.vms import make_test_vm


async def test_task_that_fails_is_recorded_and_started_again() -> None:
    vm = make_test_vm("vm-a1", "a")
    clock = VirtualClock()
    vm.clock = clock
    starts: list[float] = []

    async def fail_once(vm: Vm) -> None:
        starts.append(vm.clock.now_ms())
        if len(starts) == 1:
            raise ValueError("an unexpected error")
        await anyio.sleep_forever()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(supervise, vm, fail_once)
        await settle()
        await clock.advance_ms(5_000.0)
        tasks.cancel_scope.cancel()
    assert len(starts) == 2
    events = [record.event for record in vm.journal.ring]
    assert events == [Event.INTERNAL_ERROR]

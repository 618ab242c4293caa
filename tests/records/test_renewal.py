"""Test cuminstile.records.renewal."""

import anyio
import pytest

from cuminstile.const import (
    CONFIG_RENEWAL_CHECK_MS,
    CONFIG_RENEWAL_GRACE_MS,
    CONFIG_RENEWAL_INTERVAL_MS,
)
from cuminstile.objects.model import DataCentre
from cuminstile.records.config_record import RECORD_CODEC, make_record
from cuminstile.records.follow import follow_configuration, read_configuration
from cuminstile.records.renewal import append_copy, is_chosen, renew_configuration
from cuminstile.runtime import Vm

from ..fakes.platform import FakePlatform
from ..fakes.virtual import make_platform, make_test_vm


def put(platform: FakePlatform, base: int) -> int:
    objects = (DataCentre("data_centre", "dc1", "r1"),)
    return platform.put(
        "config", RECORD_CODEC.encode(make_record(base, f"n{base}", objects))
    )


async def read_all(vm: Vm) -> None:
    for _ in range(4):
        await read_configuration(vm, 0)


async def version_of_a_new_reader(platform: FakePlatform) -> int:
    """Return the version in force on a VM that starts now and has no peers."""
    vm = make_test_vm("new", platform)
    await read_all(vm)
    assert vm.configuration.head_confirmed
    return vm.configuration.version


async def test_copy_keeps_its_version_after_the_original_is_trimmed() -> None:
    platform = make_platform()
    vm = make_test_vm("vm1", platform)
    put(platform, -1)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follow_configuration, vm)
        tasks.start_soon(renew_configuration, vm)
        await platform.clock.advance_ms(CONFIG_RENEWAL_INTERVAL_MS + 3_000.0)
        assert platform.end("config") == 2
        platform.trim("config", 1)
        assert await version_of_a_new_reader(platform) == 0
        assert vm.configuration.version == 0
        await platform.clock.advance_ms(60_000.0)
        assert platform.end("config") == 2
        tasks.cancel_scope.cancel()


async def test_copies_from_two_vms_change_no_version() -> None:
    platform = make_platform()
    vms = [make_test_vm(name, platform) for name in ("vm1", "vm2")]
    put(platform, -1)
    for vm in vms:
        await read_all(vm)
    await platform.clock.advance_ms(CONFIG_RENEWAL_INTERVAL_MS + 1.0)
    assert all(is_chosen(vm) for vm in vms)
    async with anyio.create_task_group() as tasks:
        for vm in vms:
            tasks.start_soon(append_copy, vm)
    assert platform.end("config") == 3
    put(platform, 0)
    for first in (0, 1):
        platform.trim("config", first)
        assert await version_of_a_new_reader(platform) == 3
    for vm in vms:
        await read_all(vm)
    platform.trim("config", 2)
    for vm in vms:
        await read_all(vm)
        await append_copy(vm)
    assert platform.end("config") == 5
    assert await version_of_a_new_reader(platform) == 3
    for vm in vms:
        await read_all(vm)
        assert (vm.configuration.version, vm.configuration.head) == (3, 3)


async def test_copy_appended_after_a_newer_version_does_not_revert_it() -> None:
    platform = make_platform()
    vms = [make_test_vm(name, platform) for name in ("vm1", "vm2")]
    put(platform, -1)
    for vm in vms:
        await read_all(vm)
    await platform.clock.advance_ms(CONFIG_RENEWAL_INTERVAL_MS + 1.0)
    append = platform.append

    async def append_late(stream: str, payload: bytes) -> int:
        put(platform, 0)
        return await append(stream, payload)

    platform.append = append_late  # type: ignore[method-assign]
    await append_copy(vms[0])
    for vm in vms:
        await read_all(vm)
        assert vm.configuration.version == 1
    assert await version_of_a_new_reader(platform) == 1


async def test_vm_with_unconfirmed_head_writes_no_copy() -> None:
    platform = make_platform()
    vm = make_test_vm("vm1", platform)
    put(platform, -1)
    await read_all(vm)
    for base in range(3):
        put(platform, base)
    platform.trim("config", 3)
    await read_all(vm)
    assert not vm.configuration.head_confirmed
    await platform.clock.advance_ms(CONFIG_RENEWAL_INTERVAL_MS + 1.0)
    await append_copy(vm)
    assert platform.end("config") == 4


@pytest.mark.parametrize("fault", ["lost_appends", "dropped_appends"])
async def test_copy_is_written_despite_a_lost_append(fault: str) -> None:
    platform = make_platform()
    vm = make_test_vm("vm1", platform)
    put(platform, -1)
    setattr(platform, fault, 1)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follow_configuration, vm)
        tasks.start_soon(renew_configuration, vm)
        await platform.clock.advance_ms(CONFIG_RENEWAL_INTERVAL_MS + 5_000.0)
        tasks.cancel_scope.cancel()
    platform.trim("config", 1)
    assert platform.end("config") == 2
    assert await version_of_a_new_reader(platform) == 0


async def test_another_vm_writes_the_copy_if_the_chosen_one_does_not() -> None:
    platform = make_platform()
    vms = [make_test_vm(name, platform) for name in ("vm1", "vm2")]
    put(platform, -1)
    for vm, other in (vms, reversed(vms)):
        vm.members.add(other.settings.name, "dc1", other.own_address)
        vm.members.mark_seen(other.settings.name, float("inf"))
    idle = next(vm for vm in vms if not is_chosen(vm))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follow_configuration, idle)
        tasks.start_soon(renew_configuration, idle)
        await platform.clock.advance_ms(CONFIG_RENEWAL_INTERVAL_MS + 1_000.0)
        assert platform.end("config") == 1
        grace_ms = CONFIG_RENEWAL_GRACE_MS + 3 * CONFIG_RENEWAL_CHECK_MS
        await platform.clock.advance_ms(grace_ms)
        assert platform.end("config") == 2
        tasks.cancel_scope.cancel()

"""Test cuminstile.records.follow."""

from dataclasses import replace

import anyio

from cuminstile.events import Event
from cuminstile.objects.model import DataCentre
from cuminstile.records.config_record import RECORD_CODEC, ConfigRecord, make_record
from cuminstile.records.follow import (
    follow_configuration,
    list_interval_ms,
    read_configuration,
)
from cuminstile.runtime import Vm

from ..fakes.connections import CONFIG_SPREAD_LIMIT_MS
from ..fakes.virtual import make_platform, make_test_vm


def record(base: int, nonce: str = "n", name: str = "dc1") -> ConfigRecord:
    return make_record(base, nonce, (DataCentre("data_centre", name, "r1"),))


def events(vm: Vm) -> list[Event]:
    return [item.event for item in vm.journal.ring]


async def test_malformed_records_between_valid_ones_are_skipped_and_logged() -> None:
    platform = make_platform()
    vm = make_test_vm("vm1", platform)
    good = record(-1)
    newer = replace(record(0, "newer"), format=9)
    for payload in (
        RECORD_CODEC.encode(good),
        b"\xff",
        RECORD_CODEC.encode(replace(record(0), checksum="0" * 64)),
        RECORD_CODEC.encode(newer),
    ):
        platform.put("config", payload)
    for _ in range(2):
        await read_configuration(vm, 0)
    assert (vm.configuration.version, vm.configuration.head) == (0, 3)
    assert events(vm).count(Event.CONFIG_RECORD_REFUSED) == 3
    platform.put("config", RECORD_CODEC.encode(record(3)))
    await read_configuration(vm, 0)
    assert vm.configuration.version == 4


async def test_nothing_is_in_force_before_the_stream_has_been_read_to_its_end() -> None:
    platform = make_platform()
    vm = make_test_vm("vm1", platform)
    platform.put("config", RECORD_CODEC.encode(record(-1)))
    await read_configuration(vm, 0)
    assert vm.configuration.current is None
    platform.put("config", RECORD_CODEC.encode(record(0)))
    for _ in range(2):
        await read_configuration(vm, 0)
    assert vm.configuration.version == 1
    assert events(vm).count(Event.CONFIG_IN_FORCE) == 1


async def test_outage_is_logged_once_and_later_records_are_applied() -> None:
    platform = make_platform()
    vm = make_test_vm("vm1", platform)
    platform.put("config", RECORD_CODEC.encode(record(-1)))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follow_configuration, vm)
        await platform.clock.advance_ms(500.0)
        platform.is_unavailable = platform.hangs = True
        await platform.clock.advance_ms(600_000.0)
        assert vm.configuration.version == 0
        platform.is_unavailable = False
        platform.put("config", RECORD_CODEC.encode(record(0)))
        await platform.clock.advance_ms(CONFIG_SPREAD_LIMIT_MS)
        assert vm.configuration.version == 1
        tasks.cancel_scope.cancel()
    assert events(vm).count(Event.PLATFORM_LOST) == 1
    assert events(vm).count(Event.PLATFORM_BACK) == 1


async def test_trimmed_stream_continues_from_its_copy() -> None:
    platform = make_platform()
    vm = make_test_vm("vm1", platform)
    for base in range(-1, 4):
        platform.put("config", RECORD_CODEC.encode(record(base, f"n{base}")))
    copy = replace(record(3, "n3"), version=4, base=5)
    platform.put("config", RECORD_CODEC.encode(copy))
    platform.put("config", RECORD_CODEC.encode(record(4, "n4")))
    platform.trim("config", 5)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follow_configuration, vm)
        await platform.clock.advance_ms(CONFIG_SPREAD_LIMIT_MS)
        tasks.cancel_scope.cancel()
    assert (vm.configuration.version, vm.configuration.head_confirmed) == (6, True)
    assert Event.CONFIG_GAP in events(vm)


def test_long_vm_list_is_read_less_often() -> None:
    assert list_interval_ms(0) == list_interval_ms(5) == 1_000.0
    bytes_per_s = 320 * 90 / (list_interval_ms(320) / 1_000.0)
    # The list may use an eighth of a VM's control budget of 4 KB/s.
    assert bytes_per_s <= 4_000 / 8

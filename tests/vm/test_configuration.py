"""Test cuminstile.vm.configuration: VMs that send each other the configuration."""

import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace

import anyio
import pytest

from cuminstile.clock import VirtualClock
from cuminstile.events import Event
from cuminstile.objects.model import DataCentre
from cuminstile.records.config_record import RECORD_CODEC, ConfigRecord, make_record
from cuminstile.records.follow import follow_configuration
from cuminstile.runtime import Vm
from cuminstile.vm.configuration import on_config_response
from cuminstile.vm.messages import ConfigResponse

from ..fakes.connections import CONFIG_SPREAD_LIMIT_MS, FakeConnection, run_connection
from ..fakes.platform import FakePlatform
from ..fakes.virtual import make_platform, make_test_vm

STEP_MS = 50.0


def record(base: int, nonce: str = "n", name: str = "dc1") -> ConfigRecord:
    return make_record(base, nonce, (DataCentre("data_centre", name, "r1"),))


def put(platform: FakePlatform, item: ConfigRecord) -> int:
    return platform.put("config", RECORD_CODEC.encode(item))


async def wait(clock: VirtualClock, done: Callable[[], bool], limit_ms: float) -> float:
    """Advance virtual time until `done`; return how long that took."""
    started_ms = clock.now_ms()
    while not done() and clock.now_ms() - started_ms < limit_ms:
        await clock.advance_ms(STEP_MS)
    assert done(), f"not within {limit_ms} ms"
    return clock.now_ms() - started_ms


@asynccontextmanager
async def running(
    *vms: Vm, connection: FakeConnection | None = None
) -> AsyncIterator[None]:
    """Run the configuration loops of VMs, and a session over `connection`."""
    async with anyio.create_task_group() as tasks:
        if connection is not None:
            tasks.start_soon(run_connection, *vms, connection)
        for vm in vms:
            tasks.start_soon(follow_configuration, vm)
        yield
        tasks.cancel_scope.cancel()


def pair(platform: FakePlatform, far: str = "dc2") -> tuple[Vm, Vm, FakePlatform]:
    """Return a VM in each of two data centres, and the second one's platform."""
    view = platform.copy_with_own_faults()
    one = make_test_vm("vm1", platform)
    return one, make_test_vm("vm2", view, data_centre=far), view


@pytest.mark.parametrize("hangs", [False, True])
@pytest.mark.parametrize("after_ms", [0.0, 1_300.0, 2_600.0, 3_900.0, 5_200.0])
async def test_data_centre_without_the_platform_gets_the_configuration_from_a_peer(
    hangs: bool, after_ms: float
) -> None:
    platform = make_platform()
    one, other, view = pair(platform)
    put(platform, record(-1))
    async with running(one, other, connection=FakeConnection()):
        await wait(platform.clock, lambda: other.configuration.version == 0, 1_000.0)
        view.is_unavailable, view.hangs = True, hangs
        await platform.clock.advance_ms(after_ms)
        put(platform, record(0))
        await wait(
            platform.clock,
            lambda: other.configuration.version == 1,
            CONFIG_SPREAD_LIMIT_MS,
        )


async def test_vm_started_during_a_platform_outage_asks_a_peer() -> None:
    platform = make_platform()
    one, other, view = pair(platform, "dc1")
    view.is_unavailable = view.hangs = True
    put(platform, record(-1))
    async with running(one, other, connection=FakeConnection()):
        await wait(
            platform.clock,
            lambda: other.configuration.version == 0,
            CONFIG_SPREAD_LIMIT_MS,
        )
    assert other.configuration.caught_up
    assert [item.event for item in other.journal.ring].count(
        Event.CONFIG_TAKEN_FROM_PEER
    ) == 1


@pytest.mark.parametrize("seed", range(4))
async def test_peer_with_the_newest_version_is_asked(seed: int) -> None:
    platform = make_platform()
    vms = [make_test_vm(f"vm{number}", platform) for number in range(3)]
    late = make_test_vm("vm9", platform)
    late.random = random.Random(seed)
    put(platform, record(-1))
    async with running(*vms):
        await wait(platform.clock, lambda: vms[2].configuration.version == 0, 1_000.0)
    put(platform, record(0))
    async with running(vms[1]):
        await wait(platform.clock, lambda: vms[1].configuration.version == 1, 1_000.0)
    platform.is_unavailable = True
    async with anyio.create_task_group() as tasks:
        for vm in vms:
            tasks.start_soon(run_connection, vm, late, FakeConnection())
        await platform.clock.advance_ms(2_500.0)
        tasks.start_soon(follow_configuration, late)
        await platform.clock.advance_ms(STEP_MS)
        assert late.configuration.version == 1
        tasks.cancel_scope.cancel()


async def test_isolated_data_centre_keeps_its_configuration_and_catches_up() -> None:
    platform = make_platform()
    one, other, view = pair(platform)
    put(platform, record(-1))
    connection = FakeConnection()
    async with running(one, other, connection=connection):
        await wait(platform.clock, lambda: other.configuration.version == 0, 1_000.0)
        view.is_unavailable = view.hangs = connection.cut = True
        put(platform, record(0))
        await platform.clock.advance_ms(60_000.0)
        assert (one.configuration.version, other.configuration.version) == (1, 0)
        view.is_unavailable = connection.cut = False
        await wait(
            platform.clock,
            lambda: other.configuration.version == 1,
            CONFIG_SPREAD_LIMIT_MS,
        )


async def test_configuration_comes_from_a_peer_after_a_gap_without_a_copy() -> None:
    platform = make_platform()
    one, other, view = pair(platform)
    put(platform, record(-1))
    connection = FakeConnection()
    async with running(one, other, connection=connection):
        await wait(platform.clock, lambda: other.configuration.version == 0, 1_000.0)
        view.is_unavailable = connection.cut = True
        for base in range(5):
            put(platform, record(base, f"n{base}"))
        await platform.clock.advance_ms(3_000.0)
        platform.trim("config", 4)
        view.is_unavailable = connection.cut = False
        await wait(
            platform.clock,
            lambda: other.configuration.version == 5,
            CONFIG_SPREAD_LIMIT_MS,
        )
    assert other.configuration.head_confirmed


async def test_copy_that_arrives_during_a_read_skips_no_record() -> None:
    platform = make_platform()
    vm = make_test_vm("vm1", platform)
    platform.trim("config", 2)
    put(platform, record(1, "n2"))
    put(platform, record(2, "n3"))
    async with running(vm):
        await platform.clock.advance_ms(500.0)
        assert vm.configuration.version == -1
        copy = replace(record(-1), version=1, base=2)
        response = ConfigResponse(1, RECORD_CODEC.encode(copy))
        await on_config_response(vm, session_of("vm2"), response)
        put(platform, record(3, "n4"))
        await wait(
            platform.clock,
            lambda: vm.configuration.version == 4,
            CONFIG_SPREAD_LIMIT_MS,
        )


def session_of(name: str) -> object:
    """Return a stub session with what the configuration handlers use."""
    return type("NamedSession", (), {"name": name})()


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"\xff" * 9,
        RECORD_CODEC.encode(record(-1)),
        RECORD_CODEC.encode(replace(record(-1), version=3, checksum="0")),
    ],
)
async def test_malformed_copy_from_a_peer_is_refused(payload: bytes) -> None:
    vm = make_test_vm("vm1", make_platform())
    await on_config_response(vm, session_of("vm2"), ConfigResponse(3, payload))
    assert vm.configuration.head == -1
    assert vm.journal.ring[-1].event == Event.PEER_MESSAGE_REFUSED

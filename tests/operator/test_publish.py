"""Test cuminstile.operator.publish under lost responses, outages and gaps."""

from collections.abc import Awaitable, Callable

import anyio
import pytest

from cuminstile.exceptions import CuminstileError, ErrorCode, RunStatus
from cuminstile.objects.model import DataCentre
from cuminstile.operator.bodies import PublishBody
from cuminstile.operator.publish import publish
from cuminstile.records.config_record import ANY_BASE, RECORD_CODEC, make_record
from cuminstile.records.follow import read_configuration
from cuminstile.runtime import Vm

from ..fakes.platform import FakePlatform
from ..fakes.virtual import make_platform, make_test_vm
from ..objects.examples import GOOD_SET

Result = int | CuminstileError


def body(base: int, nonce: str) -> PublishBody:
    return PublishBody(base, f"nonce-{nonce}", GOOD_SET)


async def run(*calls: Callable[[], Awaitable[int]], vm: Vm) -> list[Result]:
    """Run publications concurrently while the virtual clock advances."""
    results: list[Result | None] = [None] * len(calls)

    async def one(index: int) -> None:
        try:
            results[index] = await calls[index]()
        except CuminstileError as error:
            results[index] = error

    async with anyio.create_task_group() as tasks:
        for index in range(len(calls)):
            tasks.start_soon(one, index)
        while any(result is None for result in results):
            await vm.clock.advance_ms(100.0)  # type: ignore[attr-defined]
    return [result for result in results if result is not None]


async def publish_concurrently(vm: Vm, *bodies: PublishBody) -> list[Result]:
    """Publish several bodies concurrently through one VM."""
    return await run(*(lambda one=one: publish(vm, one) for one in bodies), vm=vm)


def codes(results: list[Result]) -> list[ErrorCode]:
    return [item.code for item in results if isinstance(item, CuminstileError)]


def put(platform: FakePlatform, base: int) -> int:
    objects = (DataCentre("data_centre", "dc1", "r1"),)
    return platform.put(
        "config", RECORD_CODEC.encode(make_record(base, f"n{base}", objects))
    )


@pytest.mark.parametrize("base", [-1, ANY_BASE])
async def test_of_many_operators_with_one_base_one_wins(base: int) -> None:
    platform = make_platform()
    vm = make_test_vm("vm1", platform)
    results = await publish_concurrently(vm, *(body(base, str(n)) for n in range(5)))
    assert sum(isinstance(item, int) for item in results) == 1
    assert codes(results) == [ErrorCode.PUBLISH_CONFLICT] * 4


async def test_a_delayed_append_does_not_revert_a_newer_version() -> None:
    platform = make_platform()
    vm = make_test_vm("vm1", platform)
    held: list[bytes] = []
    append = platform.append

    async def hold_first(stream: str, payload: bytes) -> int:
        if not held:
            held.append(payload)
            platform.dropped_appends = 1
        return await append(stream, payload)

    platform.append = hold_first  # type: ignore[method-assign]
    first = await publish_concurrently(vm, body(ANY_BASE, "first"))
    second = await publish_concurrently(vm, body(0, "second"))
    platform.put("config", held[0])
    await read_configuration(vm, 0)
    assert (first, second) == ([0], [1])
    assert vm.configuration.version == 1


async def test_after_a_gap_only_a_publication_over_any_base_is_accepted() -> None:
    platform = make_platform()
    vm = make_test_vm("vm1", platform)
    for base in range(-1, 3):
        put(platform, base)
    platform.trim("config", 3)
    refused = await publish_concurrently(vm, body(2, "first"))
    assert codes(refused) == [ErrorCode.NO_CONFIGURATION]
    assert platform.end("config") == 4
    assert await publish_concurrently(vm, body(ANY_BASE, "second")) == [4]
    assert vm.configuration.head_confirmed
    assert await publish_concurrently(vm, body(4, "third")) == [5]


async def test_a_publication_is_retried_until_an_outage_ends() -> None:
    platform = make_platform()
    vm = make_test_vm("vm1", platform)
    append = platform.append

    async def fail_once(stream: str, payload: bytes) -> int:
        platform.append = append  # type: ignore[method-assign]
        platform.is_unavailable = True
        tasks.start_soon(end_outage)
        return await append(stream, payload)

    async def end_outage() -> None:
        await vm.clock.sleep_ms(5_000.0)
        platform.is_unavailable = False

    platform.append = fail_once  # type: ignore[method-assign]
    async with anyio.create_task_group() as tasks:
        assert await publish_concurrently(vm, body(-1, "first")) == [0]
    assert platform.end("config") == 1


async def test_a_long_outage_after_an_append_is_unknown_until_retried() -> None:
    platform = make_platform()
    vm, other = make_test_vm("vm1", platform), make_test_vm("vm2", platform)
    append = platform.append

    async def lose(stream: str, payload: bytes) -> int:
        platform.put(stream, payload)
        platform.is_unavailable = platform.hangs = True
        return await append(stream, payload)

    platform.append = lose  # type: ignore[method-assign]
    (error,) = await publish_concurrently(vm, body(-1, "first"))
    assert isinstance(error, CuminstileError)
    assert (error.code, error.ran) == (ErrorCode.PLATFORM_AWAY, RunStatus.UNKNOWN)
    platform.is_unavailable = False
    platform.append = append  # type: ignore[method-assign]
    assert await publish_concurrently(other, body(-1, "first")) == [0]
    assert platform.end("config") == 1

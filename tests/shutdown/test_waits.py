"""Test cuminstile.shutdown.waits."""

from __future__ import annotations

import asyncio

import pytest

from cuminstile.clock import Clock
from cuminstile.shutdown.in_progress import RequestsInProgress
from cuminstile.shutdown.schedule import ShutdownTimes
from cuminstile.shutdown.waits import ShutdownReachedError, limited_wait

pytestmark = pytest.mark.anyio
LEFT_MS = 100.0
"""Time until the last answers of the shutdown."""


def make_times(clock: Clock, left_ms: float = LEFT_MS) -> ShutdownTimes:
    now_ms = clock.now_ms()
    return ShutdownTimes(now_ms, now_ms, now_ms + left_ms, now_ms + 2 * left_ms)


async def wait_long() -> None:
    await asyncio.sleep(5.0)


@pytest.mark.parametrize("ahead_ms", [0.0, 60.0])
@pytest.mark.parametrize("began_before", [False, True])
async def test_wait_ends_before_the_last_answers(
    began_before: bool, ahead_ms: float
) -> None:
    clock, requests = Clock(), RequestsInProgress()
    times = make_times(clock)
    if not began_before:
        asyncio.get_running_loop().call_soon(requests.begin_shutdown, times)
    with pytest.raises(ShutdownReachedError):
        async with limited_wait(
            clock, requests, times if began_before else None, ahead_ms
        ):
            await wait_long()
    late_ms = clock.now_ms() - (times.answer_by_ms - ahead_ms)
    assert -5.0 <= late_ms < LEFT_MS
    assert not requests.watchers


async def test_nothing_begins_that_would_end_too_late() -> None:
    clock = Clock()
    with pytest.raises(ShutdownReachedError):
        async with limited_wait(
            clock, RequestsInProgress(), make_times(clock), LEFT_MS
        ):
            pytest.fail("began")


async def test_wait_that_may_not_be_ended_goes_on() -> None:
    clock = Clock()
    async with limited_wait(
        clock, RequestsInProgress(), make_times(clock), may_end=lambda: False
    ):
        await asyncio.sleep(2 * LEFT_MS / 1_000.0)


async def test_answer_does_not_begin_once_its_wait_is_ended() -> None:
    """Guards against an answer that begins as its wait ends, and is cut at once."""
    clock = Clock()
    ready = asyncio.get_running_loop().create_future()
    begun = False

    def may_end() -> bool:
        ready.set_result(None)
        return not begun

    with pytest.raises(ShutdownReachedError):
        async with limited_wait(
            clock, RequestsInProgress(), make_times(clock), may_end=may_end
        ):
            await ready
            begun = True
            await wait_long()
    assert not begun


async def test_cancellation_from_outside_keeps_its_kind() -> None:
    """Guards against a caller that left and is taken for a shutdown."""
    clock = Clock()

    async def wait() -> None:
        async with limited_wait(clock, RequestsInProgress(), make_times(clock)):
            await wait_long()

    task = asyncio.create_task(wait())
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


async def test_timeout_from_inside_keeps_its_kind() -> None:
    """Guards against a request that is refused for a shutdown that has not begun."""
    clock, requests = Clock(), RequestsInProgress()
    with pytest.raises(TimeoutError):
        async with limited_wait(clock, requests, None), asyncio.timeout(0.01):
            await wait_long()
    assert not requests.watchers

"""Test cuminstile.clock."""

import time

import anyio
import pytest

from cuminstile.clock import Clock, VirtualClock


async def test_advancing_wakes_sleepers_in_order() -> None:
    clock = VirtualClock()
    woken: list[tuple[str, float]] = []

    async def sleeper(name: str, duration_ms: float) -> None:
        await clock.sleep_ms(duration_ms)
        woken.append((name, clock.now_ms()))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(sleeper, "late", 20.0)
        tasks.start_soon(sleeper, "early", 10.0)
        await anyio.lowlevel.checkpoint()
        await clock.advance_ms(30.0)
    assert woken == [("early", 10.0), ("late", 20.0)]


def test_time_of_a_suspended_machine_counts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a lease or a list that looks fresh after a suspension.

    The steady clock of a machine stands still while it is suspended.
    """
    clock = Clock()
    began_ms = clock.now_ms()
    suspended_s = 5.0
    read = time.clock_gettime

    def after_suspension(clock_id: int) -> float:
        return read(clock_id) + suspended_s * (clock_id == time.CLOCK_BOOTTIME)

    monkeypatch.setattr(time, "clock_gettime", after_suspension)
    assert clock.now_ms() - began_ms >= suspended_s * 1000.0

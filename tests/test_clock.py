"""Test cuminstile.clock."""

import anyio

from cuminstile.clock import VirtualClock


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

"""Series of stops of a soak: the VMs get SIGTERM one after the other."""

from __future__ import annotations

import asyncio
import signal
from random import Random

from .callers import Caller
from .faults import Fault, Planned, change_manifest, restart
from .fleet import Fleet, SoakVm
from .observations import Signalled

GAPS_S = (0.3, 0.5, 1.0, 2.0, 3.0)
"""Times between two steps of a series."""
STOPS_EVERY = 5
"""The last of so many seeds has series of stops; all others are drawn without."""
BESIDE_STOPS = frozenset({"change_manifest", "drain_upstream", "evacuate"})
"""Planned work that ends no upstream early and refuses no sound request."""
BURST_CALLERS = 12
BURST_S = 3.0


async def stop_series(fleet: Fleet, rng: Random) -> None:
    """Stop all VMs, one or two at once, and change and load them meanwhile."""
    vms = rng.sample(fleet.vms, len(fleet.vms))
    gap_s = rng.choice(GAPS_S)
    at_once = rng.choice((1, 1, 1, 2))
    reload, change, burst = (rng.random() < 0.5 for _ in range(3))
    begin_s = rng.uniform(0.0, len(vms) * gap_s)
    async with asyncio.TaskGroup() as tasks:
        for number, vm in enumerate(vms):
            at_s = number // at_once * gap_s
            reload_s = at_s + rng.choice((-0.2, 0.2, 1.0))
            tasks.create_task(stop_later(fleet, vm, at_s))
            if reload:
                tasks.create_task(reload_later(fleet, vm, reload_s))
        if change:
            tasks.create_task(change_later(fleet, rng, begin_s))
        if burst:
            tasks.create_task(send_burst(fleet, rng, begin_s))


async def stop_later(fleet: Fleet, vm: SoakVm, after_s: float) -> None:
    """Stop a VM after a while and start it anew."""
    await asyncio.sleep(after_s)
    await restart(fleet, vm, signal.SIGTERM)


async def reload_later(fleet: Fleet, vm: SoakVm, after_s: float) -> None:
    """Let a VM reload its settings after a while."""
    await asyncio.sleep(max(0.0, after_s))
    fleet.record.add(Signalled(fleet.record.now_s(), vm.name, signal.SIGHUP.name))
    vm.send_signal(signal.SIGHUP)


async def change_later(fleet: Fleet, rng: Random, after_s: float) -> None:
    """Put a new manifest in force after a while."""
    await asyncio.sleep(after_s)
    await change_manifest(fleet, rng)


async def send_burst(fleet: Fleet, rng: Random, after_s: float) -> None:
    """Send requests of more callers for a while."""
    await asyncio.sleep(after_s)
    ends_s = min(fleet.ends_s, fleet.record.now_s() + BURST_S)
    async with asyncio.TaskGroup() as tasks:
        for number in range(BURST_CALLERS):
            vm = fleet.vms[number % len(fleet.vms)]
            name = f"b{rng.randrange(2**32):08x}"
            own = Random(f"burst {name}")
            caller = Caller(name, vm.name, vm.callers.address, fleet.record, own)
            tasks.create_task(caller.run(ends_s))


STOPS: dict[str, Fault] = {stop_series.__name__: stop_series}
"""Faults that only seeds with series of stops have."""


def has_stops(seed: int) -> bool:
    """Return whether a seed has series of stops."""
    return seed % STOPS_EVERY == STOPS_EVERY - 1


def add_series(schedule: list[Planned], seed: int, seconds: float) -> list[Planned]:
    """Return the series of stops of a seed and the planned work of its schedule."""
    kept = [planned for planned in schedule if planned.fault in BESIDE_STOPS]
    series = make_series(seed, seconds)
    return sorted([*kept, *series], key=lambda planned: planned.at_s)


def make_series(seed: int, seconds: float) -> list[Planned]:
    """Return the series of stops of a seed; one may begin before another has ended."""
    rng = Random(f"{seed} series")
    series = []
    at_s = rng.uniform(1.0, 3.0)
    while at_s < seconds:
        series.append(
            Planned(round(at_s, 3), stop_series.__name__, rng.randrange(2**32))
        )
        at_s += rng.uniform(5.0, 12.0)
    return series

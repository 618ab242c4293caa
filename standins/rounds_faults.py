"""Inject faults into a running fleet during bookings, and end them all afterwards."""

import random
from collections.abc import Awaitable, Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

import anyio

from .fleet import PLATFORM, Fleet, path_name, wait_until_healthy

HEALTHY: Mapping[str, Any] = {
    "outage": False,
    "lose_answers": 0.0,
    "lose_by": "close",
    "append_delay_ms": 0.0,
    "answer_delay_ms": 0.0,
}
# Longer than other VMs wait until they consider a silent VM as lost.
MAX_FAULT_MS = 3_500.0

Fault = Callable[["Faults"], Awaitable[None]]


@dataclass(frozen=True)
class Faults:
    """State of the faults of one round.

    Parameters
    ----------
    rng : random.Random
        Source of all random choices.
    centres : tuple of str
        The data centres; each is connected to the other and to the platform.
    disturbed : set of str
        The VMs that are currently killed or frozen.
    """

    fleet: Fleet
    rng: random.Random
    centres: tuple[str, str]
    disturbed: set[str] = field(default_factory=set)

    async def sleep_randomly(self, max_ms: float = MAX_FAULT_MS) -> None:
        """Wait while a fault lasts: 50 ms to `max_ms`, chosen at random."""
        await anyio.sleep(self.rng.uniform(50.0, max_ms) / 1000.0)

    @contextmanager
    def undisturbed_vm(self) -> Iterator[str]:
        """Choose a VM that is not killed or frozen and reserve it for one fault."""
        name = self.rng.choice(sorted(set(self.fleet.vms) - self.disturbed))
        self.disturbed.add(name)
        try:
            yield name
        finally:
            self.disturbed.discard(name)


async def kill(faults: Faults) -> None:
    """Kill a VM and restart it at the same address."""
    with faults.undisturbed_vm() as name:
        faults.fleet.programs.by_name[name].kill()
        await faults.sleep_randomly(1_000.0)
        await faults.fleet.restart(name)


async def freeze(faults: Faults) -> None:
    """Suspend a VM at whatever point it is, and resume it."""
    with faults.undisturbed_vm() as name:
        program = faults.fleet.programs.by_name[name]
        program.freeze()
        await faults.sleep_randomly()
        program.resume()


async def cut_sessions(faults: Faults) -> None:
    """Cut the path between the data centres."""
    await cut(faults, path_name(*faults.centres))


async def cut_platform(faults: Faults) -> None:
    """Cut the path between one data centre and the platform."""
    await cut(faults, f"{faults.rng.choice(faults.centres)}:{PLATFORM}")


async def cut(faults: Faults, path: str) -> None:
    """Cut a path temporarily: hold bytes back, or close its connections."""
    await faults.fleet.set_path(path, faults.rng.choice(("hang", "close")))
    await faults.sleep_randomly()
    await faults.fleet.set_path(path, "open")


async def outage(faults: Faults) -> None:
    """Make the platform unavailable to all VMs."""
    how = faults.rng.choice(("refuse", "hang"))
    await faults.fleet.control(PLATFORM, outage=how)
    await faults.sleep_randomly()
    await faults.fleet.control(PLATFORM, outage=False)


async def lose_answers(faults: Faults) -> None:
    """Make the platform apply appends but lose or delay its answers."""
    await faults.fleet.control(
        PLATFORM,
        lose_answers=faults.rng.choice((0.3, 0.8)),
        lose_by=faults.rng.choice(("close", "hang")),
        append_delay_ms=faults.rng.choice((0.0, 50.0, 300.0)),
        answer_delay_ms=faults.rng.choice((0.0, 100.0, 600.0)),
        seed=faults.rng.randrange(1_000_000),
    )
    await faults.sleep_randomly()
    healthy = {name: value for name, value in HEALTHY.items() if name != "outage"}
    await faults.fleet.control(PLATFORM, **healthy)


FAULTS: Mapping[str, Fault] = {
    "kill": kill,
    "freeze": freeze,
    "cut sessions": cut_sessions,
    "cut platform": cut_platform,
    "outage": outage,
    "lose answers": lose_answers,
}


async def inject(faults: Faults, name: str, after_ms: float) -> None:
    """Inject one fault after a delay and end it."""
    await anyio.sleep(after_ms / 1000.0)
    await FAULTS[name](faults)


async def end_faults(faults: Faults) -> None:
    """End all faults and wait until every VM is ready."""
    fleet = faults.fleet
    await fleet.control(PLATFORM, **HEALTHY)
    paths = [f"{centre}:{PLATFORM}" for centre in faults.centres]
    for path in (*paths, path_name(*faults.centres)):
        await fleet.set_path(path, "open")
    for name in fleet.vms:
        program = fleet.programs.by_name[name]
        program.resume()
        if not program.is_running():
            await fleet.restart(name)
        await wait_until_healthy(fleet, name, "/readyz")

"""Cause faults in a running fleet while bookings are under way, and end them all."""

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
# Longer than another VM waits before it takes a silent one for gone.
LONGEST_FAULT_MS = 3_500.0

Fault = Callable[["Faults"], Awaitable[None]]


@dataclass(frozen=True)
class Faults:
    """Cause faults at random moments.

    Parameters
    ----------
    centres : tuple of str
        The data centres, each linked to the other and to the platform.
    disturbed : set of str
        The VMs that are killed or frozen at present.
    """

    fleet: Fleet
    rng: random.Random
    centres: tuple[str, str]
    disturbed: set[str] = field(default_factory=set)

    async def last(self, longest_ms: float = LONGEST_FAULT_MS) -> None:
        """Let a fault last for a while."""
        await anyio.sleep(self.rng.uniform(50.0, longest_ms) / 1000.0)

    @contextmanager
    def one_vm(self) -> Iterator[str]:
        """Choose a VM that nothing is done to at present."""
        name = self.rng.choice(sorted(set(self.fleet.vms) - self.disturbed))
        self.disturbed.add(name)
        try:
            yield name
        finally:
            self.disturbed.discard(name)


async def kill(faults: Faults) -> None:
    """End a VM at once and replace it at the same address."""
    with faults.one_vm() as name:
        faults.fleet.programs.by_name[name].kill()
        await faults.last(1_000.0)
        await faults.fleet.restart(name)


async def freeze(faults: Faults) -> None:
    """Stop a VM in the middle of whatever it does, and let it go on."""
    with faults.one_vm() as name:
        program = faults.fleet.programs.by_name[name]
        program.freeze()
        await faults.last()
        program.resume()


async def cut_sessions(faults: Faults) -> None:
    """Cut the data centres off from each other."""
    await cut(faults, path_name(*faults.centres))


async def cut_platform(faults: Faults) -> None:
    """Cut one data centre off from the platform."""
    await cut(faults, f"{faults.rng.choice(faults.centres)}:{PLATFORM}")


async def cut(faults: Faults, path: str) -> None:
    """Cut a path for a while: bytes are held back, or connections closed."""
    await faults.fleet.set_path(path, faults.rng.choice(("hang", "close")))
    await faults.last()
    await faults.fleet.set_path(path, "open")


async def outage(faults: Faults) -> None:
    """Take the platform away from all VMs."""
    how = faults.rng.choice(("refuse", "hang"))
    await faults.fleet.control(PLATFORM, outage=how)
    await faults.last()
    await faults.fleet.control(PLATFORM, outage=False)


async def lose_answers(faults: Faults) -> None:
    """Let appends take effect whose answers never come, or come late."""
    await faults.fleet.control(
        PLATFORM,
        lose_answers=faults.rng.choice((0.3, 0.8)),
        lose_by=faults.rng.choice(("close", "hang")),
        append_delay_ms=faults.rng.choice((0.0, 50.0, 300.0)),
        answer_delay_ms=faults.rng.choice((0.0, 100.0, 600.0)),
        seed=faults.rng.randrange(1_000_000),
    )
    await faults.last()
    calm = {name: value for name, value in HEALTHY.items() if name != "outage"}
    await faults.fleet.control(PLATFORM, **calm)


FAULTS: Mapping[str, Fault] = {
    "kill": kill,
    "freeze": freeze,
    "cut sessions": cut_sessions,
    "cut platform": cut_platform,
    "outage": outage,
    "lose answers": lose_answers,
}


async def cause(faults: Faults, name: str, after_ms: float) -> None:
    """Cause one fault after a while and end it."""
    await anyio.sleep(after_ms / 1000.0)
    await FAULTS[name](faults)


async def end_all(faults: Faults) -> None:
    """End every fault and wait until each VM is ready."""
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

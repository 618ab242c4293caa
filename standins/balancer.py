"""Choose a VM for each caller as the platform's balancer does."""

import random
from dataclasses import dataclass, field

import anyio

from .caller import CallerRequest, Reply, Result, now_ms, send
from .fleet import Fleet, is_good

CHECK_INTERVAL_MS = 250
TRIES = 3


@dataclass
class Balancer:
    """Hold which VMs were ready when last asked."""

    fleet: Fleet
    rng: random.Random = field(default_factory=random.Random)
    ready: set[str] = field(default_factory=set)

    async def run_check_loop(self) -> None:
        """Ask every VM whether it is ready, for ever."""
        while True:
            await self.check()
            await anyio.sleep(CHECK_INTERVAL_MS / 1000.0)

    async def check(self) -> None:
        """Ask every VM once."""

        async def ask(name: str) -> None:
            if await is_good(self.fleet, name, "/readyz"):
                self.ready.add(name)
            else:
                self.ready.discard(name)

        async with anyio.create_task_group() as tasks:
            for name in self.fleet.vms:
                tasks.start_soon(ask, name)

    def choose(self, tried: set[str]) -> str | None:
        """Return a VM that is ready, or None."""
        names = sorted(self.ready - tried)
        return self.rng.choice(names) if names else None

    async def send(self, request: CallerRequest) -> Reply:
        """Send a request to a VM; try another where no connection comes about."""
        started_ms = now_ms()
        tried: set[str] = set()
        while len(tried) < TRIES:
            vm = self.choose(tried)
            if vm is None:
                break
            tried.add(vm)
            port = self.fleet.vms[vm].caller
            try:
                return await send(self.fleet.pool, vm, port, request, self.fleet.scheme)
            except ConnectionRefusedError:
                continue
        elapsed_ms = now_ms() - started_ms
        return Reply(
            request,
            "",
            Result.LOST,
            "",
            "not_run",
            elapsed_ms,
            faults=("no VM accepts connections",),
        )

"""Simulated load balancer that selects a VM for each request."""

import random
from dataclasses import dataclass, field

import anyio

from .caller import CallerRequest, Reply, Result, now_ms, send
from .fleet import Fleet, is_good

CHECK_INTERVAL_MS = 250
TRIES = 3


@dataclass
class Balancer:
    """Load balancer over the VMs whose last readiness check passed."""

    fleet: Fleet
    rng: random.Random = field(default_factory=random.Random)
    ready: set[str] = field(default_factory=set)

    async def run_check_loop(self) -> None:
        """Check the readiness of all VMs periodically, without end."""
        while True:
            await self.check()
            await anyio.sleep(CHECK_INTERVAL_MS / 1000.0)

    async def check(self) -> None:
        """Check the readiness of all VMs once, concurrently."""

        async def check_vm(name: str) -> None:
            if await is_good(self.fleet, name, "/readyz"):
                self.ready.add(name)
            else:
                self.ready.discard(name)

        async with anyio.create_task_group() as tasks:
            for name in self.fleet.vms:
                tasks.start_soon(check_vm, name)

    def choose(self, tried: set[str]) -> str | None:
        """Return a random ready VM that was not tried yet, or None."""
        names = sorted(self.ready - tried)
        return self.rng.choice(names) if names else None

    async def send(self, request: CallerRequest) -> Reply:
        """Send a request to a VM; try another one if it refuses the connection."""
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

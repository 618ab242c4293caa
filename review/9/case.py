"""The VMs are restarted in turn after a second order to move a service's traffic."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from site_2 import (  # noqa: E402
    BOUNDS,
    KEY,
    TENANT,
    Site,
    Vm,
    ask,
    consumer,
    keep,
    make_route,
    make_service,
    run_case,
    trouble_wanted,
)

VMS = 3
DURATION_S = 12
BAD_SHARE = 0.4
"""Share of its answers that are failures at a bad version."""
JUDGED_ANSWERS = 50
REQUESTS_PER_S = 60
WATCHED_S = 40.0


def make_manifest() -> dict[str, object]:
    """Return the manifest."""
    return {
        "version": 1,
        "routes": [make_route("book", "unsafe", "desk")],
        "services": [make_service("desk")],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


@dataclass
class Versions:
    """The runs at the bad version, and its bad answers, by their times."""

    runs: list[float]
    bad_answers: list[float]

    def late_runs(self, rollback_s: float) -> int:
        """Return how many requests it got too late after its 50th bad answer."""
        if len(self.bad_answers) < JUDGED_ANSWERS:
            return 0
        bound_s = self.bad_answers[JUDGED_ANSWERS - 1] + rollback_s
        return sum(at_s > bound_s for at_s in self.runs)


async def restart(site: Site, vm: Vm) -> None:
    """Stop a VM in order, start it again, and wait until it is ready."""
    assert vm.process is not None
    vm.signal(signal.SIGTERM)
    site.record.line(f"{vm.name} gets SIGTERM")
    while vm.process.poll() is None:
        await asyncio.sleep(0.05)
    vm.start()
    site.record.line(f"{vm.name} is started again")
    await site.wait_ready()


async def traffic(site: Site, in_rotation: list[Vm]) -> None:
    """Send bookings to the VMs that the platform has in rotation."""
    number = 0
    while True:
        vm = in_rotation[number % len(in_rotation)]
        headers = consumer(f"{number:016x}")
        keep(asyncio.create_task(send(site, vm, headers)))
        number += 1
        await asyncio.sleep(1.0 / REQUESTS_PER_S)


async def send(site: Site, vm: Vm, headers: dict[str, str]) -> None:
    """Send one booking."""
    await ask(site.record, vm, "POST", "/book/x", headers, b"a place")


def order(site: Site, target: str) -> None:
    """Order to move the traffic of the service to a version."""
    value = {"service": "desk", "target": target, "duration_s": DURATION_S}
    site.store.put("keyed.op", "rollout/desk", value)
    site.record.line(f"order: move desk to {target}")


async def play(site: Site) -> bool:
    """Return whether the rule was broken."""
    record = site.record
    bad = Versions([], [])
    await site.start(make_manifest(), VMS)
    for number in range(3):
        await site.add_runner(f"desk-1-{number}", "desk", version="v1")
    for vm in site.vms:
        vm.start()
    await site.wait_ready()
    await asyncio.sleep(2.0)
    in_rotation = list(site.vms)
    keep(asyncio.create_task(traffic(site, in_rotation)))
    await asyncio.sleep(2.0)
    order(site, "v2")
    draw = random.Random(1)

    def fails() -> bool:
        bad.runs.append(record.now_s())
        if draw.random() >= BAD_SHARE:
            return False
        bad.bad_answers.append(record.now_s())
        return True

    for number in range(3):
        await site.add_runner(f"desk-2-{number}", "desk", version="v2", fails=fails)
    await asyncio.sleep(DURATION_S + 2.0)
    record.line(f"requests at v2 so far: {len(bad.runs)}")
    order(site, "v3")
    for number in range(3):
        await site.add_runner(f"desk-3-{number}", "desk", version="v3")
    await asyncio.sleep(3.0)
    record.line(f"requests at v2 so far: {len(bad.runs)}")
    if trouble_wanted():
        for vm in site.vms:
            in_rotation.remove(vm)
            await restart(site, vm)
            in_rotation.append(vm)
    await asyncio.sleep(WATCHED_S)
    late = bad.late_runs(BOUNDS["rollback_ms"] / 1000.0)
    record.line(f"requests at v2: {len(bad.runs)}, bad answers {len(bad.bad_answers)}")
    record.line(f"of these more than rollback_ms after the 50th bad answer: {late}")
    return late > 0


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))

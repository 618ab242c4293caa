"""Run VMs with TLS set up as in docs/OPERATIONS.md, and rotate the TLS files."""

import random
import re
import subprocess
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path

import anyio
import pytest

from standins.arrangement import VmPlan
from standins.balancer import Balancer
from standins.demo import operators, publish, tool
from standins.fleet import Fleet, is_good
from standins.http import make_pool
from standins.load import LoadProfile, LoadRecord, RequestKind, run_load
from standins.startup import running

from .vm.test_rolling_restart import (
    DEADLINE_MS,
    arrange,
    describe_loss,
    roll,
    wait_for_answers,
)

PAGE = Path(__file__).parent.parent / "docs" / "OPERATIONS.md"
KINDS = (RequestKind("warm", DEADLINE_MS, 3.0), RequestKind("cold", DEADLINE_MS, 1.0))


def commands() -> tuple[str, str]:
    """Return the page's commands for the authority and for a VM's certificate."""
    section = PAGE.read_text().split("\n## TLS\n")[1]
    block = section.split("```sh\n")[1].split("```")[0]
    first = block.index("openssl req -newkey")
    return block[:first], block[first:]


def shell(folder: Path, text: str) -> None:
    """Run commands of the page in a shell."""
    subprocess.run(["bash", "-ec", text], cwd=folder, check=True, timeout=30)


def issue(folder: Path, plans: tuple[VmPlan, ...]) -> None:
    """Create an authority and a certificate for each VM in a folder."""
    folder.mkdir(exist_ok=True)
    authority, certificate = commands()
    shell(folder, authority)
    for plan in plans:
        shell(folder, re.sub(r"\bvac-1\b", plan.name, certificate))


@asynccontextmanager
async def under_load(fleet: Fleet) -> AsyncIterator[LoadRecord]:
    """Send requests through the balancer until the block ends."""
    balancer = Balancer(fleet, random.Random(1))
    record = LoadRecord()
    load = LoadProfile(KINDS, (("org", 1.0),), 25.0, 60_000.0, seed=2)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(balancer.run_check_loop)
        await wait_for_answers(balancer)
        tasks.start_soon(run_load, load, balancer.send, record)
        yield record
        await anyio.sleep(1.0)
        tasks.cancel_scope.cancel()


@pytest.mark.process
@pytest.mark.timeout(120)
async def test_files_for_tls_are_rolled_and_no_request_is_lost(tmp_path: Path) -> None:
    used, newer = tmp_path / "used", tmp_path / "newer"
    arrangement = replace(arrange(), tls=used)
    for folder in (used, newer):
        issue(folder, arrangement.vms)
    old, new = ((folder / "authority.pem").read_text() for folder in (used, newer))
    async with running(arrangement, tmp_path / "fleet") as fleet:
        await publish(fleet)
        assert not await is_open(fleet)
        (used / "authority.pem").write_text(old + new)
        fleet.pool = make_pool(used / "authority.pem")
        async with under_load(fleet) as record:
            await roll(fleet)
            for plan in arrangement.vms:
                for name in (f"{plan.name}.pem", f"{plan.name}.key"):
                    (newer / name).replace(used / name)
            await roll(fleet)
        flags = ("--vm", operators(fleet), "--authority", str(used / "authority.pem"))
        assert "[vm_" not in await tool("status", *flags)
        ended = [reply for reply in record.replies if reply.latency_ms != float("inf")]
        assert len(ended) > 200
        assert [describe_loss(reply) for reply in ended if not reply.good] == []


async def is_open(fleet: Fleet) -> bool:
    """Return whether a VM answers a caller that uses no TLS."""
    without = replace(fleet.arrangement, tls=None)
    plain = replace(fleet, arrangement=without, pool=make_pool())
    return await is_good(plain, next(iter(fleet.vms)), "/healthz")

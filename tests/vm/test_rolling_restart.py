"""Restart every VM of a small system in turn under load; no request may be lost."""

import hashlib
import random
from pathlib import Path

import anyio
import pytest

from cuminstile.objects.model import (
    AnyObject,
    DataCentre,
    Organisation,
    Pipeline,
    Role,
    Stage,
    Step,
    Upstream,
    UpstreamVersion,
)
from standins.arrangement import Arrangement, caller_key, plan_vms
from standins.balancer import Balancer
from standins.caller import Reply
from standins.demo import publish
from standins.fleet import Fleet, wait_until_healthy
from standins.load import LoadProfile, LoadRecord, RequestKind, run_load
from standins.startup import running

DEADLINE_MS = 4_000
END_LIMIT_S = 10.0
FIRST_LIMIT_S = 15.0
NEVER_WARM = 1_000_000


def upstreams_of(stage: str, data_centre: str) -> tuple[AnyObject, ...]:
    return (
        Upstream(
            kind="upstream",
            name=f"{stage}-{data_centre}",
            data_centre=data_centre,
            address="127.0.0.1:1",
            versions=(f"{stage}-1",),
            cold_capacity=2,
        ),
    )


def objects() -> tuple[AnyObject, ...]:
    digest = hashlib.sha256(caller_key("org").encode()).hexdigest()
    made: list[AnyObject] = [
        Organisation(kind="organisation", name="org", key_digests=(digest,)),
        DataCentre(kind="data_centre", name="a", region="r"),
        DataCentre(kind="data_centre", name="b", region="r"),
    ]
    for stage in ("warm", "cold"):
        made += [
            Stage(kind="stage", name=stage, role=Role.POOL),
            UpstreamVersion(kind="upstream_version", name=f"{stage}-1", stage=stage),
            Pipeline(kind="pipeline", name=stage, steps=(Step(name="s", stage=stage),)),
            *upstreams_of(stage, "a"),
        ]
    return (*made, *upstreams_of("warm", "b"))


def arrange() -> Arrangement:
    return Arrangement(
        objects=objects(),
        vms=plan_vms({"a": 2, "b": 1}),
        controls={
            "warm": {"warm_after_runs": 0, "work_ms": 20},
            "cold": {"warm_after_runs": NEVER_WARM, "work_ms": 10},
        },
        settings={"shutdown_linger_ms": 700},
    )


def describe_loss(reply: Reply) -> str:
    """Return the description of a lost request for the output of a failed test."""
    description = f"{reply.sent.pipeline} by {reply.vm}: {reply.result} {reply.code}"
    return f"{description} after {reply.latency_ms:.0f} ms"


async def wait_for_answers(balancer: Balancer) -> None:
    """Wait until the cold pipeline answers; the system has just started."""
    kind = RequestKind("cold", DEADLINE_MS)
    with anyio.fail_after(FIRST_LIMIT_S):
        while True:
            record = LoadRecord()
            load = LoadProfile((kind,), (("org", 1.0),), 10.0, 300.0, seed=1)
            await run_load(load, balancer.send, record)
            if record.replies and all(reply.good for reply in record.replies):
                return


async def roll(fleet: Fleet) -> None:
    """Restart each VM after the previous one is ready again."""
    for name in fleet.vms:
        program = fleet.programs.by_name[name]
        program.terminate()
        with anyio.fail_after(END_LIMIT_S):
            while program.is_running():
                await anyio.sleep(0.05)
        await fleet.restart(name)
        await wait_until_healthy(fleet, name, "/readyz")


@pytest.mark.process
async def test_rolling_restart_under_load_loses_no_request(tmp_path: Path) -> None:
    async with running(arrange(), tmp_path) as fleet:
        await publish(fleet)
        balancer = Balancer(fleet, random.Random(1))
        record = LoadRecord()
        kinds = (
            RequestKind("warm", DEADLINE_MS, 3.0),
            RequestKind("cold", DEADLINE_MS, 1.0),
        )
        load = LoadProfile(kinds, (("org", 1.0),), 40.0, 60_000.0, seed=2)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(balancer.run_check_loop)
            await wait_for_answers(balancer)
            with anyio.CancelScope() as rolling:

                async def roll_then_stop() -> None:
                    await roll(fleet)
                    await anyio.sleep(1.0)
                    rolling.cancel()

                tasks.start_soon(roll_then_stop)
                await run_load(load, balancer.send, record)
            tasks.cancel_scope.cancel()
        ended = [reply for reply in record.replies if reply.latency_ms != float("inf")]
        bad = [reply for reply in ended if not reply.good]
        assert len(ended) > 200
        assert [describe_loss(reply) for reply in bad] == []

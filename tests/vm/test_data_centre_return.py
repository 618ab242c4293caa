"""Take a data centre of a small system out of service under load, and back in.

Guards against a stampede: if the VMs still took the returning upstream, cold by then,
for warm, they would all send it calls at once and overload it.
"""

import random
from dataclasses import replace
from pathlib import Path

import anyio
import pytest

from cuminstile.objects.model import DataCentre, DataCentreState
from standins.balancer import Balancer
from standins.demo import publish
from standins.fleet import Fleet
from standins.load import LoadProfile, LoadRecord, RequestKind, run_load
from standins.startup import running

from .test_rolling_restart import DEADLINE_MS, arrange, describe_loss, wait_for_answers

# No new work may arrive 5 s after the data centre was taken out.
OUT_BOUND_MS = 5_000
RAMP_MS = 4_000
WARM_AFTER_RUNS = 6


async def set_state(fleet: Fleet, name: str, state: DataCentreState) -> None:
    """Publish the objects with a data centre in or out of service."""
    fleet.objects = tuple(
        replace(item, state=state)
        if isinstance(item, DataCentre) and item.name == name
        else item
        for item in fleet.objects
    )
    fleet.write_objects()
    await publish(fleet)


async def runs_of(fleet: Fleet, name: str) -> dict:
    return await fleet.exchange_json("GET", fleet.upstream_ports[name], "/runs")


async def out_and_in(fleet: Fleet) -> None:
    """Take b out, let its upstream turn cold without a report, and bring b back."""
    await set_state(fleet, "b", DataCentreState.OUT)
    await anyio.sleep(OUT_BOUND_MS / 1000.0)
    before = len((await runs_of(fleet, "warm-b"))["runs"])
    await fleet.control("warm-b", report_lag_ms=60_000)
    await fleet.control("warm-b", turn_cold=True, warm_after_runs=WARM_AFTER_RUNS)
    await anyio.sleep(1.0)
    assert len((await runs_of(fleet, "warm-b"))["runs"]) == before
    await set_state(fleet, "b", DataCentreState.IN)
    await anyio.sleep(RAMP_MS / 1000.0)
    after = await runs_of(fleet, "warm-b")
    assert len(after["runs"]) - before > WARM_AFTER_RUNS
    assert after["overloads"] == 0


@pytest.mark.process
async def test_returning_data_centre_gets_no_stampede(tmp_path: Path) -> None:
    async with running(arrange(), tmp_path) as fleet:
        await publish(fleet)
        balancer = Balancer(fleet, random.Random(1))
        record = LoadRecord()
        kinds = (RequestKind("warm", DEADLINE_MS),)
        load = LoadProfile(kinds, (("org", 1.0),), 120.0, 40_000.0, seed=2)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(balancer.run_check_loop)
            await wait_for_answers(balancer)
            with anyio.CancelScope() as loading:

                async def change_then_stop() -> None:
                    await out_and_in(fleet)
                    loading.cancel()

                tasks.start_soon(change_then_stop)
                await run_load(load, balancer.send, record)
            tasks.cancel_scope.cancel()
        ended = [reply for reply in record.replies if reply.latency_ms != float("inf")]
        assert len(ended) > 500
        assert [describe_loss(reply) for reply in ended if not reply.good] == []

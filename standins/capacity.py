"""Measure the slopes from which the figures of docs/CAPACITY.md are computed."""

import hashlib
import json
import os
import sys
from collections.abc import Sequence
from pathlib import Path
from tempfile import TemporaryDirectory

import anyio
import fire

from cuminstile.const import CONFIG_STREAM
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
from cuminstile.records.client import make_platform_client
from cuminstile.records.config_record import NO_VERSION, RECORD_CODEC, make_record

from .arrangement import Arrangement, VmPlan, caller_key
from .balancer import Balancer
from .capacity_control import control_slopes
from .capacity_memory import memory_slopes
from .fleet import Fleet
from .load import LoadProfile, LoadRecord, RequestKind, run_load
from .slopes import Point, Slope, fit, format_table, to_json
from .startup import running

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
WARM_UP_S = 4.0
ORGANISATION = "org"
FAST_UPSTREAM = {"work_ms": 5.0, "warm_after_runs": 0, "capacity": 1_000}


def cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def rss_mb(pid: int) -> float:
    """Return the resident memory of a process, in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024.0
    return 0.0


def objects_for(steps: int, engines: int, data_centre: str) -> tuple[AnyObject, ...]:
    """Return the objects of a pipeline over pools and one over streaming engines.

    Parameters
    ----------
    steps : int
        Number of steps of the pipeline `work`, each on a pool of its own.
    engines : int
        Number of upstreams of the streaming stage.
    data_centre : str
        The data centre of all upstreams.
    """
    objects: list[AnyObject] = [
        DataCentre("data_centre", "a", "r"),
        DataCentre("data_centre", "b", "r"),
        Organisation("organisation", ORGANISATION, (digest(caller_key(ORGANISATION)),)),
        Stage("stage", "generate", Role.ENGINE, streams=True),
        UpstreamVersion("upstream_version", "generate-1", "generate"),
        Pipeline("pipeline", "stream", (Step("generate", "generate"),), 60_000),
    ]
    for number in range(engines):
        objects.append(upstream(f"engine-{number}", data_centre, "generate-1"))
    for number in range(steps):
        objects.append(Stage("stage", f"pool-{number}", Role.POOL))
        objects.append(
            UpstreamVersion("upstream_version", f"pool-{number}-1", f"pool-{number}")
        )
        objects.append(upstream(f"runner-{number}", data_centre, f"pool-{number}-1"))
    chain = tuple(
        Step(f"s{number}", f"pool-{number}", (f"s{number - 1}",) if number else ())
        for number in range(steps)
    )
    objects.append(Pipeline("pipeline", "work", chain, 10_000))
    return tuple(objects)


def digest(key: str) -> str:
    """Return the digest under which an organisation's key is configured."""
    return hashlib.sha256(key.encode()).hexdigest()


def upstream(name: str, data_centre: str, version: str) -> Upstream:
    """Return an upstream with more capacity than any measurement uses."""
    return Upstream(
        "upstream", name, data_centre, "127.0.0.1:1", (version,), 1_000, 1_000
    )


async def start(fleet: Fleet) -> Balancer:
    """Publish the objects and return a balancer over the VMs of data centre a."""
    platform = make_platform_client(f"127.0.0.1:{fleet.platform_port}", "")
    record = make_record(NO_VERSION, "capacity", fleet.objects)
    await platform.append(CONFIG_STREAM, RECORD_CODEC.encode(record))
    await anyio.sleep(WARM_UP_S)
    balancer = Balancer(fleet)
    await balancer.check()
    balancer.ready &= {name for name in fleet.vms if name.startswith("a")}
    return balancer


async def used_by(
    fleet: Fleet, balancer: Balancer, load: LoadProfile
) -> Sequence[float]:
    """Run a load and return the mean number of cores that each VM used.

    Raises
    ------
    RuntimeError
        If more than one in 50 requests was not answered in time.
    """
    pids = [pid_of(fleet, name) for name in fleet.vms]
    record = LoadRecord()
    started_s = anyio.current_time()
    before = [cpu_s(pid) for pid in pids]
    await run_load(load, balancer.send, record)
    elapsed_s = anyio.current_time() - started_s
    bad = [reply for reply in record.replies if not reply.good]
    if len(bad) > len(record.replies) // 50:
        raise RuntimeError(
            f"{len(bad)} of {len(record.replies)} requests were not answered in time;"
            f" the first: {bad[0]}"
        )
    after = [cpu_s(pid) for pid in pids]
    return [(b - a) / elapsed_s for a, b in zip(before, after, strict=True)]


def pid_of(fleet: Fleet, name: str) -> int:
    """Return the process id of a program; 0 if it was never started."""
    process = fleet.programs.by_name[name].process
    return process.pid if process is not None else 0


async def request_slope(steps: int, rates: Sequence[float], folder: Path) -> Slope:
    """Measure the CPU time of a whole request through one VM."""
    arrangement = Arrangement(
        objects_for(steps, 1, "a"), (VmPlan("a-1", "a"),), controls=controls(0.0)
    )
    points = []
    async with running(arrangement, folder) as fleet:
        balancer = await start(fleet)
        for rate in rates:
            load = make_load("work", rate, 5_000.0)
            used = await used_by(fleet, balancer, load)
            points.append(Point(rate, used[0]))
    return fit(f"request of {steps} stages", "requests/s", "cores", points)


async def forward_slope(rates: Sequence[float], folder: Path) -> Slope:
    """Measure the CPU time of two VMs, one of which forwards the stage to the other."""
    arrangement = Arrangement(
        objects_for(1, 1, "b"),
        (VmPlan("a-1", "a"), VmPlan("b-1", "b")),
        controls=controls(0.0),
    )
    points = []
    async with running(arrangement, folder) as fleet:
        balancer = await start(fleet)
        for rate in rates:
            used = await used_by(fleet, balancer, make_load("work", rate, 5_000.0))
            points.append(Point(rate, sum(used)))
    return fit("request of 1 stage, handed over", "requests/s", "cores", points)


async def token_slope(streams: Sequence[int], token_ms: float, folder: Path) -> Slope:
    """Measure the CPU time of relaying tokens, each in a chunk of its own."""
    arrangement = Arrangement(
        objects_for(1, 4, "a"), (VmPlan("a-1", "a"),), controls=controls(token_ms)
    )
    points = []
    async with running(arrangement, folder) as fleet:
        balancer = await start(fleet)
        for count in streams:
            tokens = int(4_000.0 / token_ms)
            load = make_load("stream", count * 0.25, 8_000.0, tokens)
            used = await used_by(fleet, balancer, load)
            points.append(Point(count * 0.25 * tokens * 8 / 12, used[0]))
    return fit("token relayed, one a chunk", "tokens/s", "cores", points)


def controls(token_ms: float) -> dict[str, dict[str, float]]:
    """Return the control values of the upstreams by role."""
    return {
        "pool": dict(FAST_UPSTREAM),
        "engine": {**FAST_UPSTREAM, "token_ms": token_ms},
    }


def make_load(
    pipeline: str, rate_per_s: float, duration_ms: float, tokens: int = 0
) -> LoadProfile:
    """Return a load with requests of one pipeline only."""
    stream = pipeline == "stream"
    kind = RequestKind(pipeline, 60_000, stream=stream, max_tokens=tokens)
    return LoadProfile((kind,), ((ORGANISATION, 1.0),), rate_per_s, duration_ms, seed=1)


async def measure(folder: Path, quick: bool) -> list[Slope]:
    """Measure all slopes, one after another."""
    rates = (20.0, 60.0) if quick else (20.0, 40.0, 80.0, 120.0)
    streams = (8, 32) if quick else (8, 16, 32, 48)
    lines = [
        await request_slope(1, rates, folder / "one"),
        await request_slope(4, [rate / 2 for rate in rates], folder / "four"),
        await forward_slope(rates, folder / "forward"),
        await token_slope(streams, 25.0, folder / "tokens"),
    ]
    lines += await control_slopes(quick)
    lines += memory_slopes(quick)
    return lines


def run(quick: bool = False, out: str = "out") -> None:
    """Measure the slopes and write them as a table and as JSON.

    Parameters
    ----------
    quick : bool
        Measure two points per line, which takes about a minute.
    out : str
        Folder for `capacity.json` and `capacity.md`.
    """
    with TemporaryDirectory(prefix="cuminstile-capacity-") as folder:
        lines = anyio.run(measure, Path(folder), quick)
    target = Path(out)
    target.mkdir(parents=True, exist_ok=True)
    table = format_table(lines)
    (target / "capacity.md").write_text(table + "\n")
    (target / "capacity.json").write_text(json.dumps(to_json(lines), indent=1) + "\n")
    print(table)


if __name__ == "__main__":
    sys.exit(fire.Fire(run))

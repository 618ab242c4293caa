"""Run one firm's load under failures once, and measure what became of it."""

import random
import statistics
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path

import anyio

from .balancer import Balancer
from .caller import Reply, wall_ms
from .load import LoadRecord, run_load
from .measure_firms import Firm
from .scenario_session import Session, UpstreamRun, all_runs
from .scenario_steps import bring_back, kill, publish, restart, take_out, turn_cold
from .startup import running

READY_WAIT_S = 1.5
WARM_UP_MS = 5_000.0
WARM_UP_SEED = 1_000


@dataclass(frozen=True)
class Cost:
    """Hold the upstreams' work for one stage, ms.

    Parameters
    ----------
    useful_ms : float
        Work whose answer went into a request that was answered in time.
    wasted_ms : float
        All other work.
    """

    useful_ms: float = 0.0
    wasted_ms: float = 0.0


@dataclass(frozen=True)
class Figures:
    """Hold what one run gave.

    Parameters
    ----------
    attained : float
        The part of all requests that was answered in time.
    before, leaving, out, returning : float
        The same for the requests sent in each part of the data centre's absence;
        leaving and out are the halves of the absence, returning as long as one.
    results : dict of str to int
        How many requests ended in each way.
    """

    firm: str
    choice: str
    seed: int
    requests: int
    attained: float
    before: float
    leaving: float
    out: float
    returning: float
    p50_ms: float
    p95_ms: float
    costs: dict[str, Cost] = field(default_factory=dict)
    results: dict[str, int] = field(default_factory=dict)


@dataclass
class Moments:
    """Hold when the data centre left and returned, ms from the start of the load."""

    left_ms: float = 0.0
    back_ms: float = 0.0


async def measure(
    firm: Firm, choice: str, seed: int, duration_ms: float, folder: Path
) -> Figures:
    """Run the load once and return its figures."""
    arrangement = firm.arrange(choice)
    record = LoadRecord()
    async with (
        running(arrangement, folder) as fleet,
        anyio.create_task_group() as tasks,
    ):
        balancer = Balancer(fleet, random.Random(seed))
        session = Session(fleet, tasks, balancer, fleet.objects)
        await publish(session)
        await anyio.sleep(READY_WAIT_S)
        await balancer.check()
        tasks.start_soon(balancer.run_check_loop)
        await warm_up(balancer, firm, seed)
        moments = Moments()
        began_ms = wall_ms()
        async with anyio.create_task_group() as sending:
            load = firm.load(duration_ms, seed)
            sending.start_soon(run_load, load, balancer.send, record)
            await disturb(session, firm, duration_ms, began_ms, moments)
        costs = costs_of(await all_runs(session), record.replies, began_ms)
        tasks.cancel_scope.cancel()
    return figures_of(firm, choice, seed, record, moments, costs)


async def warm_up(balancer: Balancer, firm: Firm, seed: int) -> None:
    """Let upstreams that start cold get warm before anything is measured."""
    load = firm.load(WARM_UP_MS, seed + WARM_UP_SEED)
    await run_load(
        replace(load, name="warm-up", bursts=()), balancer.send, LoadRecord()
    )


async def disturb(
    session: Session, firm: Firm, duration_ms: float, began_ms: int, moments: Moments
) -> None:
    """Turn a pool cold, crash an engine, and take a data centre out and back."""

    async def until(part: float) -> None:
        due_ms = began_ms + part * duration_ms
        await anyio.sleep(max(0.0, due_ms - wall_ms()) / 1000.0)

    await until(0.1)
    await turn_cold(session, firm.pool, warm_after=4)
    await until(0.3)
    await kill(session, firm.engine)
    await restart(session, firm.engine)
    await until(0.5)
    moments.left_ms = wall_ms() - began_ms
    await take_out(session, firm.moving)
    await until(0.75)
    moments.back_ms = wall_ms() - began_ms
    await bring_back(session, firm.moving)


def costs_of(
    runs: Iterable[UpstreamRun], replies: Iterable[Reply], began_ms: int
) -> dict[str, Cost]:
    """Return the useful and the wasted work of each stage.

    Runs before `began_ms`, a time of day, belong to the warm-up and count for nothing.
    """
    good = {reply.body["request"] for reply in replies if reply.good}
    useful: dict[str, float] = defaultdict(float)
    wasted: dict[str, float] = defaultdict(float)
    for run in runs:
        if run.at_ms < began_ms:
            continue
        worked_ms = max(0, (run.ended_ms or run.at_ms) - run.at_ms)
        request = run.attempt.split(".")[0]
        helped = request in good and run.outcome == "answered"
        (useful if helped else wasted)[run.stage] += worked_ms
    return {
        stage: Cost(useful[stage], wasted[stage])
        for stage in sorted({*useful, *wasted})
    }


def figures_of(
    firm: Firm,
    choice: str,
    seed: int,
    record: LoadRecord,
    moments: Moments,
    costs: dict[str, Cost],
) -> Figures:
    """Return the figures of a run."""
    replies = record.replies
    results: dict[str, int] = defaultdict(int)
    for reply in replies:
        late = " late" if reply.late else ""
        results[f"{reply.result} {reply.code}".strip() + late] += 1

    def part(begin_ms: float, end_ms: float) -> float:
        pairs = zip(record.sent_ms, replies, strict=True)
        return share([reply for at, reply in pairs if begin_ms <= at < end_ms])

    left_ms, back_ms = moments.left_ms, moments.back_ms
    edge_ms = (back_ms - left_ms) / 2.0
    latencies = [reply.latency_ms for reply in replies if reply.good] or [0.0]
    quantiles = statistics.quantiles([*latencies, *latencies], n=20)
    return Figures(
        firm.name,
        choice,
        seed,
        len(replies),
        share(replies),
        part(0.0, left_ms),
        part(left_ms, left_ms + edge_ms),
        part(left_ms + edge_ms, back_ms),
        part(back_ms, back_ms + edge_ms),
        statistics.median(latencies),
        quantiles[-1],
        costs,
        dict(results),
    )


def share(replies: Sequence[Reply]) -> float:
    """Return the part of requests that was answered whole and in time."""
    return sum(reply.good for reply in replies) / max(1, len(replies))

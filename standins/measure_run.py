"""Run one firm's load once under failures and measure the results."""

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
from .scenario_session import Session, UpstreamRun, fetch_all_runs
from .scenario_steps import bring_back, kill, publish, restart, take_out, turn_cold
from .startup import running

READY_WAIT_S = 1.5
WARM_UP_MS = 5_000.0
WARM_UP_SEED = 1_000


@dataclass(frozen=True)
class Cost:
    """Work time of the upstreams of one stage.

    Parameters
    ----------
    useful_ms : float
        Answered runs of requests that were answered in time.
    wasted_ms : float
        All other runs.
    """

    useful_ms: float = 0.0
    wasted_ms: float = 0.0


@dataclass(frozen=True)
class RunFigures:
    """Results of one measured run.

    Parameters
    ----------
    attained : float
        The share of all requests that was answered in time, 0 to 1.
    before, leaving, out, returning : float
        The same for the requests sent in each phase: before the data centre is taken
        out, in the first and in the second half of its absence, and for as long as
        one half after it is back.
    p50_ms, p95_ms : float
        Latency of the requests answered in time.
    costs : dict of str to Cost
        Work of the upstreams by stage.
    results : dict of str to int
        Number of requests by result.
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
class AbsenceTimes:
    """When the data centre was out: start and end in ms from the start of the load."""

    left_ms: float = 0.0
    back_ms: float = 0.0


async def measure(
    firm: Firm, choice: str, seed: int, duration_ms: float, folder: Path
) -> RunFigures:
    """Run the load of a firm once and return its figures."""
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
        absence = AbsenceTimes()
        started_ms = wall_ms()
        async with anyio.create_task_group() as load_tasks:
            load = firm.load(duration_ms, seed)
            load_tasks.start_soon(run_load, load, balancer.send, record)
            await inject_faults(session, firm, duration_ms, started_ms, absence)
        costs = costs_of(await fetch_all_runs(session), record.replies, started_ms)
        tasks.cancel_scope.cancel()
    return compute_figures(firm, choice, seed, record, absence, costs)


async def warm_up(balancer: Balancer, firm: Firm, seed: int) -> None:
    """Send requests until the upstreams, which start cold, are warm."""
    load = firm.load(WARM_UP_MS, seed + WARM_UP_SEED)
    await run_load(
        replace(load, name="warm-up", bursts=()), balancer.send, LoadRecord()
    )


async def inject_faults(
    session: Session,
    firm: Firm,
    duration_ms: float,
    started_ms: int,
    absence: AbsenceTimes,
) -> None:
    """Turn a pool cold, kill and restart an engine, take a data centre out and back."""

    async def sleep_until(part: float) -> None:
        due_ms = started_ms + part * duration_ms
        await anyio.sleep(max(0.0, due_ms - wall_ms()) / 1000.0)

    await sleep_until(0.1)
    await turn_cold(session, firm.pool, warm_after=4)
    await sleep_until(0.3)
    await kill(session, firm.engine)
    await restart(session, firm.engine)
    await sleep_until(0.5)
    absence.left_ms = wall_ms() - started_ms
    await take_out(session, firm.moving)
    await sleep_until(0.75)
    absence.back_ms = wall_ms() - started_ms
    await bring_back(session, firm.moving)


def costs_of(
    runs: Iterable[UpstreamRun], replies: Iterable[Reply], started_ms: int
) -> dict[str, Cost]:
    """Return the useful and the wasted work of each stage.

    Runs before `started_ms` (ms since 1970 UTC) belong to the warm-up and are ignored.
    """
    good = {reply.body["request"] for reply in replies if reply.good}
    useful: dict[str, float] = defaultdict(float)
    wasted: dict[str, float] = defaultdict(float)
    for run in runs:
        if run.at_ms < started_ms:
            continue
        work_ms = max(0, (run.ended_ms or run.at_ms) - run.at_ms)
        request = run.attempt.split(".")[0]
        is_useful = request in good and run.outcome == "answered"
        (useful if is_useful else wasted)[run.stage] += work_ms
    return {
        stage: Cost(useful[stage], wasted[stage])
        for stage in sorted({*useful, *wasted})
    }


def compute_figures(
    firm: Firm,
    choice: str,
    seed: int,
    record: LoadRecord,
    absence: AbsenceTimes,
    costs: dict[str, Cost],
) -> RunFigures:
    """Compute the figures of a run from its replies and costs."""
    replies = record.replies
    results: dict[str, int] = defaultdict(int)
    for reply in replies:
        late = " late" if reply.late else ""
        results[f"{reply.result} {reply.code}".strip() + late] += 1

    def part(begin_ms: float, end_ms: float) -> float:
        pairs = zip(record.sent_ms, replies, strict=True)
        return share([reply for at, reply in pairs if begin_ms <= at < end_ms])

    left_ms, back_ms = absence.left_ms, absence.back_ms
    half_ms = (back_ms - left_ms) / 2.0
    latencies = [reply.latency_ms for reply in replies if reply.good] or [0.0]
    quantiles = statistics.quantiles([*latencies, *latencies], n=20)
    return RunFigures(
        firm.name,
        choice,
        seed,
        len(replies),
        share(replies),
        part(0.0, left_ms),
        part(left_ms, left_ms + half_ms),
        part(left_ms + half_ms, back_ms),
        part(back_ms, back_ms + half_ms),
        statistics.median(latencies),
        quantiles[-1],
        costs,
        dict(results),
    )


def share(replies: Sequence[Reply]) -> float:
    """Return the share of requests that was answered completely and in time, 0 to 1."""
    return sum(reply.good for reply in replies) / max(1, len(replies))

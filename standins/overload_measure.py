"""Measure goodput and refusals under overload, by policy, load and seed."""

import json
import random
import statistics
import tempfile
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

import anyio
import fire

from .balancer import Balancer
from .caller import Reply, Result, wall_ms
from .claims_measure import quantile
from .fleet import ROOT
from .load import LoadRecord, run_load
from .measure_run import Cost
from .overload_setting import (
    CAPACITY_PER_S,
    DEADLINE_MS,
    LARGE,
    POLICIES,
    SMALL,
    Policy,
    arrange,
    loads_at,
)
from .scenario_session import Session, UpstreamRun, fetch_all_runs
from .scenario_steps import publish
from .startup import running

LOAD_FACTORS = (0.5, 1.0, 1.5, 2.0)
DURATION_MS = 10_000.0
QUICK_MS = 6_000.0
WARM_UP_MS = 3_000.0
WARM_UP_FACTOR = 0.6
WARM_UP_SEED = 5_000
READY_WAIT_S = 1.5
PAUSE_S = 1.0


@dataclass(frozen=True)
class Row:
    """Results of one policy, load and seed.

    Parameters
    ----------
    factor : float
        The load as a multiple of the capacity.
    goodput_per_s : float
        Complete answers in time per second, once the load has settled.
    refused_p50_ms, refused_p95_ms : float
        Time from sending a request to its refusal; NaN without refusals.
    large, small : float
        The share of the organisations' requests answered completely and in time.
    worst_small : float
        The lowest such share of a single small organisation.
    costs : dict of str to Cost
        Useful and wasted work of the upstreams by stage.
    results : dict of str to int
        Number of requests by result.
    """

    policy: str
    factor: float
    seed: int
    requests: int
    goodput_per_s: float
    refused_p50_ms: float
    refused_p95_ms: float
    large: float
    small: float
    worst_small: float
    costs: dict[str, Cost]
    results: dict[str, int]


async def measure(
    policy: Policy,
    factors: Sequence[float],
    seed: int,
    duration_ms: float,
    folder: Path,
) -> list[Row]:
    """Measure one policy and seed at every load, one after another."""
    rows: list[Row] = []
    async with (
        running(arrange(policy), folder) as fleet,
        anyio.create_task_group() as tasks,
    ):
        balancer = Balancer(fleet, random.Random(seed))
        session = Session(fleet, tasks, balancer, fleet.objects)
        await publish(session)
        await anyio.sleep(READY_WAIT_S)
        await balancer.check()
        await run_at(session, WARM_UP_FACTOR, WARM_UP_MS, seed + WARM_UP_SEED)
        for factor in factors:
            started_ms = wall_ms()
            records = await run_at(session, factor, duration_ms, seed)
            await anyio.sleep(PAUSE_S)
            runs = [
                run for run in await fetch_all_runs(session) if run.at_ms >= started_ms
            ]
            row = row_of(policy, factor, seed, duration_ms, records, runs)
            print(f"{policy.name}, {factor}, seed {seed}: {row.results}", flush=True)
            rows.append(row)
        tasks.cancel_scope.cancel()
    return rows


async def run_at(
    session: Session, factor: float, duration_ms: float, seed: int
) -> list[LoadRecord]:
    """Send requests at a multiple of the capacity; return one record per load."""
    loads = loads_at(factor, duration_ms, seed)
    records = [LoadRecord() for _ in loads]
    async with anyio.create_task_group() as tasks:
        for load, record in zip(loads, records, strict=True):
            tasks.start_soon(run_load, load, session.balancer.send, record)
    return records


def row_of(
    policy: Policy,
    factor: float,
    seed: int,
    duration_ms: float,
    records: Sequence[LoadRecord],
    runs: Sequence[UpstreamRun],
) -> Row:
    """Compute the figures of one policy, load and seed."""
    replies = [reply for record in records for reply in record.replies]
    refused_ms = [
        reply.latency_ms for reply in replies if reply.result is Result.REFUSED
    ]
    counted_s = (duration_ms - DEADLINE_MS) / 1000.0
    goodput = sum(counted_good(record, duration_ms) for record in records)
    return Row(
        policy.name,
        factor,
        seed,
        len(replies),
        goodput / counted_s,
        quantile(refused_ms, 0.5),
        quantile(refused_ms, 0.95),
        attained(replies, (LARGE,)),
        attained(replies, SMALL),
        min(attained(replies, (name,)) for name in SMALL),
        costs_of(replies, runs),
        results_of(replies),
    )


def counted_good(record: LoadRecord, duration_ms: float) -> int:
    """Return the number of answers in time that came while the load was steady.

    Queues fill during the first deadline's time and drain after the last arrival;
    counting either would overstate the goodput of an overloaded system.
    """
    ended_ms = [
        sent_ms + reply.latency_ms
        for sent_ms, reply in zip(record.sent_ms, record.replies, strict=True)
        if reply.good
    ]
    return sum(DEADLINE_MS <= at_ms < duration_ms for at_ms in ended_ms)


def attained(replies: Sequence[Reply], organisations: Sequence[str]) -> float:
    """Return the share of the organisations' requests that was answered in time."""
    own = [reply for reply in replies if organisation_of(reply) in organisations]
    return sum(reply.good for reply in own) / max(1, len(own))


def organisation_of(reply: Reply) -> str:
    """Return the organisation whose key the request carried."""
    return reply.sent.key.removesuffix("-example-key")


def costs_of(replies: Sequence[Reply], runs: Sequence[UpstreamRun]) -> dict[str, Cost]:
    """Return the useful and the wasted work of each stage."""
    good = {reply.body["request"] for reply in replies if reply.good}
    useful: dict[str, float] = defaultdict(float)
    wasted: dict[str, float] = defaultdict(float)
    for run in runs:
        work_ms = max(0, (run.ended_ms or run.at_ms) - run.at_ms)
        is_useful = run.attempt.split(".")[0] in good and run.outcome == "answered"
        (useful if is_useful else wasted)[run.stage] += work_ms
    stages = sorted({*useful, *wasted})
    return {stage: Cost(useful[stage], wasted[stage]) for stage in stages}


def results_of(replies: Sequence[Reply]) -> dict[str, int]:
    """Return the number of requests by result."""
    results: dict[str, int] = defaultdict(int)
    for reply in replies:
        late = "late" if reply.late else ""
        results[" ".join((reply.result, reply.code, reply.ran, late)).strip()] += 1
    return dict(results)


def spread(values: Sequence[float], scale: float = 1.0) -> str:
    """Return mean, lowest and highest of the values that are not NaN, as text."""
    known = [value * scale for value in values if value == value]
    if not known:
        return "-"
    return f"{statistics.mean(known):.0f} ({min(known):.0f}-{max(known):.0f})"


def table(rows: Sequence[Row]) -> str:
    """Return the tables in Markdown: mean, lowest and highest value over the seeds."""
    head = (
        "| load | policy | goodput, % of capacity | refused p50, ms | p95, ms "
        "| large, % in time | small, % | worst small, % | wasted work, % |"
    )
    lines = [head, "|" + " --- |" * 9]
    groups: dict[tuple[float, str], list[Row]] = defaultdict(list)
    for row in rows:
        groups[row.factor, row.policy].append(row)
    costs = ["", "| load | policy | stage | useful, s | wasted, s |"]
    costs.append("|" + " --- |" * 5)
    for (factor, policy), group in sorted(groups.items()):
        cells = [
            spread([item.goodput_per_s for item in group], 100.0 / CAPACITY_PER_S),
            spread([item.refused_p50_ms for item in group]),
            spread([item.refused_p95_ms for item in group]),
            spread([item.large for item in group], 100.0),
            spread([item.small for item in group], 100.0),
            spread([item.worst_small for item in group], 100.0),
            spread([wasted_part(item) for item in group], 100.0),
        ]
        lines.append(f"| {factor} | {policy} | " + " | ".join(cells) + " |")
        costs += cost_lines(factor, policy, group)
    return "\n".join([*lines, *costs]) + "\n"


def cost_lines(factor: float, policy: str, group: Sequence[Row]) -> list[str]:
    """Return a table row for each stage with mean useful and wasted work over seeds."""
    lines = []
    for stage in sorted({name for row in group for name in row.costs}):
        costs = [row.costs.get(stage, Cost()) for row in group]
        useful_s = statistics.mean(cost.useful_ms for cost in costs) / 1000.0
        wasted_s = statistics.mean(cost.wasted_ms for cost in costs) / 1000.0
        cells = f"{useful_s:.1f} | {wasted_s:.1f}"
        lines.append(f"| {factor} | {policy} | {stage} | {cells} |")
    return lines


def wasted_part(row: Row) -> float:
    """Return the share of upstream work that led to no answer in time, 0 to 1."""
    useful_ms = sum(cost.useful_ms for cost in row.costs.values())
    wasted_ms = sum(cost.wasted_ms for cost in row.costs.values())
    return wasted_ms / max(1.0, useful_ms + wasted_ms)


async def measure_all(
    policies: Sequence[Policy],
    factors: Sequence[float],
    seeds: Sequence[int],
    duration_ms: float,
    folder: Path,
) -> list[Row]:
    """Measure every policy and seed, one after another."""
    rows: list[Row] = []
    for seed in seeds:
        for number, policy in enumerate(policies):
            run_folder = folder / f"{number}-{seed}"
            rows += await measure(policy, factors, seed, duration_ms, run_folder)
    return rows


def main(seeds: int = 3, quick: bool = False, policy: str = "") -> None:
    """Measure, and write out/overload.md and out/overload.json.

    Parameters
    ----------
    seeds : int
        Number of seeds for each policy.
    quick : bool
        Measure one seed for a shorter time, at the lowest and the highest load only.
    policy : str
        Name of the policy to measure; empty for all.
    """
    chosen = [item for item in POLICIES if policy in ("", item.name)]
    factors = (LOAD_FACTORS[0], LOAD_FACTORS[-1]) if quick else LOAD_FACTORS
    numbers = range(1, 2 if quick else seeds + 1)
    duration_ms = QUICK_MS if quick else DURATION_MS
    with tempfile.TemporaryDirectory(prefix="cuminstile-overload-") as folder:
        rows = anyio.run(
            measure_all, chosen, factors, tuple(numbers), duration_ms, Path(folder)
        )
    out = ROOT / "out"
    out.mkdir(exist_ok=True)
    text = table(rows)
    (out / "overload.md").write_text(text)
    content = json.dumps([asdict(row) for row in rows], indent=2)
    (out / "overload.json").write_text(content + "\n")
    print(f"\ncapacity {CAPACITY_PER_S:.1f} requests/s\n\n{text}")


if __name__ == "__main__":
    fire.Fire(main)

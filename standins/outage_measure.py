"""Measure what is answered and refused while the platform is unavailable or slow."""

import json
import tempfile
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import anyio
import fire

from .caller import Result
from .claims_measure import BOOKING, LOOKUP, arrange, latencies_ms, quantile, run_at
from .demo import publish
from .fleet import PLATFORM, Fleet
from .load import LoadRecord, RequestKind
from .startup import running

RATE_PER_S = 20.0
SETTLE_MS = 3_000
HEALTHY: Mapping[str, Any] = {
    "outage": False,
    "append_delay_ms": 0,
    "answer_delay_ms": 0,
    "read_delay_ms": 0,
    "lose_answers": 0.0,
}
STATES: Mapping[str, Mapping[str, Any]] = {
    "healthy": {},
    "slow: 300 ms": {"append_delay_ms": 300, "read_delay_ms": 300},
    "slow: 1000 ms": {"append_delay_ms": 1_000, "read_delay_ms": 1_000},
    "half the answers lost": {"lose_answers": 0.5},
    "away, refusing": {"outage": "refuse"},
    "away, hanging": {"outage": "hang"},
}


@dataclass(frozen=True)
class Row:
    """Results of one kind of request in one state of the platform.

    Parameters
    ----------
    answered : float
        The share answered, 0 to 1.
    refused : str
        Number of requests by error code, or result without one, and run status.
    answer_p50_ms, answer_p95_ms, refusal_p95_ms : float
        Latencies of answers, and of all other requests.
    """

    state: str
    kind: str
    sent: int
    answered: float
    answer_p50_ms: float
    answer_p95_ms: float
    refusal_p95_ms: float
    refused: str


async def measure_kind(fleet: Fleet, state: str, kind: RequestKind, seed: int) -> Row:
    """Send one kind of request in the current state and return its figures."""
    record = await run_at(fleet, kind, RATE_PER_S, seed)
    return row_of(state, kind.pipeline, record)


def row_of(state: str, kind: str, record: LoadRecord) -> Row:
    """Compute the figures of one load."""
    answers = latencies_ms(record)
    refusals = [item for item in record.replies if item.result is not Result.ANSWERED]
    reasons = Counter(f"{item.code or item.result} {item.ran}" for item in refusals)
    return Row(
        state,
        kind,
        len(record.replies),
        round(len(answers) / len(record.replies), 4),
        round(quantile(answers, 0.5), 1),
        round(quantile(answers, 0.95), 1),
        round(quantile([item.latency_ms for item in refusals], 0.95), 1),
        ", ".join(f"{count} {word}" for word, count in sorted(reasons.items())),
    )


async def measure(folder: Path) -> list[Row]:
    """Start the system and measure it in each state of the platform."""
    rows: list[Row] = []
    async with running(arrange(0.0), folder) as fleet:
        await publish(fleet)
        await run_at(fleet, BOOKING, RATE_PER_S, 0)
        for number, (state, values) in enumerate(STATES.items(), 1):
            await fleet.control(PLATFORM, **values)
            await anyio.sleep(SETTLE_MS / 1000.0)
            for kind in (LOOKUP, BOOKING):
                rows.append(await measure_kind(fleet, state, kind, number))
            await fleet.control(PLATFORM, **HEALTHY)
            await anyio.sleep(SETTLE_MS / 1000.0)
    return rows


def show(rows: Sequence[Row]) -> None:
    """Print the table."""
    print(
        "| platform | request | answered | p50 ms | p95 ms | refusal p95 ms | refused |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for row in rows:
        print(
            f"| {row.state} | {row.kind} | {row.answered:.1%} of {row.sent} |"
            f" {row.answer_p50_ms} | {row.answer_p95_ms} | {row.refusal_p95_ms} |"
            f" {row.refused} |"
        )


def main(output: str = "") -> None:
    """Measure service while the platform is unavailable or slow.

    Parameters
    ----------
    output : str
        JSON file for the figures; empty for none.
    """
    with tempfile.TemporaryDirectory(prefix="cuminstile-outage-") as folder:
        rows = anyio.run(measure, Path(folder))
    show(rows)
    if output:
        data = json.dumps([asdict(row) for row in rows], indent=2)
        Path(output).write_text(data + "\n")


if __name__ == "__main__":
    fire.Fire(main)

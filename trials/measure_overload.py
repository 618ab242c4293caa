"""Compare admission and queue orders under overload over several seeds."""

import statistics
from collections.abc import Sequence

import anyio
import fire

from cuminstile.settings import LimitSettings, QueueOrder

from .overload import attained, goodput, refused_after_ms, running, wasted

FACTORS = (0.5, 1.0, 1.5, 2.0, 4.0)
DURATION_MS = 12_000.0
POLICIES = {
    "predicted": LimitSettings(),
    "fair shares": LimitSettings(predict=False),
    "earliest first": LimitSettings(predict=False, order=QueueOrder.EARLIEST_FIRST),
    "first come": LimitSettings(predict=False, order=QueueOrder.FIRST_COME),
}


async def figures(limits: LimitSettings, factor: float, seed: int) -> list[float]:
    """Return the figures of one trial in the order of the table's columns."""
    with running(limits, seed) as trial:
        await trial.load(factor, DURATION_MS)
    refused_ms = refused_after_ms(trial)
    return [
        100.0 * goodput(trial, DURATION_MS),
        statistics.median(refused_ms) if refused_ms else float("nan"),
        100.0 * attained(trial, is_large=True),
        100.0 * attained(trial, is_large=False),
        100.0 * wasted(trial),
    ]


def spread(values: Sequence[float]) -> str:
    """Return the mean with the lowest and the highest value."""
    known = [value for value in values if value == value]
    if not known:
        return "-"
    return f"{statistics.mean(known):.0f} ({min(known):.0f}-{max(known):.0f})"


def main(seeds: int = 5) -> None:
    """Print a Markdown table: mean, lowest and highest value over the seeds."""
    print(
        "| load | policy | goodput, % of capacity | refused after, median ms "
        "| large, % in time | small, % | wasted work, % |"
    )
    print("|" + " --- |" * 7)
    for factor in FACTORS:
        for name, limits in POLICIES.items():
            rows = [
                anyio.run(figures, limits, factor, seed) for seed in range(1, seeds + 1)
            ]
            cells = (spread(column) for column in zip(*rows, strict=True))
            print(f"| {factor} | {name} | {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    fire.Fire(main)

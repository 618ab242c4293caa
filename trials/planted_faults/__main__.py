"""Count the seeds and seconds after which the soak finds each planted fault."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from pathlib import Path

import fire

from standins.soak.soak import cancel_on_signals, soak

from .faults import FAULTS, PlantedFault


async def seek(
    fault: PlantedFault,
    seeds: int,
    seconds: float,
    folder: Path,
    without: frozenset[str],
) -> str:
    """Return the row of a fault in a Markdown table."""
    cancel_on_signals()
    program = folder / fault.name.replace(" ", "-")
    fault.plant(program)
    began_s = time.monotonic()
    for seed in range(1, seeds + 1):
        out = program / f"seed-{seed}"
        outcome = await soak(seed, seconds, out, program=program, without=without)
        taken_s = time.monotonic() - began_s
        counts = Counter(finding.check for finding in outcome.findings)
        if counts:
            checks = ", ".join(f"`{name}` {count}" for name, count in counts.items())
            return f"| {fault.name} | {seed} | {taken_s:.0f} | {checks} |"
    return f"| {fault.name} | none of {seeds} | {taken_s:.0f} | |"


def main(
    seeds: int = 20,
    seconds: float = 12.0,
    out: str = "soak-out/planted",
    without: str = "",
    only: str = "",
) -> None:
    """Print a row for each planted fault.

    Parameters
    ----------
    seeds : int
        Seeds that are tried at most, from 1 on.
    seconds : float
        Length of each soak, s.
    without : str
        Names of faults, ways to answer and habits that are left out, with commas.
    only : str
        Part of the names of the planted faults to try; empty for all.
    """
    left_out = frozenset(name for name in without.split(",") if name)
    for fault in FAULTS:
        if only in fault.name:
            row = asyncio.run(seek(fault, seeds, seconds, Path(out), left_out))
            print(row, flush=True)


if __name__ == "__main__":
    fire.Fire(main)

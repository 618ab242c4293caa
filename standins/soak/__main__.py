"""Command line of the soak: seeds in, one line an outcome and all findings out."""

from __future__ import annotations

import argparse
import asyncio
import sys
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import asdict
from pathlib import Path
from typing import NoReturn

from .callers import HABITS
from .checks import Finding
from .drawing import STAGE_WEIGHTS, WEIGHTS
from .drills import DRILLS
from .faults import FAULTS
from .fleet import ROOT
from .observations import Record
from .shrink import shrink_soak
from .soak import Outcome, cancel_on_signals, soak

BAD_OPTION_STATUS = 2
FOUND_STATUS = 1
STOPPED_STATUS = 130
AROUND_S = 5.0
"""Observations this long before and after a finding are printed with it."""
MOST_LINES = 40
MOST_FINDINGS = 3
"""Findings of one check that are printed; the others are counted."""


class OptionParser(argparse.ArgumentParser):
    """Parser that reports a bad option as one line with a code."""

    def error(self, message: str) -> NoReturn:
        """Print one line and exit."""
        print(f"soak: bad_option: {message}", file=sys.stderr)
        raise SystemExit(BAD_OPTION_STATUS)


def parse_seeds(text: str) -> range:
    """Return the seeds of `A-B`."""
    first, _, last = text.partition("-")
    if not (first.isdigit() and last.isdigit()) or int(last) < int(first):
        raise argparse.ArgumentTypeError(f"{text!r} is not of the form A-B")
    return range(int(first), int(last) + 1)


def parse_seed(text: str) -> range:
    """Return one seed as a range."""
    if not text.isdigit():
        raise argparse.ArgumentTypeError(f"{text!r} is not a whole number")
    return range(int(text), int(text) + 1)


def parse_seconds(text: str) -> float:
    """Return a number of seconds from 1 to 3,600."""
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 1.0 <= seconds <= 3_600.0:
        raise argparse.ArgumentTypeError(f"{text!r} is not from 1 to 3600")
    return seconds


def parse_program(text: str) -> Path:
    """Return a folder that holds the program."""
    folder = Path(text).resolve()
    if not (folder / "cuminstile" / "platform" / "__main__.py").is_file():
        raise argparse.ArgumentTypeError(f"{text!r} holds no cuminstile/platform")
    return folder


def parse_name(text: str) -> str:
    """Return the name of a fault, a way to answer or a habit of callers."""
    ways = {way.__name__ for way in (*WEIGHTS, *STAGE_WEIGHTS)}
    known = {*FAULTS, *DRILLS, *ways, *HABITS}
    if text not in known:
        names = ", ".join(sorted(known))
        raise argparse.ArgumentTypeError(f"{text!r} is none of {names}")
    return text


def make_parser() -> OptionParser:
    """Return the parser of the options."""
    parser = OptionParser(prog="script/soak", description=__doc__, allow_abbrev=False)
    seeds = parser.add_mutually_exclusive_group()
    seeds.add_argument("--seed", dest="seeds", type=parse_seed, metavar="N")
    seeds.add_argument("--seeds", dest="seeds", type=parse_seeds, metavar="A-B")
    parser.add_argument("--seconds", type=parse_seconds, default=20.0, metavar="S")
    parser.add_argument("--large", action="store_true", help="4 VMs instead of 2")
    parser.add_argument("--out", type=Path, default=Path("soak-out"), metavar="DIR")
    parser.add_argument("--program", type=parse_program, default=ROOT, metavar="DIR")
    parser.add_argument(
        "--stops", action="store_true", help="stop VMs in series with each seed"
    )
    parser.add_argument(
        "--drills", action="store_true", help="have drills with each seed"
    )
    parser.add_argument(
        "--without", type=parse_name, action="append", default=[], metavar="NAME"
    )
    parser.add_argument(
        "--shrink", action="store_true", help="leave out what a finding does not need"
    )
    return parser


def lines_around(record: Record, finding: Finding) -> Iterator[str]:
    """Return the observations around a finding: its request's and all faults."""
    for observation in record.observations:
        if abs(observation.at_s - finding.at_s) > AROUND_S:
            continue
        text = f"{type(observation).__name__} {asdict(observation)}"
        if not finding.attempt or finding.attempt in text or "'fault'" in text:
            yield f"    {text[:400]}"


def report(outcome: Outcome) -> None:
    """Print an outcome and its findings."""
    print(
        f"seed {outcome.seed}: {outcome.sent} sent, {outcome.received} answered,"
        f" {outcome.succeeded} succeeded, {outcome.runs} runs,"
        f" {len(outcome.findings)} findings",
        flush=True,
    )
    counts = Counter(finding.check for finding in outcome.findings)
    print(f"  {dict(counts)}")
    shown: Counter[str] = Counter()
    for finding in outcome.findings:
        shown[finding.check] += 1
        if shown[finding.check] > MOST_FINDINGS:
            continue
        print(f"  {finding.at_s:.3f} s {finding.check} {finding.attempt}")
        print(f"    {finding.text}")
        for line in list(lines_around(outcome.record, finding))[:MOST_LINES]:
            print(line)


async def run_seeds(options: argparse.Namespace) -> int:
    """Run one seed after the other and return the exit status."""
    cancel_on_signals()
    status = 0
    for seed in options.seeds or range(1):
        try:
            found = await run_seed(options, seed)
        except asyncio.CancelledError:
            print("soak: stopped", file=sys.stderr)
            return STOPPED_STATUS
        if found:
            status = FOUND_STATUS
    return status


async def run_seed(options: argparse.Namespace, seed: int) -> bool:
    """Run and report one seed, shrunk if asked for; return whether it has findings."""
    began_s = time.monotonic()
    folder = options.out / f"seed-{seed}"
    without = frozenset(options.without)

    async def run_without(left_out: frozenset[str], out: Path) -> Outcome:
        return await soak(
            seed,
            options.seconds,
            out,
            options.large,
            options.program,
            left_out,
            options.stops or None,
            options.drills or None,
        )

    outcome = await run_without(without, folder)
    report(outcome)
    print(f"  took {time.monotonic() - began_s:.1f} s", flush=True)
    if options.shrink and outcome.findings:
        shrunk = options.out / f"seed-{seed}-shrunk"
        kept = await shrink_soak(outcome, run_without, shrunk, without)
        print(f"  {outcome.findings[0].check} needs {', '.join(kept) or 'nothing'}")
    return bool(outcome.findings)


def main() -> None:
    """Run the command."""
    options = make_parser().parse_args()
    sys.exit(asyncio.run(run_seeds(options)))


if __name__ == "__main__":
    main()

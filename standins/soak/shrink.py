"""Leave out faults, ways to answer and habits of callers while a finding stays."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from pathlib import Path

from .callers import HABITS
from .drawing import STAGE_WEIGHTS, WEIGHTS
from .drills import DRILLS
from .faults import FAULTS
from .soak import Outcome

TRIES = 2
"""Soaks with the same names; what meets what depends on the machine."""
StaysFound = Callable[[list[str]], Awaitable[bool]]
RunWithout = Callable[[frozenset[str], Path], Awaitable[Outcome]]
"""Runs the soak of a seed without some names, into a folder."""


def names_to_leave_out() -> list[str]:
    """Return the names that a soak can do without, in a fixed sequence."""
    ways = [way.__name__ for weights in (WEIGHTS, STAGE_WEIGHTS) for way in weights]
    always = {next(iter(weights)).__name__ for weights in (WEIGHTS, STAGE_WEIGHTS)}
    return [
        *FAULTS,
        *DRILLS,
        *(way for way in ways if way not in always),
        *sorted(HABITS),
    ]


async def shrink_names(names: list[str], stays_found: StaysFound) -> list[str]:
    """Return the names that are left if whatever is not needed is dropped.

    Halves are tried first, then ever smaller parts, down to single names.
    """
    kept = list(names)
    size = (len(kept) + 1) // 2
    while size:
        start = 0
        while start < len(kept):
            fewer = kept[:start] + kept[start + size :]
            if await stays_found(fewer):
                kept = fewer
            else:
                start += size
        size //= 2
    return kept


async def shrink_soak(
    outcome: Outcome, run_without: RunWithout, folder: Path, without: frozenset[str]
) -> list[str]:
    """Return the names that the first finding of an outcome needs, from soaks with few.

    Parameters
    ----------
    without : frozenset of str
        Names that the soak was run without already.
    """
    check = outcome.findings[0].check
    names = [name for name in names_to_leave_out() if name not in without]

    async def stays_found(kept: list[str]) -> bool:
        left_out = without | (set(names) - set(kept))
        for _ in range(TRIES):
            tried = await run_without(frozenset(left_out), folder)
            found = any(finding.check == check for finding in tried.findings)
            print(f"  {'found' if found else 'not found'} with {', '.join(kept)}")
            if found:
                return True
        return False

    return await shrink_names(names, stays_found)

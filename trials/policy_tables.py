"""Run each policy of a study over several seeds and print tables and JSON."""

from __future__ import annotations

import dataclasses
import json
import math
import statistics
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Generic, TypeVar

import anyio

Case = TypeVar("Case")
Policy = TypeVar("Policy")


def figure(heading: str, digits: int = 2) -> Any:
    """Return a data class field that becomes a column of the table."""
    return field(metadata={"heading": heading, "digits": digits})


@dataclass(frozen=True)
class Study(Generic[Case, Policy]):
    """Comparison of policies.

    Parameters
    ----------
    run : callable
        Runs one case with one policy and one seed. It returns a data class whose
        fields are made by `figure`.
    """

    cases: Mapping[str, Case]
    policies: Mapping[str, Policy]
    run: Callable[[Case, Policy, int], Awaitable[Any]]


@dataclass(frozen=True)
class Spread:
    """One figure over all seeds; None stands for a time that never came."""

    figure: str
    mean: float | None
    lowest: float | None
    highest: float | None


@dataclass(frozen=True)
class Row:
    """Figures of one policy in one case."""

    case: str
    policy: str
    seeds: int
    spreads: tuple[Spread, ...]


def measure(study: Study[Any, Any], seeds: int, case: str, policy: str) -> list[Row]:
    """Run a study, print each row as soon as it is known and return all rows.

    Parameters
    ----------
    case, policy : str
        The only case or policy to run; empty for all.
    """
    rows: list[Row] = []
    for case_name, chosen_case in study.cases.items():
        if case not in ("", case_name):
            continue
        for policy_name, chosen in study.policies.items():
            if policy not in ("", policy_name):
                continue
            results = [
                anyio.run(study.run, chosen_case, chosen, seed) for seed in range(seeds)
            ]
            if not rows:
                print_head(results[0])
            spreads = spreads_of(results)
            rows.append(Row(case_name, policy_name, seeds, spreads))
            print_row(rows[-1], results[0])
    return rows


def print_head(result: Any) -> None:
    """Print the header of a Markdown table."""
    headings = [item.metadata["heading"] for item in dataclasses.fields(result)]
    cells = ["case", "policy", *headings]
    print(f"| {' | '.join(cells)} |")
    print(f"| {' | '.join('---' for _ in cells)} |", flush=True)


def print_row(row: Row, result: Any) -> None:
    """Print one row: the mean and, in brackets, the lowest and the highest value."""
    digits = [item.metadata["digits"] for item in dataclasses.fields(result)]
    spreads = zip(row.spreads, digits, strict=True)
    cells = [row.case, row.policy, *(cell(item, places) for item, places in spreads)]
    print(f"| {' | '.join(cells)} |", flush=True)


def cell(spread: Spread, digits: int) -> str:
    """Return the text of one table cell."""

    def text(value: float | None) -> str:
        return "never" if value is None else f"{value:.{digits}f}"

    if spread.lowest == spread.highest:
        return text(spread.mean)
    return f"{text(spread.mean)} ({text(spread.lowest)}-{text(spread.highest)})"


def spreads_of(results: Sequence[Any]) -> tuple[Spread, ...]:
    """Return the mean, the lowest and the highest value of each figure."""
    spreads: list[Spread] = []
    for item in dataclasses.fields(results[0]):
        values = [float(getattr(result, item.name)) for result in results]
        numbers = (statistics.fmean(values), min(values), max(values))
        shown = [None if math.isinf(value) else value for value in numbers]
        spreads.append(Spread(item.metadata["heading"], *shown))
    return tuple(spreads)


def as_json(rows: Sequence[Row]) -> str:
    """Return the rows as JSON."""
    return json.dumps([dataclasses.asdict(row) for row in rows], indent=1)

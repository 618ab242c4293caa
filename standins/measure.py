"""Measure deadline attainment and cost by policy while a data centre is taken out."""

import json
import statistics
import tempfile
from collections.abc import Callable, Sequence
from dataclasses import asdict
from pathlib import Path

import anyio
import fire
from matplotlib.figure import Figure

from .fleet import ROOT
from .measure_firms import FIRMS
from .measure_run import RunFigures, measure

CHOICES = ("prefix_affinity", "least_loaded", "least_in_flight", "round_robin")
OUT = ROOT / "out"
PHASES = ("before", "leaving", "out", "returning")
DURATION_MS = 12_000.0
QUICK_MS = 8_000.0


def spread(values: Sequence[float], scale: float = 100.0) -> str:
    """Return mean, lowest and highest of the values times `scale`, as text."""
    low, high = min(values) * scale, max(values) * scale
    return f"{statistics.mean(values) * scale:5.1f} ({low:.1f}-{high:.1f})"


def of_policy(
    all_figures: Sequence[RunFigures], firm: str, choice: str
) -> list[RunFigures]:
    """Return the figures of one firm and one policy of choice."""
    return [item for item in all_figures if item.firm == firm and item.choice == choice]


def table(all_figures: Sequence[RunFigures]) -> str:
    """Return the tables as text: mean, lowest and highest value over the seeds."""
    lines = ["requests answered whole and in time, % (lowest-highest over seeds)", ""]
    head = "".join(f"{name:>22}" for name in ("all", *PHASES))
    lines.append(f"{'firm':12}{'choice':16}{head}{'p95 ms':>10}{'wasted %':>10}")
    for firm in FIRMS:
        for choice in CHOICES:
            group = of_policy(all_figures, firm.name, choice)
            if group:
                lines.append(row(firm.name, choice, group))
    lines += ["", "work by stage, ms per request, useful + wasted", ""]
    for firm in FIRMS:
        for choice in CHOICES:
            group = of_policy(all_figures, firm.name, choice)
            if group:
                lines.append(f"{firm.name:12}{choice:16}{cost_text(group)}")
    return "\n".join([*lines, "", weakest(all_figures)]) + "\n"


def row(firm: str, choice: str, group: Sequence[RunFigures]) -> str:
    """Return one row of the attainment table."""
    values = [[item.attained for item in group]]
    values += [[getattr(item, phase) for item in group] for phase in PHASES]
    cells = "".join(f"{spread(item):>22}" for item in values)
    p95_ms = statistics.mean(item.p95_ms for item in group)
    wasted = statistics.mean(wasted_part(item) for item in group)
    return f"{firm:12}{choice:16}{cells}{p95_ms:10.0f}{100.0 * wasted:10.1f}"


def wasted_part(item: RunFigures) -> float:
    """Return the share of upstream work that led to no answer in time, 0 to 1."""
    useful = sum(cost.useful_ms for cost in item.costs.values())
    wasted = sum(cost.wasted_ms for cost in item.costs.values())
    return wasted / max(1.0, useful + wasted)


def cost_text(group: Sequence[RunFigures]) -> str:
    """Return the mean useful and wasted work per request of each stage, as text."""
    requests = sum(item.requests for item in group)
    stages = sorted({stage for item in group for stage in item.costs})
    parts = []
    for stage in stages:
        costs = [item.costs[stage] for item in group if stage in item.costs]
        useful = sum(cost.useful_ms for cost in costs) / requests
        wasted = sum(cost.wasted_ms for cost in costs) / requests
        parts.append(f"{stage} {useful:.1f}+{wasted:.1f}")
    return ", ".join(parts)


def weakest(all_figures: Sequence[RunFigures]) -> str:
    """Return the firm and phase with the lowest attainment with the default policy."""
    found = [
        (statistics.mean(getattr(item, phase) for item in group), firm.name, phase)
        for firm in FIRMS
        for phase in PHASES
        if (group := of_policy(all_figures, firm.name, CHOICES[0]))
    ]
    value, firm_name, phase = min(found)
    lost: dict[str, int] = {}
    for item in of_policy(all_figures, firm_name, CHOICES[0]):
        for result, count in item.results.items():
            lost[result] = lost.get(result, 0) + count
    lost.pop("answered", None)
    causes = ", ".join(f"{count} {name}" for name, count in sorted(lost.items()))
    return (
        f"Weakest with {CHOICES[0]}: {firm_name}, {phase}: {100.0 * value:.1f} %"
        f" in time. Other results over all phases: {causes or 'none'}."
    )


def plot(all_figures: Sequence[RunFigures], path: Path) -> None:
    """Plot attainment by phase of the run for each firm and policy."""
    figure = Figure(figsize=(10, 4.5), layout="constrained")
    axes = figure.subplots(1, len(FIRMS), sharey=True)
    width = 0.8 / len(CHOICES)
    for axis, firm in zip(axes, FIRMS, strict=True):
        for index, choice in enumerate(CHOICES):
            group = of_policy(all_figures, firm.name, choice)
            if not group:
                continue
            values = [[100 * getattr(g, phase) for g in group] for phase in PHASES]
            means = [statistics.mean(item) for item in values]
            low = [m - min(v) for m, v in zip(means, values, strict=True)]
            high = [max(v) - m for m, v in zip(means, values, strict=True)]
            places = [n + (index - 1) * width for n in range(len(PHASES))]
            axis.bar(places, means, width, yerr=[low, high], capsize=3, label=choice)
        axis.set_xticks(range(len(PHASES)), PHASES)
        axis.set_title(firm.name)
        axis.set_ylim(0, 105)
    axes[0].set_ylabel("answered whole and in time, %")
    axes[0].legend(loc="lower left")
    figure.suptitle("A data centre is taken out and back, under a burst and failures")
    figure.savefig(path, dpi=110)


async def measure_all(
    seeds: Sequence[int], choices: Sequence[str], duration_ms: float, folder: Path
) -> list[RunFigures]:
    """Measure every combination of firm, policy and seed, one after another."""
    all_figures: list[RunFigures] = []
    for firm in FIRMS:
        for choice in choices:
            for seed in seeds:
                run_folder = folder / f"{firm.name}-{choice}-{seed}"
                found = await measure(firm, choice, seed, duration_ms, run_folder)
                print(
                    f"{run_folder.name}: {100 * found.attained:.1f} % in time",
                    flush=True,
                )
                all_figures.append(found)
    return all_figures


def write(all_figures: Sequence[RunFigures], show: Callable[[str], None]) -> None:
    """Write tables and plot to `out/` and show the tables."""
    OUT.mkdir(exist_ok=True)
    text = table(all_figures)
    (OUT / "measure.txt").write_text(text)
    rows = [asdict(item) for item in all_figures]
    (OUT / "measure.json").write_text(json.dumps(rows, indent=2) + "\n")
    plot(all_figures, OUT / "measure.png")
    show(f"\n{text}")


def main(seeds: int = 2, quick: bool = False) -> None:
    """Measure and write out/measure.txt, out/measure.json and out/measure.png.

    Parameters
    ----------
    seeds : int
        Number of seeds for each firm and policy.
    quick : bool
        Measure one seed for a shorter time with the default policy only.
    """
    numbers = range(1, 2 if quick else seeds + 1)
    choices = CHOICES[:1] if quick else CHOICES
    duration_ms = QUICK_MS if quick else DURATION_MS
    with tempfile.TemporaryDirectory(prefix="cuminstile-measure-") as folder:
        all_figures = anyio.run(
            measure_all, tuple(numbers), choices, duration_ms, Path(folder)
        )
    write(all_figures, print)


if __name__ == "__main__":
    fire.Fire(main)

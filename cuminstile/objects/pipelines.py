"""Check that the steps of a pipeline fit together."""

from collections.abc import Iterator
from graphlib import CycleError, TopologicalSorter

from ..const import MAX_DEADLINE_MS
from ..exceptions import Finding
from .model import Pipeline
from .parse import PlacedObject

MIN_STEP_MS = 1


def check_pipeline(placed: PlacedObject, pipeline: Pipeline) -> Iterator[Finding]:
    """Yield what is wrong with a pipeline by itself."""
    yield from check_steps(placed, pipeline)
    longest = longest_chain(pipeline)
    if longest is None:
        yield placed.finding(
            "steps", "cycle", f"steps wait for each other: {cycle_of(pipeline)}"
        )
    elif pipeline.deadline_ms < longest * MIN_STEP_MS:
        yield placed.finding(
            "deadline_ms",
            "impossible_deadline",
            f"{longest} steps run one after another; at least"
            f" {longest * MIN_STEP_MS} ms is expected",
        )
    if pipeline.deadline_ms > MAX_DEADLINE_MS:
        yield placed.finding(
            "deadline_ms",
            "impossible_deadline",
            f"no request may take longer than {MAX_DEADLINE_MS} ms; at most that",
        )


def check_steps(placed: PlacedObject, pipeline: Pipeline) -> Iterator[Finding]:
    """Yield duplicate names of steps, and needs of steps that do not exist."""
    names = [step.name for step in pipeline.steps]
    for index, step in enumerate(pipeline.steps):
        if step.name in names[:index]:
            yield placed.finding(
                f"steps[{index}].name",
                "duplicate_name",
                f"step {step.name} stands twice; names differ within a pipeline",
            )
        for need, name in enumerate(step.needs):
            if name not in names:
                yield placed.finding(
                    f"steps[{index}].needs[{need}]",
                    "unknown_reference",
                    f"no step is named {name}; there are: {', '.join(names)}",
                )


def graph_of(pipeline: Pipeline) -> dict[str, set[str]]:
    """Return the steps that each step needs."""
    graph: dict[str, set[str]] = {}
    for step in pipeline.steps:
        graph.setdefault(step.name, set()).update(step.needs)
    return graph


def longest_chain(pipeline: Pipeline) -> int | None:
    """Return how many steps run one after another, or `None` for a cycle."""
    graph = graph_of(pipeline)
    depths: dict[str, int] = {}
    try:
        for name in TopologicalSorter(graph).static_order():
            needs = graph.get(name, set())
            depths[name] = 1 + max((depths[need] for need in needs), default=0)
    except CycleError:
        return None
    return max(depths.values())


def cycle_of(pipeline: Pipeline) -> str:
    """Return the steps of a cycle as one text."""
    try:
        TopologicalSorter(graph_of(pipeline)).prepare()
    except CycleError as error:
        return " -> ".join(error.args[1])
    return ""

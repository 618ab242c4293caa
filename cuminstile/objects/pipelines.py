"""Check that the steps of a pipeline are consistent."""

from collections.abc import Iterator
from graphlib import CycleError, TopologicalSorter

from ..const import MAX_DEADLINE_MS
from ..exceptions import Finding
from .model import Pipeline
from .parse import LocatedObject

MIN_STEP_MS = 1


def check_pipeline(located: LocatedObject, pipeline: Pipeline) -> Iterator[Finding]:
    """Yield the findings about a pipeline by itself."""
    yield from check_steps(located, pipeline)
    longest = longest_path_length(pipeline)
    if longest is None:
        yield located.finding(
            "steps", "cycle", f"the steps form a cycle: {cycle_of(pipeline)}"
        )
    elif pipeline.deadline_ms < longest * MIN_STEP_MS:
        yield located.finding(
            "deadline_ms",
            "impossible_deadline",
            f"{longest} steps run one after another; at least"
            f" {longest * MIN_STEP_MS} ms is expected",
        )
    if pipeline.deadline_ms > MAX_DEADLINE_MS:
        yield located.finding(
            "deadline_ms",
            "impossible_deadline",
            f"the maximum deadline of a request is {MAX_DEADLINE_MS} ms",
        )


def check_steps(located: LocatedObject, pipeline: Pipeline) -> Iterator[Finding]:
    """Yield a finding for each duplicate step name and each need without a step."""
    names = [step.name for step in pipeline.steps]
    for index, step in enumerate(pipeline.steps):
        if step.name in names[:index]:
            yield located.finding(
                f"steps[{index}].name",
                "duplicate_name",
                f"step {step.name} is already defined;"
                " names must be unique within a pipeline",
            )
        for need, name in enumerate(step.needs):
            if name not in names:
                yield located.finding(
                    f"steps[{index}].needs[{need}]",
                    "unknown_reference",
                    f"there is no step {name}; defined are: {', '.join(names)}",
                )


def graph_of(pipeline: Pipeline) -> dict[str, set[str]]:
    """Return the names of the steps that each step needs, by its name."""
    graph: dict[str, set[str]] = {}
    for step in pipeline.steps:
        graph.setdefault(step.name, set()).update(step.needs)
    return graph


def longest_path_length(pipeline: Pipeline) -> int | None:
    """Return the number of steps on the longest path, or `None` for a cycle."""
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
    """Return the names of the steps in a cycle as text; empty if there is none."""
    try:
        TopologicalSorter(graph_of(pipeline)).prepare()
    except CycleError as error:
        return " -> ".join(error.args[1])
    return ""

"""Staged work of one request: a small graph of work items and their results."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

LARGE_BYTES = 200_000
"""Size of the inputs from which a work item runs in the data centre where they are
stored, if time allows; size of its result from which it runs where that is used."""
INFEASIBLE_AFTER_MS = 50.0
"""How far past its latest start an item counts as late; about the spread of call
times."""
SLACK_STEP_MS = 100.0
"""Resolution at which slack is compared; about the interval between two calls."""
LATE_RANK_OFFSET = 1_000
"""Added to the priority of work that was late when it was admitted, so that it ranks
behind all work that can be in time."""


@dataclass(frozen=True, slots=True)
class ChainStage:
    """One stage of one request.

    Parameters
    ----------
    number : int
        The stage's number on its route.
    count : int
        Number of work items in this request, at least 1.
    """

    number: int
    service: str
    after: tuple[int, ...]
    count: int
    result_bytes: int


@dataclass(frozen=True, slots=True)
class Result:
    """One result: its handle, the upstream that stores it, size and data centre."""

    handle: str
    upstream_id: str
    size: int
    data_centre: str = ""


@dataclass(frozen=True, slots=True)
class CompletedItem:
    """A work item that was completed under another scheduler.

    Parameters
    ----------
    stage, number : int
        Position of the item in its chain.
    freed : bool
        Whether its result was released because all items that need it are completed.
    expires_ms : float
        When the result expires, in monotonic ms.
    """

    stage: int
    number: int
    result: Result
    freed: bool
    expires_ms: float


@dataclass(frozen=True, slots=True)
class ChainSpec:
    """Staged work of one request; times are monotonic ms.

    Parameters
    ----------
    id : str
        Unique in this scheduler.
    request_id : str
        The caller's id of the attempt.
    key : str
        Input key of the stages that depend on no other stage.
    priority : int
        0 is the most urgent.
    data_centre : str
        The data centre in which the results are used.
    target_at_ms, expires_at_ms : float
        Until when the answer has its full value, and from when it has none.
    engine_ms : float
        Time that the request needs after its stages.
    completed : tuple of CompletedItem
        Items that were completed before another scheduler handed the work over.
    digest : bytes
        See `crash_state.digest_of`; empty for work that is not guarded.
    """

    id: str
    request_id: str
    key: str
    priority: int
    data_centre: str
    target_at_ms: float
    expires_at_ms: float
    engine_ms: float
    stages: tuple[ChainStage, ...]
    completed: tuple[CompletedItem, ...] = ()
    digest: bytes = b""


@dataclass(eq=False, slots=True)
class WorkItem:
    """State of one work item.

    Parameters
    ----------
    result : Result or None
        Set when the item is completed.
    freed : bool
        Whether the result was released already.
    queued : bool
        Whether the item is in its service's queue.
    data_centre : str
        The data centre in which the item should run, empty for any.
    ready_ms, started_ms, completed_ms : float
        When its inputs were available, when its call began, when it was completed.
    """

    chain: Chain
    stage: ChainStage
    number: int
    latest_start_ms: float
    result: Result | None = None
    freed: bool = False
    running_on: str | None = None
    queued: bool = False
    failures: int = 0
    data_centre: str = ""
    ready_ms: float = 0.0
    started_ms: float = 0.0
    completed_ms: float = 0.0

    def can_start(self) -> bool:
        """Return whether the item is queued and all its inputs are available."""
        return (
            self.queued
            and not self.chain.ended
            and all(self.chain.stage_done(number) for number in self.stage.after)
        )


@dataclass(eq=False, slots=True)
class Chain:
    """State of the staged work of one request.

    Parameters
    ----------
    forecast_ms : float
        Predicted duration of its stages at admission.
    in_time : bool
        Whether it was predicted at admission to be in time.
    open_counts : dict of int to int
        Number of items of each stage without a result.
    """

    spec: ChainSpec
    admitted_ms: float = 0.0
    forecast_ms: float = 0.0
    in_time: bool = True

    items: dict[int, list[WorkItem]] = field(default_factory=dict)
    open_counts: dict[int, int] = field(default_factory=dict)
    ended: bool = False
    recomputations: int = 0

    @property
    def rank(self) -> int:
        """Return the rank among the admitted work; lower ranks go first."""
        return self.spec.priority + (0 if self.in_time else LATE_RANK_OFFSET)

    def is_running(self) -> bool:
        """Return whether any item is in a call."""
        return any(item.running_on for items in self.items.values() for item in items)

    def final_stages(self) -> tuple[ChainStage, ...]:
        """Return the stages that no other stage depends on."""
        followed = {number for stage in self.spec.stages for number in stage.after}
        return tuple(s for s in self.spec.stages if s.number not in followed)

    def add_items(self, stage: ChainStage, items: list[WorkItem]) -> None:
        """Add the items of a stage, none of which has a result."""
        self.items[stage.number] = items
        self.open_counts[stage.number] = len(items)

    def set_result(self, item: WorkItem, result: Result | None) -> None:
        """Set the result of an item, or remove it."""
        change = (item.result is not None) - (result is not None)
        self.open_counts[item.stage.number] += change
        item.result = result

    def stage_done(self, number: int) -> bool:
        """Return whether all items of a stage are completed; true if it has none."""
        return not self.open_counts.get(number)

    def done(self) -> bool:
        """Return whether all items of the final stages are completed."""
        return all(self.stage_done(stage.number) for stage in self.final_stages())

    def outputs(self) -> tuple[Result, ...]:
        """Return the results of the final stages, in order."""
        return tuple(
            item.result
            for stage in self.final_stages()
            for item in self.items[stage.number]
            if item.result
        )


def preferred_data_centre(item: WorkItem) -> str:
    """Return the data centre in which an item moves the fewest bytes.

    Empty if neither its inputs nor its result reach `LARGE_BYTES`.
    """
    sizes: dict[str, int] = {}
    for number in item.stage.after:
        for other in item.chain.items.get(number, ()):
            if other.result:
                data_centre = other.result.data_centre
                sizes[data_centre] = sizes.get(data_centre, 0) + other.result.size
    if sum(sizes.values()) >= LARGE_BYTES:
        return max(sizes, key=lambda data_centre: sizes[data_centre])
    if item.stage.result_bytes >= LARGE_BYTES:
        return item.chain.spec.data_centre
    return ""


def soonest_start_ms(chain: Chain) -> float:
    """Return the latest start of the queued item that has to start first."""
    return min(
        (
            item.latest_start_ms
            for items in chain.items.values()
            for item in items
            if item.queued
        ),
        default=inf,
    )


def has_started(chain: Chain) -> bool:
    """Return whether any item of a chain is completed or in a call."""
    return any(
        item.result or item.running_on
        for items in chain.items.values()
        for item in items
    )


def will_miss_target(chain: Chain, now_ms: float) -> bool:
    """Return whether a chain can no longer meet its target."""
    return soonest_start_ms(chain) + INFEASIBLE_AFTER_MS < now_ms


def will_miss_deadline(chain: Chain, now_ms: float) -> bool:
    """Return whether a chain can no longer be ready before its deadline."""
    spec = chain.spec
    if now_ms >= spec.expires_at_ms:
        return True
    more_ms = spec.expires_at_ms - spec.target_at_ms
    return soonest_start_ms(chain) + more_ms < now_ms


def stage_times(chain: Chain) -> str:
    """Return the waiting time and call time of each stage as text, in ms.

    The form is `number:service:wait+call`, for the item of each stage that was
    completed last. Items that another scheduler completed have no times here.
    """
    parts = []
    for stage in chain.spec.stages:
        completed = [
            item
            for item in chain.items[stage.number]
            if item.result and item.started_ms
        ]
        if completed:
            last = max(completed, key=lambda item: item.completed_ms)
            wait, call = (
                last.started_ms - last.ready_ms,
                last.completed_ms - last.started_ms,
            )
            parts.append(f"{stage.number}:{stage.service}:{wait:.0f}+{call:.0f}")
    return " ".join(parts)

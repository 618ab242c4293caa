"""Hold the staged work of a request: a small graph of pieces and their results."""

from __future__ import annotations

from dataclasses import dataclass, field

LARGE_BYTES = 200_000
"""Size of inputs, or of a result, from which a piece is made in the data centre where
they lie, or where it is used, if time allows."""
HOPELESS_AFTER_MS = 50.0
"""How far past its latest start a piece counts as late; the spread of call times."""
SLACK_STEP_MS = 100.0
"""Slack that differs by less counts as equal; about the gap between two calls."""
LATE_RANK = 1_000
"""Added to the priority of work that was late when it was taken on: it counts behind
all work that may be in time."""


@dataclass(frozen=True, slots=True)
class ChainStage:
    """Describe one stage of one request.

    Parameters
    ----------
    number : int
        The stage's number on its route.
    count : int
        How many pieces it has here, at least 1.
    """

    number: int
    service: str
    after: tuple[int, ...]
    count: int
    result_bytes: int


@dataclass(frozen=True, slots=True)
class Result:
    """Name one result: where it lies, which upstream made it, and its size."""

    handle: str
    upstream_id: str
    size: int
    zone: str = ""


@dataclass(frozen=True, slots=True)
class CompletedItem:
    """Hold a piece that another scheduler has had made.

    Parameters
    ----------
    stage, number : int
        Which piece of a chain it is.
    freed : bool
        Whether its result was given up, as all that needed it is made.
    lapses_ms : float
        When the result lapses, in monotonic ms.
    """

    stage: int
    number: int
    result: Result
    freed: bool
    expires_ms: float


@dataclass(frozen=True, slots=True)
class ChainSpec:
    """Describe the staged work of one request; times are monotonic ms.

    Parameters
    ----------
    id : str
        Unique in this scheduler.
    request_id : str
        The caller's id of the attempt.
    key : str
        What the first stages work on.
    priority : int
        0 is the most urgent.
    zone : str
        The data centre in which the results are used.
    target_at_ms, expires_at_ms : float
        When the whole answer earns its full worth, and when it is worth nothing.
    engine_ms : float
        Time that the request needs after its stages.
    made : tuple of MadePiece
        What another scheduler has had made before it handed the work over.
    """

    id: str
    request_id: str
    key: str
    priority: int
    zone: str
    target_at_ms: float
    expires_at_ms: float
    engine_ms: float
    stages: tuple[ChainStage, ...]
    completed: tuple[CompletedItem, ...] = ()


@dataclass(eq=False, slots=True)
class WorkItem:
    """Hold the state of one piece.

    Parameters
    ----------
    result : Result or None
        Set once it is made.
    freed : bool
        Whether the result was given up already.
    queued : bool
        Whether it stands in its service's queue.
    zone : str
        The data centre in which it had better be made, empty for any.
    ready_ms, started_ms, made_ms : float
        When its inputs were there, when its call began, when it was made.
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
    zone: str = ""
    ready_ms: float = 0.0
    started_ms: float = 0.0
    completed_ms: float = 0.0

    def startable(self) -> bool:
        """Tell whether it waits in a queue and all its inputs are there."""
        return (
            self.queued
            and not self.chain.ended
            and all(self.chain.stage_done(number) for number in self.stage.after)
        )


@dataclass(eq=False, slots=True)
class Chain:
    """Hold the state of the staged work of one request.

    Parameters
    ----------
    forecast_ms : float
        How long its stages were predicted to take when it was admitted.
    in_time : bool
        Whether it was predicted to be in time then.
    """

    spec: ChainSpec
    admitted_ms: float = 0.0
    forecast_ms: float = 0.0
    in_time: bool = True

    items: dict[int, list[WorkItem]] = field(default_factory=dict)
    ended: bool = False
    redone: int = 0

    @property
    def rank(self) -> int:
        """Return the rank among the admitted work, the lowest first."""
        return self.spec.priority + (0 if self.in_time else LATE_RANK)

    def running(self) -> bool:
        """Tell whether a piece is in a call."""
        return any(item.running_on for items in self.items.values() for item in items)

    def leaves(self) -> tuple[ChainStage, ...]:
        """Return the stages that no other stage follows."""
        followed = {number for stage in self.spec.stages for number in stage.after}
        return tuple(s for s in self.spec.stages if s.number not in followed)

    def stage_done(self, number: int) -> bool:
        """Tell whether all pieces of a stage are made; a left-out stage has none."""
        return all(item.result for item in self.items.get(number, ()))

    def done(self) -> bool:
        """Tell whether all pieces are made."""
        return all(self.stage_done(stage.number) for stage in self.leaves())

    def outputs(self) -> tuple[Result, ...]:
        """Return the results of the stages that no other stage follows, in order."""
        return tuple(
            item.result
            for stage in self.leaves()
            for item in self.items[stage.number]
            if item.result
        )


def better_zone(item: WorkItem) -> str:
    """Return the data centre in which a piece moves least, empty if it is little."""
    sizes: dict[str, int] = {}
    for number in item.stage.after:
        for other in item.chain.items.get(number, ()):
            if other.result:
                zone = other.result.zone
                sizes[zone] = sizes.get(zone, 0) + other.result.size
    if sum(sizes.values()) >= LARGE_BYTES:
        return max(sizes, key=lambda zone: sizes[zone])
    if item.stage.result_bytes >= LARGE_BYTES:
        return item.chain.spec.zone
    return ""


def waiting(chain: Chain) -> list[WorkItem]:
    """Return the pieces of a chain that wait in a queue."""
    return [p for items in chain.items.values() for p in items if p.queued]


def begun(chain: Chain) -> bool:
    """Tell whether a piece of a chain is made or in a call."""
    return any(
        item.result or item.running_on
        for items in chain.items.values()
        for item in items
    )


def late(chain: Chain, now_ms: float) -> bool:
    """Tell whether a chain can't be in time any more."""
    return any(
        item.latest_start_ms + HOPELESS_AFTER_MS < now_ms for item in waiting(chain)
    )


def out_of_time(chain: Chain, now_ms: float) -> bool:
    """Tell whether a chain can't be ready before it expires."""
    spec = chain.spec
    if now_ms >= spec.expires_at_ms:
        return True
    more_ms = spec.expires_at_ms - spec.target_at_ms
    return any(p.latest_start_ms + more_ms < now_ms for p in waiting(chain))


def stage_times(chain: Chain) -> str:
    """Return for each stage how long its pieces waited and were in calls, in ms.

    The form is `number:service:wait+call`, for the slowest piece of each stage.
    """
    parts = []
    for stage in chain.spec.stages:
        completed = [item for item in chain.items[stage.number] if item.result]
        if completed:
            last = max(completed, key=lambda item: item.completed_ms)
            wait, call = (
                last.started_ms - last.ready_ms,
                last.completed_ms - last.started_ms,
            )
            parts.append(f"{stage.number}:{stage.service}:{wait:.0f}+{call:.0f}")
    return " ".join(parts)

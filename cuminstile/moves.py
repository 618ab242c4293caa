"""Move a stage's traffic from one version to another, by evidence and by a time."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from .evidence import Evidence, EvidenceTable
from .judging import ALL_ROUTES, Judge, Judgement, Progress, Suspicion, by_bets
from .objects.model import TrafficMove

SHARES = (0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 0.9, 1.0)
LAST_STEP = len(SHARES) - 1
ENOUGH_CALLS = 20
LEAST_CALLS = 3
STEP_CALLS = 10
PLAN_FRACTION = 0.8
SHORT_OF_CALLS_FRACTION = 0.4
MIN_STEP_FRACTION = 0.05
LATE_STEPS_FRACTION = 0.5
MAX_MIN_STEP_MS = 60_000
MAX_REASON_LENGTH = 200


@dataclass(frozen=True)
class MoveDecision:
    """Hold what VMs have to agree on about a move; `join` gives the agreement.

    Parameters
    ----------
    step : int
        The index of the share in `SHARES`; it only grows.
    taken_back : bool
        Whether the new version gets nothing any more; it stays so.
    reason : str
        Why it was taken back; empty otherwise.
    """

    step: int = 0
    taken_back: bool = False
    reason: str = ""


def join(one: MoveDecision, other: MoveDecision) -> MoveDecision:
    """Return what both marks say together, in whatever order they are joined."""
    reasons = sorted(
        decision.reason for decision in (one, other) if decision.taken_back
    )
    return MoveDecision(
        max(one.step, other.step),
        one.taken_back or other.taken_back,
        reasons[0] if reasons else "",
    )


def move_number(move: TrafficMove) -> int:
    """Return the number by which VMs name a move.

    A move whose `finish_by_ms` changes stays the same; one with another start,
    stage or version is another one.
    """
    fields = (move.name, move.stage, move.from_version, move.to_version)
    text = "\0".join((*fields, str(move.start_at_ms)))
    return number_of_text(text)


def route_number(pipeline: str) -> int:
    """Return the number by which VMs name a route: one pipeline."""
    return number_of_text(pipeline)


def number_of_text(text: str) -> int:
    """Return a number of 32 bits, never 0, for a text; the same on every VM."""
    digest = hashlib.blake2b(text.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") or 1


def hash_position(move: int, request: str, step: str) -> float:
    """Return where a call stands between 0 and 1; below the share it is moved.

    The same on every VM and for every attempt; a growing share keeps what is moved.
    """
    text = f"{move}\0{request}\0{step}"
    digest = hashlib.blake2b(text.encode(), digest_size=7).digest()
    return float(int.from_bytes(digest, "big")) / 2.0**56


@dataclass
class MoveState:
    """Hold what one VM knows about a move under way.

    Parameters
    ----------
    suspicion : Suspicion
        What the test of the evidence has come to.
    step_since_ms : int
        Time of day at which this VM saw the present step begin.
    step_calls : int
        The new version's counted calls when the present step began.
    wanted_since_ms : float or None
        Monotonic time since which a verdict has been due here.
    late_above_ms : dict of int to float
        For each route, above which duration a call is late.
    limits_at_ms : float
        Monotonic time at which these limits were set.
    left_out : dict of bool to int
        For the new and the old version, how many bad calls were excused since the
        last good one.
    """

    move: TrafficMove
    number: int
    decision: MoveDecision = MoveDecision()
    evidence_table: EvidenceTable = field(default_factory=EvidenceTable)
    suspicion: Suspicion = field(default_factory=Suspicion)
    step_since_ms: int = 0
    step_calls: int = 0
    judgement: Judgement = Judgement()
    verdict_due_since_ms: float | None = None
    late_above_ms: dict[int, float] = field(default_factory=dict)
    limits_at_ms: float = -math.inf
    left_out: dict[bool, int] = field(default_factory=dict)

    def merge(self, decision: MoveDecision, wall_ms: int) -> bool:
        """Take over a mark of another VM; return whether anything changed."""
        joined = join(self.decision, decision)
        if joined == self.decision:
            return False
        if joined.step > self.decision.step:
            self.step_since_ms = wall_ms
            self.step_calls = self.evidence_table.total().new_total
        self.decision = joined
        return True

    def share(self, wall_ms: int) -> float:
        """Return the fraction of calls that the new version gets now."""
        if self.decision.taken_back or wall_ms < self.move.start_at_ms:
            return 0.0
        return SHARES[self.decision.step]

    def is_complete(self) -> bool:
        """Return whether the new version gets everything."""
        return self.decision.step == LAST_STEP and not self.decision.taken_back


@dataclass(frozen=True)
class MovePolicy:
    """Decide when a move grows and when its version counts as bad."""

    judge: Judge
    can_grow: Callable[[MoveState, int], bool]


def advance(state: MoveState, wall_ms: int, policy: MovePolicy) -> bool:
    """Decide once from the evidence held; return whether the mark changed."""
    move = state.move
    if wall_ms < move.start_at_ms or state.decision.taken_back or state.is_complete():
        return False
    elapsed_ms = wall_ms - move.start_at_ms
    duration_ms = move.finish_by_ms - move.start_at_ms
    progress = Progress(elapsed_ms, duration_ms, state.decision.step, LAST_STEP)
    state.judgement = policy.judge(
        state.evidence_table.by_route(), state.suspicion, progress
    )
    if state.judgement.is_bad:
        return take_back(state, why_bad(state, state.judgement.route), wall_ms)
    if wall_ms >= move.finish_by_ms:
        return take_back(state, why_unfinished(state), wall_ms)
    if policy.can_grow(state, wall_ms):
        return state.merge(MoveDecision(state.decision.step + 1), wall_ms)
    return False


def take_back(state: MoveState, reason: str, wall_ms: int) -> bool:
    """Take the move back for a reason."""
    return state.merge(MoveDecision(0, True, reason[:MAX_REASON_LENGTH]), wall_ms)


def can_grow(state: MoveState, wall_ms: int) -> bool:
    """Return whether the share may grow to the next step now."""
    move = state.move
    duration_ms = move.finish_by_ms - move.start_at_ms
    elapsed_ms = wall_ms - move.start_at_ms
    step = state.decision.step
    planned_ms = PLAN_FRACTION * duration_ms * (step + 1) / LAST_STEP
    # A move that is late shares the rest of its time among the steps left.
    rest_ms = LATE_STEPS_FRACTION * (duration_ms - elapsed_ms) / (LAST_STEP - step)
    least_ms = min(MAX_MIN_STEP_MS, MIN_STEP_FRACTION * duration_ms, rest_ms)
    if elapsed_ms < planned_ms or wall_ms - state.step_since_ms < least_ms:
        return False
    if state.judgement.is_growth_paused:
        return False
    calls = state.evidence_table.total().new_total
    hurried = elapsed_ms >= SHORT_OF_CALLS_FRACTION * duration_ms
    if step == 0:
        return calls >= (LEAST_CALLS if hurried else ENOUGH_CALLS)
    return hurried or calls - state.step_calls >= STEP_CALLS


BY_EVIDENCE = MovePolicy(by_bets, can_grow)


def why_bad(state: MoveState, route: int) -> str:
    """Return the reason for taking a bad version back."""
    by_route = state.evidence_table.by_route()
    evidence = by_route.get(route, state.evidence_table.total())
    where = "" if route == ALL_ROUTES or len(by_route) == 1 else " on one route"
    return (
        f"{state.move.to_version} is worse{where}: {describe_counts(state, evidence)}"
    )


def why_unfinished(state: MoveState) -> str:
    """Return the reason for taking back a move that was not done in time."""
    total = state.evidence_table.total()
    share = SHARES[state.decision.step]
    return f"not done by its time, at {share:.0%}: {describe_counts(state, total)}"


def done_reason(state: MoveState) -> str:
    """Return the reason for ending a move with the new version."""
    return f"moved by its time: {describe_counts(state, state.evidence_table.total())}"


def describe_counts(state: MoveState, evidence: Evidence) -> str:
    """Return the evidence in words."""
    old_total = evidence.total - evidence.new_total
    return (
        f"{evidence.new_failed} failed and {evidence.new_late} late of"
        f" {evidence.new_total} calls, against {evidence.old_failed} and"
        f" {evidence.old_late} of {old_total} of {state.move.from_version}"
    )

"""Move a stage's traffic gradually from one version to another, before a deadline.

The new version's share grows in steps while there is no evidence that it is worse. If
there is, or the move does not finish in time, it is taken back: all traffic returns to
the old version.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from .evidence import Evidence, EvidenceTable
from .judging import ALL_ROUTES, Judge, Judgement, MoveProgress, MoveTests, by_bets
from .objects.model import TrafficMove

SHARES = (0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 0.9, 1.0)
LAST_STEP = len(SHARES) - 1
FIRST_STEP_CALLS = 20
HURRIED_FIRST_STEP_CALLS = 3
STEP_CALLS = 10
PLAN_FRACTION = 0.8
HURRY_AFTER_FRACTION = 0.4
MIN_STEP_FRACTION = 0.05
LATE_STEPS_FRACTION = 0.5
MAX_MIN_STEP_MS = 60_000
MAX_REASON_CHARS = 200


@dataclass(frozen=True)
class MoveDecision:
    """State of a move on which the VMs converge by merging with `merge_decisions`.

    Parameters
    ----------
    step : int
        The index of the share in `SHARES`; it only grows.
    taken_back : bool
        Whether the move was taken back, so that the new version gets no more calls.
        This is final.
    reason : str
        Why it was taken back; empty otherwise.
    """

    step: int = 0
    taken_back: bool = False
    reason: str = ""


def merge_decisions(one: MoveDecision, other: MoveDecision) -> MoveDecision:
    """Merge two decisions; the operation is commutative, associative and idempotent."""
    reasons = sorted(
        decision.reason for decision in (one, other) if decision.taken_back
    )
    return MoveDecision(
        max(one.step, other.step),
        one.taken_back or other.taken_back,
        reasons[0] if reasons else "",
    )


def move_number(move: TrafficMove) -> int:
    """Return the number that identifies a move in messages between VMs.

    It does not depend on `finish_by_ms`. A move with another name, start, stage or
    version is another move.
    """
    fields = (move.name, move.stage, move.from_version, move.to_version)
    text = "\0".join((*fields, str(move.start_at_ms)))
    return hash_to_number(text)


def route_number(pipeline: str) -> int:
    """Return the number that identifies a route, which is one pipeline, to VMs."""
    return hash_to_number(pipeline)


def hash_to_number(text: str) -> int:
    """Hash a text to 32 bits, never 0; the result is the same on every VM."""
    digest = hashlib.blake2b(text.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") or 1


def hash_position(move: int, request: str, step: str) -> float:
    """Hash a call to a position from 0 to 1; it is moved if that is below the share.

    The position is the same on every VM and for every attempt. A call that is moved at
    one share is also moved at every larger one.
    """
    text = f"{move}\0{request}\0{step}"
    digest = hashlib.blake2b(text.encode(), digest_size=7).digest()
    return float(int.from_bytes(digest, "big")) / 2.0**56


@dataclass
class MoveState:
    """State of an active move on one VM.

    Parameters
    ----------
    move_tests : MoveTests
        The sequential tests of the evidence.
    step_since_ms : int
        Wall clock time in ms at which this VM saw the current step begin.
    step_calls : int
        The new version's counted calls when the current step began.
    verdict_due_since_ms : float or None
        Monotonic time since which a verdict has been due on this VM.
    late_above_ms : dict of int to float
        For each route, the duration above which a call is late.
    late_limits_set_ms : float
        Monotonic time at which these limits were set.
    consecutive_excuses : dict of bool to int
        For the new (`True`) and the old version, the number of bad calls that were
        excused since the last good one.
    """

    move: TrafficMove
    number: int
    decision: MoveDecision = MoveDecision()
    evidence_table: EvidenceTable = field(default_factory=EvidenceTable)
    move_tests: MoveTests = field(default_factory=MoveTests)
    step_since_ms: int = 0
    step_calls: int = 0
    judgement: Judgement = Judgement()
    verdict_due_since_ms: float | None = None
    late_above_ms: dict[int, float] = field(default_factory=dict)
    late_limits_set_ms: float = -math.inf
    consecutive_excuses: dict[bool, int] = field(default_factory=dict)

    def merge(self, decision: MoveDecision, wall_ms: int) -> bool:
        """Merge a decision into this state; return whether anything changed."""
        merged = merge_decisions(self.decision, decision)
        if merged == self.decision:
            return False
        if merged.step > self.decision.step:
            self.step_since_ms = wall_ms
            self.step_calls = self.evidence_table.total().new_total
        self.decision = merged
        return True

    def share(self, wall_ms: int) -> float:
        """Return the fraction of calls that is routed to the new version now."""
        if self.decision.taken_back or wall_ms < self.move.start_at_ms:
            return 0.0
        return SHARES[self.decision.step]

    def is_complete(self) -> bool:
        """Return whether the new version gets all calls."""
        return self.decision.step == LAST_STEP and not self.decision.taken_back


@dataclass(frozen=True)
class MovePolicy:
    """Functions that decide when a share grows and when a version is bad."""

    judge: Judge
    can_grow: Callable[[MoveState, int], bool]


def advance(state: MoveState, wall_ms: int, policy: MovePolicy) -> bool:
    """Decide once from the current evidence; return whether the decision changed."""
    move = state.move
    if wall_ms < move.start_at_ms or state.decision.taken_back or state.is_complete():
        return False
    elapsed_ms = wall_ms - move.start_at_ms
    duration_ms = move.finish_by_ms - move.start_at_ms
    progress = MoveProgress(elapsed_ms, duration_ms, state.decision.step, LAST_STEP)
    state.judgement = policy.judge(
        state.evidence_table.by_route(), state.move_tests, progress
    )
    if state.judgement.is_bad:
        return take_back(
            state, bad_version_reason(state, state.judgement.route), wall_ms
        )
    if wall_ms >= move.finish_by_ms:
        return take_back(state, unfinished_reason(state), wall_ms)
    if policy.can_grow(state, wall_ms):
        return state.merge(MoveDecision(state.decision.step + 1), wall_ms)
    return False


def take_back(state: MoveState, reason: str, wall_ms: int) -> bool:
    """Take the move back: route all calls to the old version from now on."""
    return state.merge(MoveDecision(0, True, reason[:MAX_REASON_CHARS]), wall_ms)


def can_grow(state: MoveState, wall_ms: int) -> bool:
    """Return whether the share can grow to the next step now."""
    move = state.move
    duration_ms = move.finish_by_ms - move.start_at_ms
    elapsed_ms = wall_ms - move.start_at_ms
    step = state.decision.step
    planned_ms = PLAN_FRACTION * duration_ms * (step + 1) / LAST_STEP
    # A move that is behind schedule divides its remaining time among the steps left.
    rest_ms = LATE_STEPS_FRACTION * (duration_ms - elapsed_ms) / (LAST_STEP - step)
    least_ms = min(MAX_MIN_STEP_MS, MIN_STEP_FRACTION * duration_ms, rest_ms)
    if elapsed_ms < planned_ms or wall_ms - state.step_since_ms < least_ms:
        return False
    if state.judgement.is_growth_paused:
        return False
    calls = state.evidence_table.total().new_total
    hurried = elapsed_ms >= HURRY_AFTER_FRACTION * duration_ms
    if step == 0:
        return calls >= (HURRIED_FIRST_STEP_CALLS if hurried else FIRST_STEP_CALLS)
    return hurried or calls - state.step_calls >= STEP_CALLS


BY_EVIDENCE = MovePolicy(by_bets, can_grow)


def bad_version_reason(state: MoveState, route: int) -> str:
    """Return the reason for taking back a move to a bad version."""
    by_route = state.evidence_table.by_route()
    evidence = by_route.get(route, state.evidence_table.total())
    where = "" if route == ALL_ROUTES or len(by_route) == 1 else " on one route"
    return (
        f"{state.move.to_version} is worse{where}: {describe_counts(state, evidence)}"
    )


def unfinished_reason(state: MoveState) -> str:
    """Return the reason for taking back a move that did not finish in time."""
    total = state.evidence_table.total()
    share = SHARES[state.decision.step]
    return f"not done by its time, at {share:.0%}: {describe_counts(state, total)}"


def done_reason(state: MoveState) -> str:
    """Return the reason for ending a move with the new version in use."""
    return f"moved by its time: {describe_counts(state, state.evidence_table.total())}"


def describe_counts(state: MoveState, evidence: Evidence) -> str:
    """Return the counts of the evidence as text."""
    old_total = evidence.total - evidence.new_total
    return (
        f"{evidence.new_failed} failed and {evidence.new_late} late of"
        f" {evidence.new_total} calls, against {evidence.old_failed} and"
        f" {evidence.old_late} of {old_total} of {state.move.from_version}"
    )

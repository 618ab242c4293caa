"""Test cuminstile.moves."""

from hypothesis import given
from hypothesis import strategies as st

from cuminstile.evidence import CallCounter, CallResult
from cuminstile.judging import Judgement
from cuminstile.moves import (
    BY_EVIDENCE,
    LAST_STEP,
    SHARES,
    MoveDecision,
    MoveState,
    advance,
    can_grow,
    hash_position,
    merge_decisions,
    move_number,
)
from cuminstile.objects.model import TrafficMove

START_MS, FINISH_MS = 1_000_000, 1_100_000
MARKS = st.builds(
    MoveDecision, st.integers(0, LAST_STEP), st.just(False), st.just("")
) | st.builds(
    MoveDecision, st.integers(0, LAST_STEP), st.just(True), st.sampled_from(["a", "b"])
)


def make_move(**fields: object) -> TrafficMove:
    values = {
        "kind": "traffic_move",
        "name": "m",
        "stage": "s",
        "from_version": "s-1",
        "to_version": "s-2",
        "start_at_ms": START_MS,
        "finish_by_ms": FINISH_MS,
        **fields,
    }
    return TrafficMove(**values)  # type: ignore[arg-type]


def make_state() -> MoveState:
    move = make_move()
    return MoveState(move, move_number(move), step_since_ms=START_MS)


@given(MARKS, MARKS, MARKS)
def test_decisions_merge_in_any_order_and_any_number_of_times(
    a: MoveDecision, b: MoveDecision, c: MoveDecision
) -> None:
    assert merge_decisions(a, b) == merge_decisions(b, a)
    assert merge_decisions(merge_decisions(a, b), c) == merge_decisions(
        a, merge_decisions(b, c)
    )
    assert merge_decisions(a, a) == a


@given(MARKS, MARKS)
def test_steps_only_grow_and_taking_back_stays(
    a: MoveDecision, b: MoveDecision
) -> None:
    both = merge_decisions(a, b)
    assert both.step >= max(a.step, b.step)
    assert both.taken_back == (a.taken_back or b.taken_back)


def test_a_longer_time_leaves_a_move_the_same_and_a_new_start_does_not() -> None:
    number = move_number(make_move())
    assert move_number(make_move(finish_by_ms=FINISH_MS + 1)) == number
    assert move_number(make_move(start_at_ms=START_MS + 1)) != number
    assert move_number(make_move(to_version="s-3")) != number


def test_positions_spread_evenly_and_are_stable() -> None:
    positions = [hash_position(7, f"r{index}", "g") for index in range(4_000)]
    for share in SHARES[:-1]:
        moved = sum(position < share for position in positions) / len(positions)
        assert abs(moved - share) < 0.03
    assert hash_position(7, "r1", "g") == positions[1]


def test_share_stays_small_until_there_is_enough_evidence() -> None:
    state = make_state()
    for wall_ms in range(START_MS, START_MS + 39_000, 250):
        advance(state, wall_ms, BY_EVIDENCE)
        assert state.share(wall_ms) <= 0.05
    counter = state.evidence_table.own.setdefault(1, CallCounter())
    for _ in range(20):
        counter.count(CallResult.GOOD, True, 0.05)
    advance(state, START_MS + 39_000, BY_EVIDENCE)
    assert state.share(START_MS + 39_000) == SHARES[1]


def test_growth_is_paused_on_moderate_evidence() -> None:
    state = make_state()
    counter = state.evidence_table.own.setdefault(1, CallCounter())
    for _ in range(100):
        counter.count(CallResult.GOOD, True, 0.05)
    assert can_grow(state, START_MS + 50_000)
    state.judgement = Judgement(1, 0.6)
    assert not can_grow(state, START_MS + 50_000)


def test_move_without_evidence_is_taken_back_at_its_time() -> None:
    state = make_state()
    advance(state, FINISH_MS - 1, BY_EVIDENCE)
    assert not state.decision.taken_back
    advance(state, FINISH_MS, BY_EVIDENCE)
    assert state.share(FINISH_MS) == 0.0
    assert "not done by its time" in state.decision.reason


def test_two_bad_calls_pause_growth_and_take_nothing_back() -> None:
    state = make_state()
    counter = state.evidence_table.own.setdefault(1, CallCounter())
    for _ in range(500):
        counter.count(CallResult.GOOD, False, 0.05)
    for _ in range(2):
        counter.count(CallResult.FAILED, True, 0.05)
    advance(state, START_MS + 1_000, BY_EVIDENCE)
    assert state.judgement.is_growth_paused
    assert not state.decision.taken_back
    counter.count(CallResult.FAILED, True, 0.05)
    advance(state, START_MS + 2_000, BY_EVIDENCE)
    assert state.decision.taken_back

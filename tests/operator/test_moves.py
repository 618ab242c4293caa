"""Test cuminstile.operator.moves."""

from cuminstile.operator.moves import moves_reporter
from cuminstile.operator.report import ProblemCode
from trials.behaviours import failing, good
from trials.moves import Plan, Trial


def test_moves_are_shown_before_during_and_after_the_move() -> None:
    trial = Trial(Plan(good(), good(), duration_ms=60_000), 1)
    report = moves_reporter(trial.vms[0])
    states = []
    for progress in (-0.1, 0.5, 1.0):
        trial.run_to(progress)
        (move,) = report().moves
        states.append((move.state, move.share))
    assert states[0] == ("waiting", 0.0)
    assert states[1][0] == "moving" and 0.05 < states[1][1] < 1.0
    assert states[2] == ("done", 1.0)
    assert not report().problems


def test_taken_back_move_is_a_problem_with_its_reason() -> None:
    trial = Trial(Plan(failing(1.0), good(), duration_ms=60_000), 1)
    trial.run_to(0.5)
    report = moves_reporter(trial.vms[1])()
    assert [move.state for move in report.moves] == ["taken_back"]
    (problem,) = report.problems
    assert problem.code == ProblemCode.MOVE_TAKEN_BACK
    assert "failed" in problem.message


def test_move_without_calls_is_at_risk() -> None:
    trial = Trial(Plan(good(), good(), calls_per_s=0.01, duration_ms=60_000), 1)
    trial.run_to(0.6)
    (problem,) = moves_reporter(trial.vms[0])().problems
    assert problem.code == ProblemCode.MOVE_AT_RISK

"""Test standins.measure_run: which work counts, and for what."""

from standins.caller import CallerRequest, Reply, Result
from standins.measure_run import Cost, costs_of
from standins.scenario_session import UpstreamRun

BEGAN_MS = 1_000


def run_of(request: str, at_ms: int, outcome: str = "answered") -> UpstreamRun:
    attempt = f"{request}.g.1"
    return UpstreamRun("e", attempt, at_ms, at_ms + 10, "generate", "v", None, outcome)


def test_work_is_useful_for_a_good_answer_and_the_warm_up_counts_for_nothing() -> None:
    request = CallerRequest("chat", "key", "mark", 1_000)
    replies = [
        Reply(request, "vm", Result.ANSWERED, body={"request": "good"}),
        Reply(request, "vm", Result.ANSWERED, latency_ms=2e3, body={"request": "late"}),
    ]
    runs = [
        run_of("warm-up", BEGAN_MS - 1),
        run_of("good", BEGAN_MS),
        run_of("good", BEGAN_MS + 5, "failed"),
        run_of("late", BEGAN_MS + 9),
    ]
    assert costs_of(runs, replies, BEGAN_MS) == {"generate": Cost(10.0, 20.0)}

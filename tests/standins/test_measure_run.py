"""Test standins.measure_run: which work counts as useful and which as wasted."""

from standins.caller import CallerRequest, Reply, Result
from standins.measure_run import Cost, costs_of
from standins.scenario_session import UpstreamRun

STARTED_MS = 1_000


def make_run(request: str, at_ms: int, outcome: str = "answered") -> UpstreamRun:
    attempt = f"{request}.g.1"
    return UpstreamRun("e", attempt, at_ms, at_ms + 10, "generate", "v", None, outcome)


def test_work_is_useful_for_a_good_answer_and_the_warm_up_is_ignored() -> None:
    request = CallerRequest("chat", "key", "mark", 1_000)
    replies = [
        Reply(request, "vm", Result.ANSWERED, body={"request": "good"}),
        Reply(request, "vm", Result.ANSWERED, latency_ms=2e3, body={"request": "late"}),
    ]
    runs = [
        make_run("warm-up", STARTED_MS - 1),
        make_run("good", STARTED_MS),
        make_run("good", STARTED_MS + 5, "failed"),
        make_run("late", STARTED_MS + 9),
    ]
    assert costs_of(runs, replies, STARTED_MS) == {"generate": Cost(10.0, 20.0)}

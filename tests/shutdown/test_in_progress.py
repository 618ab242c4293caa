"""Test cuminstile.shutdown.in_progress."""

from cuminstile.shutdown.in_progress import (
    Phase,
    RequestInProgress,
    RequestsInProgress,
)


def test_requests_are_listed_by_their_arrival_until_they_end() -> None:
    requests = RequestsInProgress()
    late, early = RequestInProgress("b", "r", 2.0), RequestInProgress("a", "r", 1.0)
    requests.begin(late)
    requests.begin(early)
    assert [request.id for request in requests] == ["a", "b"]
    requests.end(early)
    requests.end(early)
    assert list(requests) == [late]
    assert len(requests) == 1


def test_request_tells_what_it_waits_for() -> None:
    request = RequestInProgress("a")
    assert request.phase is Phase.ACCEPTED
    request.enter(Phase.STAGES, "10.0.0.1:80", 5.0)
    assert (request.phase, request.where, request.since_ms) == (
        Phase.STAGES,
        "10.0.0.1:80",
        5.0,
    )

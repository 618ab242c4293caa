"""Test cuminstile.memory.descriptors with crowds that open connections."""

from dataclasses import dataclass

from cuminstile.memory.descriptors import choose_displaced, most_connections


@dataclass(eq=False)
class Connection:
    """A connection in one of its states."""

    since_ms: float
    answering: bool = False
    between: bool = False

    def is_answering(self) -> bool:
        """Return whether a request is in progress."""
        return self.answering

    def is_between(self) -> bool:
        """Return whether it waits for its next request."""
        return self.between

    def quiet_since_ms(self) -> float:
        """Return since when no complete request came."""
        return self.since_ms

    def abort(self) -> None:
        """Fail: a decision closes nothing."""
        raise AssertionError


def test_a_crowd_that_sends_no_request_displaces_itself() -> None:
    silent = [Connection(float(at)) for at in range(10)]
    sound = [Connection(0.0, answering=True), Connection(0.0, between=True)]
    assert choose_displaced([*sound, *silent], 1_000.0) is silent[0]


def test_an_idle_connection_goes_before_a_request() -> None:
    idle = [Connection(5.0, between=True), Connection(3.0, between=True)]
    assert choose_displaced([Connection(0.0, True), *idle], 1_000.0) is idle[1]


def test_a_new_connection_has_time_for_its_request() -> None:
    fresh = [Connection(900.0), Connection(0.0, answering=True)]
    assert choose_displaced(fresh, 1_000.0) is None


def test_callers_leave_sockets_for_upstreams_and_vms() -> None:
    assert most_connections(4_000) == 2_400
    assert most_connections(0) > 0

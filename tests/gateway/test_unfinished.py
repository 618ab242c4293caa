"""Test cuminstile.gateway.unfinished: what the log names when a process ends."""

from __future__ import annotations

from cuminstile.clock import VirtualClock
from cuminstile.events import Event
from cuminstile.gateway.http_server import CallerConnection, Request, Server
from cuminstile.gateway.model import Limits
from cuminstile.gateway.unfinished import MAX_NAMED, record_unfinished
from cuminstile.shutdown.in_progress import Phase, RequestInProgress

from .test_state import make_vm


def make_server(clock: VirtualClock) -> Server:
    """Return a server whose connections get no answer."""

    async def wait(request: Request, out: CallerConnection) -> None:
        del request, out

    return Server(clock, wait, Limits)


def test_each_request_that_waits_at_the_end_is_named_with_what_it_waits_for() -> None:
    """Guards against a request that ends without an answer and without a line."""
    clock = VirtualClock(at_ms=10_000.0)
    vm = make_vm(clock)
    request = RequestInProgress("a", "r", 4_000.0, 11_000.0)
    request.enter(Phase.STAGES, "10.0.0.1:80", 4_100.0)
    request.moves = 2
    vm.in_progress.begin(request)
    server = make_server(clock)
    connection = server.make_connection()
    server.connections.add(connection)
    connection.data_received(b"POST / HTTP/1.1\r\nHost: a\r\n")
    record_unfinished(vm, server)
    first, second = list(vm.journal.ring)[-2:]
    assert first.event is Event.REQUEST_UNFINISHED
    assert first.fields["waits_for"] == "stages"
    assert (first.fields["where"], first.fields["moves"]) == ("10.0.0.1:80", 2)
    assert (first.fields["since_ms"], first.fields["at_ms"]) == (5_900, 6_000)
    assert first.fields["left_ms"] == 1_000
    assert second.event is Event.REQUEST_UNREAD
    assert second.fields["received"] == 26


def test_lines_at_the_end_are_bounded() -> None:
    clock = VirtualClock(at_ms=10_000.0)
    vm = make_vm(clock)
    for number in range(2 * MAX_NAMED):
        vm.in_progress.begin(RequestInProgress(str(number)))
    before = len(vm.journal.ring)
    record_unfinished(vm, make_server(clock))
    assert len(vm.journal.ring) - before == MAX_NAMED

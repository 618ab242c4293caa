"""Name in the log what a process leaves unfinished at its end."""

from __future__ import annotations

from ..events import Event
from ..shutdown.unfinished import MAX_NAMED, record_requests
from .http_server import Server
from .state import Gateway


def record_unfinished(vm: Gateway, server: Server) -> None:
    """Log each request without a complete answer, and each that still comes."""
    now_ms = vm.clock.now_ms()
    for request in record_requests(vm.journal, vm.in_progress, now_ms):
        labels = {"route": request.route, "result": "unfinished"}
        vm.metrics.requests_total.inc(labels)
    for connection in server.unread()[:MAX_NAMED]:
        vm.journal.record(
            Event.REQUEST_UNREAD,
            received=connection.incoming.received_bytes,
            since_ms=round(now_ms - connection.quiet_since_ms()),
        )

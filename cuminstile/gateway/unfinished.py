"""Name in the log what a process leaves unfinished at its end."""

from __future__ import annotations

from ..events import Event
from .http_server import Server
from .state import Gateway

MAX_NAMED = 200
"""Requests that are named at most; more hardly wait in a VM at its capacity."""


def record_unfinished(vm: Gateway, server: Server) -> None:
    """Log each request without a complete answer, and each that still comes."""
    now_ms = vm.clock.now_ms()
    for request in list(vm.in_progress)[:MAX_NAMED]:
        vm.journal.record(
            Event.REQUEST_UNFINISHED,
            request=request.id,
            route=request.route,
            waits_for=request.phase.value,
            where=request.where,
            since_ms=round(now_ms - request.since_ms),
            moves=request.moves,
            at_ms=round(now_ms - request.arrived_ms),
            left_ms=round(request.expires_at_ms - now_ms),
        )
        labels = {"route": request.route, "result": "unfinished"}
        vm.metrics.requests_total.inc(labels)
    for connection in server.unread()[:MAX_NAMED]:
        vm.journal.record(
            Event.REQUEST_UNREAD,
            received=connection.incoming.received_bytes,
            since_ms=round(now_ms - connection.quiet_since_ms()),
        )

"""Name in the log the requests that have no complete answer when a process ends."""

from __future__ import annotations

from itertools import islice

from ..events import Event, Journal
from .in_progress import RequestInProgress, RequestsInProgress

MAX_NAMED = 200
"""Requests that are named at most; more hardly wait in a VM at its capacity."""


def record_requests(
    journal: Journal, requests: RequestsInProgress, now_ms: float
) -> list[RequestInProgress]:
    """Log what each request waits for, and return those that the log names.

    They are the oldest ones if there are many.
    """
    named = list(islice(requests, MAX_NAMED))
    for request in named:
        journal.record(
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
    return named

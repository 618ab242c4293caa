"""Decide which connection of a caller is closed when there are too many.

Designed for crowds that open connections and send no request, or part of one. Does no
I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

CALLERS_SHARE = 0.6
"""Share of the sockets for callers; the others are for upstreams, VMs and the store."""
LEAST_CONNECTIONS = 16
LEAST_AGE_MS = 250.0
"""How long a connection isn't closed for another one: longer than a sound caller takes
from its connection to its request."""


class Displaceable(Protocol):
    """A connection, as far as the decision needs it; times are monotonic ms."""

    def is_answering(self) -> bool:
        """Return whether a request is in progress."""

    def is_between(self) -> bool:
        """Return whether it has answered a request and waits for the next one."""

    def quiet_since_ms(self) -> float:
        """Return since when no complete request came."""

    def abort(self) -> None:
        """Close it at once."""


def most_connections(max_sockets: int) -> int:
    """Return how many connections of callers a process accepts."""
    return max(LEAST_CONNECTIONS, int(max_sockets * CALLERS_SHARE))


def choose_displaced(
    connections: Iterable[Displaceable], now_ms: float
) -> Displaceable | None:
    """Return the connection to close for a new one, None if none may be closed.

    One that has not sent its first request whole goes first, then one that has been
    idle for longest.
    """
    candidates = [
        one
        for one in connections
        if not one.is_answering() and now_ms - one.quiet_since_ms() > LEAST_AGE_MS
    ]
    return min(
        candidates,
        key=lambda one: (one.is_between(), one.quiet_since_ms()),
        default=None,
    )

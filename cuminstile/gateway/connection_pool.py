"""Pool of kept connections to upstreams and the store."""

from __future__ import annotations

from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import partial

from .http_client import CONNECT_TIMEOUT_MS, HttpConnection, open_connection


@dataclass
class ConnectionPool:
    """Idle connections by the key of their peer; the newest one is used first.

    Parameters
    ----------
    on_unexpected : callable
        Called with a key and the bytes that came on an idle connection of that peer.
    """

    idle: dict[str, deque[HttpConnection]]
    on_unexpected: Callable[[str, bytes], None] = field(default=lambda *_: None)

    def acquire(self, key: str, now_ms: float) -> HttpConnection | None:
        """Return an idle connection that the peer still keeps open, or None."""
        queue = self.idle.get(key)
        while queue:
            connection = queue.pop()
            age_ms = now_ms - connection.idle_since_ms
            if connection.lost is None and age_ms < connection.parser.keep_alive_ms:
                return connection
            connection.close("idle timeout")
        return None

    def release(self, key: str, connection: HttpConnection, now_ms: float) -> None:
        """Return a connection to the pool, or close it if it can't be reused."""
        if connection.release(now_ms):
            connection.on_unexpected = partial(self.on_unexpected, key)
            self.idle.setdefault(key, deque()).append(connection)

    @asynccontextmanager
    async def connection(
        self,
        key: str,
        address: str,
        now_ms: Callable[[], float],
        timeout_ms: float = CONNECT_TIMEOUT_MS,
    ) -> AsyncIterator[HttpConnection]:
        """Yield a connection pooled under a key; it is closed after an error.

        Raises
        ------
        ConnectionLostError
            If none can be opened.
        """
        connection = self.acquire(key, now_ms())
        if connection is None:
            connection = await open_connection(address, timeout_ms)
        try:
            yield connection
        except BaseException:
            connection.close("call aborted")
            raise
        self.release(key, connection, now_ms())

    def close_expired(self, now_ms: float) -> None:
        """Close idle connections that are lost or past their keep-alive time."""
        for key in list(self.idle):
            queue = self.idle[key]
            while queue and (
                queue[0].lost is not None
                or now_ms - queue[0].idle_since_ms >= queue[0].parser.keep_alive_ms
            ):
                queue.popleft().close("idle timeout")
            if not queue:
                del self.idle[key]

    def drop(self, key: str) -> None:
        """Close all idle connections of a peer."""
        for connection in self.idle.pop(key, ()):
            connection.close("connections of the peer closed")

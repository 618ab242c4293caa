"""Serve the callers of one listening port, within its memory and connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from ...clock import Clock
from ...memory.account import MemoryAccount
from ...memory.descriptors import choose_displaced
from ...memory.turns import SlowLane
from ..model import Limits
from .connection import CallerConnection
from .request import Handler, HeadCheck, accept_any, refuse_body
from .sockets import accept_waiting

BACKLOG = 1_024
"""Connections that the kernel holds until they are accepted."""


@dataclass
class Server:
    """State shared by all connections of one listening port.

    Parameters
    ----------
    handler : Handler
        Answers one request; the connection is closed if the handler raises or leaves
        the answer incomplete.
    limits : callable
        Returns the limits in force.
    closing : bool
        Whether every answer has `Connection: close` and ends its connection.
    account : MemoryAccount
        Where bodies and answers take their room.
    check_head : HeadCheck
        Decides on a request whose body has not come whole with its head.
    refuse_body : Handler
        Answers a request for whose body there is no room; it has not run.
    most_connections : int or None
        How many connections may be open, None for any number.
    displaced : int
        Connections closed so far because there were too many.
    """

    clock: Clock
    handler: Handler
    limits: Callable[[], Limits]
    closing: bool = False
    account: MemoryAccount = field(default_factory=MemoryAccount)
    check_head: HeadCheck = accept_any
    refuse_body: Handler = refuse_body
    most_connections: int | None = None
    displaced: int = 0
    connections: set[CallerConnection] = field(default_factory=set)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.slow_lane = SlowLane(self.clock)

    def make_connection(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(self)

    def make_place(self) -> bool:
        """Return whether one more connection may be open; another may be closed."""
        if self.most_connections is None:
            return True
        if len(self.connections) < self.most_connections:
            return True
        if sum(not one.aborted for one in self.connections) < self.most_connections:
            return True
        self.displaced += 1
        chosen = choose_displaced(self.connections, self.clock.now_ms())
        if chosen is None:
            return False
        chosen.abort()
        return True

    def begin_closing(self) -> None:
        """Close each connection after its current answer."""
        self.closing = True

    def close_idle(self) -> None:
        """Close the connections that have no request in progress.

        One whose bytes wait to be read, or that was opened a moment ago, is closed with
        its answer: a close would reset it.
        """
        for connection in list(self.connections):
            if connection.idle() and not connection.expects_request():
                connection.close_at_once()

    def refuse_unread(self, refuse: Handler) -> None:
        """Refuse what has come in part, and from now on each further request.

        Parameters
        ----------
        refuse : Handler
            Answers a request that has not run and won't.
        """
        self.handler = refuse
        for connection in self.unread():
            connection.refuse_unread(refuse)

    def unread(self) -> list[CallerConnection]:
        """Return the connections on which a request comes that isn't complete."""
        return [one for one in self.connections if one.is_reading()]

    def is_done(self) -> bool:
        """Return whether no caller loses a request or an answer if the process ends."""
        return not any(connection.is_needed() for connection in self.connections)

    def has_unsent(self) -> bool:
        """Return whether written bytes of any connection are still in the process."""
        return any(connection.has_unsent() for connection in self.connections)

    def enforce_timeouts(self) -> None:
        """Close connections that exceed the idle or the request timeout."""
        now_ms = self.clock.now_ms()
        limits = self.limits()
        for connection in list(self.connections):
            connection.enforce_timeouts(now_ms, limits)
        self.account.check(now_ms, limits.header_timeout_ms)


async def listen(server: Server, address: str) -> asyncio.Server:
    """Listen on `host:port` for connections of a server.

    Raises
    ------
    OSError
        If the address can't be bound.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        server.make_connection, host, int(port), backlog=BACKLOG
    )


async def stop_listening(server: Server, listener: asyncio.Server) -> None:
    """Accept the connections that the kernel holds, then no more.

    A close of the listening socket resets those that aren't accepted.
    """
    accepted = [
        connection
        for listening in listener.sockets
        for connection in accept_waiting(listening, BACKLOG)
    ]
    listener.close()
    loop = asyncio.get_running_loop()
    for connection in accepted:
        await loop.connect_accepted_socket(server.make_connection, connection)

"""Connections that are opened before a call needs them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from ..clock import Clock
from .answers import ConnectionLostError
from .http_client import HttpConnection, open_connection


@dataclass
class SpareConnections:
    """At most one open connection to each upstream, on which nothing was ever sent.

    Parameters
    ----------
    spares : dict of str to HttpConnection
        The open connections by upstream; one that is lost stays until it is asked for
        or replaced.
    openings : dict of str to Task
        The connections that are being opened, by upstream.
    on_unexpected : callable
        Called with an upstream and the bytes that it sent on its spare connection,
        which is then closed.
    """

    clock: Clock
    spares: dict[str, HttpConnection] = field(default_factory=dict)
    openings: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    on_unexpected: Callable[[str, bytes], None] = field(default=lambda *_: None)

    def take(self, key: str) -> HttpConnection | None:
        """Return the spare connection to an upstream and forget it, or None."""
        connection = self.spares.pop(key, None)
        if connection is None or self.is_usable(connection):
            return connection
        connection.close("spare connection is too old")
        return None

    def is_usable(self, connection: HttpConnection) -> bool:
        """Return whether an upstream should still keep a spare connection open."""
        age_ms = self.clock.now_ms() - connection.opened_ms
        return connection.lost is None and age_ms < connection.parser.keep_alive_ms

    def upstreams(self) -> set[str]:
        """Return the upstreams to which a spare connection is open or being opened."""
        return self.spares.keys() | self.openings.keys()

    def refill(self, key: str, address: str) -> None:
        """Open a spare connection to an upstream in the background if it has none."""
        if key in self.openings:
            return
        if key in self.spares and self.is_usable(self.spares[key]):
            return
        opening = asyncio.get_running_loop().create_task(self.open(key, address))
        self.openings[key] = opening
        opening.add_done_callback(partial(self.forget_opening, key))

    def forget_opening(self, key: str, opening: asyncio.Task[None]) -> None:
        """Forget an opening that ended, unless another one was begun since."""
        if self.openings.get(key) is opening:
            del self.openings[key]

    async def open(self, key: str, address: str) -> None:
        """Open the spare connection to an upstream; do nothing if that fails."""
        try:
            connection = await open_connection(address)
        except ConnectionLostError:
            return
        connection.opened_ms = self.clock.now_ms()
        connection.on_unexpected = partial(self.on_unexpected, key)
        self.close_spare(key)
        self.spares[key] = connection

    def limit_age(self, key: str, keep_alive_ms: float) -> None:
        """Apply the keep-alive time that an upstream stated to its spare connection."""
        if key in self.spares:
            self.spares[key].parser.keep_alive_ms = keep_alive_ms

    def close_expired(self) -> None:
        """Close the spare connections that are lost or too old."""
        for key, connection in list(self.spares.items()):
            if not self.is_usable(connection):
                self.close_spare(key)

    def drop(self, key: str) -> None:
        """Close the spare connection to an upstream; open none any more."""
        opening = self.openings.pop(key, None)
        if opening is not None:
            opening.cancel()
        self.close_spare(key)

    def close_spare(self, key: str) -> None:
        """Close the spare connection to an upstream, if there is one."""
        connection = self.spares.pop(key, None)
        if connection is not None:
            connection.close("spare connection is not needed")

"""Connection pools to the upstreams, one for each address."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import anyio
import httpcore

from ..status_lines import find_joined_head

MAX_CONNECTIONS = 10_000
MAX_IDLE_CONNECTIONS = 4
KEEPALIVE_EXPIRY_S = 30.0
UNUSED_AFTER_S = 600.0


class JoinedAnswersError(httpcore.RemoteProtocolError):
    """What was received as one answer is the start of one and another one."""


@dataclass
class AddressPool:
    """The connection pool of one address, and when it was last used.

    Parameters
    ----------
    used_s : float
        Event loop time of the last request.
    """

    pool: httpcore.AsyncConnectionPool
    used_s: float


@dataclass
class UpstreamPool:
    """The connections to all upstreams, by address.

    For each request, the pool of httpcore iterates over all its connections, and makes
    a system call for each idle one. A single pool for hundreds of upstreams would spend
    more time on that than on the requests.
    """

    by_address: dict[str, AddressPool] = field(default_factory=dict)

    @asynccontextmanager
    async def stream(
        self, method: str, address: str, path: str, alone: bool = False, **options: Any
    ) -> AsyncIterator[httpcore.Response]:
        """Send a request, and yield the response while its body can be read.

        Parameters
        ----------
        alone : bool
            Whether the request gets a connection of its own, on which no answer to
            another one can be due.

        Raises
        ------
        JoinedAnswersError
            If the head of the response holds the start of another one; the upstream
            may have carried out the request.
        """
        pool = make_pool() if alone else await self.pool_of(address)
        url = f"http://{address}{path}"
        try:
            async with pool.stream(method, url, **options) as response:
                reason = response.extensions.get("reason_phrase", b"")
                joined = find_joined_head(reason, response.headers)
                if joined:
                    raise JoinedAnswersError(joined)
                yield response
        finally:
            if alone:
                await pool.aclose()

    async def request(
        self, method: str, address: str, path: str, **options: Any
    ) -> httpcore.Response:
        """Send a request, and return the response with its complete body."""
        async with self.stream(method, address, path, **options) as response:
            await response.aread()
            return response

    async def pool_of(self, address: str) -> httpcore.AsyncConnectionPool:
        """Return the pool of an address; a new pool first closes the unused ones."""
        now_s = anyio.current_time()
        entry = self.by_address.get(address)
        if entry is None:
            entry = self.by_address[address] = AddressPool(make_pool(), now_s)
            await self.close_unused(now_s)
        entry.used_s = now_s
        return entry.pool

    async def close_unused(self, now_s: float) -> None:
        """Close the pools that were not used for `UNUSED_AFTER_S`."""
        for address, entry in tuple(self.by_address.items()):
            if now_s - entry.used_s > UNUSED_AFTER_S:
                del self.by_address[address]
                await entry.pool.aclose()


def make_pool() -> httpcore.AsyncConnectionPool:
    """Return a new connection pool for one address."""
    return httpcore.AsyncConnectionPool(
        max_connections=MAX_CONNECTIONS,
        max_keepalive_connections=MAX_IDLE_CONNECTIONS,
        keepalive_expiry=KEEPALIVE_EXPIRY_S,
    )

"""Test cuminstile.upstream.pools."""

from typing import Any

import pytest
from anyio.abc import SocketStream

from cuminstile.upstream import pools
from cuminstile.upstream.pools import UpstreamPool

from ..fakes.upstreams import send_json, upstream


async def good(body: dict[str, Any], stream: SocketStream) -> None:
    await send_json(stream, 200, {"good": True})


async def test_connections_of_other_addresses_are_not_looked_at() -> None:
    pool = UpstreamPool()
    async with upstream(good) as one, upstream(good) as other:
        for fake in (one, other):
            response = await pool.request("GET", fake.address, "/load")
            assert response.status == 200
        assert pool.by_address.keys() == {one.address, other.address}
        first = await pool.pool_of(one.address)
        assert first is await pool.pool_of(one.address)
        assert first is not await pool.pool_of(other.address)


async def test_address_that_nobody_calls_any_more_is_forgotten(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(pools, "UNUSED_AFTER_S", 0.0)
    pool = UpstreamPool()
    async with upstream(good) as one, upstream(good) as other:
        await pool.request("GET", one.address, "/load")
        await pool.request("GET", other.address, "/load")
        assert pool.by_address.keys() == {other.address}

"""Test cuminstile.upstream.pools."""

from typing import Any

import pytest
from anyio.abc import SocketStream

from cuminstile.upstream import pools
from cuminstile.upstream.pools import UpstreamPool

from ..fakes.upstreams import send_json, upstream


async def good(body: dict[str, Any], stream: SocketStream) -> None:
    await send_json(stream, 200, {"good": True})


async def test_each_address_has_its_own_pool() -> None:
    pool = UpstreamPool()
    async with upstream(good) as one, upstream(good) as other:
        for fake in (one, other):
            response = await pool.request("GET", fake.address, "/load")
            assert response.status == 200
        assert pool.by_address.keys() == {one.address, other.address}
        first = await pool.pool_of(one.address)
        assert first is await pool.pool_of(one.address)
        assert first is not await pool.pool_of(other.address)


async def test_pool_of_an_unused_address_is_removed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(pools, "UNUSED_AFTER_S", 0.0)
    pool = UpstreamPool()
    async with upstream(good) as one, upstream(good) as other:
        await pool.request("GET", one.address, "/load")
        await pool.request("GET", other.address, "/load")
        assert pool.by_address.keys() == {other.address}

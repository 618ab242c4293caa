"""Test cuminstile.records.client with malformed answers from the platform."""

from dataclasses import dataclass
from typing import Any

import cbor2
import httpcore
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cuminstile.exceptions import PlatformUnavailableError, TrimmedError
from cuminstile.records.client import ListedVm, PlatformClient, Record, Records


@dataclass
class FakePool:
    """Answer every request with the same status and body."""

    status: int
    content: bytes

    async def request(self, *arguments: object, **options: object) -> Any:
        """Answer one request."""
        return httpcore.Response(self.status, content=self.content)


def make_client(content: bytes, status: int = 200) -> PlatformClient:
    return PlatformClient("127.0.0.1:9", "", FakePool(status, content))


VALUES = st.recursive(
    st.none() | st.integers() | st.floats() | st.text() | st.binary(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
NAMES = st.sampled_from(("offset", "records", "next", "first", "vms"))
CONTENTS = st.binary() | st.dictionaries(NAMES, VALUES).map(cbor2.dumps)


async def call(client: PlatformClient, method: str) -> Any:
    match method:
        case "append":
            return await client.append("config", b"x")
        case "read":
            return await client.read("config", 0)
        case _:
            return await client.list_vms()


@pytest.mark.parametrize("method", ["append", "read", "list_vms"])
@settings(max_examples=200, deadline=None)
@given(content=CONTENTS, status=st.sampled_from((200, 410, 503)))
async def test_any_answer_is_typed_or_raises_platform_unavailable(
    method: str, content: bytes, status: int
) -> None:
    try:
        result = await call(make_client(content, status), method)
    except TrimmedError as error:
        assert error.first_offset >= 0
    except PlatformUnavailableError:
        return
    else:
        check(method, result)


def check(method: str, result: Any) -> None:
    """Check the types of an answer."""
    if method == "append":
        assert type(result) is int
    elif method == "read":
        assert isinstance(result, Records)
        assert all(isinstance(item, Record) for item in result.records)
    else:
        assert all(isinstance(item, ListedVm) for item in result)


@pytest.mark.parametrize(
    "content",
    [
        b"\x81" * 100_000,
        cbor2.dumps({"offset": "x"}),
        cbor2.dumps({"offset": None}),
        cbor2.dumps({"offset": -1}),
        cbor2.dumps({"offset": 1.5}),
        cbor2.dumps({"offset": True}),
        b"\xa1\x80\x01",
    ],
)
async def test_malformed_offset_raises_platform_unavailable(content: bytes) -> None:
    with pytest.raises(PlatformUnavailableError):
        await make_client(content).append("config", b"x")

"""Test cuminstile.platform.duties."""

import asyncio
from base64 import b64encode
from collections.abc import Awaitable, Callable

import orjson
import pytest

from cuminstile.clock import Clock
from cuminstile.duties.lease import LeaseRecord
from cuminstile.duties.types import DutyAnswer
from cuminstile.duties.usage import Report
from cuminstile.gateway.following import StoreCallError
from cuminstile.platform.duties import (
    LEASE_KEY,
    LEDGER_KEY,
    PlatformCalls,
    decode_lease_page,
    encode_lease,
    encode_ledger,
    order_call,
)
from cuminstile.platform.settings import decode_settings

from .test_settings import PATH, fields

RECORD = LeaseRecord("10.1.0.5:7420", "ab12", 41, "n", ("10.2.0.5:7420",), False, 7)
LEDGER = (Report(6, '{"window":6}', True), Report(7, '{"window":7}'))


def page(end: int, ledger: tuple[Report, ...] = LEDGER) -> bytes:
    """Return the store's answer with the lease and the ledger."""
    rows = [
        (LEASE_KEY, encode_lease(RECORD), 48),
        (LEDGER_KEY, encode_ledger(ledger), 49),
    ]
    items = [
        {"key": key, "value": b64encode(value).decode(), "offset": offset}
        for key, value, offset in rows
    ]
    return orjson.dumps({"items": items, "has_more": False, "end": end})


def test_lease_and_ledger_come_back_as_they_were_written() -> None:
    found = decode_lease_page(page(50))
    assert (found.end.offset, found.record, found.ledger) == (50, RECORD, LEDGER)


@pytest.mark.parametrize(
    "body", [page(51), page(50, LEDGER[:1]), b"{}", b"[", b'{"items":[{}],"end":1}']
)
def test_a_page_that_is_of_no_one_moment_is_no_answer(body: bytes) -> None:
    with pytest.raises(StoreCallError):
        decode_lease_page(body)


def test_a_log_without_records_is_free() -> None:
    found = decode_lease_page(b'{"items":[],"has_more":false,"end":0}')
    assert (found.end.offset, found.record, found.ledger) == (0, None, ())


async def ask(
    answer: bytes, may_send: Callable[[], bool], timeout_ms: float = 500.0
) -> tuple[DutyAnswer, bytes]:
    """Return the outcome of a call to a platform, and what arrived there."""
    received = b""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal received
        try:
            while data := await reader.read(4096):
                received += data
                if answer:
                    writer.write(answer)
        except ConnectionError:
            pass
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        calls = PlatformCalls(f"127.0.0.1:{port}", "front-a-1", Clock())
        call = order_call("pool", "north", 6)
        found = await calls.call(call, 12, may_send, timeout_ms)
        await asyncio.sleep(0.05)
    return found, received


def run(job: Awaitable[tuple[DutyAnswer, bytes]]) -> tuple[DutyAnswer, bytes]:
    """Run a coroutine."""

    async def main() -> tuple[DutyAnswer, bytes]:
        return await job

    return asyncio.run(main())


def test_a_call_bears_its_holder_and_token() -> None:
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    found, received = run(ask(answer, lambda: True))
    assert found == DutyAnswer(200, True)
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(b"POST /scale HTTP/1.1\r\n")
    assert b"\r\nDuty-Holder: front-a-1\r\nFencing-Token: 12\r\n" in head
    assert orjson.loads(body) == {"service": "pool", "zone": "north", "desired": 6}


def test_a_late_call_sends_nothing() -> None:
    assert run(ask(b"", lambda: False)) == (DutyAnswer(None, False), b"")


def test_a_call_without_an_answer_may_have_been_accepted() -> None:
    found, received = run(ask(b"", lambda: True, timeout_ms=50.0))
    assert found == DutyAnswer(None, True)
    assert received


def test_duties_are_those_that_the_settings_name() -> None:
    assert decode_settings(PATH, fields()).duties is None
    cloud = {"address": "10.200.0.24:8188", "duties": ["usage_report", "else"]}
    found = decode_settings(PATH, fields(cloud=cloud))
    assert found.duties_address == "10.200.0.24:8188"
    assert found.duties is not None
    assert found.duties.duties == ("usage",)
    assert (found.duties.lease_ms, found.duties.window_ms) == (3_000.0, 5_000)

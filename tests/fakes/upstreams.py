"""Fake upstream on a loopback port, whose answers the test writes."""

import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import SocketAttribute, SocketStream

Answer = Callable[[dict[str, Any], SocketStream], Awaitable[None]]


# A VM sends calls up to the full capacity only to an upstream that reported warm.
LOAD = {
    "incarnation": "i",
    "state": "warm",
    "in_flight": 0,
    "capacity": 8,
    "cold_capacity": 1,
    "queue": 0,
    "versions": [],
    "report_age_ms": 0,
}


@dataclass(frozen=True)
class HttpCall:
    """Path and JSON body of one request."""

    path: str
    body: dict[str, Any]


@dataclass
class FakeUpstream:
    """Address of a fake upstream and the calls that it received."""

    address: str = ""
    calls: list[dict[str, Any]] = field(default_factory=list)


@asynccontextmanager
async def upstream(answer: Answer) -> AsyncIterator[FakeUpstream]:
    """Run a fake upstream; `answer` writes the response to each call."""
    fake = FakeUpstream()

    async def handle(stream: SocketStream) -> None:
        async with stream:
            call = await read_call(stream)
            if call is None:
                return
            if call.path != "/run":
                await send_json(stream, 200, LOAD if call.path == "/load" else {})
                return
            fake.calls.append(call.body)
            await answer(call.body, stream)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
    fake.address = f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, handle)
        yield fake
        tasks.cancel_scope.cancel()


async def read_call(stream: SocketStream) -> HttpCall | None:
    """Return one HTTP request, or None if the connection closed before its end."""
    data = b""
    try:
        while b"\r\n\r\n" not in data:
            data += await stream.receive()
        head, body = data.split(b"\r\n\r\n", 1)
        path = head.split(b" ")[1].decode()
        sizes = head.lower().split(b"content-length: ")[1:]
        length = int(sizes[0].split(b"\r\n")[0]) if sizes else 0
        while len(body) < length:
            body += await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return None
    return HttpCall(path, json.loads(body or b"{}"))


async def send_json(stream: SocketStream, status: int, body: dict[str, Any]) -> None:
    """Write a complete JSON response with the header `connection: close`."""
    content = json.dumps(body).encode()
    head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(content)}\r\n"
    await stream.send(f"{head}connection: close\r\n\r\n".encode() + content)


async def send_event_head(stream: SocketStream) -> None:
    """Write the response head of a stream of server-sent events."""
    await stream.send(
        b"HTTP/1.1 200 X\r\ncontent-type: text/event-stream\r\n"
        b"connection: close\r\n\r\n"
    )


async def send_event(stream: SocketStream, body: dict[str, Any]) -> None:
    """Write one server-sent event."""
    await stream.send(f"data: {json.dumps(body)}\n\n".encode())

"""Call ASGI applications in tests, directly or over a real socket."""

import json
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import anyio
import uvicorn

from cuminstile.daemon import NoSignalServer


@dataclass(frozen=True)
class Reply:
    """Response of an application, with the body parsed as JSON."""

    status: int
    body: Any


async def send_request(
    app: Any,
    method: str,
    path: str,
    key: str = "",
    body: Any = None,
    header: str = "",
) -> Reply:
    """Send one request to an application and return its response.

    `body` is bytes, or a value that is encoded as JSON. `header` replaces the
    `Authorization` header that is made from `key`.
    """
    header = header or (f"Bearer {key}" if key else "")
    content = body if isinstance(body, bytes) else json.dumps(body).encode()
    pathname, _, query = path.partition("?")
    scope = {
        "type": "http",
        "method": method,
        "path": pathname,
        "raw_path": pathname.encode(),
        "query_string": query.encode(),
        "headers": [(b"authorization", header.encode())] if header else [],
    }
    sent: list[dict] = []
    parts = [{"type": "http.request", "body": content, "more_body": False}]

    async def receive() -> dict:
        if not parts:
            await anyio.sleep_forever()
        return parts.pop()

    async def send(message: dict) -> None:
        sent.append(message)

    await app(scope, receive, send)
    data = b"".join(message.get("body", b"") for message in sent)
    return Reply(sent[0]["status"], json.loads(data))


@asynccontextmanager
async def serving(app: Any, **options: Any) -> AsyncIterator[str]:
    """Serve an application on a free loopback port; yield `host:port`."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
        config = uvicorn.Config(app, lifespan="off", log_config=None, **options)
        server = NoSignalServer(config)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve, [listener])
            yield f"127.0.0.1:{port}"
            server.should_exit = True

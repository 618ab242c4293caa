"""HTTP server of the simulated programs, on the loopback address."""

import asyncio
import socket
from collections.abc import Callable
from typing import Any, cast

import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from starlette.types import Lifespan, Receive, Scope, Send
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

HOST = "127.0.0.1"
BACKLOG = 1024
KEEP_ALIVE_TIMEOUT_S = 300
SHUTDOWN_TIMEOUT_S = 1


class ClosableProtocol(HttpToolsProtocol):
    """HTTP protocol that exposes the connection to the request handler.

    A simulated fault can then close the connection.
    """

    def on_headers_complete(self) -> None:
        """Store the transport in the state of the request."""
        cast(dict[str, Any], self.scope)["state"]["transport"] = self.transport
        super().on_headers_complete()


class ClosedResponse(Response):
    """Response that closes the connection early.

    Parameters
    ----------
    part : bytes
        Start of the body that is sent; `Content-Length` announces one byte more. If
        empty, nothing is sent.
    """

    def __init__(self, part: bytes = b"") -> None:
        super().__init__()
        self.part = part

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the partial body, if any, and close the connection."""
        if self.part:
            content_length = str(len(self.part) + 1).encode()
            headers = [(b"content-length", content_length)]
            await send(
                {"type": "http.response.start", "status": 200, "headers": headers}
            )
            body = {"type": "http.response.body", "body": self.part}
            await send({**body, "more_body": True})
        await close_connection(Request(scope))


async def close_connection(request: Request) -> None:
    """Close the connection of a request; data already written is flushed first."""
    transport: asyncio.Transport = request.state.transport
    transport.close()
    await asyncio.sleep(0.001)


async def wait_for_disconnect(request: Request) -> None:
    """Wait until the client disconnects."""
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            return


def listen(port: int) -> socket.socket:
    """Return a listening socket; port 0 selects a free port."""
    # asyncio sets TCP_NODELAY only on sockets created with an explicit IPPROTO_TCP.
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, port))
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


def serve(
    routes: list[Route],
    port: int,
    lifespan: Lifespan[Starlette] | None = None,
    ready: Callable[[int], None] | None = None,
) -> None:
    """Serve until SIGTERM; print `ready PORT` once the socket is listening."""
    app = Starlette(routes=routes, lifespan=lifespan)
    config = uvicorn.Config(
        app,
        loop="asyncio",
        http=ClosableProtocol,
        ws="none",
        lifespan="on",
        log_level="warning",
        access_log=False,
        timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
        timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_S,
    )
    listener = listen(port)
    actual_port = listener.getsockname()[1]
    if ready is not None:
        ready(actual_port)
    print(f"ready {actual_port}", flush=True)
    uvicorn.Server(config).run(sockets=[listener])

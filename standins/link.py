"""Relay TCP between programs, and cut or delay paths on request."""

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Annotated, Literal

import anyio
import fire
from anyio.abc import SocketStream, TaskGroup
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError, with_config
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from .serving import HOST, serve

CHUNK_BYTES = 65_536
STRICT = ConfigDict(extra="forbid")


@with_config(STRICT)
@dataclass(frozen=True)
class RelayRequest:
    """Ask for a relay on a path, from a port of its own to an address."""

    path: str
    to: Annotated[str, Field(pattern=r"^[0-9.]+:\d{1,5}$")]
    port: int = 0


@with_config(STRICT)
@dataclass(frozen=True)
class PathChange:
    """Change what a path does with the bytes of its relays.

    Parameters
    ----------
    state : str
        `open`; `hang` holds every byte back, also those of new connections, as a
        network does that drops packets; `close` ends and refuses connections.
    delay_ms : float
        Delay of each chunk in either direction.
    """

    path: str
    state: Literal["open", "hang", "close"] = "open"
    delay_ms: Annotated[float, Field(ge=0.0)] = 0.0


RELAY_REQUEST: TypeAdapter[RelayRequest] = TypeAdapter(RelayRequest)
PATH_CHANGE: TypeAdapter[PathChange] = TypeAdapter(PathChange)


@dataclass
class Path:
    """Hold the state of one path.

    Parameters
    ----------
    passing : anyio.Event
        Set while bytes may pass; replaced when the path is cut.
    scopes : set of CancelScope
        One for each open connection.
    """

    state: Literal["open", "hang", "close"] = "open"
    delay_ms: float = 0.0
    passing: anyio.Event = field(default_factory=anyio.Event)
    scopes: set[anyio.CancelScope] = field(default_factory=set)

    def change(self, change: PathChange) -> None:
        """Take over a new state."""
        self.state = change.state
        self.delay_ms = change.delay_ms
        if change.state == "hang":
            self.passing = anyio.Event()
            return
        self.passing.set()
        if change.state == "close":
            for scope in self.scopes:
                scope.cancel()


@dataclass
class Network:
    """Hold every path by name."""

    paths: dict[str, Path] = field(default_factory=dict)
    tasks: TaskGroup | None = None

    def path(self, name: str) -> Path:
        """Return a path; a new one is open."""
        if name not in self.paths:
            path = self.paths[name] = Path()
            path.passing.set()
        return self.paths[name]


async def relay(path: Path, client: SocketStream, host: str, port: int) -> None:
    """Relay one connection until an end closes or the path is closed."""
    with anyio.CancelScope() as scope:
        async with client:
            path.scopes.add(scope)
            try:
                await relay_open(path, client, host, port, scope)
            except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
                return
            finally:
                path.scopes.discard(scope)


async def relay_open(
    path: Path, client: SocketStream, host: str, port: int, scope: anyio.CancelScope
) -> None:
    """Connect to the far end and pass bytes both ways."""
    if path.state == "close":
        return
    await path.passing.wait()
    server = await anyio.connect_tcp(host, port)
    async with server, anyio.create_task_group() as tasks:
        tasks.start_soon(pump, path, client, server, scope)
        tasks.start_soon(pump, path, server, client, scope)


async def pump(
    path: Path, source: SocketStream, target: SocketStream, scope: anyio.CancelScope
) -> None:
    """Pass bytes one way; an end that closes closes the connection."""
    try:
        async for data in chunks(source):
            if path.delay_ms:
                await anyio.sleep(path.delay_ms / 1000.0)
            await path.passing.wait()
            await target.send(data)
    except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
        pass
    await path.passing.wait()
    scope.cancel()


async def chunks(source: SocketStream) -> AsyncIterator[bytes]:
    """Yield what arrives until the end of the stream."""
    while True:
        try:
            yield await source.receive(CHUNK_BYTES)
        except anyio.EndOfStream:
            return


async def open_relay(network: Network, asked: RelayRequest) -> int:
    """Listen for a path; return the port."""
    path = network.path(asked.path)
    host, _, port = asked.to.rpartition(":")
    listener = await anyio.create_tcp_listener(
        local_host=HOST, local_port=asked.port, family=socket.AF_INET
    )

    async def accept(client: SocketStream) -> None:
        await relay(path, client, host, int(port))

    async def listen() -> None:
        async with listener:
            await listener.serve(accept)

    assert network.tasks is not None
    network.tasks.start_soon(listen)
    return int(listener.extra(anyio.abc.SocketAttribute.local_port))


def make_routes(network: Network) -> list[Route]:
    """Return the routes that open relays and change paths."""

    async def add(request: Request) -> JSONResponse:
        try:
            asked = RELAY_REQUEST.validate_json(await request.body())
        except ValidationError as error:
            return JSONResponse({"findings": [str(error)]}, 400)
        return JSONResponse({"port": await open_relay(network, asked)})

    async def change(request: Request) -> JSONResponse:
        try:
            wanted = PATH_CHANGE.validate_json(await request.body())
        except ValidationError as error:
            return JSONResponse({"findings": [str(error)]}, 400)
        if wanted.path not in network.paths:
            known = ", ".join(sorted(network.paths))
            finding = f"there is no path {wanted.path}; known are {known}"
            return JSONResponse({"findings": [finding]}, 400)
        network.path(wanted.path).change(wanted)
        return JSONResponse({})

    return [
        Route("/relays", add, methods=["POST"]),
        Route("/paths", change, methods=["POST"]),
    ]


def main(port: int = 0) -> None:
    """Relay until SIGTERM.

    Parameters
    ----------
    port : int
        TCP port of the control; 0 takes a free one, which the line `ready PORT` tells.
    """
    network = Network()

    @asynccontextmanager
    async def lifespan(app: Starlette) -> AsyncIterator[None]:
        async with anyio.create_task_group() as tasks:
            network.tasks = tasks
            yield
            tasks.cancel_scope.cancel()

    serve(make_routes(network), port, lifespan)


if __name__ == "__main__":
    fire.Fire(main)

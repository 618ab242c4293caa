"""TCP relay between programs that can cut or delay network paths on request."""

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
    """Request to open a relay on a path, from a local port to an address."""

    path: str
    to: Annotated[str, Field(pattern=r"^[0-9.]+:\d{1,5}$")]
    port: int = 0


@with_config(STRICT)
@dataclass(frozen=True)
class PathChange:
    """Request to change the state of a path.

    Parameters
    ----------
    state : str
        `open`; `hang` holds back all bytes, also of new connections, like a network
        that drops packets; `close` closes connections and refuses new ones.
    delay_ms : float
        Delay of each chunk in either direction, ms.
    """

    path: str
    state: Literal["open", "hang", "close"] = "open"
    delay_ms: Annotated[float, Field(ge=0.0)] = 0.0


RELAY_REQUEST: TypeAdapter[RelayRequest] = TypeAdapter(RelayRequest)
PATH_CHANGE: TypeAdapter[PathChange] = TypeAdapter(PathChange)


@dataclass
class Path:
    """State of one network path.

    Parameters
    ----------
    passing : anyio.Event
        Set while bytes can pass; replaced by a new event when the path hangs.
    scopes : set of CancelScope
        Cancel scope of each open connection.
    """

    state: Literal["open", "hang", "close"] = "open"
    delay_ms: float = 0.0
    passing: anyio.Event = field(default_factory=anyio.Event)
    scopes: set[anyio.CancelScope] = field(default_factory=set)

    def change(self, change: PathChange) -> None:
        """Apply a new state."""
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
    """All paths by name."""

    paths: dict[str, Path] = field(default_factory=dict)
    tasks: TaskGroup | None = None

    def path(self, name: str) -> Path:
        """Return a path; create it in the state `open` if missing."""
        if name not in self.paths:
            path = self.paths[name] = Path()
            path.passing.set()
        return self.paths[name]


async def relay(path: Path, client: SocketStream, host: str, port: int) -> None:
    """Relay one connection until either end or the path is closed."""
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
    """Connect to the target and forward bytes in both directions."""
    if path.state == "close":
        return
    await path.passing.wait()
    server = await anyio.connect_tcp(host, port)
    async with server, anyio.create_task_group() as tasks:
        tasks.start_soon(forward, path, client, server, scope)
        tasks.start_soon(forward, path, server, client, scope)


async def forward(
    path: Path, source: SocketStream, target: SocketStream, scope: anyio.CancelScope
) -> None:
    """Forward bytes in one direction; close the connection when one end closes."""
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
    """Yield received chunks until the end of the stream."""
    while True:
        try:
            yield await source.receive(CHUNK_BYTES)
        except anyio.EndOfStream:
            return


async def open_relay(network: Network, relay_request: RelayRequest) -> int:
    """Open a relay on a path and return its port."""
    path = network.path(relay_request.path)
    host, _, port = relay_request.to.rpartition(":")
    listener = await anyio.create_tcp_listener(
        local_host=HOST, local_port=relay_request.port, family=socket.AF_INET
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
            relay_request = RELAY_REQUEST.validate_json(await request.body())
        except ValidationError as error:
            return JSONResponse({"findings": [str(error)]}, 400)
        return JSONResponse({"port": await open_relay(network, relay_request)})

    async def change(request: Request) -> JSONResponse:
        try:
            change_request = PATH_CHANGE.validate_json(await request.body())
        except ValidationError as error:
            return JSONResponse({"findings": [str(error)]}, 400)
        if change_request.path not in network.paths:
            known = ", ".join(sorted(network.paths))
            finding = f"unknown path {change_request.path}; known paths: {known}"
            return JSONResponse({"findings": [finding]}, 400)
        network.path(change_request.path).change(change_request)
        return JSONResponse({})

    return [
        Route("/relays", add, methods=["POST"]),
        Route("/paths", change, methods=["POST"]),
    ]


def main(port: int = 0) -> None:
    """Run the relay until SIGTERM.

    Parameters
    ----------
    port : int
        TCP port of the control API; 0 selects a free port, which the line `ready PORT`
        prints.
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

"""Relays between programs that cut or delay network paths on request."""

from dataclasses import dataclass, field
from typing import Annotated, Literal

import fire
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError, with_config
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from .relay import Link
from .serving import HOST, serve

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
    """State of one network path and the relays on it."""

    change_request: PathChange
    links: list[Link] = field(default_factory=list)

    def add(self, link: Link) -> None:
        """Add a relay, which takes over the state of the path."""
        self.links.append(link)
        self.apply(link)

    def change(self, change_request: PathChange) -> None:
        """Apply a new state to all relays."""
        self.change_request = change_request
        for link in self.links:
            self.apply(link)

    def apply(self, link: Link) -> None:
        """Apply the state to one relay."""
        link.delay_s = self.change_request.delay_ms / 1000.0
        link.is_closed = self.change_request.state == "close"
        if self.change_request.state == "hang":
            link.hold()
            return
        link.let_pass()
        if link.is_closed:
            link.close()


@dataclass
class Network:
    """All paths by name."""

    paths: dict[str, Path] = field(default_factory=dict)

    def path(self, name: str) -> Path:
        """Return a path; create it in the state `open` if missing."""
        if name not in self.paths:
            self.paths[name] = Path(PathChange(name))
        return self.paths[name]


async def open_relay(network: Network, relay_request: RelayRequest) -> int:
    """Open a relay on a path and return its port."""
    link = Link(relay_request.path, relay_request.to)
    await link.start(HOST, relay_request.port)
    network.path(relay_request.path).add(link)
    return int(link.address.rpartition(":")[2])


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
    serve(make_routes(Network()), port)


if __name__ == "__main__":
    fire.Fire(main)

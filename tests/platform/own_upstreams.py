"""Let an upstream of a test's own serve in place of the stand-in's, and ask it."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from types import SimpleNamespace

from standins.keyed_store import SERVER_TOPIC

from .crash_site import headers_for
from .site import Answer, Site, call

Session = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
"""Serves one connection."""


async def replace_upstreams(
    site: Site, session: Session, services: Mapping[str, str]
) -> None:
    """Let one upstream serve all requests without stages.

    Parameters
    ----------
    services : mapping of str to str
        The service of each name under which the upstream is listed.
    """
    for name in ("desk-1", "desk-2", "engine-1"):
        await site.store.put(SERVER_TOPIC, name, None)
    server = await asyncio.start_server(session, f"{site.network}.221", 0)
    site.servers.append(server)
    address = f"{site.network}.221:{server.sockets[0].getsockname()[1]}"
    for name, service in services.items():
        site.upstreams[name] = SimpleNamespace(address=address)  # type: ignore[assignment]
        await site.register(name, service, slots=1_000)


async def send(
    site: Site, target: str, number: int, body: bytes = b"body"
) -> Answer | None:
    """Send one request; None is a connection that ends without an answer."""
    headers = headers_for(target, f"a{number}")
    try:
        return await call(site.vms[0].address, "POST", target, headers, body)
    except (OSError, asyncio.IncompleteReadError):
        return None

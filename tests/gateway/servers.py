"""Serve one side of a connection in a test, byte for byte."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

Session = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@asynccontextmanager
async def serving(*sessions: Session) -> AsyncIterator[tuple[str, list[Session]]]:
    """Give each connection its session, the last one to all that follow.

    Returns the address to connect to, and the sessions that were begun.
    """
    begun: list[Session] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        session = sessions[min(len(begun), len(sessions) - 1)]
        begun.append(session)
        try:
            await session(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f"{host}:{port}", begun
    finally:
        server.close()

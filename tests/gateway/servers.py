"""TCP server for tests that exchange raw bytes."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

Session = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@asynccontextmanager
async def serving(*sessions: Session) -> AsyncIterator[tuple[str, list[Session]]]:
    """Run a server that handles each connection by the next session function.

    The last session function handles all further connections. Yields the address of the
    server and the sessions that have begun.
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

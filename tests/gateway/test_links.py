"""Test the sessions between VMs, with a VM that goes silent on an open connection."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import serve

from cuminstile.clock import Clock
from cuminstile.gateway.chain import ChainSpec, ChainStage
from cuminstile.gateway.messages import (
    CODEC,
    ChainAdmitted,
    ChainDone,
    ChainMoved,
    ResultEntry,
    RunChain,
)
from cuminstile.gateway.peer_sessions import SessionLostError
from cuminstile.gateway.staged_results import run_on_peer
from cuminstile.gateway.state import Gateway

from .test_state import make_vm

pytestmark = pytest.mark.anyio
SILENCE_NOTICED_S = 3.0
"""Time in which a VM must notice that another one is silent on an open connection."""
Session = Callable[[Connection], Awaitable[None]]


@dataclass
class Peer:
    """Be another VM that gives each session that is opened the next behaviour."""

    sessions: tuple[Session, ...]
    address: str = ""
    opened: list[Connection] = field(default_factory=list)

    async def handle(self, connection: Connection) -> None:
        """Behave as told until the session is closed."""
        number = min(len(self.opened), len(self.sessions) - 1)
        self.opened.append(connection)
        await self.sessions[number](connection)
        await connection.wait_closed()


@asynccontextmanager
async def running(*sessions: Session) -> AsyncIterator[Peer]:
    peer = Peer(sessions)
    async with serve(peer.handle, "127.0.0.1", 0, ping_interval=None) as server:
        host, port = next(iter(server.sockets)).getsockname()
        peer.address = f"{host}:{port}"
        yield peer
        for connection in peer.opened:
            connection.transport.abort()


async def asked(connection: Connection) -> RunChain:
    message = CODEC.decode(await connection.recv())
    assert isinstance(message, RunChain)
    return message


async def go_deaf(connection: Connection) -> None:
    """Read nothing more, and so answer no ping either."""
    connection.transport.pause_reading()  # type: ignore[attr-defined]


async def admit_then_go_deaf(connection: Connection) -> None:
    message = await asked(connection)
    await connection.send(CODEC.encode(ChainAdmitted(message.call, 100.0)))
    await go_deaf(connection)


async def do_the_work(connection: Connection) -> None:
    message = await asked(connection)
    await connection.send(CODEC.encode(ChainAdmitted(message.call, 100.0)))
    results = (ResultEntry("handle", "u1", 10, "a"),)
    await connection.send(CODEC.encode(ChainDone(message.call, results)))


def make_spec(vm: Gateway) -> ChainSpec:
    now_ms = vm.clock.now_ms()
    stage = ChainStage(0, "s", (), 1, 10)
    end_ms = now_ms + 60_000.0
    return ChainSpec("c", "a1", "k", 1, "a", now_ms + 1e3, end_ms, 0.0, (stage,))


async def run_chain(vm: Gateway, peer: Peer) -> tuple[str, ...]:
    results = await run_on_peer(vm, peer.address, make_spec(vm), again=False)
    return tuple(result.handle for result in results)


async def test_work_is_asked_for_on_a_new_session_after_one_without_an_answer() -> None:
    """Guards against a session that is silent for good and used again and again."""
    vm = make_vm(Clock())
    async with running(go_deaf, do_the_work) as peer:
        with pytest.raises(SessionLostError):
            await run_chain(vm, peer)
        await asyncio.sleep(SILENCE_NOTICED_S)
        assert await run_chain(vm, peer) == ("handle",)


async def test_session_that_goes_silent_after_it_took_work_on_is_given_up() -> None:
    """Guards against requests that wait to their deadline for a silent session."""
    vm = make_vm(Clock())
    async with running(admit_then_go_deaf) as peer:
        async with asyncio.timeout(SILENCE_NOTICED_S):
            with pytest.raises(SessionLostError):
                await run_chain(vm, peer)


async def test_messages_that_come_together_are_all_taken() -> None:
    """Guards against a request that waits to its deadline for work that was done.

    A VM that was frozen or slow reads that its work was taken on and what came of it
    at once.
    """
    vm = make_vm(Clock())
    async with running(do_the_work) as peer:
        async with asyncio.timeout(SILENCE_NOTICED_S):
            assert await run_chain(vm, peer) == ("handle",)


async def test_idle_session_is_kept() -> None:
    vm = make_vm(Clock())

    async def twice(connection: Connection) -> None:
        for _ in range(2):
            await do_the_work(connection)

    async with running(twice) as peer:
        await run_chain(vm, peer)
        await asyncio.sleep(SILENCE_NOTICED_S)
        await run_chain(vm, peer)
        assert len(peer.opened) == 1


async def test_message_that_came_before_the_session_was_lost_is_taken() -> None:
    """Guards against work that is done twice when its scheduler stops right after."""
    vm = make_vm(Clock())
    async with running(go_deaf) as peer:
        session = await vm.sessions.get_session(peer.address)
        call = session.begin_call()
        moved = ChainMoved(call, ())
        session.replies[call].put_nowait(moved)
        vm.sessions.drop(session)
        assert await session.reply(call) is moved
        with pytest.raises(SessionLostError):
            await session.reply(call)
        with pytest.raises(SessionLostError):
            await session.reply(session.begin_call())

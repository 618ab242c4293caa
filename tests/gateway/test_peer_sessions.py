"""Test the sessions between VMs with a VM that is silent on an open connection."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import serve
from websockets.exceptions import ConnectionClosed
from websockets.frames import Frame, Opcode

from cuminstile.clock import Clock, VirtualClock
from cuminstile.eras.position import Position
from cuminstile.events import Event
from cuminstile.gateway import sharing
from cuminstile.gateway.chain import ChainSpec, ChainStage
from cuminstile.gateway.membership import SILENCE_LIMIT_MS
from cuminstile.gateway.messages import (
    CODEC,
    ChainAdmitted,
    ChainDone,
    ChainMoved,
    Heartbeat,
    ResultEntry,
    RunChain,
    TopicRequest,
    TopicResponse,
)
from cuminstile.gateway.peer_sessions import CONNECT_TIMEOUT_MS, SessionLostError
from cuminstile.gateway.staged_results import run_on_peer
from cuminstile.gateway.state import Gateway

from .test_state import make_vm

pytestmark = pytest.mark.anyio
SILENCE_NOTICED_S = 3.0
"""Time in which a VM must detect that another one is silent on an open connection."""
HEARTBEAT = Heartbeat("vm-2", "10.0.0.2:7000", "a", "i", 1, False, (), ())
Session = Callable[[Connection], Awaitable[None]]


@dataclass
class Peer:
    """Another VM, which handles each new session by the next session function."""

    sessions: tuple[Session, ...]
    address: str = ""
    opened: list[Connection] = field(default_factory=list)

    async def handle(self, connection: Connection) -> None:
        """Run the session function, then wait until the session is closed."""
        number = min(len(self.opened), len(self.sessions) - 1)
        self.opened.append(connection)
        await self.sessions[number](connection)
        await connection.wait_closed()


@asynccontextmanager
async def running_peer(*sessions: Session) -> AsyncIterator[Peer]:
    peer = Peer(sessions)
    async with serve(peer.handle, "127.0.0.1", 0, ping_interval=None) as server:
        host, port = next(iter(server.sockets)).getsockname()
        peer.address = f"{host}:{port}"
        yield peer
        for connection in peer.opened:
            connection.transport.abort()


async def receive_run_chain(connection: Connection) -> RunChain:
    message = CODEC.decode(await connection.recv())
    assert isinstance(message, RunChain)
    return message


async def stop_reading(connection: Connection) -> None:
    """Stop reading from the connection, so that pings are not answered either."""
    connection.transport.pause_reading()  # type: ignore[attr-defined]


async def admit_then_stop_reading(connection: Connection) -> None:
    message = await receive_run_chain(connection)
    await connection.send(CODEC.encode(ChainAdmitted(message.call, 100.0)))
    await stop_reading(connection)


async def answer_chain(connection: Connection) -> None:
    message = await receive_run_chain(connection)
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


async def test_work_is_requested_on_a_new_session_after_a_silent_one() -> None:
    """Guards against reuse of a session that stays silent."""
    vm = make_vm(Clock())
    async with running_peer(stop_reading, answer_chain) as peer:
        with pytest.raises(SessionLostError):
            await run_chain(vm, peer)
        await asyncio.sleep(SILENCE_NOTICED_S)
        assert await run_chain(vm, peer) == ("handle",)


async def test_session_that_is_silent_after_admission_is_closed() -> None:
    """Guards against requests that wait until their deadline on a silent session."""
    vm = make_vm(Clock())
    async with running_peer(admit_then_stop_reading) as peer:
        async with asyncio.timeout(SILENCE_NOTICED_S):
            with pytest.raises(SessionLostError):
                await run_chain(vm, peer)


async def test_messages_that_arrive_together_are_all_read() -> None:
    """Guards against a request that waits until its deadline for completed work.

    A VM that was frozen or slow reads the admission and the result of a call together.
    """
    vm = make_vm(Clock())
    async with running_peer(answer_chain) as peer:
        async with asyncio.timeout(SILENCE_NOTICED_S):
            assert await run_chain(vm, peer) == ("handle",)


async def test_idle_session_stays_open() -> None:
    vm = make_vm(Clock())

    async def answer_twice(connection: Connection) -> None:
        for _ in range(2):
            await answer_chain(connection)

    async with running_peer(answer_twice) as peer:
        await run_chain(vm, peer)
        await asyncio.sleep(SILENCE_NOTICED_S)
        await run_chain(vm, peer)
        assert len(peer.opened) == 1


async def send_text(connection: Connection) -> None:
    await receive_run_chain(connection)
    await connection.send("no message")


async def send_noise(connection: Connection) -> None:
    await receive_run_chain(connection)
    await connection.send(b"\xff\x00\x81")


async def send_heartbeat(connection: Connection) -> None:
    await receive_run_chain(connection)
    await connection.send(CODEC.encode(HEARTBEAT))


async def send_other_reply(connection: Connection) -> None:
    message = await receive_run_chain(connection)
    await connection.send(CODEC.encode(ChainAdmitted(message.call, 100.0)))
    await connection.send(CODEC.encode(ChainAdmitted(message.call, 100.0)))


@pytest.mark.parametrize(
    "malformed", [send_text, send_noise, send_heartbeat, send_other_reply]
)
async def test_malformed_reply_costs_its_session_alone(malformed: Session) -> None:
    """Guards against a call that waits until its deadline after a malformed message."""
    vm = make_vm(Clock())
    async with running_peer(malformed, answer_chain) as peer:
        async with asyncio.timeout(SILENCE_NOTICED_S):
            with pytest.raises(SessionLostError):
                await run_chain(vm, peer)
            if malformed is not send_other_reply:
                assert await run_chain(vm, peer) == ("handle",)
                refused = [
                    entry
                    for entry in vm.journal.ring
                    if entry.event is Event.PEER_MESSAGE_REFUSED
                ]
                assert len(refused) == 1


@pytest.mark.parametrize(
    "data",
    ["text", b"\xff\x00", CODEC.encode(HEARTBEAT)],
    ids=["text", "noise", "type"],
)
async def test_malformed_request_ends_its_session_alone(data: str | bytes) -> None:
    vm = make_vm(Clock())
    server = await vm.sessions.serve_peers("127.0.0.1:0")
    host, port = next(iter(server.sockets)).getsockname()
    async with asyncio.timeout(SILENCE_NOTICED_S):
        async with connect(f"ws://{host}:{port}/", proxy=None) as connection:
            await connection.send(data)
            await connection.wait_closed()
        async with connect(f"ws://{host}:{port}/", proxy=None) as connection:
            await connection.send(CODEC.encode(TopicRequest(3, "unknown", 5)))
            reply = CODEC.decode(await connection.recv())
    assert reply.call == 3
    (refused,) = [
        entry for entry in vm.journal.ring if entry.event is Event.PEER_MESSAGE_REFUSED
    ]
    assert refused.fields["error"]
    server.close()


async def test_message_received_before_the_session_was_lost_is_read() -> None:
    """Guards against work that runs twice if its scheduler stops after its reply."""
    vm = make_vm(Clock())
    async with running_peer(stop_reading) as peer:
        session = await vm.sessions.get_session(peer.address)
        call = session.begin_call()
        moved = ChainMoved(call, ())
        session.replies[call].put_nowait(moved)
        vm.sessions.close_session(session)
        assert await session.reply(call) is moved
        with pytest.raises(SessionLostError):
            await session.reply(call)
        with pytest.raises(SessionLostError):
            await session.reply(session.begin_call())


def done(call: int, handle: str) -> bytes:
    """Return the message that a call is done with one result."""
    return CODEC.encode(ChainDone(call, (ResultEntry(handle, "u1", 10, "a"),)))


async def test_answer_on_an_earlier_session_is_not_that_to_the_same_number() -> None:
    """Guards against a result of an earlier call whose number is used again."""
    vm = make_vm(Clock())
    calls: list[int] = []

    async def admit_alone(connection: Connection) -> None:
        message = await receive_run_chain(connection)
        calls.append(message.call)
        await connection.send(CODEC.encode(ChainAdmitted(message.call, 100.0)))

    async def answer_on_both(connection: Connection) -> None:
        message = await receive_run_chain(connection)
        calls.append(message.call)
        await connection.send(CODEC.encode(ChainAdmitted(message.call, 100.0)))
        with contextlib.suppress(ConnectionClosed):
            await peer.opened[0].send(done(message.call, "foreign"))
        await asyncio.sleep(0.05)
        await connection.send(done(message.call, "handle"))

    async with running_peer(admit_alone, answer_on_both) as peer:
        first = asyncio.create_task(run_chain(vm, peer))
        await asyncio.sleep(0.1)
        vm.sessions.close_session(vm.sessions.open_sessions[peer.address])
        with pytest.raises(SessionLostError):
            await first
        assert await run_chain(vm, peer) == ("handle",)
    assert calls == [0, 0]


async def test_answer_that_comes_twice_is_not_that_to_the_next_call() -> None:
    """Guards against results of an earlier call by a message that was sent again."""
    vm = make_vm(Clock())

    async def repeat(connection: Connection) -> None:
        message = await receive_run_chain(connection)
        await connection.send(CODEC.encode(ChainAdmitted(message.call, 100.0)))
        await connection.send(done(message.call, "foreign"))
        other = await receive_run_chain(connection)
        await connection.send(done(message.call, "foreign"))
        await connection.send(CODEC.encode(ChainAdmitted(other.call, 100.0)))
        await connection.send(done(message.call, "foreign"))
        await connection.send(done(other.call, "handle"))

    async with running_peer(repeat) as peer:
        assert await run_chain(vm, peer) == ("foreign",)
        assert await run_chain(vm, peer) == ("handle",)
        assert len(peer.opened) == 1


async def test_late_records_are_not_those_of_another_topic(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against records of a topic that come after the request has timed out."""
    monkeypatch.setattr(sharing, "DELTA_TIMEOUT_MS", 100.0)
    vm = make_vm(Clock())

    def response_to(data: bytes | str, end: int) -> bytes:
        assert isinstance(data, bytes)
        call = CODEC.decode(data).call
        return CODEC.encode(TopicResponse(call, (), end, False, 0.0, 0.0, -1))

    async def answer_late(connection: Connection) -> None:
        first, second = await connection.recv(), await connection.recv()
        await connection.send(response_to(first, 900))
        await connection.send(response_to(second, 7))

    async with running_peer(answer_late) as peer:
        with pytest.raises(TimeoutError):
            await sharing.request_delta(vm, peer.address, "first", Position(0, 5))
        delta = await sharing.request_delta(vm, peer.address, "second", Position(0, 5))
    assert delta.end == Position(0, 7)


def in_frame(data: bytes) -> bytes:
    """Return a message as a VM sends it: in one frame, which states its length."""
    return Frame(Opcode.BINARY, data).serialize(mask=False)


def write_torn(cut: int, goes_on: bool) -> Session:
    """Return a session that cuts off the answer to a call.

    Parameters
    ----------
    goes_on : bool
        Whether a whole answer follows on the connection, as if it were no other.
    """

    async def session(connection: Connection) -> None:
        message = await receive_run_chain(connection)
        await connection.send(CODEC.encode(ChainAdmitted(message.call, 100.0)))
        torn = in_frame(done(message.call, "torn"))[:cut]
        whole = in_frame(done(message.call, "handle")) if goes_on else b""
        connection.transport.write(torn + whole)  # type: ignore[attr-defined]
        connection.transport.close()

    return session


# Guards against a reply that is put together from two: a frame states its length, and a
# VM never writes on after a frame that it broke off.
@pytest.mark.parametrize("goes_on", [False, True])
async def test_torn_reply_is_no_reply(goes_on: bool) -> None:
    vm = make_vm(Clock())
    for cut in range(1, len(in_frame(done(1, "torn")))):
        async with running_peer(write_torn(cut, goes_on)) as peer:
            async with asyncio.timeout(SILENCE_NOTICED_S):
                with pytest.raises(SessionLostError):
                    await run_chain(vm, peer)


async def test_requests_that_wait_for_a_silent_vm_fail_together() -> None:
    """Load: a burst reaches a VM whose scheduler was just cut off.

    Guards against one timeout after the other, which takes all the requests' time.
    """
    vm = make_vm(Clock())
    listener = socket.create_server(("127.0.0.1", 0))
    host, port = listener.getsockname()
    began_ms = vm.clock.now_ms()
    with listener:
        ends = await asyncio.gather(
            *(vm.sessions.get_session(f"{host}:{port}") for _ in range(8)),
            return_exceptions=True,
        )
    assert all(isinstance(end, SessionLostError) for end in ends)
    assert vm.clock.now_ms() - began_ms < 2 * CONNECT_TIMEOUT_MS


async def test_session_with_a_vm_that_was_only_named_is_not_closed_at_once() -> None:
    """Guards against a VM that suspects the scheduler which others have named to it."""
    clock = VirtualClock()
    vm = make_vm(clock)
    async with running_peer(stop_reading) as peer:
        session = await vm.sessions.get_session(peer.address)
        clock.at_ms += SILENCE_LIMIT_MS - 1.0
        vm.sessions.close_silent(())
        assert not session.lost
        clock.at_ms += 1.0
        vm.sessions.close_silent((peer.address,))
        assert not session.lost
        vm.sessions.close_silent(())
        assert session.lost

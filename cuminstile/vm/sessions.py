"""WebSocket sessions with other VMs, with heartbeats and message dispatch."""

from __future__ import annotations

import itertools
import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
import websockets
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectSendStream
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import serve

from ..const import (
    HEARTBEAT_BUSY_INTERVAL_MS,
    MISSED_HEARTBEATS_LIMIT,
)
from ..events import Event, Stamp
from ..exceptions import CuminstileError, ErrorCode
from ..message_codec import MAX_MESSAGE_BYTES
from ..pipeline import internal_error
from ..wire import Message
from .configuration import on_newer_version
from .handshake import HANDSHAKE_TIMEOUT_MS, accept_handshake
from .messages import (
    CODEC,
    Heartbeat,
    Hello,
    RunStage,
    StageCancel,
    StageDone,
    StageRefused,
    StageTokens,
    Welcome,
)

if TYPE_CHECKING:
    from ..runtime import Vm

# On a network path that drops packets, the closing handshake never completes.
CLOSE_TIMEOUT_MS = 500
WORK_MESSAGES = (RunStage, StageTokens, StageDone, StageRefused, StageCancel)


@dataclass
class Session:
    """One open session with another VM.

    Parameters
    ----------
    last_seen_ms : float
        Monotonic time of the last message received.
    numbers : itertools.count
        Numbers for this VM's own calls.
    calls : dict of int to stream
        Streams for the answers to this VM's own calls, by call number.
    serving : dict of int to CancelScope
        The other VM's calls that run here, by call number.
    busy_since_ms : float or None
        Monotonic time since which this VM's own calls have been in progress.
    sent_messages, sent_bytes : int
        Totals sent so far, without the headers of WebSocket and the layers below.
    sent_control_bytes : int
        The part of `sent_bytes` that is not work: neither request nor answer.
    """

    name: str
    data_centre: str
    incarnation: str
    connection: Connection
    tasks: TaskGroup
    last_seen_ms: float
    numbers: itertools.count[int] = field(default_factory=itertools.count)
    calls: dict[int, MemoryObjectSendStream[Message]] = field(default_factory=dict)
    serving: dict[int, anyio.CancelScope] = field(default_factory=dict)
    busy_since_ms: float | None = None
    sent_messages: int = 0
    sent_bytes: int = 0
    sent_control_bytes: int = 0

    async def send(self, message: Message) -> None:
        """Send one message.

        Raises
        ------
        CuminstileError
            With `PEER_LOST` if the session is closed, or `BODY_TOO_LARGE` for a
            message that would make the other side close it; that is not sent.
        """
        data = CODEC.encode(message)
        if len(data) > MAX_MESSAGE_BYTES:
            raise CuminstileError(
                ErrorCode.BODY_TOO_LARGE,
                f"a message between VMs exceeds the limit of {MAX_MESSAGE_BYTES} bytes",
            )
        if not isinstance(message, WORK_MESSAGES):
            self.sent_control_bytes += len(data)
        self.sent_messages += 1
        self.sent_bytes += len(data)
        try:
            await self.connection.send(data)
        except websockets.ConnectionClosed as error:
            raise peer_lost(self.name) from error


@dataclass
class Sessions:
    """The open sessions by the name of the other VM.

    Parameters
    ----------
    connecting : set of str
        The VMs for which a connection task runs.
    past_control_bytes : int
        Control bytes sent by sessions that have ended.
    """

    by_name: dict[str, Session] = field(default_factory=dict)
    connecting: set[str] = field(default_factory=set)
    past_control_bytes: int = 0

    def control_bytes(self) -> int:
        """Return the control bytes sent by all sessions so far."""
        sessions = self.by_name.values()
        return self.past_control_bytes + sum(s.sent_control_bytes for s in sessions)

    def of_data_centre(self, data_centre: str) -> tuple[Session, ...]:
        """Return the open sessions with VMs of a data centre."""
        every = self.by_name.values()
        return tuple(item for item in every if item.data_centre == data_centre)


def peer_lost(name: str) -> CuminstileError:
    """Return the error for a session that closed unexpectedly."""
    return CuminstileError(ErrorCode.PEER_LOST, f"the session with {name} was lost")


async def listen(vm: Vm) -> None:
    """Accept sessions from other VMs; never returns."""

    async def accept(connection: Connection) -> None:
        await serve_connection(vm, connection)

    async with serve(
        accept,
        vm.settings.host,
        vm.settings.vm_port,
        ssl=vm.server_tls,
        max_size=MAX_MESSAGE_BYTES,
        compression=None,
        ping_interval=None,
        open_timeout=HANDSHAKE_TIMEOUT_MS / 1000.0,
        close_timeout=CLOSE_TIMEOUT_MS / 1000.0,
    ):
        await anyio.sleep(math.inf)


async def serve_connection(vm: Vm, connection: Connection) -> None:
    """Run one accepted session until it ends."""
    try:
        with anyio.fail_after(HANDSHAKE_TIMEOUT_MS / 1000.0):
            hello = await accept_handshake(vm, connection)
    except (CuminstileError, TimeoutError, websockets.ConnectionClosed) as error:
        vm.journal.record(Event.PEER_REFUSED, reason=str(error))
        await connection.close(4001, "refused")
        return
    vm.members.add(hello.name, hello.data_centre, hello.address)
    await run_session(vm, connection, hello)


async def run_session(vm: Vm, connection: Connection, peer: Hello | Welcome) -> None:
    """Run an authenticated session until it closes or the other VM is silent."""
    async with anyio.create_task_group() as tasks:
        session = Session(
            peer.name,
            peer.data_centre,
            peer.incarnation,
            connection,
            tasks,
            vm.clock.now_ms(),
        )
        async with registered(vm, session):
            vm.members.set_operator_address(peer.name, peer.operator_address)
            tasks.start_soon(send_heartbeats, vm, session)
            await receive_messages(vm, session)
            tasks.cancel_scope.cancel()


@asynccontextmanager
async def registered(vm: Vm, session: Session) -> AsyncIterator[None]:
    """Register the session while it is open; a newer session replaces an older one."""
    old = vm.sessions.by_name.get(session.name)
    vm.sessions.by_name[session.name] = session
    if old is not None:
        old.tasks.cancel_scope.cancel()
    member = vm.members.by_name.get(session.name)
    if member is not None:
        member.incarnation = session.incarnation
    vm.members.mark_seen(session.name, vm.clock.now_ms())
    vm.journal.record(
        Event.PEER_CONNECTED, peer=session.name, incarnation=session.incarnation
    )
    try:
        yield
    finally:
        vm.sessions.past_control_bytes += session.sent_control_bytes
        if vm.sessions.by_name.get(session.name) is session:
            del vm.sessions.by_name[session.name]
        for answers in session.calls.values():
            answers.close()
        vm.journal.record(Event.PEER_LOST, peer=session.name)


async def send_heartbeats(vm: Vm, session: Session) -> None:
    """Send heartbeats, and close the session when the other VM is silent.

    Both sides send them faster while a call is in progress, so that a call to a
    frozen VM fails early while idle sessions cost little.
    """
    sent_ms = float("-inf")
    while not is_silent(vm, session):
        now_ms = vm.clock.now_ms()
        if now_ms - sent_ms >= heartbeat_interval_ms(vm, session):
            sent_ms = now_ms
            try:
                await session.send(make_heartbeat(vm))
            except CuminstileError:
                break
        await vm.clock.sleep_ms(HEARTBEAT_BUSY_INTERVAL_MS)
    session.tasks.cancel_scope.cancel()


def heartbeat_interval_ms(vm: Vm, session: Session) -> float:
    """Return the current heartbeat interval of a session."""
    if session.calls or session.serving:
        return HEARTBEAT_BUSY_INTERVAL_MS
    return vm.members.heartbeat_interval_ms(session.data_centre)


def is_silent(vm: Vm, session: Session) -> bool:
    """Return whether the other VM has missed too many heartbeats."""
    now_ms = vm.clock.now_ms()
    if not session.calls:
        session.busy_since_ms = None
        limit_ms = vm.members.silence_limit_ms(session.data_centre)
        return now_ms - session.last_seen_ms > limit_ms
    if session.busy_since_ms is None:
        session.busy_since_ms = now_ms
    # The other VM speeds up its heartbeats only on receiving the call: count from then.
    last_seen_ms = max(session.last_seen_ms, session.busy_since_ms)
    limit_ms = MISSED_HEARTBEATS_LIMIT * HEARTBEAT_BUSY_INTERVAL_MS
    return now_ms - last_seen_ms > limit_ms


def make_heartbeat(vm: Vm) -> Heartbeat:
    """Return a heartbeat with this VM's current state."""
    stamp = vm.journal.stamp()
    current = vm.configuration.current
    version = current.version if current else -1
    return Heartbeat(stamp.wall_ms, stamp.count, version, vm.leaving)


async def receive_messages(vm: Vm, session: Session) -> None:
    """Dispatch each message to its handler until the connection closes."""
    try:
        async for data in session.connection:
            session.last_seen_ms = vm.clock.now_ms()
            vm.members.mark_seen(session.name, session.last_seen_ms)
            await receive_one(vm, session, data)
    except websockets.ConnectionClosed:
        return


async def receive_one(vm: Vm, session: Session, data: bytes | str) -> None:
    """Decode and handle one message; a malformed one is logged and skipped."""
    try:
        message = CODEC.decode(data if isinstance(data, bytes) else b"")
        handler = vm.handlers.get(type(message))
        if handler is None:
            raise CuminstileError(
                ErrorCode.BAD_MESSAGE,
                "no handler for this type of message in a session",
            )
    except CuminstileError as error:
        vm.journal.record(
            Event.PEER_MESSAGE_REFUSED, peer=session.name, reason=error.message
        )
        return
    try:
        await handler(vm, session, message)
    except CuminstileError:
        # The answer could not be sent because the session is closing.
        return
    except Exception as error:
        internal_error(vm, error)


async def on_heartbeat(vm: Vm, session: Session, message: Heartbeat) -> None:
    """Apply what a heartbeat reports about its sender."""
    vm.journal.observe(Stamp(message.wall_ms, message.count))
    member = vm.members.by_name.get(session.name)
    if member is None:
        return
    member.config_version = message.config_version
    member.leaving = message.leaving
    await on_newer_version(vm, session, message.config_version)

"""Manage websocket sessions between VMs for staged work and records of the store."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Collection, Coroutine
from dataclasses import dataclass, field
from math import inf

import websockets
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, serve

from ..clock import Clock
from ..events import Event, Journal
from ..exceptions import CuminstileError
from ..message_codec import MAX_MESSAGE_BYTES, bad_message
from .conversions import (
    completed_to_entry,
    load_from_entry,
    result_from_entry,
    result_to_entry,
    spec_from_message,
)
from .handover import apply_worker_loads
from .membership import SILENCE_LIMIT_MS
from .messages import (
    CODEC,
    ChainAdmitted,
    ChainCancel,
    ChainDone,
    ChainMoved,
    ChainRefused,
    FreeResults,
    Message,
    RunChain,
    TopicRequest,
    TopicResponse,
    WorkerLoads,
    call_of,
)
from .staging import ChainAnswer, Scheduler

CONNECT_TIMEOUT_MS = 400.0
"""Timeout for opening a session with another VM: several network round trips."""
CLOSE_TIMEOUT_S = 0.3
"""Timeout of the closing handshake, which never completes on a silent path."""
PING_INTERVAL_S = 1.0
"""Interval of pings; one session's packets can be lost while other paths work."""
PING_TIMEOUT_S = 1.0
"""Timeout of the answer to a ping; the other VM's library answers immediately."""
RUN_CHAIN_ANSWER_MS = 500.0
"""Timeout of a scheduler's admission decision, which it makes immediately."""


class SessionLostError(Exception):
    """Another VM is unreachable or does not answer."""


@dataclass(eq=False)
class PeerSession:
    """A session that this VM has opened with another VM.

    Parameters
    ----------
    opened_ms : float
        When it was opened, in monotonic ms.
    replies : dict of int to queue
        Unread messages about each call, by number; None marks that the session is lost.
    """

    address: str
    connection: Connection
    opened_ms: float = 0.0
    call_numbers: itertools.count[int] = field(default_factory=itertools.count)
    replies: dict[int, asyncio.Queue[Message | None]] = field(default_factory=dict)
    lost: bool = False
    outgoing: asyncio.Queue[bytes] = field(default_factory=asyncio.Queue)

    def send(self, message: Message) -> None:
        """Queue a message; messages are sent in order."""
        if self.lost:
            raise SessionLostError(self.address)
        self.outgoing.put_nowait(CODEC.encode(message))

    def begin_call(self) -> int:
        """Return the number of a new call and start to queue its messages."""
        call = next(self.call_numbers)
        self.replies[call] = asyncio.Queue()
        if self.lost:
            self.replies[call].put_nowait(None)
        return call

    async def reply(self, call: int) -> Message:
        """Return the next message about a call.

        Raises
        ------
        SessionLostError
            If the session is lost and all earlier messages have been read.
        """
        message = await self.replies[call].get()
        if message is None:
            self.replies[call].put_nowait(None)
            raise SessionLostError(self.address)
        return message

    def end_call(self, call: int) -> None:
        """Stop queueing messages about a call."""
        self.replies.pop(call, None)

    def mark_lost(self) -> None:
        """Fail all waiting calls and abort the connection."""
        self.lost = True
        for replies in self.replies.values():
            replies.put_nowait(None)
        transport = self.connection.transport
        if transport is not None:
            transport.abort()


def decode_frame(data: str | bytes) -> Message:
    """Return the message in one frame of a session.

    Raises
    ------
    CuminstileError
        With `BAD_MESSAGE` if it is not one message.
    """
    if not isinstance(data, bytes):
        raise bad_message("a text frame is no message")
    message: Message = CODEC.decode(data)
    return message


async def send_queued(connection: Connection, outgoing: asyncio.Queue[bytes]) -> None:
    """Send queued messages in an endless loop."""
    while True:
        await connection.send(await outgoing.get())


@dataclass
class PeerSessions:
    """The sessions of this VM in both directions.

    Parameters
    ----------
    connect_failures : dict of str to tuple
        When the last session with a VM could not be opened, and why, by address.
    answer_topic_request : callable
        Returns this VM's records of a topic for another VM.
    before_chain, after_hand_over : callable
        Called before the scheduler gets a chain of another VM, and when another VM
        has named this one as the next scheduler.
    """

    clock: Clock
    journal: Journal
    scheduler: Scheduler
    answer_topic_request: Callable[[TopicRequest], TopicResponse]
    open_sessions: dict[str, PeerSession] = field(default_factory=dict)
    connect_locks: dict[str, asyncio.Lock] = field(default_factory=dict)
    connect_failures: dict[str, tuple[float, str]] = field(default_factory=dict)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    session_numbers: itertools.count[int] = field(default_factory=itertools.count)
    before_chain: Callable[[], object] = field(default=lambda: None)
    after_hand_over: Callable[[], None] = field(default=lambda: None)

    async def get_session(self, address: str) -> PeerSession:
        """Return the session with another VM, opening it if there is none.

        Requests that wait for the same session fail together: one timeout after the
        other would take all the time that they have.

        Raises
        ------
        SessionLostError
            If the session can't be opened in time.
        """
        asked_ms = self.clock.now_ms()
        lock = self.connect_locks.setdefault(address, asyncio.Lock())
        async with lock:
            session = self.open_sessions.get(address)
            if session is not None and not session.lost:
                return session
            failed_ms, reason = self.connect_failures.get(address, (-inf, ""))
            if failed_ms >= asked_ms:
                raise SessionLostError(reason)
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000.0):
                    connection = await connect(
                        f"ws://{address}/",
                        compression=None,
                        ping_interval=PING_INTERVAL_S,
                        ping_timeout=PING_TIMEOUT_S,
                        max_size=MAX_MESSAGE_BYTES,
                        close_timeout=CLOSE_TIMEOUT_S,
                        proxy=None,
                    )
            except (OSError, TimeoutError, websockets.WebSocketException) as error:
                reason = f"cannot connect to {address}: {error!r}"
                self.connect_failures[address] = self.clock.now_ms(), reason
                raise SessionLostError(reason) from error
            session = PeerSession(address, connection, self.clock.now_ms())
            self.open_sessions[address] = session
            self.journal.record(Event.PEER_CONNECTED, peer=address)
            self.start_task(self.read_messages(session))
            self.start_task(self.write_messages(session))
            return session

    def start_task(self, job: Coroutine[None, None, None]) -> None:
        """Run a coroutine as a background task."""
        task = asyncio.get_running_loop().create_task(job)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def write_messages(self, session: PeerSession) -> None:
        """Send the queued messages of a session until it is lost."""
        try:
            await send_queued(session.connection, session.outgoing)
        except websockets.WebSocketException:
            self.close_session(session)

    async def read_messages(self, session: PeerSession) -> None:
        """Queue the received messages by call until the session is lost."""
        try:
            async for data in session.connection:
                message = decode_frame(data)
                replies = session.replies.get(call_of(message))
                if replies is not None:
                    replies.put_nowait(message)
        except (websockets.WebSocketException, CuminstileError) as error:
            self.journal.record(
                Event.PEER_MESSAGE_REFUSED, peer=session.address, error=repr(error)
            )
        self.close_session(session)

    def close_session(self, session: PeerSession) -> None:
        """Close a session and fail the calls that wait on it."""
        if self.open_sessions.get(session.address) is session:
            del self.open_sessions[session.address]
            self.journal.record(
                Event.PEER_LOST, peer=session.address, waiting=len(session.replies)
            )
        session.mark_lost()

    def close_silent(self, live: Collection[str]) -> None:
        """Close the sessions with VMs that are considered lost.

        A VM that another one named may not have been heard of yet.

        Parameters
        ----------
        live : collection of str
            The addresses of the VMs that are heard of.
        """
        opened_by_ms = self.clock.now_ms() - SILENCE_LIMIT_MS
        for session in list(self.open_sessions.values()):
            if session.address not in live and session.opened_ms <= opened_by_ms:
                self.close_session(session)

    async def serve_peers(self, address: str) -> Server:
        """Accept sessions of other VMs on `host:port`."""
        host, _, port = address.rpartition(":")
        return await serve(
            self.serve_session,
            host,
            int(port),
            compression=None,
            ping_interval=None,
            max_size=MAX_MESSAGE_BYTES,
            close_timeout=CLOSE_TIMEOUT_S,
        )

    async def serve_session(self, connection: Connection) -> None:
        """Serve another VM until its session ends, then cancel its chains."""
        prefix = f"s{next(self.session_numbers)}:"
        outgoing: asyncio.Queue[bytes] = asyncio.Queue()
        writer = asyncio.get_running_loop().create_task(
            send_queued(connection, outgoing)
        )
        chains: set[str] = set()

        def send(message: Message) -> None:
            outgoing.put_nowait(CODEC.encode(message))

        try:
            async for data in connection:
                self.on_message(decode_frame(data), prefix, chains, send)
        except (websockets.WebSocketException, CuminstileError) as error:
            self.journal.record(Event.PEER_MESSAGE_REFUSED, error=repr(error))
        finally:
            writer.cancel()
            for chain_id in chains:
                self.scheduler.cancel(chain_id)

    def on_message(
        self,
        message: Message,
        prefix: str,
        chains: set[str],
        send: Callable[[Message], None],
    ) -> None:
        """Handle one message of another VM."""
        if isinstance(message, RunChain):
            self.run_chain(message, prefix, chains, send)
        elif isinstance(message, ChainCancel):
            chains.discard(f"{prefix}{message.call}")
            self.scheduler.cancel(f"{prefix}{message.call}")
        elif isinstance(message, FreeResults):
            self.scheduler.free(tuple(map(result_from_entry, message.results)))
        elif isinstance(message, TopicRequest):
            send(self.answer_topic_request(message))
        elif isinstance(message, WorkerLoads):
            self.on_worker_loads(message)
        else:
            raise bad_message(f"{type(message).__name__} is no request")

    def on_worker_loads(self, message: WorkerLoads) -> None:
        """Apply the load of the upstreams as sent by a scheduler that shuts down."""
        loads = tuple(map(load_from_entry, message.workers))
        apply_worker_loads(self.scheduler.planner, loads, self.clock.now_ms())
        self.journal.record(
            Event.WORK_TAKEN_OVER,
            peer=message.name,
            upstreams=len(loads),
            results=sum(len(load.stored) for load in loads),
        )
        if message.hands_over:
            self.after_hand_over()

    def run_chain(
        self,
        message: RunChain,
        prefix: str,
        chains: set[str],
        send: Callable[[Message], None],
    ) -> None:
        """Submit the chain of another VM and reply with its outcome."""
        chain_id = f"{prefix}{message.call}"

        def reply(answer: ChainAnswer) -> None:
            chains.discard(chain_id)
            if answer.moved is not None:
                now_ms = self.clock.now_ms()
                completed = tuple(
                    completed_to_entry(item, now_ms) for item in answer.moved
                )
                send(ChainMoved(message.call, completed, self.scheduler.successor))
            elif answer.refusal:
                send(ChainRefused(message.call, answer.refusal, answer.retry_after_ms))
            else:
                send(
                    ChainDone(message.call, tuple(map(result_to_entry, answer.results)))
                )

        if message.named:
            self.after_hand_over()
        self.before_chain()
        if self.scheduler.handing_over:
            successor = self.scheduler.successor
            send(ChainMoved(message.call, message.completed, successor))
            return
        spec = spec_from_message(message, chain_id, self.clock.now_ms())
        chains.add(chain_id)
        verdict = self.scheduler.submit(spec, message.again, reply)
        if verdict.admitted:
            send(ChainAdmitted(message.call, verdict.ready_ms))
        else:
            chains.discard(chain_id)
            send(ChainRefused(message.call, verdict.reason, verdict.retry_after_ms))

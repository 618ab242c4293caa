"""Keep websocket sessions between VMs: staged work and the store's records."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

import websockets
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, serve

from ..clock import Clock
from ..events import Event, Journal
from ..exceptions import CuminstileError
from ..wire import MAX_MESSAGE_BYTES, Message
from .conversions import (
    completed_to_entry,
    load_from_entry,
    result_from_entry,
    result_to_entry,
    spec_from_message,
)
from .handover import apply_worker_loads
from .messages import (
    CODEC,
    ChainAdmitted,
    ChainCancel,
    ChainDone,
    ChainMoved,
    ChainRefused,
    FreeResults,
    RunChain,
    TopicRequest,
    TopicResponse,
    WorkerLoads,
)
from .staging import ChainAnswer, Scheduler

DIAL_TIMEOUT_MS = 400.0
"""How long another VM may take to accept a session: some turns of the network."""
CLOSE_TIMEOUT_S = 0.3
"""How long the closing handshake may take; a silent path never ends it."""
PING_INTERVAL_S = 1.0
"""Pause between pings on a session; its bytes may be lost while other paths work."""
PING_TIMEOUT_S = 1.0
"""How long the answer to a ping may take; the other VM's library gives it at once."""
RUN_CHAIN_ANSWER_MS = 500.0
"""How long a scheduler may take to admit or refuse; it decides at once."""


class SessionLostError(Exception):
    """Tell that another VM can't be reached or does not answer."""


@dataclass(eq=False)
class PeerSession:
    """Hold a session that this VM has opened to another one.

    Parameters
    ----------
    replies : dict of int to queue
        The messages about each call that nobody has taken yet; None tells that the
        session is lost.
    """

    address: str
    connection: Connection
    numbers: itertools.count[int] = field(default_factory=itertools.count)
    replies: dict[int, asyncio.Queue[Message | None]] = field(default_factory=dict)
    lost: bool = False
    outgoing: asyncio.Queue[bytes] = field(default_factory=asyncio.Queue)

    def send(self, message: Message) -> None:
        """Queue a message; they are sent in order."""
        if self.lost:
            raise SessionLostError(self.address)
        self.outgoing.put_nowait(CODEC.encode(message))

    def begin_call(self) -> int:
        """Return the number of a new call, and keep the messages about it."""
        call = next(self.numbers)
        self.replies[call] = asyncio.Queue()
        if self.lost:
            self.replies[call].put_nowait(None)
        return call

    async def reply(self, call: int) -> Message:
        """Return the next message about a call.

        Raises
        ------
        LinkLostError
            If the session is lost, and all that came before is taken.
        """
        message = await self.replies[call].get()
        if message is None:
            self.replies[call].put_nowait(None)
            raise SessionLostError(self.address)
        return message

    def end_call(self, call: int) -> None:
        """Keep no more messages about a call."""
        self.replies.pop(call, None)

    def fail(self) -> None:
        """Tell all who wait that the session is lost."""
        self.lost = True
        for replies in self.replies.values():
            replies.put_nowait(None)
        transport = self.connection.transport
        if transport is not None:
            transport.abort()


async def send_queued(connection: Connection, outgoing: asyncio.Queue[bytes]) -> None:
    """Send what is queued, without end."""
    while True:
        await connection.send(await outgoing.get())


@dataclass
class PeerSessions:
    """Hold the sessions of this VM in both directions.

    Parameters
    ----------
    give : callable
        Returns what this VM knows of a topic for one that asks.
    """

    clock: Clock
    journal: Journal
    scheduler: Scheduler
    answer_topic_request: Callable[[TopicRequest], TopicResponse]
    open_sessions: dict[str, PeerSession] = field(default_factory=dict)
    dialling: dict[str, asyncio.Lock] = field(default_factory=dict)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    served: itertools.count[int] = field(default_factory=itertools.count)

    async def get_session(self, address: str) -> PeerSession:
        """Return the session with another VM, opening it if there is none.

        Raises
        ------
        LinkLostError
            If it can't be opened in time.
        """
        lock = self.dialling.setdefault(address, asyncio.Lock())
        async with lock:
            session = self.open_sessions.get(address)
            if session is not None and not session.lost:
                return session
            try:
                async with asyncio.timeout(DIAL_TIMEOUT_MS / 1000.0):
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
                raise SessionLostError(f"{address}: {error!r}") from error
            session = PeerSession(address, connection)
            self.open_sessions[address] = session
            self.journal.record(Event.PEER_CONNECTED, peer=address)
            self.start(self.read_link(session))
            self.start(self.write_link(session))
            return session

    def start(self, job: Coroutine[None, None, None]) -> None:
        """Run a coroutine beside the others."""
        task = asyncio.get_running_loop().create_task(job)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def write_link(self, session: PeerSession) -> None:
        """Send what is queued for another VM until the session is lost."""
        try:
            await send_queued(session.connection, session.outgoing)
        except websockets.WebSocketException:
            self.drop(session)

    async def read_link(self, session: PeerSession) -> None:
        """Hand out the answers of another VM until the session is lost."""
        try:
            async for data in session.connection:
                assert isinstance(data, bytes)
                message = CODEC.decode(data)
                replies = session.replies.get(message.call)
                if replies is not None:
                    replies.put_nowait(message)
        except (websockets.WebSocketException, CuminstileError) as error:
            self.journal.record(
                Event.PEER_MESSAGE_REFUSED, peer=session.address, error=repr(error)
            )
        self.drop(session)

    def drop(self, session: PeerSession) -> None:
        """Give up a session."""
        if self.open_sessions.get(session.address) is session:
            del self.open_sessions[session.address]
            self.journal.record(
                Event.PEER_LOST, peer=session.address, waiting=len(session.replies)
            )
        session.fail()

    def close_session_to(self, address: str) -> None:
        """Give up the session with a VM that is taken as lost."""
        session = self.open_sessions.get(address)
        if session is not None:
            self.drop(session)

    async def serve_peers(self, address: str) -> Server:
        """Listen for sessions of other VMs on `host:port`."""
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
        """Do what another VM asks until its session ends; then drop its chains."""
        prefix = f"s{next(self.served)}:"
        outgoing: asyncio.Queue[bytes] = asyncio.Queue()
        writer = asyncio.get_running_loop().create_task(
            send_queued(connection, outgoing)
        )
        chains: set[str] = set()

        def send(message: Message) -> None:
            outgoing.put_nowait(CODEC.encode(message))

        try:
            async for data in connection:
                assert isinstance(data, bytes)
                self.take_message(CODEC.decode(data), prefix, chains, send)
        except (websockets.WebSocketException, CuminstileError) as error:
            self.journal.record(Event.PEER_MESSAGE_REFUSED, error=repr(error))
        finally:
            writer.cancel()
            for chain_id in chains:
                self.scheduler.cancel(chain_id)

    def take_message(
        self,
        message: Message,
        prefix: str,
        chains: set[str],
        send: Callable[[Message], None],
    ) -> None:
        """Do what one message of another VM asks."""
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
            self.take_workers(message)

    def take_workers(self, message: WorkerLoads) -> None:
        """Take over what a scheduler that leaves knows of the upstreams."""
        loads = tuple(map(load_from_entry, message.workers))
        apply_worker_loads(self.scheduler.planner, loads, self.clock.now_ms())
        self.journal.record(
            Event.WORK_TAKEN_OVER,
            peer=message.name,
            upstreams=len(loads),
            results=sum(len(load.stored) for load in loads),
        )

    def run_chain(
        self,
        message: RunChain,
        prefix: str,
        chains: set[str],
        send: Callable[[Message], None],
    ) -> None:
        """Submit the chain of another VM and tell it how it ends."""
        chain_id = f"{prefix}{message.call}"

        def reply(answer: ChainAnswer) -> None:
            chains.discard(chain_id)
            if answer.moved is not None:
                now_ms = self.clock.now_ms()
                completed = tuple(
                    completed_to_entry(item, now_ms) for item in answer.moved
                )
                send(ChainMoved(message.call, completed))
            elif answer.refusal:
                send(ChainRefused(message.call, answer.refusal, answer.retry_after_ms))
            else:
                send(
                    ChainDone(message.call, tuple(map(result_to_entry, answer.results)))
                )

        if self.scheduler.handing_over:
            send(ChainMoved(message.call, message.completed))
            return
        spec = spec_from_message(message, chain_id, self.clock.now_ms())
        chains.add(chain_id)
        verdict = self.scheduler.submit(spec, message.again, reply)
        if verdict.admitted:
            send(ChainAdmitted(message.call, verdict.ready_ms))
        else:
            chains.discard(chain_id)
            send(ChainRefused(message.call, verdict.reason, verdict.retry_after_ms))

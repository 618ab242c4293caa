"""Run bookings on VMs that share a claim log, in virtual time."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import anyio

from cuminstile.calls import RunTrace, StageCall, StageOutcome
from cuminstile.claim_background import run_claims_loop
from cuminstile.claims import run_once
from cuminstile.clock import Clock, VirtualClock
from cuminstile.events import Journal
from cuminstile.exceptions import CuminstileError, ErrorCode, RunStatus
from cuminstile.runtime import Vm
from cuminstile.vm.sessions import Session, peer_lost, receive_one

from .claim_log import FakeLog, FakePlatform, connect_platform
from .vms import make_test_vm


@dataclass
class FreezableClock(Clock):
    """Virtual clock that can be frozen: sleeps end only once `gate` is set."""

    base: VirtualClock
    gate: anyio.Event | None = None

    def now_ms(self) -> float:
        """Return the virtual monotonic time in ms."""
        return self.base.now_ms()

    def wall_ms(self) -> int:
        """Return the virtual time of day in ms since 1970 UTC."""
        return self.base.wall_ms()

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep for a duration, and longer while the clock is frozen."""
        await self.base.sleep_ms(duration_ms)
        if self.gate is not None:
            await self.gate.wait()


@dataclass
class Node:
    """One VM, with its clock and platform, which tests freeze or cut off."""

    vm: Vm
    clock: FreezableClock
    platform: FakePlatform
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    died: anyio.Event = field(default_factory=anyio.Event)

    @property
    def is_dead(self) -> bool:
        """Return whether the VM was killed."""
        return self.died.is_set()


@dataclass
class SessionEnd:
    """One end of an in-memory session between two VMs."""

    local: Node
    remote: Node
    tasks: anyio.abc.TaskGroup
    peer: Session = None  # type: ignore[assignment]
    is_cut: bool = False

    async def send(self, data: bytes) -> None:
        """Deliver a message to the remote VM; fail if the session is cut."""
        if self.is_cut:
            raise peer_lost(self.remote.vm.settings.name)
        self.tasks.start_soon(self.deliver, data)

    async def deliver(self, data: bytes) -> None:
        """Deliver one message after a delay of 1 ms."""
        await self.remote.clock.sleep_ms(1.0)
        if not (self.is_cut or self.remote.is_dead):
            await receive_one(self.remote.vm, self.peer, data)


@dataclass(frozen=True)
class Run:
    """One run of a booking at the upstream."""

    key: str
    request: str
    input: Any


@dataclass
class Reply:
    """Reply to one sent call; `error` and `outcome` are None if there was no reply."""

    call: StageCall
    runs_before: int
    outcome: StageOutcome | None = None
    error: CuminstileError | None = None
    ran: RunStatus | None = None


@dataclass
class Cluster:
    """The VMs, their claim log, the runs at the upstream and the replies."""

    tasks: anyio.abc.TaskGroup
    seed: int = 0
    clock: VirtualClock = field(default_factory=VirtualClock)
    nodes: dict[str, Node] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    replies: list[Reply] = field(default_factory=list)
    work_ms: float = 50.0
    connect_ms: float = 2.0
    fail_fraction: float = 0.0
    output: Callable[[StageCall], Any] = lambda call: {"booked": call.input}

    def __post_init__(self) -> None:
        """Create the claim log and the random generator."""
        self.log = FakeLog(self.clock)
        self.random = random.Random(self.seed)

    async def start(self, name: str, data_centre: str = "a") -> Node:
        """Start a VM; an older one of the same name is killed."""
        vm = make_test_vm(name, data_centre)
        clock = FreezableClock(self.clock)
        vm.clock = clock
        vm.journal = Journal(name, clock)
        platform = connect_platform(vm, self.log, self.random.getrandbits(32))
        node = Node(vm, clock, platform)
        if name in self.nodes:
            self.kill(name)
        self.nodes[name] = node
        for other in self.nodes.values():
            if other is not node and not other.is_dead:
                self.connect(node, other)
        self.tasks.start_soon(self.run_node, node)
        await anyio.lowlevel.checkpoint()
        return node

    async def run_node(self, node: Node) -> None:
        """Run the background task for claims, as the daemon does."""
        with node.scope:
            await run_claims_loop(node.vm)

    def connect(self, one: Node, two: Node) -> None:
        """Open a session between two VMs."""
        ends = [SessionEnd(one, two, self.tasks), SessionEnd(two, one, self.tasks)]
        sessions = [self.open_session_end(end) for end in ends]
        ends[0].peer, ends[1].peer = sessions[1], sessions[0]

    def open_session_end(self, end: SessionEnd) -> Session:
        """Register one end of a session at its VM and return the session."""
        other = end.remote.vm
        session = Session(
            other.settings.name,
            other.settings.data_centre,
            other.incarnation,
            end,  # type: ignore[arg-type]
            self.tasks,
            self.clock.now_ms(),
        )
        # Send through the fake, which raises the error that the session would raise.
        session.send = lambda message: send_message(end, message)  # type: ignore
        end.local.vm.sessions.by_name[other.settings.name] = session
        return session

    def cut(self, name: str) -> None:
        """Close all sessions of a VM."""
        for node in self.nodes.values():
            for other in list(node.vm.sessions.by_name):
                if name in (node.vm.settings.name, other):
                    session = node.vm.sessions.by_name.pop(other)
                    session.connection.is_cut = True  # type: ignore[attr-defined]
                    for answers in session.calls.values():
                        answers.close()

    def kill(self, name: str) -> None:
        """Stop a VM for good and cancel everything that it was doing."""
        node = self.nodes[name]
        node.died.set()
        self.cut(name)
        node.platform.gate = node.platform.gate or anyio.Event()
        node.clock.gate = node.clock.gate or anyio.Event()
        node.scope.cancel()

    def freeze(self, name: str) -> None:
        """Suspend a VM: its sleeps and platform calls do not return until `thaw`."""
        node = self.nodes[name]
        node.platform.gate = node.clock.gate = anyio.Event()

    def thaw(self, name: str) -> None:
        """Resume a frozen VM with its state unchanged."""
        node = self.nodes[name]
        if node.is_dead or node.clock.gate is None:
            return
        gate, node.clock.gate, node.platform.gate = node.clock.gate, None, None
        gate.set()

    def call(self, key: str, number: int = 0, **fields: Any) -> StageCall:
        """Return a call that books under a key; `number` is part of its request id."""
        values: dict[str, Any] = {
            "input": {"key": key},
            "deadline_ms": self.clock.now_ms() + 4_000.0,
            "issued_at_ms": self.clock.wall_ms(),
            **fields,
        }
        return StageCall(
            request=f"{key}.{number}",
            organisation="org",
            pipeline="book",
            step="book",
            stage="book",
            version="book-1",
            stream=False,
            priority=0,
            idempotency_key=key,
            **values,
        )

    async def send(self, name: str, call: StageCall) -> Reply:
        """Send one booking to a VM and record the reply."""
        node = self.nodes[name]
        done = sum(run.key == call.idempotency_key for run in self.runs)
        reply = Reply(call, done)
        self.replies.append(reply)
        if node.is_dead:
            return reply
        trace = RunTrace()

        async def dispatch() -> StageOutcome:
            return await self.book(node, call, trace)

        with anyio.CancelScope() as scope:
            self.tasks.start_soon(self.cancel_with, node, scope)
            try:
                outcome = await run_once(node.vm, call, trace, dispatch)
            except CuminstileError as error:
                reply.error = error
                reply.ran = RunStatus.UNKNOWN if trace.maybe_ran else error.ran
                return reply
            if not node.is_dead:
                reply.outcome = outcome
        return reply

    async def cancel_with(self, node: Node, scope: anyio.CancelScope) -> None:
        """Cancel a request when its VM dies."""
        await node.died.wait()
        scope.cancel()

    async def book(self, node: Node, call: StageCall, trace: RunTrace) -> StageOutcome:
        """Act as the upstream: connect, run the booking and answer."""
        await node.clock.sleep_ms(self.connect_ms)
        trace.check_send()
        trace.maybe_ran = True
        self.runs.append(Run(call.idempotency_key, call.request, call.input))
        await node.clock.sleep_ms(self.work_ms)
        if self.random.random() < self.fail_fraction:
            raise CuminstileError(ErrorCode.UPSTREAM_FAILED, "cut", RunStatus.UNKNOWN)
        own = node.vm.settings
        return StageOutcome(
            self.output(call), "book-1", "up", own.data_centre, own.name, 1, 0.0
        )

    def resend(self, reply: Reply, number: int, **fields: Any) -> StageCall:
        """Return a call that sends a booking again under the same key."""
        deadline_ms = self.clock.now_ms() + 4_000.0
        request = f"{reply.call.idempotency_key}.{number}"
        values = {"request": request, "deadline_ms": deadline_ms, **fields}
        return replace(reply.call, **values)


async def send_message(end: SessionEnd, message: Any) -> None:
    """Encode one message and send it from an end of a session."""
    from cuminstile.vm.messages import CODEC

    await end.send(CODEC.encode(message))

"""Run bookings on VMs that share a log, in virtual time, and judge the answers."""

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
    """Follow a virtual clock; while the gate is shut no sleeper wakes."""

    base: VirtualClock
    gate: anyio.Event | None = None

    def now_ms(self) -> float:
        """Return the virtual monotonic time in ms."""
        return self.base.now_ms()

    def wall_ms(self) -> int:
        """Return the virtual time of day in ms since 1970 UTC."""
        return self.base.wall_ms()

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep, and stay asleep while the gate is shut."""
        await self.base.sleep_ms(duration_ms)
        if self.gate is not None:
            await self.gate.wait()


@dataclass
class Node:
    """Hold one VM with the ways to disturb it."""

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
class Link:
    """Be one end of a session in memory."""

    here: Node
    there: Node
    tasks: anyio.abc.TaskGroup
    peer: Session = None  # type: ignore[assignment]
    is_cut: bool = False

    async def send(self, data: bytes) -> None:
        """Deliver a message to the other end, unless the session is cut."""
        if self.is_cut:
            raise peer_lost(self.there.vm.settings.name)
        self.tasks.start_soon(self.deliver, data)

    async def deliver(self, data: bytes) -> None:
        """Hand over one message after its way."""
        await self.there.clock.sleep_ms(1.0)
        if not (self.is_cut or self.there.is_dead):
            await receive_one(self.there.vm, self.peer, data)


@dataclass(frozen=True)
class Run:
    """Hold one run of a booking at the service."""

    key: str
    request: str
    input: Any


@dataclass
class Reply:
    """Hold what one sending got; `error` and `outcome` are None if nothing came."""

    call: StageCall
    runs_before: int
    outcome: StageOutcome | None = None
    error: CuminstileError | None = None
    ran: RunStatus | None = None


@dataclass
class Cluster:
    """Hold the VMs, the log, the runs of the service and the replies."""

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
        """Make the log and the source of chance."""
        self.log = FakeLog(self.clock)
        self.random = random.Random(self.seed)

    async def start(self, name: str, data_centre: str = "a") -> Node:
        """Start a VM, in the place of an older one of the same name."""
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
                self.link(node, other)
        self.tasks.start_soon(self.run_node, node)
        await anyio.lowlevel.checkpoint()
        return node

    async def run_node(self, node: Node) -> None:
        """Run what the daemon runs for the claims."""
        with node.scope:
            await run_claims_loop(node.vm)

    def link(self, one: Node, two: Node) -> None:
        """Open a session between two VMs."""
        ends = [Link(one, two, self.tasks), Link(two, one, self.tasks)]
        sessions = [self.open(end) for end in ends]
        ends[0].peer, ends[1].peer = sessions[1], sessions[0]

    def open(self, end: Link) -> Session:
        """Register one end of a session."""
        other = end.there.vm
        session = Session(
            other.settings.name,
            other.settings.data_centre,
            other.incarnation,
            end,  # type: ignore[arg-type]
            self.tasks,
            self.clock.now_ms(),
        )
        # A session sends through its connection; the error is the session's own.
        session.send = lambda message: send_on(end, message)  # type: ignore
        end.here.vm.sessions.by_name[other.settings.name] = session
        return session

    def cut(self, name: str) -> None:
        """Close every session of a VM."""
        for node in self.nodes.values():
            for other in list(node.vm.sessions.by_name):
                if name in (node.vm.settings.name, other):
                    session = node.vm.sessions.by_name.pop(other)
                    session.connection.is_cut = True  # type: ignore[attr-defined]
                    for answers in session.calls.values():
                        answers.close()

    def kill(self, name: str) -> None:
        """End a VM at once; nothing that it held goes on."""
        node = self.nodes[name]
        node.died.set()
        self.cut(name)
        node.platform.gate = node.platform.gate or anyio.Event()
        node.clock.gate = node.clock.gate or anyio.Event()
        node.scope.cancel()

    def freeze(self, name: str) -> None:
        """Stop a VM; nothing of it moves until `thaw`."""
        node = self.nodes[name]
        node.platform.gate = node.clock.gate = anyio.Event()

    def thaw(self, name: str) -> None:
        """Let a frozen VM go on with all that it had."""
        node = self.nodes[name]
        if node.is_dead or node.clock.gate is None:
            return
        gate, node.clock.gate, node.platform.gate = node.clock.gate, None, None
        gate.set()

    def call(self, key: str, number: int = 0, **fields: Any) -> StageCall:
        """Return a call that books under a key; `number` tells sendings apart."""
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
        """Send one booking to a VM and note the reply."""
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
        """Be the upstream: connect, run, answer."""
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
        """Return the call of a resend under the same key."""
        deadline_ms = self.clock.now_ms() + 4_000.0
        request = f"{reply.call.idempotency_key}.{number}"
        values = {"request": request, "deadline_ms": deadline_ms, **fields}
        return replace(reply.call, **values)


async def send_on(end: Link, message: Any) -> None:
    """Send one typed message on a link."""
    from cuminstile.vm.messages import CODEC

    await end.send(CODEC.encode(message))

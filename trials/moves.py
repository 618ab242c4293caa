"""Trial of one traffic move: several VMs in one process, on a virtual clock."""

from __future__ import annotations

import contextlib
import heapq
import itertools
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from cuminstile.calls import RunTrace, StageCall
from cuminstile.clock import VirtualClock
from cuminstile.daemon import make_vm
from cuminstile.events import Journal
from cuminstile.exceptions import (
    CuminstileError,
    ErrorCode,
    PlatformUnavailableError,
)
from cuminstile.moves import BY_EVIDENCE, MovePolicy, move_number
from cuminstile.moving import advance_and_broadcast
from cuminstile.objects.model import (
    AnyObject,
    TrafficMove,
)
from cuminstile.records.verdict_log import append_due_verdicts, read_verdicts
from cuminstile.records.verdicts import Verdict
from cuminstile.runtime import Vm
from cuminstile.traffic import Assignment, assign, record_call
from cuminstile.vm.sessions import Session, receive_one

from .platform import MemoryPlatform, VmPlatformClient
from .setting import NEW, OLD, ROUTES, make_settings, objects_with, publish

TICK_MS = 250.0
WARM_UP_MS = 30_000.0


@dataclass(frozen=True)
class Answer:
    """Answer of an upstream to one call.

    Parameters
    ----------
    is_bad : bool
        Whether the fault that the trial injects produced this answer.
    """

    is_good: bool
    elapsed_ms: float
    is_bad: bool = False


@dataclass(frozen=True)
class CallContext:
    """What the behaviour of a version knows about a call.

    Parameters
    ----------
    progress : float
        The time since the move's start as a fraction of its duration.
    in_flight : int
        Calls in flight at the same version when this one starts.
    """

    progress: float
    route: str
    in_flight: int
    data_centre: str


Behaviour = Callable[[CallContext, random.Random], Answer]


@dataclass(frozen=True)
class Plan:
    """Configuration of one trial.

    Parameters
    ----------
    calls_per_s : float
        Rate of calls over all VMs.
    data_centres : tuple of int
        The number of VMs in each data centre.
    """

    new: Behaviour
    old: Behaviour
    calls_per_s: float = 20.0
    duration_ms: int = 300_000
    data_centres: tuple[int, ...] = (3, 3)
    routes: tuple[str, ...] = ROUTES
    policy: MovePolicy = BY_EVIDENCE


@dataclass
class MemoryConnection:
    """Deliver messages to the other VM of a session, and count them and their bytes."""

    sender: str
    receiver: Vm = field(repr=False)
    sent_bytes: int = 0
    messages: int = 0

    async def send(self, data: bytes) -> None:
        """Deliver one message immediately."""
        self.sent_bytes += len(data)
        self.messages += 1
        session = self.receiver.sessions.by_name.get(self.sender)
        if session is not None:
            await receive_one(self.receiver, session, data)


@dataclass(frozen=True)
class SentTraffic:
    """Number of messages that one VM has sent, and of the bytes in them."""

    messages: int
    count_bytes: int


@dataclass
class CallTimes:
    """Times of the calls in a trial.

    Parameters
    ----------
    at_ms : list of float
        When calls arrived, in ms since the move's start.
    new_at_ms : list of float
        When calls went to the new version, in ms since the move's start.
    bad_at_ms : list of float
        When the new version gave bad answers, in ms since the move's start.
    """

    at_ms: list[float] = field(default_factory=list)
    new_at_ms: list[float] = field(default_factory=list)
    bad_at_ms: list[float] = field(default_factory=list)

    @property
    def calls(self) -> int:
        """Return the number of calls."""
        return len(self.at_ms)


@dataclass(repr=False)
class Trial:
    """State of one run of a move."""

    plan: Plan
    seed: int
    clock: VirtualClock = field(default_factory=VirtualClock)
    call_times: CallTimes = field(default_factory=CallTimes)
    vms: list[Vm] = field(default_factory=list)
    connections: list[MemoryConnection] = field(default_factory=list)
    queue: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    in_flight: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create the VMs and set the objects on them."""
        self.random = random.Random(self.seed)
        self.sequence = itertools.count()
        self.platform = MemoryPlatform(self.clock)
        start_ms = self.clock.wall_ms() + int(WARM_UP_MS)
        self.move = TrafficMove(
            kind="traffic_move",
            name=f"move-{self.seed}",
            stage="generate",
            from_version=OLD,
            to_version=NEW,
            start_at_ms=start_ms,
            finish_by_ms=start_ms + self.plan.duration_ms,
        )
        for index, count in enumerate(self.plan.data_centres):
            for place in range(count):
                self.add_vm(f"vm-{index}-{place}", f"dc{index}")
        self.schedule(0.0, self.on_arrival)

    def add_vm(self, name: str, data_centre: str) -> Vm:
        """Add one VM and connect it to the others."""
        vm = make_vm(make_settings(name, data_centre))
        vm.clock = self.clock
        vm.journal = Journal(name, self.clock)
        vm.platform = VmPlatformClient(self.platform, name)  # type: ignore[assignment]
        vm.random = random.Random(f"{self.seed}{name}")
        vm.traffic.policy = self.plan.policy
        publish(vm, objects_of(self.plan, self.move))
        for other in self.vms:
            connect(self, vm, other)
        self.vms.append(vm)
        self.schedule(self.random.uniform(0.0, TICK_MS), lambda: self.tick(vm))
        return vm

    def schedule(self, at_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action at a monotonic time."""
        heapq.heappush(self.queue, (at_ms, next(self.sequence), action))

    def run_to(self, progress: float) -> None:
        """Run until a fraction of the move's duration has passed."""
        end_ms = WARM_UP_MS + progress * self.plan.duration_ms
        self.run_for_ms(end_ms - self.clock.at_ms)

    def run_for_ms(self, duration_ms: float) -> None:
        """Run the scheduled actions of a period of time."""
        end_ms = self.clock.at_ms + duration_ms
        while self.queue and self.queue[0][0] <= end_ms:
            self.clock.at_ms, _, action = heapq.heappop(self.queue)
            action()
        self.clock.at_ms = end_ms

    def since_start_ms(self) -> float:
        """Return the time since the move's start in ms; negative before it."""
        return self.clock.at_ms - WARM_UP_MS

    def tick(self, vm: Vm) -> None:
        """Run the background tasks of a VM once and schedule the next time."""
        if vm not in self.vms:
            return
        with contextlib.suppress(PlatformUnavailableError):
            run_now(read_verdicts(vm, 0))
        run_now(advance_and_broadcast(vm))
        run_now(append_due_verdicts(vm))
        self.schedule(self.clock.at_ms + TICK_MS, lambda: self.tick(vm))

    def on_arrival(self) -> None:
        """Send one request to a random VM and schedule the next request."""
        gap_ms = self.random.expovariate(self.plan.calls_per_s) * 1000.0
        self.schedule(self.clock.at_ms + gap_ms, self.on_arrival)
        vm = self.random.choice(self.vms)
        route = self.random.choice(self.plan.routes)
        number = next(self.sequence)
        call = StageCall(
            request=f"r{self.seed}-{number}",
            organisation="org",
            pipeline=route,
            step="generate",
            stage="generate",
            version="",
            input=number,
            stream=False,
            priority=0,
            deadline_ms=0.0,
        )
        assignment = assign(vm, call, lambda version: True)
        self.call(vm, call, assignment)

    def call(self, vm: Vm, call: StageCall, assignment: Assignment) -> None:
        """Run one call at its assigned version."""
        version = assignment.version
        is_new = version == NEW
        behaviour = self.plan.new if is_new else self.plan.old
        context = CallContext(
            self.since_start_ms() / self.plan.duration_ms,
            call.pipeline,
            self.in_flight.get(version, 0),
            vm.settings.data_centre,
        )
        answer = behaviour(context, self.random)
        self.call_times.at_ms.append(self.since_start_ms())
        if is_new:
            self.call_times.new_at_ms.append(self.since_start_ms())
        self.in_flight[version] = self.in_flight.get(version, 0) + 1
        chosen = StageCall(**{**call.__dict__, "version": version})

        def finish() -> None:
            if is_new and answer.is_bad:
                self.call_times.bad_at_ms.append(self.since_start_ms())
            self.in_flight[version] -= 1
            self.finish(vm, chosen, assignment, answer)

        self.schedule(self.clock.at_ms + answer.elapsed_ms, finish)

    def finish(
        self, vm: Vm, call: StageCall, assignment: Assignment, answer: Answer
    ) -> None:
        """Record the answer as the VM does after a real call."""
        trace = RunTrace()
        error = None
        if not answer.is_good:
            trace.record_failure("failed", was_cold=False)
            error = CuminstileError(ErrorCode.UPSTREAM_FAILED, "failed")
        record_call(
            vm, call, assignment, trace, answer.elapsed_ms, answer.is_good, error
        )

    def verdict(self) -> Verdict:
        """Return the verdict that the first VM knows."""
        return self.vms[0].traffic.verdicts.of(move_number(self.move))

    def reason(self) -> str:
        """Return the reason of the recorded verdict; empty if there is none."""
        known = self.vms[0].traffic.verdicts.by_number.get(move_number(self.move))
        return known.record.reason if known else ""

    def nth_bad_answer_ms(self, calls: int) -> float:
        """Return the time of the bad answer of a given number.

        In ms since the move's start; that of the last one if there were fewer.
        """
        bad_at_ms = self.call_times.bad_at_ms
        return bad_at_ms[min(calls, len(bad_at_ms)) - 1]

    def reverse_move(self, delay_ms: int) -> TrafficMove:
        """Return the opposite move, starting `delay_ms` after the end of this one."""
        start_ms = self.move.finish_by_ms + delay_ms
        return TrafficMove(
            kind="traffic_move",
            name=f"{self.move.name}-back",
            stage=self.move.stage,
            from_version=self.move.to_version,
            to_version=self.move.from_version,
            start_at_ms=start_ms,
            finish_by_ms=start_ms + self.plan.duration_ms,
        )

    def decided_moves(self) -> set[int]:
        """Return the numbers of the moves that have a verdict."""
        return {number for vm in self.vms for number in vm.traffic.verdicts.by_number}

    def sent_by(self, name: str) -> SentTraffic:
        """Return what one VM has sent so far to the others."""
        own = [
            connection for connection in self.connections if connection.sender == name
        ]
        return SentTraffic(
            sum(connection.messages for connection in own),
            sum(connection.sent_bytes for connection in own),
        )

    def deliver(self, vm: Vm, data: bytes) -> None:
        """Deliver a message to a VM as if another VM had sent it."""
        session = next(iter(vm.sessions.by_name.values()))
        run_now(receive_one(vm, session, data))

    def cut(self, data_centre: str) -> None:
        """Disconnect a data centre from the others and from the platform."""
        inside = [vm for vm in self.vms if vm.settings.data_centre == data_centre]
        for vm in inside:
            self.platform.unavailable_vms.add(vm.settings.name)
            for other in self.vms:
                if other not in inside:
                    vm.sessions.by_name.pop(other.settings.name, None)
                    other.sessions.by_name.pop(vm.settings.name, None)

    def heal(self) -> None:
        """End all disconnections and outages of the platform."""
        self.platform.unavailable_vms.clear()
        for one, other in itertools.combinations(self.vms, 2):
            if other.settings.name not in one.sessions.by_name:
                connect(self, one, other)


def run_now(work: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine that never suspends.

    Raises
    ------
    RuntimeError
        If it suspends.
    """
    try:
        work.send(None)
    except StopIteration:
        return
    raise RuntimeError("the coroutine suspended; it must run to its end at once")


def connect(trial: Trial, one: Vm, other: Vm) -> None:
    """Open a session between two VMs, in both directions."""
    for vm, peer in ((one, other), (other, one)):
        name = peer.settings.name
        vm.members.add(name, peer.settings.data_centre, "127.0.0.1:1")
        connection = MemoryConnection(vm.settings.name, peer)
        trial.connections.append(connection)
        vm.sessions.by_name[name] = Session(
            name,
            peer.settings.data_centre,
            peer.incarnation,
            connection,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            0.0,
        )


def objects_of(plan: Plan, *moves: TrafficMove) -> tuple[AnyObject, ...]:
    """Return the objects of a plan with the given moves."""
    return objects_with(len(plan.data_centres), plan.routes, moves)

"""Run one traffic move over several VMs in one process, on a virtual clock."""

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

from .platform import MemoryPlatform, PlatformEnd
from .setting import NEW, OLD, ROUTES, make_settings, objects_with, publish

TICK_MS = 250.0
WARM_UP_MS = 30_000.0


@dataclass(frozen=True)
class Answer:
    """Hold what an upstream does with one call.

    Parameters
    ----------
    is_bad : bool
        Whether the badness that the trial puts in made this answer.
    """

    is_good: bool
    elapsed_ms: float
    is_bad: bool = False


@dataclass(frozen=True)
class CallContext:
    """Describe a call for the behaviour of a version.

    Parameters
    ----------
    progress : float
        The time since the move's start as a fraction of its whole time.
    in_flight : int
        Calls at the same version at that moment.
    """

    progress: float
    route: str
    in_flight: int
    data_centre: str


Behaviour = Callable[[CallContext, random.Random], Answer]


@dataclass(frozen=True)
class Plan:
    """Describe one trial.

    Parameters
    ----------
    calls_per_s : float
        Over all VMs.
    data_centres : tuple of int
        The number of VMs in each.
    """

    new: Behaviour
    old: Behaviour
    calls_per_s: float = 20.0
    duration_ms: int = 300_000
    data_centres: tuple[int, ...] = (3, 3)
    routes: tuple[str, ...] = ROUTES
    policy: MovePolicy = BY_EVIDENCE


@dataclass
class Wire:
    """Deliver messages to the other VM of a session, and count their bytes."""

    sender: str
    receiver: Vm = field(repr=False)
    sent_bytes: int = 0
    messages: int = 0

    async def send(self, data: bytes) -> None:
        """Deliver one message at once."""
        self.sent_bytes += len(data)
        self.messages += 1
        session = self.receiver.sessions.by_name.get(self.sender)
        if session is not None:
            await receive_one(self.receiver, session, data)


@dataclass(frozen=True)
class Sent:
    """Hold what one VM has sent: messages, and the bytes in them."""

    messages: int
    count_bytes: int


@dataclass
class CallTimes:
    """Count what callers of the trial got.

    Parameters
    ----------
    at_ms : list of float
        When calls came, in ms since the move's start.
    new_at_ms : list of float
        When calls went to the new version, in ms since the move's start.
    bad_at_ms : list of float
        When the new version gave an answer that was bad, the same way.
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
    """Hold one run of a move."""

    plan: Plan
    seed: int
    clock: VirtualClock = field(default_factory=VirtualClock)
    call_times: CallTimes = field(default_factory=CallTimes)
    vms: list[Vm] = field(default_factory=list)
    wires: list[Wire] = field(default_factory=list)
    queue: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    in_flight: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Make the VMs and put the objects in force on them."""
        self.random = random.Random(self.seed)
        self.order = itertools.count()
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
        self.at(0.0, self.arrive)

    def add_vm(self, name: str, data_centre: str) -> Vm:
        """Start one VM and connect it to the others."""
        vm = make_vm(make_settings(name, data_centre))
        vm.clock = self.clock
        vm.journal = Journal(name, self.clock)
        vm.platform = PlatformEnd(self.platform, name)  # type: ignore[assignment]
        vm.random = random.Random(f"{self.seed}{name}")
        vm.traffic.policy = self.plan.policy
        publish(vm, objects_of(self.plan, self.move))
        for other in self.vms:
            connect(self, vm, other)
        self.vms.append(vm)
        self.at(self.random.uniform(0.0, TICK_MS), lambda: self.tick(vm))
        return vm

    def at(self, at_ms: float, action: Callable[[], None]) -> None:
        """Do something at a monotonic time."""
        heapq.heappush(self.queue, (at_ms, next(self.order), action))

    def run_to(self, progress: float) -> None:
        """Run until a fraction of the move's time has passed."""
        end_ms = WARM_UP_MS + progress * self.plan.duration_ms
        self.run_for_ms(end_ms - self.clock.at_ms)

    def run_for_ms(self, duration_ms: float) -> None:
        """Run for a while."""
        end_ms = self.clock.at_ms + duration_ms
        while self.queue and self.queue[0][0] <= end_ms:
            self.clock.at_ms, _, action = heapq.heappop(self.queue)
            action()
        self.clock.at_ms = end_ms

    def since_start_ms(self) -> float:
        """Return the time since the move's start."""
        return self.clock.at_ms - WARM_UP_MS

    def tick(self, vm: Vm) -> None:
        """Do once what the background tasks of a VM do."""
        if vm not in self.vms:
            return
        with contextlib.suppress(PlatformUnavailableError):
            run_now(read_verdicts(vm, 0))
        run_now(advance_and_broadcast(vm))
        run_now(append_due_verdicts(vm))
        self.at(self.clock.at_ms + TICK_MS, lambda: self.tick(vm))

    def arrive(self) -> None:
        """Let one request come to one of the VMs, and plan the next."""
        gap_ms = self.random.expovariate(self.plan.calls_per_s) * 1000.0
        self.at(self.clock.at_ms + gap_ms, self.arrive)
        vm = self.random.choice(self.vms)
        route = self.random.choice(self.plan.routes)
        number = next(self.order)
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
        """Run one call at the version that was chosen."""
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

        self.at(self.clock.at_ms + answer.elapsed_ms, finish)

    def finish(
        self, vm: Vm, call: StageCall, assignment: Assignment, answer: Answer
    ) -> None:
        """Count the answer as the VM does."""
        trace = RunTrace()
        error = None
        if not answer.is_good:
            trace.record_failure("failed", was_cold=False)
            error = CuminstileError(ErrorCode.UPSTREAM_FAILED, "failed")
        record_call(
            vm, call, assignment, trace, answer.elapsed_ms, answer.is_good, error
        )

    def verdict(self) -> Verdict:
        """Return the verdict as the first VM knows it."""
        return self.vms[0].traffic.verdicts.of(move_number(self.move))

    def reason(self) -> str:
        """Return the reason of the recorded verdict, empty without one."""
        known = self.vms[0].traffic.verdicts.by_number.get(move_number(self.move))
        return known.record.reason if known else ""

    def nth_bad_answer_ms(self, calls: int) -> float:
        """Return when badness showed, in ms since the move's start.

        That is with so many bad answers; with the last one if there were fewer.
        """
        bad_at_ms = self.call_times.bad_at_ms
        return bad_at_ms[min(calls, len(bad_at_ms)) - 1]

    def reverse_move(self, delay_ms: int) -> TrafficMove:
        """Return a move back that starts a while after this one's end."""
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

    def sent_by(self, name: str) -> Sent:
        """Return what one VM has sent so far about moves."""
        own = [wire for wire in self.wires if wire.sender == name]
        return Sent(
            sum(wire.messages for wire in own), sum(wire.sent_bytes for wire in own)
        )

    def deliver(self, vm: Vm, data: bytes) -> None:
        """Give a VM a message as if another one had sent it."""
        session = next(iter(vm.sessions.by_name.values()))
        run_now(receive_one(vm, session, data))

    def cut(self, data_centre: str) -> None:
        """Cut a data centre off from the others and from the platform."""
        inside = [vm for vm in self.vms if vm.settings.data_centre == data_centre]
        for vm in inside:
            self.platform.unavailable_vms.add(vm.settings.name)
            for other in self.vms:
                if other not in inside:
                    vm.sessions.by_name.pop(other.settings.name, None)
                    other.sessions.by_name.pop(vm.settings.name, None)

    def heal(self) -> None:
        """Undo every cut and outage."""
        self.platform.unavailable_vms.clear()
        for one, other in itertools.combinations(self.vms, 2):
            if other.settings.name not in one.sessions.by_name:
                connect(self, one, other)


def run_now(work: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine that never waits."""
    try:
        work.send(None)
    except StopIteration:
        return
    raise RuntimeError("the coroutine waits")


def connect(trial: Trial, one: Vm, other: Vm) -> None:
    """Open a session between two VMs."""
    for vm, peer in ((one, other), (other, one)):
        name = peer.settings.name
        vm.members.add(name, peer.settings.data_centre, "127.0.0.1:1")
        wire = Wire(vm.settings.name, peer)
        trial.wires.append(wire)
        vm.sessions.by_name[name] = Session(
            name,
            peer.settings.data_centre,
            peer.incarnation,
            wire,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            0.0,
        )


def objects_of(plan: Plan, *moves: TrafficMove) -> tuple[AnyObject, ...]:
    """Return the objects of a plan, with some moves."""
    return objects_with(len(plan.data_centres), plan.routes, moves)

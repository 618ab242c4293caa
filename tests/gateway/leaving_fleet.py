"""VMs that shut down one after the other, on a virtual clock and without a network.

Real are the messages, the membership and the decisions of each VM, and its code that
keeps the role of the scheduler or hands the work over. Staged work is only counted.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

from cuminstile.clock import VirtualClock
from cuminstile.gateway.chain import ChainSpec
from cuminstile.gateway.handing_over import (
    announce,
    begin_leaving,
    end_role,
    give_up_role,
    keep_or_hand_over,
    prepare_to_schedule,
)
from cuminstile.gateway.heartbeats import INTERVAL_MS
from cuminstile.gateway.leaving import BALANCER_REMOVAL_MS, POLL_INTERVAL_MS
from cuminstile.gateway.messages import CODEC, Heartbeat, WorkerLoads
from cuminstile.gateway.stage_queue import ServiceQueue
from cuminstile.gateway.staged_results import (
    ChainMovedError,
    record_moved,
    scheduler_address,
)
from cuminstile.gateway.state import Gateway
from cuminstile.shutdown.schedule import shutdown_times

from .planners import SPEC
from .test_state import make_vm

GRACE_MS = 8_000.0
RESTART_MS = 1_200.0
"""Time from the end of a process to the start of the next one."""
CHAIN_INTERVAL_MS = 200.0
WATCH_INTERVAL_MS = 100.0
START_INTERVAL_MS = 200.0
READY_MS = (50.0, 400.0)
"""Time from the start of a process until it knows the routes and upstreams."""
DELAY_MS = (1.0, 30.0)
LOSS = 0.05
"""Share of the datagrams that are lost; sessions lose none."""


@dataclass(eq=False)
class Chain:
    """Staged work of one request, and how often it was handed over."""

    work_ms: float
    began_ms: float
    left_ms: float
    moves: int = 0
    took_ms: float = -1.0


@dataclass(eq=False)
class CountedWork:
    """Stands for the scheduler of a VM: knows its chains and when each one ends."""

    fleet: LeavingFleet
    chains: dict[Chain, tuple[float, Process]] = field(default_factory=dict)
    handing_over: bool = False
    successor: str = ""
    after_call: Callable[[], None] = field(default=lambda: None)

    def __post_init__(self) -> None:
        self.planner = self
        self.queues = {"s": ServiceQueue(SPEC)}
        self.frees = self
        self.pending = ()

    def has_work(self) -> bool:
        """Return whether there is a chain."""
        return bool(self.chains)

    def collect_released(self) -> None:
        """Do nothing."""

    def resume(self) -> None:
        """Schedule again."""
        self.handing_over, self.successor = False, ""

    def hand_over(self, successor: str = "") -> None:
        """Return each chain to its requester."""
        self.handing_over, self.successor = True, successor
        for chain, (ends_ms, requester) in list(self.chains.items()):
            del self.chains[chain]
            chain.left_ms = ends_ms - self.fleet.clock.at_ms
            self.fleet.later(partial(requester.on_moved, chain, self, successor))


@dataclass(eq=False)
class Process:
    """One process of a VM."""

    fleet: LeavingFleet
    number: int
    vm: Gateway
    work: CountedWork
    alive: bool = True
    own: set[Chain] = field(default_factory=set)

    @property
    def address(self) -> str:
        """Return its address for other VMs."""
        return self.vm.settings.peer_address

    def send(self, address: str, data: bytes) -> None:
        """Send a datagram, which may be lost."""
        if self.fleet.random.random() >= LOSS:
            self.fleet.later(partial(self.fleet.receive, address, data))

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record a heartbeat; answer a VM that is new."""
        if self.vm.membership.record_heartbeat(heartbeat, self.fleet.clock.at_ms):
            self.send(heartbeat.address, CODEC.encode(self.vm.heartbeat_message()))

    def beat(self) -> None:
        """Send heartbeats, again and again."""
        if self.alive:
            self.vm.membership.add_peers(self.vm.settings.seeds, 0.0)
            announce(self.vm)
            self.fleet.later(self.beat, INTERVAL_MS)

    def begin_chain(self, work_ms: float) -> None:
        """Ask the scheduler for the staged work of a new request."""
        chain = Chain(work_ms, self.fleet.clock.at_ms, work_ms)
        self.fleet.chains.append(chain)
        self.own.add(chain)
        self.ask(chain, "")

    def ask(self, chain: Chain, successor: str) -> None:
        """Send a chain to the scheduler."""
        address = scheduler_address(self.vm, successor)
        if address == self.address:
            prepare_to_schedule(self.vm, address == successor)
            self.work.chains[chain] = self.fleet.clock.at_ms + chain.left_ms, self
            self.fleet.later(partial(self.end_chain, chain), chain.left_ms)
        else:
            named = address == successor
            self.fleet.later(partial(self.fleet.run, address, chain, self, named))

    def run(self, chain: Chain, requester: Process, named: bool) -> None:
        """Run the chain of another VM, or send it on."""
        self.fleet.unready += not self.vm.upstreams_known
        if named:
            self.vm.sessions.after_hand_over()
        self.vm.sessions.before_chain()
        if self.work.handing_over:
            moved = partial(requester.on_moved, chain, self.work, self.work.successor)
            self.fleet.later(moved)
            return
        self.work.chains[chain] = self.fleet.clock.at_ms + chain.left_ms, requester
        self.fleet.later(partial(self.end_chain, chain), chain.left_ms)

    def end_chain(self, chain: Chain) -> None:
        """Complete a chain if it is still here."""
        ends_ms, requester = self.work.chains.get(chain, (-1.0, self))
        if self.alive and abs(ends_ms - self.fleet.clock.at_ms) < 1e-6:
            del self.work.chains[chain]
            chain.took_ms = self.fleet.clock.at_ms - chain.began_ms
            requester.own.discard(chain)

    def on_moved(self, chain: Chain, work: CountedWork, successor: str) -> None:
        """Ask the next scheduler."""
        if not self.alive:
            return
        chain.moves += 1
        before = next(p for p in self.fleet.processes if p.work is work)
        moved = ChainMovedError((), successor)
        record_moved(self.vm, EMPTY_SPEC, before.address, moved)
        self.ask(chain, successor)

    def on_lost(self, chain: Chain, address: str) -> None:
        """Ask the next scheduler for all the work, as the last one is gone."""
        if not self.alive:
            return
        chain.moves += 1
        chain.left_ms = chain.work_ms
        self.vm.membership.suspect(address, self.fleet.clock.at_ms)
        self.ask(chain, "")

    async def get_session(self, address: str) -> Session:
        """Return a session with another VM."""
        return Session(self.fleet, address)

    def terminate(self) -> None:
        """Get SIGTERM."""
        if self.vm.leaving or not self.alive:
            return
        self.vm.shutdown = shutdown_times(self.fleet.clock.at_ms, GRACE_MS)
        begin_leaving(self.vm)
        announce(self.vm)
        self.drain()

    def drain(self) -> None:
        """Do what `leaving.drain` does between two pauses."""
        assert self.vm.shutdown is not None
        run_at_once(keep_or_hand_over(self.vm))
        now_ms = self.fleet.clock.at_ms
        idle = not self.own and not self.work.chains
        removed = now_ms >= self.vm.shutdown.began_ms + BALANCER_REMOVAL_MS
        ends = idle and removed and end_role(self.vm)
        if now_ms < self.vm.shutdown.exit_at_ms and not ends:
            self.fleet.later(self.drain, POLL_INTERVAL_MS)
            return
        give_up_role(self.vm)
        self.alive = False
        for chain, (_, requester) in self.work.chains.items():
            self.fleet.later(partial(requester.on_lost, chain, self.address))
        for chain in self.own:
            chain.took_ms = now_ms - chain.began_ms
        self.fleet.later(partial(self.fleet.start, self.number), RESTART_MS)


@dataclass
class Session:
    """A session with another VM; it loses no message."""

    fleet: LeavingFleet
    address: str
    lost: bool = False

    def send(self, message: WorkerLoads) -> None:
        """Send the loads of the upstreams."""
        if message.hands_over:
            self.fleet.later(partial(self.fleet.after_hand_over, self.address))


EMPTY_SPEC = ChainSpec("", "", "", 0, "", 0.0, 0.0, 0.0, ())


def run_at_once(job: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine that waits for nothing."""
    try:
        job.send(None)
    except StopIteration:
        return
    raise AssertionError("the coroutine waits")


@dataclass
class LeavingFleet:
    """VMs that get SIGTERM at some times, with requests that need staged work.

    Parameters
    ----------
    stops_ms : dict of int to list of float
        When each VM gets SIGTERM, by its number.
    split_ms : float
        Longest time for which two VMs chose different schedulers.
    unready : int
        Chains that came to a VM which could not run them yet.
    """

    seed: int
    vms: int
    stops_ms: dict[int, list[float]]
    processes: list[Process] = field(default_factory=list)
    chains: list[Chain] = field(default_factory=list)
    clock: VirtualClock = field(default_factory=VirtualClock)
    events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    order: Iterator[int] = field(default_factory=itertools.count)
    agreed_ms: float = 0.0
    split_ms: float = 0.0
    unready: int = 0

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)

    def later(self, event: Callable[[], None], delay_ms: float | None = None) -> None:
        """Run an event after a time, that of a message by default."""
        if delay_ms is None:
            delay_ms = self.random.uniform(*DELAY_MS)
        heapq.heappush(
            self.events, (self.clock.at_ms + delay_ms, next(self.order), event)
        )

    def live(self) -> list[Process]:
        """Return the processes that run."""
        return [process for process in self.processes if process.alive]

    def process_at(self, address: str) -> Process | None:
        """Return the process that runs at an address."""
        return next((p for p in self.live() if p.address == address), None)

    def receive(self, address: str, data: bytes) -> None:
        """Deliver a datagram."""
        process = self.process_at(address)
        if process is not None:
            process.on_heartbeat(CODEC.decode(data))

    def run(self, address: str, chain: Chain, requester: Process, named: bool) -> None:
        """Deliver a chain."""
        process = self.process_at(address)
        if process is None:
            self.later(partial(requester.on_lost, chain, address))
        else:
            process.run(chain, requester, named)

    def after_hand_over(self, address: str) -> None:
        """Deliver the message that a VM schedules from now on."""
        process = self.process_at(address)
        if process is not None:
            process.vm.sessions.after_hand_over()

    def start(self, number: int) -> None:
        """Start a process of a VM, which knows all addresses."""
        vm = make_vm(self.clock)
        addresses = [f"10.0.0.{n + 1}:7000" for n in range(self.vms)]
        vm.settings = replace(
            vm.settings,
            name=f"vm-{number}",
            peer_address=addresses[number],
            seeds=tuple(addresses),
            shutdown_ms=GRACE_MS,
        )
        vm.membership.own_address = addresses[number]
        vm.incarnation = str(next(self.order))
        work = CountedWork(self)
        process = Process(self, number, vm, work)
        any_vm: Any = vm
        any_vm.scheduler = work
        any_vm.sessions.get_session = process.get_session
        vm.send_datagram = process.send
        self.processes.append(process)
        process.beat()
        self.later(partial(self.get_ready, process), self.random.uniform(*READY_MS))

    def get_ready(self, process: Process) -> None:
        """Let a process know the routes and upstreams, and begin to serve."""
        vm: Any = process.vm
        vm.index = object()
        vm.upstreams_known = True
        self.serve(process)

    def serve(self, process: Process) -> None:
        """Begin a chain at a VM, again and again until callers are led elsewhere."""
        stop = process.vm.shutdown
        if stop and self.clock.at_ms >= stop.began_ms + BALANCER_REMOVAL_MS:
            return
        if len(process.vm.membership.peers) > 0:
            process.begin_chain(self.random.choice((1_500.0, 4_000.0)))
        self.later(partial(self.serve, process), CHAIN_INTERVAL_MS)

    def watch(self) -> None:
        """Measure how long VMs disagree on who schedules."""
        choices = {scheduler_address(process.vm) for process in self.live()}
        if len(choices) <= 1:
            self.agreed_ms = self.clock.at_ms
        self.split_ms = max(self.split_ms, self.clock.at_ms - self.agreed_ms)
        self.later(self.watch, WATCH_INTERVAL_MS)

    def play(self, until_ms: float) -> None:
        """Play the time up to `until_ms`."""
        for number in range(self.vms):
            self.later(partial(self.start, number), START_INTERVAL_MS * number)
        for number, times in self.stops_ms.items():
            for at_ms in times:
                self.later(partial(self.terminate, number), at_ms)
        self.later(self.begin_watch, START_INTERVAL_MS * self.vms + 1_000.0)
        while self.events and self.events[0][0] <= until_ms:
            self.clock.at_ms, _, event = heapq.heappop(self.events)
            event()

    def begin_watch(self) -> None:
        """Watch the choices of the VMs from now on."""
        self.agreed_ms = self.clock.at_ms
        self.watch()

    def terminate(self, number: int) -> None:
        """Send SIGTERM to a VM."""
        for process in self.live():
            if process.number == number:
                process.terminate()

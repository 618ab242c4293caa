"""A data centre of real VMs with fake sessions and fake upstreams."""

import random
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

import anyio
import httpcore
import websockets

from cuminstile import attempts, stages
from cuminstile.calls import RunTrace, StageCall, drop_tokens
from cuminstile.clock import Clock, VirtualClock
from cuminstile.const import HEARTBEAT_LOCAL_INTERVAL_MS
from cuminstile.daemon import make_vm
from cuminstile.exceptions import CuminstileError
from cuminstile.objects.collection import index_objects
from cuminstile.objects.model import (
    DataCentre,
    Role,
    Stage,
    Upstream,
    UpstreamVersion,
)
from cuminstile.records.configuration import ConfigurationState
from cuminstile.runtime import Vm
from cuminstile.settings import LimitSettings, Settings
from cuminstile.upstream import leases, limits, load, peer_probes
from cuminstile.upstream.client import UpstreamAnswer, UpstreamError
from cuminstile.upstream.evidence import LoadReport
from cuminstile.upstream.peer_probes import ProbeResult
from cuminstile.upstream.ranking import compact_id
from cuminstile.upstream.table import Condition
from cuminstile.vm.membership import Member
from cuminstile.vm.messages import CODEC
from cuminstile.vm.sessions import Session, make_heartbeat, receive_one

STAGE = "generate"
VERSION = "generate-1"
HOP_MS = 2.0


@dataclass
class FakeConfiguration:
    """Replacement for the configuration in force."""

    version: int
    objects: object


@dataclass
class PausableClock(Clock):
    """A clock on shared virtual time that ends a sleep only while the VM runs."""

    shared: VirtualClock
    running: anyio.Event = field(default_factory=anyio.Event)

    def now_ms(self) -> float:
        """Return the shared time."""
        return self.shared.now_ms()

    def wall_ms(self) -> int:
        """Return the shared time of day."""
        return self.shared.wall_ms()

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep, then wait until the VM runs."""
        await self.shared.sleep_ms(duration_ms)
        await self.running.wait()


@dataclass
class FakeUpstream:
    """An upstream with a low capacity when cold that records the calls beyond it.

    Parameters
    ----------
    warm_after : int
        Number of runs after which it turns warm.
    excess : list of float
        When calls came that exceeded the cold capacity.
    cold_answer_ms, cold_received_ms : float
        When an answer first reported the cold state, and when a running VM first
        received such an answer: a frozen VM does not pass it on.
    """

    upstream: Upstream
    clock: VirtualClock
    warm_after: int = 4
    warm: bool = False
    runs: int = 0
    work_ms: float = 40.0
    report_lag_ms: float = 200.0
    incarnation: str = "i1"
    broken: bool = False
    crash_on: str = ""
    crashes: int = 0
    alive: bool = True
    failing: float = 0.0
    source: random.Random = field(default_factory=lambda: random.Random(0))
    running: dict[str, object] = field(default_factory=dict)
    excess: list[float] = field(default_factory=list)
    highest: int = 0
    history: list[tuple[float, str, str, int]] = field(default_factory=list)
    cold_answer_ms: float = float("inf")
    cold_received_ms: float = float("inf")
    crash_event: anyio.Event = field(default_factory=anyio.Event)

    def record_load(self) -> None:
        """Record the current load for later reports."""
        state = "warm" if self.warm else "cold"
        entry = (self.clock.now_ms(), self.incarnation, state, len(self.running))
        self.history.append(entry)

    def turn_cold(self, warm_after: int) -> None:
        """Turn cold without notice."""
        self.warm = False
        self.runs = 0
        self.warm_after = warm_after
        self.cold_answer_ms = float("inf")
        self.cold_received_ms = float("inf")
        self.record_load()

    async def crash(self, restart_ms: float) -> None:
        """Crash, and restart cold after `restart_ms`."""
        self.crashes += 1
        self.alive = False
        self.crash_event.set()
        self.crash_event = anyio.Event()
        self.running.clear()
        await self.clock.sleep_ms(restart_ms)
        self.alive = True
        self.incarnation = f"i{self.crashes + 1}"
        self.turn_cold(self.warm_after)

    async def run(self, attempt: str, value: object) -> UpstreamAnswer:
        """Run one call, and record it if it exceeds the cold capacity."""
        if not self.alive:
            raise UpstreamError("connect", False)
        self.running[attempt] = value
        self.record_load()
        cold_excess = len(self.running) > self.upstream.cold_capacity
        if not self.warm and cold_excess:
            self.excess.append(self.clock.now_ms())
        self.highest = max(self.highest, len(self.running))
        crash_event = self.crash_event
        work_ms = self.work_ms * (0.7 + 0.6 * self.source.random())
        await self.clock.sleep_ms(work_ms)
        if crash_event.is_set():
            raise UpstreamError("lost", True)
        if self.source.random() < self.failing:
            self.running.pop(attempt, None)
            self.record_load()
            raise UpstreamError("failed", True)
        return self.finish(attempt)

    def finish(self, attempt: str) -> UpstreamAnswer:
        """End one run, and return its answer."""
        self.running.pop(attempt, None)
        self.runs += 1
        if not self.warm and self.runs >= self.warm_after:
            self.warm = True
        elif not self.warm and self.cold_answer_ms == float("inf"):
            self.cold_answer_ms = self.clock.now_ms()
        self.record_load()
        state = "warm" if self.warm else "cold"
        return UpstreamAnswer(self.incarnation, state, {"by": attempt}, self.work_ms)

    def report(self) -> LoadReport | None:
        """Return the load of `report_lag_ms` ago, or None while not alive."""
        if not self.alive:
            return None
        about_ms = self.clock.now_ms() - self.report_lag_ms
        own = [entry for entry in self.history if entry[1] == self.incarnation]
        past = [entry for entry in own if entry[0] <= about_ms]
        at_ms, incarnation, state, in_flight = past[-1] if past else own[0]
        condition = Condition.WARM if state == "warm" else Condition.COLD
        return LoadReport(
            compact_id(incarnation),
            condition,
            in_flight,
            self.upstream.capacity,
            about_ms,
        )


@dataclass
class FakeConnection:
    """A connection that delivers bytes to the other VM in order, after `HOP_MS`."""

    clock: VirtualClock
    deliver: Callable[[bytes], Awaitable[None]]
    queue: list[bytes] = field(default_factory=list)
    wake: anyio.Event = field(default_factory=anyio.Event)
    closed: bool = False
    sent_bytes: int = 0

    async def send(self, data: bytes) -> None:
        """Send the bytes."""
        if self.closed:
            raise websockets.ConnectionClosedOK(None, None)
        self.sent_bytes += len(data)
        self.queue.append(data)
        self.wake.set()

    async def run_delivery_loop(self) -> None:
        """Deliver what was sent, in order."""
        while not self.closed:
            await self.wake.wait()
            self.wake = anyio.Event()
            await self.clock.sleep_ms(HOP_MS)
            batch, self.queue = self.queue, []
            for data in batch:
                await self.deliver(data)


@dataclass
class FakeDataCentre:
    """The VMs and the upstreams of one data centre."""

    clock: VirtualClock
    tasks: anyio.abc.TaskGroup
    upstreams: dict[str, FakeUpstream]
    settings: LimitSettings
    seed: int = 0
    vms: dict[str, Vm] = field(default_factory=dict)
    scopes: dict[str, anyio.CancelScope] = field(default_factory=dict)
    connections: dict[tuple[str, str], FakeConnection] = field(default_factory=dict)
    sent_bytes: dict[str, int] = field(default_factory=dict)
    sent_by_type: dict[str, int] = field(default_factory=dict)

    @property
    def objects(self) -> object:
        """Return the objects in force."""
        return index_objects(
            [
                DataCentre("data_centre", "dc-1", "region-1"),
                Stage("stage", STAGE, Role.ENGINE),
                UpstreamVersion("upstream_version", VERSION, STAGE),
                *(fake.upstream for fake in self.upstreams.values()),
            ]
        )

    async def start(self, name: str, knows: set[str] | None = None) -> Vm:
        """Start a VM, and connect it with the VMs in `knows`, by default with all."""
        settings = Settings(
            name, "dc-1", "127.0.0.1", 0, 0, 0, "127.0.0.1:1", ("o" * 16,), ("v" * 16,)
        )
        vm = make_vm(replace(settings, limits=self.settings))
        clock = PausableClock(self.clock)
        clock.running.set()
        vm.clock = clock
        vm.journal.clock = clock
        vm.random = random.Random(f"{self.seed}{name}")
        vm.configuration = ConfigurationState()
        vm.configuration.current = FakeConfiguration(1, self.objects)
        others = list(self.vms)
        self.vms[name] = vm
        scope = self.scopes[name] = anyio.CancelScope()
        await self.tasks.start(self.run_vm, vm, scope)
        for other in others:
            if knows is None or other in knows:
                self.connect(name, other)
        return vm

    async def run_vm(self, vm: Vm, scope: anyio.CancelScope, task_status) -> None:
        """Run the background tasks of one VM."""

        async def fetch(vm: Vm, upstream: Upstream) -> LoadReport | None:
            await vm.clock.sleep_ms(HOP_MS)
            return self.upstreams[upstream.name].report()

        with scope:
            async with anyio.create_task_group() as tasks:
                vm.tasks = tasks
                vm.load.fetch = fetch
                tasks.start_soon(load.run_polling_loop, vm)
                vm.leases.probes.send = self.probe
                tasks.start_soon(leases.run_lease_loop, vm)
                tasks.start_soon(peer_probes.run_probing_loop, vm)
                tasks.start_soon(self.send_heartbeats, vm)
                task_status.started()
                await anyio.sleep_forever()

    async def probe(self, vm: Vm, member: Member) -> ProbeResult:
        """Return the result of a probe from one VM to another."""
        other = self.vms.get(member.name)
        await vm.clock.sleep_ms(HOP_MS)
        if other is None:
            return ProbeResult.REFUSED
        if (vm.settings.name, member.name) not in self.connections:
            return ProbeResult.UNREACHABLE
        if other.clock.running.is_set():
            return ProbeResult.ANSWERS
        await vm.clock.sleep_ms(peer_probes.PROBE_TIMEOUT_MS)
        return ProbeResult.UNRESPONSIVE

    async def send_heartbeats(self, vm: Vm) -> None:
        """Send heartbeats to every connected VM."""
        while True:
            for session in tuple(vm.sessions.by_name.values()):
                try:
                    await session.send(make_heartbeat(vm))
                except CuminstileError:
                    vm.sessions.by_name.pop(session.name, None)
            await vm.clock.sleep_ms(HEARTBEAT_LOCAL_INTERVAL_MS)

    def connect(self, one: str, other: str) -> None:
        """Open a session between two VMs."""
        self.vms[one].members.add(other, "dc-1", "127.0.0.1:1")
        self.vms[other].members.add(one, "dc-1", "127.0.0.1:1")
        self.open_direction(one, other)
        self.open_direction(other, one)

    def open_direction(self, sender: str, receiver: str) -> None:
        """Open one direction of a session, from one VM to another."""
        source, target = self.vms[sender], self.vms[receiver]

        async def deliver(data: bytes) -> None:
            await target.clock.sleep_ms(0)
            session = target.sessions.by_name.get(sender)
            if session is None:
                return
            target.members.mark_seen(sender, target.clock.now_ms())
            kind = type(CODEC.decode(data)).__name__
            self.sent_by_type[kind] = self.sent_by_type.get(kind, 0) + len(data)
            if not kind.startswith("Stage") and kind != "RunStage":
                # Forwarded calls do not count as control traffic.
                self.sent_bytes[sender] = self.sent_bytes.get(sender, 0) + len(data)
            await receive_one(target, session, data)

        connection = FakeConnection(self.clock, deliver)
        self.connections[sender, receiver] = connection
        self.tasks.start_soon(connection.run_delivery_loop)
        now_ms = self.clock.now_ms()
        session = Session(
            receiver, "dc-1", target.incarnation, connection, source.tasks, now_ms
        )
        source.sessions.by_name[receiver] = session
        source.members.mark_seen(receiver, now_ms)

    def cut(self, one: str, other: str) -> None:
        """Break the session between two VMs; they do not reconnect."""
        for pair in ((one, other), (other, one)):
            connection = self.connections.pop(pair, None)
            if connection is not None:
                connection.closed = True
            vm = self.vms.get(pair[0])
            if vm is not None:
                session = vm.sessions.by_name.pop(pair[1], None)
                for answers in session.calls.values() if session else ():
                    answers.close()

    def freeze(self, name: str) -> None:
        """Freeze a VM, as SIGSTOP does."""
        self.vms[name].clock.running = anyio.Event()

    def thaw(self, name: str) -> None:
        """Let a frozen VM continue, as SIGCONT does."""
        self.vms[name].clock.running.set()

    def kill(self, name: str, listed: bool = False) -> None:
        """End a VM; its calls keep running at the upstreams."""
        self.scopes.pop(name).cancel()
        for other in self.vms:
            if other != name:
                self.cut(name, other)
        del self.vms[name]
        if not listed:
            self.forget(name)

    def forget(self, name: str) -> None:
        """Remove a VM from the member lists of the others."""
        for vm in self.vms.values():
            vm.members.by_name.pop(name, None)

    async def call_upstream(
        self, pool, address, call, attempt, remaining_ms, trace, on_tokens, check
    ) -> UpstreamAnswer:
        """Replace the call over HTTP."""
        name = address.split(":")[1]
        fake = next(
            item
            for item in self.upstreams.values()
            if item.upstream.address.endswith(f":{name}")
        )
        vm = next(vm for vm in self.vms.values() if vm.upstream_pool is pool)
        await vm.clock.sleep_ms(self.clock_jitter_ms())
        check()
        # The run continues even if its caller has been cancelled.
        outcome: list[UpstreamAnswer | UpstreamError] = []
        done = anyio.Event()

        async def run() -> None:
            try:
                outcome.append(await fake.run(attempt, call.input))
            except UpstreamError as error:
                outcome.append(error)
            done.set()

        self.tasks.start_soon(run)
        await self.crash_if_poisoned(fake, call)
        await done.wait()
        if fake.cold_answer_ms <= self.clock.now_ms() and vm.clock.running.is_set():
            fake.cold_received_ms = min(fake.cold_received_ms, self.clock.now_ms())
        await vm.clock.sleep_ms(HOP_MS)
        if isinstance(outcome[0], UpstreamError):
            raise outcome[0]
        return outcome[0]

    async def crash_if_poisoned(self, fake: FakeUpstream, call: StageCall) -> None:
        """Crash an upstream during a call whose input contains its `crash_on` text."""
        if fake.crash_on and fake.crash_on in str(call.input) and fake.alive:

            async def crash() -> None:
                await self.clock.sleep_ms(fake.work_ms / 4)
                if fake.alive:
                    await fake.crash(restart_ms=300.0)

            self.tasks.start_soon(crash)

    def clock_jitter_ms(self) -> float:
        """Return the time in ms until the first byte is sent."""
        return HOP_MS

    def call(self, request: str, deadline_ms: float = 4_000.0, **fields) -> StageCall:
        """Return a call of the stage."""
        values = {
            "request": request,
            "organisation": "org-1",
            "pipeline": "draft",
            "step": "generate",
            "stage": STAGE,
            "version": "",
            "input": request,
            "stream": False,
            "priority": 0,
            "deadline_ms": self.clock.now_ms() + deadline_ms,
        }
        return StageCall(**{**values, **fields})

    async def request(self, vm_name: str, call: StageCall, results: list) -> None:
        """Run one call through a VM, and record its result."""
        vm = self.vms[vm_name]
        started_ms = self.clock.now_ms()
        result = "cancelled"
        try:
            await stages.run_stage(vm, call, RunTrace(), drop_tokens, True)
            result = "good"
        except CuminstileError as error:
            result = error.code.value
        finally:
            results.append((result, self.clock.now_ms() - started_ms, call.request))

    def send(self, vm_name: str, call: StageCall, results: list) -> None:
        """Start one call through a VM."""
        self.vms[vm_name].tasks.start_soon(self.request, vm_name, call, results)


def make_upstreams(
    clock: VirtualClock, count: int, capacity: int = 8, cold_capacity: int = 1, **fields
) -> dict[str, FakeUpstream]:
    """Return upstreams that have just started cold."""
    fakes = {}
    for number in range(count):
        name = f"runner-{number}"
        upstream = Upstream(
            "upstream",
            name,
            "dc-1",
            f"127.0.0.1:{number + 1}",
            (VERSION,),
            capacity,
            cold_capacity,
        )
        fakes[name] = FakeUpstream(upstream, clock, **fields)
        fakes[name].source = random.Random(number)
        fakes[name].record_load()
    return fakes


@asynccontextmanager
async def running_data_centre(monkeypatch, upstreams: int, seed: int = 0, **fields):
    """Yield a data centre without VMs."""
    clock = VirtualClock(at_ms=10_000.0)
    settings = fields.pop("settings", LimitSettings())
    async with anyio.create_task_group() as tasks:
        fakes = make_upstreams(clock, upstreams, **fields)
        centre = FakeDataCentre(clock, tasks, fakes, settings, seed)
        monkeypatch.setattr(attempts, "call_upstream", centre.call_upstream)
        monkeypatch.setattr(limits, "cancel_call", no_cancel)
        yield centre
        tasks.cancel_scope.cancel()


async def no_cancel(
    pool: httpcore.AsyncConnectionPool, address: str, attempt: str
) -> None:
    """Replace a cancellation with one that does not arrive."""

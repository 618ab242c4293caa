"""A simulated fleet, store and platform in virtual time, for the tests of the duties.

The code of the VMs runs unchanged; coroutines are driven without an event loop, so that
thousands of schedules take seconds. A frozen VM resumes where it stood.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Coroutine, Generator, Sequence
from dataclasses import dataclass, field, replace
from types import coroutine
from typing import Any

import orjson

from cuminstile.clock import Clock
from cuminstile.duties.desk import DutyDesk, DutySettings
from cuminstile.duties.lease import LeaseRecord
from cuminstile.duties.messages import DutyBeat, DutyReport
from cuminstile.duties.store import DutyCall, LeasePage
from cuminstile.duties.types import DutyAnswer
from cuminstile.duties.usage import Report
from cuminstile.eras.position import Position
from cuminstile.eras.store_era import StoreEra
from cuminstile.events import Journal
from cuminstile.exceptions import PlatformUnavailableError

EPOCH_MS = 1_768_916_540_000
LEASE_MS = 3_000.0
WINDOW_MS = 5_000
LATE_MS = 10_000.0
STORE_TIMEOUT_MS = 700.0
SETTINGS = DutySettings(("usage", "orders"), LEASE_MS, 50.0, WINDOW_MS, LATE_MS)


@coroutine
def sleep_until(at_ms: float) -> Generator[float, None, None]:
    """Suspend a simulated task until a time."""
    yield at_ms


@dataclass
class Machine:
    """A VM that freezes, restarts, is cut off, and whose wall clock jumps."""

    number: int
    lead_ms: float = 0.0
    life: int = 0
    frozen_until_ms: float = 0.0
    off_store: bool = False
    off_platform: bool = False
    off_fleet: bool = False
    running: bool = True
    leaving: bool = False
    desk: DutyDesk | None = None

    @property
    def address(self) -> str:
        """Return the name of the machine."""
        return f"10.0.0.{self.number}:1"


class MachineClock(Clock):
    """The clocks of one machine."""

    def __init__(self, world: World, machine: Machine) -> None:
        self.world, self.machine = world, machine

    def now_ms(self) -> float:
        """Return the monotonic time, different on each machine."""
        return self.world.now_ms + 1e5 * self.machine.number

    def wall_ms(self) -> int:
        """Return the wall-clock time as the machine has it."""
        return EPOCH_MS + int(self.world.now_ms + self.machine.lead_ms)

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep in virtual time."""
        await sleep_until(self.world.now_ms + max(0.0, duration_ms))


@dataclass(frozen=True)
class Arrival:
    """A call as it arrived at the platform."""

    at_ms: float
    machine: int
    life: int
    token: int
    call: DutyCall


@dataclass
class World:
    """Everything that is simulated.

    Parameters
    ----------
    slow_ms, lost, refused : float
        How late the store may answer, and the share of its answers that are lost or
        say that nothing was done.
    """

    random: random.Random
    size: int = 4
    now_ms: float = 0.0
    events: list[Any] = field(default_factory=list)
    order: Any = field(default_factory=itertools.count)
    machines: list[Machine] = field(default_factory=list)
    log: list[LeaseRecord] = field(default_factory=list)
    ledger: tuple[Report, ...] = ()
    log_end: int = 0
    era: int = 0
    era_since_ms: float = 0.0
    copies: list[tuple[float, int, tuple[Report, ...], int]] = field(
        default_factory=lambda: [(0.0, 0, (), 0)]
    )
    arrivals: list[Arrival] = field(default_factory=list)
    slow_ms: float = 5.0
    lost: float = 0.0
    refused: float = 0.0
    datagrams_lost: float = 0.02
    platform_lost: float = 0.0
    truth: dict[int, dict[str, int]] = field(default_factory=dict)

    def come_back(self, age_ms: float) -> None:
        """Let the store come back from a copy, without what was appended since."""
        wanted_ms = self.now_ms - age_ms
        copies = [copy for copy in self.copies if copy[0] <= wanted_ms]
        self.copies = copies or self.copies[:1]
        _, records, self.ledger, self.log_end = self.copies[-1]
        del self.log[records:]
        self.era, self.era_since_ms = self.era + 1, self.now_ms

    def at(self, at_ms: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self.events, (at_ms, next(self.order), action))

    def run(self, end_ms: float) -> None:
        """Run what happens until a time."""
        while self.events and self.events[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self.events)
            action()
        self.now_ms = end_ms

    def task(
        self, machine: Machine, make_job: Callable[[], Coroutine[float, None, None]]
    ) -> None:
        """Start an endless task of the process that runs on a machine now."""
        life = machine.life
        jobs: list[Coroutine[float, None, None]] = []

        def resume() -> None:
            if machine.life != life:
                for job in jobs:
                    job.close()
            elif self.now_ms < machine.frozen_until_ms:
                self.at(machine.frozen_until_ms, resume)
            else:
                if not jobs:
                    jobs.append(make_job())
                self.at(jobs[0].send(None), resume)

        self.at(self.now_ms, resume)

    def start(self, machine: Machine) -> None:
        """Start a process on a machine."""
        machine.life += 1
        machine.running, machine.leaving = True, False
        clock = MachineClock(self, machine)
        desk = machine.desk = DutyDesk(
            SETTINGS,
            clock,
            Journal(machine.address, clock),
            f"vm-{machine.number}",
            machine.address,
            f"life-{machine.life}",
            SimulatedFleet(self, machine),
            SimulatedStore(self, machine),
            SimulatedPlatform(self, machine, machine.life),
            lambda: machine.leaving,
        )
        self.task(machine, lambda: self.loop(desk, desk.step))
        self.task(machine, lambda: self.loop(desk, desk.send_reports))

    async def loop(self, desk: DutyDesk, step: Any) -> None:
        """Run a step of a desk without end."""
        while True:
            await step()
            await desk.clock.sleep_ms(self.random.uniform(95.0, 105.0))

    def kill(self, machine: Machine) -> None:
        """End the process of a machine at once."""
        machine.life += 1
        machine.running = False

    def stop(self, machine: Machine, after_ms: float) -> None:
        """Let the process of a machine leave and end."""
        life = machine.life
        machine.leaving = True

        def end() -> None:
            if machine.life == life:
                assert machine.desk is not None
                machine.desk.tell_all_counts()
                self.kill(machine)

        self.at(self.now_ms + after_ms, end)

    def request(self, machine: Machine, organisation: str) -> None:
        """Let an upstream begin a request of a machine."""
        frozen = self.now_ms < machine.frozen_until_ms
        if not machine.running or frozen or machine.desk is None:
            return
        window = self.truth.setdefault(int((EPOCH_MS + self.now_ms) // WINDOW_MS), {})
        window[organisation] = window.get(organisation, 0) + 1
        machine.desk.count_begun(organisation)

    def reports(self) -> dict[int, set[bytes]]:
        """Return the bodies that the platform got for each window."""
        bodies: dict[int, set[bytes]] = {}
        for arrival in self.arrivals:
            raw = orjson.loads(arrival.call.body)
            if "window" in raw:
                bodies.setdefault(raw["window"], set()).add(arrival.call.body)
        return bodies


@dataclass
class SimulatedFleet:
    """The other VMs as one machine knows them."""

    world: World
    machine: Machine

    def reaches(self, other: Machine) -> bool:
        """Return whether datagrams pass."""
        return not (self.machine.off_fleet or other.off_fleet) and other.running

    def live(self) -> Sequence[str]:
        """Return the running VMs that this one reaches."""
        world, own = self.world, self.machine
        return [
            other.address
            for other in world.machines
            if other is not own
            and self.reaches(other)
            and world.now_ms >= other.frozen_until_ms
        ]

    def order(self) -> Sequence[str]:
        """Return those that do not leave, and this one."""
        staying = [m.address for m in self.world.machines if not m.leaving]
        known = {*self.live(), self.machine.address}
        return [address for address in staying if address in known]

    def everyone(self) -> Sequence[str]:
        """Return all other VMs."""
        others = (m.address for m in self.world.machines if m is not self.machine)
        return list(others)

    def send(self, addresses: Sequence[str], message: object) -> None:
        """Deliver a message after a while, or not."""
        world = self.world
        for other in world.machines:
            if other.address not in addresses or not self.reaches(other):
                continue
            if world.random.random() >= world.datagrams_lost:
                delay_ms = world.random.uniform(0.5, 20.0)
                world.at(world.now_ms + delay_ms, self.delivery(other, message))

    def delivery(self, other: Machine, message: object) -> Callable[[], None]:
        """Return the action that hands a message over, later if the VM is frozen."""

        def deliver() -> None:
            if self.world.now_ms < other.frozen_until_ms:
                self.world.at(other.frozen_until_ms, deliver)
            elif other.running and other.desk is not None:
                if isinstance(message, DutyBeat):
                    other.desk.on_beat(message)
                elif isinstance(message, DutyReport):
                    other.desk.on_report(message)

        return deliver


@dataclass
class SimulatedStore:
    """The platform's log; calls may run late, be refused, or lose their answer."""

    world: World
    machine: Machine
    known_era: StoreEra = field(default_factory=StoreEra)

    async def call(self, run: Callable[[], Any]) -> Any:
        """Run a call at the store, and return its answer."""
        world = self.world
        rng, sent_ms, box = world.random, world.now_ms, []
        lost = rng.random() < world.lost
        limit_ms = sent_ms + STORE_TIMEOUT_MS
        run_ms = sent_ms + rng.uniform(1.0, world.slow_ms)
        if lost and rng.random() < 0.5:
            run_ms = sent_ms + rng.uniform(1.0, 5_000.0)
        if self.machine.off_store or rng.random() < world.refused:
            await sleep_until(sent_ms + rng.uniform(1.0, STORE_TIMEOUT_MS))
            raise PlatformUnavailableError("refused")
        world.at(run_ms, lambda: box.append(run()))
        answer_ms = run_ms + rng.uniform(0.5, 5.0)
        if lost or answer_ms > limit_ms:
            await sleep_until(limit_ms)
            raise PlatformUnavailableError("no answer")
        await sleep_until(answer_ms)
        return box[0]

    async def read(self) -> LeasePage:
        """Return the newest records."""
        world = self.world

        def run() -> LeasePage:
            record = world.log[-1] if world.log else None
            end = Position(world.era, world.log_end)
            return LeasePage(end, record, world.ledger)

        page: LeasePage = await self.call(run)
        since_ms = self.heard_of_era(page.end.era)
        return replace(page, era_since_ms=since_ms)

    def heard_of_era(self, era: int) -> float:
        """Return when this process heard of the newest era; refuse an earlier one."""
        desk = self.machine.desk
        assert desk is not None
        now_ms = desk.clock.now_ms()
        if not self.known_era.observe(era, now_ms):
            raise PlatformUnavailableError("an earlier era")
        return self.known_era.since_ms

    async def append(
        self, at: Position, record: LeaseRecord, ledger: tuple[Report, ...] | None
    ) -> Position | None:
        """Append if the log ends at an offset, whatever the era of that."""
        world = self.world

        def run() -> tuple[int, Position | None]:
            if at.offset != world.log_end:
                return world.era, None
            world.log.append(record)
            world.ledger = world.ledger if ledger is None else ledger
            world.log_end += 1 if ledger is None else 2
            copy = (world.now_ms, len(world.log), world.ledger, world.log_end)
            world.copies.append(copy)
            return world.era, Position(world.era, world.log_end)

        era, end = await self.call(run)
        self.heard_of_era(era)
        return end if era == at.era else None


@dataclass
class SimulatedPlatform:
    """The platform's calls that are duties."""

    world: World
    machine: Machine
    life: int

    async def call(
        self,
        call: DutyCall,
        token: int,
        may_send: Callable[[], bool],
        timeout_ms: float,
    ) -> DutyAnswer:
        """Deliver a call if it may leave; an unanswered one may have been accepted."""
        world, rng = self.world, self.world.random
        began_ms = world.now_ms
        await sleep_until(began_ms + rng.uniform(1.0, 20.0))
        if self.machine.off_platform or not may_send():
            return DutyAnswer(None, False)
        lost = rng.random() < world.platform_lost
        longest_ms = timeout_ms if lost else 20.0
        arrives_ms = world.now_ms + rng.uniform(1.0, longest_ms)
        arrival = Arrival(arrives_ms, self.machine.number, self.life, token, call)
        if not lost or rng.random() < 0.5:
            world.at(arrives_ms, lambda: world.arrivals.append(arrival))
        if lost:
            await sleep_until(began_ms + timeout_ms)
            return DutyAnswer(None, True)
        await sleep_until(arrives_ms + 2.0)
        return DutyAnswer(200, True)

    def usage_call(self, window: int, counts: Any) -> DutyCall:
        """Return the report of a window."""
        body = orjson.dumps({"window": window, "counts": counts})
        return DutyCall(b"POST", b"/usage", body)

    def usage_repeat(self, body: str) -> DutyCall:
        """Return a report again."""
        return DutyCall(b"POST", b"/usage", body.encode())


def make_world(seed: int, size: int = 4) -> World:
    """Return a fleet that starts at time zero."""
    world = World(random.Random(seed), size)
    world.machines = [Machine(number) for number in range(1, size + 1)]
    for machine in world.machines:
        starts_ms = world.random.uniform(0.0, 300.0)
        world.at(starts_ms, lambda machine=machine: world.start(machine))  # type: ignore[misc]
    return world

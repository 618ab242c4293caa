"""Let calls wait for slots of a group of upstreams, fairly and within bounds."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import anyio

from .clock import Clock
from .exceptions import CuminstileError, ErrorCode
from .settings import QueueOrder

Slot = TypeVar("Slot")

MAX_PASSED_OVER = 4
MIN_WORK_MS = 1.0
MAX_IDLE_SHARES = 1_024


@dataclass(frozen=True)
class Ticket:
    """Describe a call that wants a slot.

    Parameters
    ----------
    weight : int
        The organisation's share of a busy system against the others.
    start_by_ms : float
        Latest monotonic time at which the call can start and still be in time.
    work_ms : float
        How long the call is expected to hold its slot.
    """

    organisation: str
    weight: int
    start_by_ms: float
    work_ms: float


@dataclass(eq=False)
class Waiter(Generic[Slot]):
    """Hold one call that waits, and in the end its slot or its refusal."""

    ticket: Ticket
    sequence: int
    try_acquire: Callable[[], Slot | None]
    done: anyio.Event = field(default_factory=anyio.Event)
    slot: Slot | None = None
    refusal: CuminstileError | None = None


@dataclass
class Shares:
    """Hold the work that each organisation was granted, divided by its weight.

    Parameters
    ----------
    used_ms : dict of str to float
        Virtual time up to which each organisation was served.
    floor_ms : float
        Virtual time of the last grant; no organisation starts below it, so that
        none saves up a claim while it has nothing to do.
    """

    used_ms: dict[str, float] = field(default_factory=dict)
    floor_ms: float = 0.0

    def start_of(self, organisation: str) -> float:
        """Return the virtual time at which the organisation's next call starts."""
        return max(self.floor_ms, self.used_ms.get(organisation, 0.0))

    def activate(self, organisation: str) -> None:
        """Note that an organisation without waiting calls has one now."""
        self.used_ms[organisation] = self.start_of(organisation)

    def charge(self, ticket: Ticket) -> None:
        """Charge an organisation for one grant."""
        start_ms = self.used_ms.get(ticket.organisation, self.floor_ms)
        self.floor_ms = max(self.floor_ms, start_ms)
        cost_ms = max(MIN_WORK_MS, ticket.work_ms) / ticket.weight
        self.used_ms[ticket.organisation] = start_ms + cost_ms

    def forget_idle(self, active: set[str]) -> None:
        """Drop organisations without waiting calls when there are too many.

        Those that were served least go first: they lose the smallest debt.
        """
        if len(self.used_ms) <= MAX_IDLE_SHARES:
            return
        idle = sorted(set(self.used_ms) - active, key=lambda name: self.used_ms[name])
        for name in idle[: len(idle) // 2]:
            del self.used_ms[name]


Order = Callable[[Shares, Ticket, int], tuple[float, ...]]


def fair_then_earliest(
    shares: Shares, ticket: Ticket, sequence: int
) -> tuple[float, ...]:
    """Order by the organisations' fair shares, then by what must start first."""
    used_ms = shares.used_ms.get(ticket.organisation, shares.floor_ms)
    return (used_ms, ticket.start_by_ms, sequence)


def earliest_first(shares: Shares, ticket: Ticket, sequence: int) -> tuple[float, ...]:
    """Order by what must start first, whoever asks."""
    return (ticket.start_by_ms, sequence)


def first_come(shares: Shares, ticket: Ticket, sequence: int) -> tuple[float, ...]:
    """Order by arrival."""
    return (float(sequence),)


ORDERS: dict[QueueOrder, Order] = {
    QueueOrder.FAIR_THEN_EARLIEST: fair_then_earliest,
    QueueOrder.EARLIEST_FIRST: earliest_first,
    QueueOrder.FIRST_COME: first_come,
}


@dataclass
class WaitQueue(Generic[Slot]):
    """Hold the calls that wait for slots of one group of upstreams.

    Parameters
    ----------
    max_length : int
        Calls that may wait; one more pushes out a call of the organisation that
        has the most waiting for its weight.
    give_back : callable
        Returns a slot that its call cannot use any more.
    order : Order
        The waiting call with the smallest value is served first.
    """

    clock: Clock
    max_length: int
    release: Callable[[Slot], None]
    order: Order = fair_then_earliest
    shares: Shares = field(default_factory=Shares)
    waiting: list[Waiter[Slot]] = field(default_factory=list)
    sequence: itertools.count[int] = field(default_factory=itertools.count)

    async def acquire(
        self, ticket: Ticket, try_acquire: Callable[[], Slot | None]
    ) -> Slot:
        """Return a slot, after waiting for one if need be.

        `try_take` returns a slot that suits this call, or None; it is called only
        when a slot may be free.

        Raises
        ------
        CuminstileError
            With `OVERLOADED` if too many wait, with `DEADLINE_PASSED` once the call
            cannot be in time any more; the call was not run.
        """
        waiter = Waiter(ticket, next(self.sequence), try_acquire)
        self.enter(waiter)
        self.notify()
        self.push_out()
        try:
            if not waiter.done.is_set():
                await self.wait(waiter)
        except BaseException:
            self.leave(waiter)
            if waiter.slot is not None:
                self.release(waiter.slot)
            raise
        if waiter.slot is None:
            raise waiter.refusal or late()
        return waiter.slot

    def notify(self) -> None:
        """Hand out the slots that may be free now.

        A call that finds no slot of its own is passed over, a few at most.
        """
        passed_over: set[int] = set()
        while len(passed_over) <= MAX_PASSED_OVER:
            waiter = self.next_waiter(passed_over)
            if waiter is None:
                return
            if self.clock.now_ms() > waiter.ticket.start_by_ms:
                self.refuse(waiter, late())
                continue
            slot = waiter.try_acquire()
            if slot is None:
                passed_over.add(waiter.sequence)
                continue
            self.grant(waiter, slot)

    def next_waiter(self, passed_over: set[int]) -> Waiter[Slot] | None:
        """Return the call to be served next, or None."""
        return min(
            (item for item in self.waiting if item.sequence not in passed_over),
            key=self.rank,
            default=None,
        )

    def rank(self, waiter: Waiter[Slot]) -> tuple[float, ...]:
        """Return the value by which the waiting calls are ordered."""
        return self.order(self.shares, waiter.ticket, waiter.sequence)

    def enter(self, waiter: Waiter[Slot]) -> None:
        """Add a call to those that wait."""
        organisation = waiter.ticket.organisation
        active = {item.ticket.organisation for item in self.waiting}
        if organisation not in active:
            self.shares.forget_idle(active)
            self.shares.activate(organisation)
        self.waiting.append(waiter)

    def leave(self, waiter: Waiter[Slot]) -> None:
        """Remove a call from those that wait, if it is among them."""
        if waiter in self.waiting:
            self.waiting.remove(waiter)

    def grant(self, waiter: Waiter[Slot], slot: Slot) -> None:
        """Hand a slot to a call and charge its organisation."""
        self.leave(waiter)
        self.shares.charge(waiter.ticket)
        waiter.slot = slot
        waiter.done.set()

    def refuse(self, waiter: Waiter[Slot], error: CuminstileError) -> None:
        """End the wait of a call without a slot."""
        self.leave(waiter)
        waiter.refusal = error
        waiter.done.set()

    def push_out(self) -> None:
        """Refuse calls until no more wait than may."""
        while len(self.waiting) > self.max_length:
            self.refuse(self.last_of_largest(), overloaded())

    def last_of_largest(self) -> Waiter[Slot]:
        """Return the call to refuse: of who has most waiting, the last to be served."""
        counts: dict[str, float] = {}
        for item in self.waiting:
            ticket = item.ticket
            share = counts.get(ticket.organisation, 0.0) + 1.0 / ticket.weight
            counts[ticket.organisation] = share
        largest = max(counts, key=lambda name: counts[name])
        own = (item for item in self.waiting if item.ticket.organisation == largest)
        return max(own, key=self.rank)

    async def wait(self, waiter: Waiter[Slot]) -> None:
        """Wait until a call has its slot, or is too late for one."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.expire, waiter)
            await waiter.done.wait()
            tasks.cancel_scope.cancel()

    async def expire(self, waiter: Waiter[Slot]) -> None:
        """Refuse a call at the moment when it is too late for a slot."""
        await self.clock.sleep_ms(waiter.ticket.start_by_ms - self.clock.now_ms())
        if not waiter.done.is_set():
            self.refuse(waiter, late())


def late() -> CuminstileError:
    """Return the refusal of a call that cannot be in time any more."""
    return CuminstileError(
        ErrorCode.DEADLINE_PASSED, "no upstream was free in time for the deadline"
    )


def overloaded() -> CuminstileError:
    """Return the refusal of a call that finds too many waiting."""
    return CuminstileError(
        ErrorCode.OVERLOADED, "too many calls wait for an upstream of this stage"
    )

"""Bounded queue of calls that wait for slots, with fair shares by organisation."""

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

MAX_SKIPPED_CALLS = 4
MIN_WORK_MS = 1.0
MAX_IDLE_SHARES = 1_024


@dataclass(frozen=True)
class Ticket:
    """Scheduling data of a call that needs a slot.

    Parameters
    ----------
    weight : int
        The organisation's weight for fair shares.
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
    """A waiting call, and in the end its slot or its refusal."""

    ticket: Ticket
    sequence: int
    try_acquire: Callable[[], Slot | None]
    done: anyio.Event = field(default_factory=anyio.Event)
    slot: Slot | None = None
    refusal: CuminstileError | None = None


@dataclass
class FairShares:
    """Weighted fair shares: work granted to each organisation, divided by its weight.

    Parameters
    ----------
    used_ms : dict of str to float
        Virtual time up to which each organisation was served.
    floor_ms : float
        Virtual start time of the latest grant. No organisation starts below it, so
        that an idle one accumulates no credit.
    """

    used_ms: dict[str, float] = field(default_factory=dict)
    floor_ms: float = 0.0

    def virtual_start_ms(self, organisation: str) -> float:
        """Return the virtual time at which the organisation's next call starts."""
        return max(self.floor_ms, self.used_ms.get(organisation, 0.0))

    def activate(self, organisation: str) -> None:
        """Set the start time of an organisation that gets its first waiting call."""
        self.used_ms[organisation] = self.virtual_start_ms(organisation)

    def charge(self, ticket: Ticket) -> None:
        """Charge an organisation for a granted slot."""
        start_ms = self.used_ms.get(ticket.organisation, self.floor_ms)
        self.floor_ms = max(self.floor_ms, start_ms)
        cost_ms = max(MIN_WORK_MS, ticket.work_ms) / ticket.weight
        self.used_ms[ticket.organisation] = start_ms + cost_ms

    def drop_idle(self, active: set[str]) -> None:
        """Drop half of the organisations without waiting calls if there are too many.

        Those with the lowest virtual time are dropped, as they lose the smallest debt.
        """
        if len(self.used_ms) <= MAX_IDLE_SHARES:
            return
        idle = sorted(set(self.used_ms) - active, key=lambda name: self.used_ms[name])
        for name in idle[: len(idle) // 2]:
            del self.used_ms[name]


Order = Callable[[FairShares, Ticket, int], tuple[float, ...]]


def fair_then_earliest(
    shares: FairShares, ticket: Ticket, sequence: int
) -> tuple[float, ...]:
    """Order by the organisations' fair shares, then by latest start time."""
    used_ms = shares.used_ms.get(ticket.organisation, shares.floor_ms)
    return (used_ms, ticket.start_by_ms, sequence)


def earliest_first(
    shares: FairShares, ticket: Ticket, sequence: int
) -> tuple[float, ...]:
    """Order by latest start time, regardless of organisation."""
    return (ticket.start_by_ms, sequence)


def first_come(shares: FairShares, ticket: Ticket, sequence: int) -> tuple[float, ...]:
    """Order by arrival."""
    return (float(sequence),)


ORDERS: dict[QueueOrder, Order] = {
    QueueOrder.FAIR_THEN_EARLIEST: fair_then_earliest,
    QueueOrder.EARLIEST_FIRST: earliest_first,
    QueueOrder.FIRST_COME: first_come,
}


@dataclass
class WaitQueue(Generic[Slot]):
    """Calls that wait for slots of one group of upstreams.

    Parameters
    ----------
    max_length : int
        Calls that may wait; beyond that, a call of the organisation with the most
        waiting calls for its weight is refused.
    release : callable
        Releases a slot that was granted to a call which has been cancelled.
    order : Order
        The waiting call with the smallest value is served first.
    """

    clock: Clock
    max_length: int
    release: Callable[[Slot], None]
    order: Order = fair_then_earliest
    shares: FairShares = field(default_factory=FairShares)
    waiting: list[Waiter[Slot]] = field(default_factory=list)
    sequence: itertools.count[int] = field(default_factory=itertools.count)

    async def acquire(
        self, ticket: Ticket, try_acquire: Callable[[], Slot | None]
    ) -> Slot:
        """Return a slot, waiting for one if necessary.

        `try_acquire` returns a slot that suits this call, or None; it is called only
        when a slot may be free.

        Raises
        ------
        CuminstileError
            With `OVERLOADED` if too many calls wait, with `DEADLINE_PASSED` once the
            call cannot start in time; the call was not run.
        """
        waiter = Waiter(ticket, next(self.sequence), try_acquire)
        self.add_waiter(waiter)
        self.notify()
        self.evict_excess()
        try:
            if not waiter.done.is_set():
                await self.wait(waiter)
        except BaseException:
            self.remove_waiter(waiter)
            if waiter.slot is not None:
                self.release(waiter.slot)
            raise
        if waiter.slot is None:
            raise waiter.refusal or deadline_error()
        return waiter.slot

    def notify(self) -> None:
        """Grant the slots that may be free now.

        Calls for which no free slot is suitable are skipped, up to `MAX_SKIPPED_CALLS`.
        """
        skipped: set[int] = set()
        while len(skipped) <= MAX_SKIPPED_CALLS:
            waiter = self.next_waiter(skipped)
            if waiter is None:
                return
            if self.clock.now_ms() > waiter.ticket.start_by_ms:
                self.refuse(waiter, deadline_error())
                continue
            slot = waiter.try_acquire()
            if slot is None:
                skipped.add(waiter.sequence)
                continue
            self.grant(waiter, slot)

    def next_waiter(self, skipped: set[int]) -> Waiter[Slot] | None:
        """Return the call to serve next, or None."""
        return min(
            (item for item in self.waiting if item.sequence not in skipped),
            key=self.rank,
            default=None,
        )

    def rank(self, waiter: Waiter[Slot]) -> tuple[float, ...]:
        """Return the sort key of a waiting call."""
        return self.order(self.shares, waiter.ticket, waiter.sequence)

    def add_waiter(self, waiter: Waiter[Slot]) -> None:
        """Add a call to the queue."""
        organisation = waiter.ticket.organisation
        active = {item.ticket.organisation for item in self.waiting}
        if organisation not in active:
            self.shares.drop_idle(active)
            self.shares.activate(organisation)
        self.waiting.append(waiter)

    def remove_waiter(self, waiter: Waiter[Slot]) -> None:
        """Remove a call from the queue, if it is in it."""
        if waiter in self.waiting:
            self.waiting.remove(waiter)

    def grant(self, waiter: Waiter[Slot], slot: Slot) -> None:
        """Grant a slot to a call and charge its organisation."""
        self.remove_waiter(waiter)
        self.shares.charge(waiter.ticket)
        waiter.slot = slot
        waiter.done.set()

    def refuse(self, waiter: Waiter[Slot], error: CuminstileError) -> None:
        """Refuse a waiting call."""
        self.remove_waiter(waiter)
        waiter.refusal = error
        waiter.done.set()

    def evict_excess(self) -> None:
        """Refuse calls until at most `max_length` wait."""
        while len(self.waiting) > self.max_length:
            self.refuse(self.eviction_candidate(), overloaded_error())

    def eviction_candidate(self) -> Waiter[Slot]:
        """Return the last call of the organisation with most waiting for its weight."""
        counts: dict[str, float] = {}
        for item in self.waiting:
            ticket = item.ticket
            share = counts.get(ticket.organisation, 0.0) + 1.0 / ticket.weight
            counts[ticket.organisation] = share
        largest = max(counts, key=lambda name: counts[name])
        own = (item for item in self.waiting if item.ticket.organisation == largest)
        return max(own, key=self.rank)

    async def wait(self, waiter: Waiter[Slot]) -> None:
        """Wait until a call is granted a slot or refused."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.expire, waiter)
            await waiter.done.wait()
            tasks.cancel_scope.cancel()

    async def expire(self, waiter: Waiter[Slot]) -> None:
        """Refuse a call at its latest start time if it still waits then."""
        await self.clock.sleep_ms(waiter.ticket.start_by_ms - self.clock.now_ms())
        if not waiter.done.is_set():
            self.refuse(waiter, deadline_error())


def deadline_error() -> CuminstileError:
    """Return the error for a call that cannot start in time."""
    return CuminstileError(
        ErrorCode.DEADLINE_PASSED,
        "no upstream had a free slot in time",
    )


def overloaded_error() -> CuminstileError:
    """Return the error for a call that the full queue refuses."""
    return CuminstileError(
        ErrorCode.OVERLOADED, "the queue for upstreams of this stage is full"
    )

"""Test cuminstile.queueing."""

import random
from dataclasses import dataclass, field

import anyio
import pytest

from cuminstile.clock import VirtualClock, settle
from cuminstile.exceptions import CuminstileError, ErrorCode, RunStatus
from cuminstile.queueing import (
    MAX_IDLE_SHARES,
    Order,
    Ticket,
    WaitQueue,
    fair_then_earliest,
    first_come,
)

FAR_MS = 1e9


@dataclass
class Bench:
    """A wait queue with a few equal slots; records which calls got one."""

    free: int
    order: Order = fair_then_earliest
    max_length: int = 10_000
    clock: VirtualClock = field(default_factory=VirtualClock)
    granted: list[str] = field(default_factory=list)
    refused: list[tuple[str, CuminstileError]] = field(default_factory=list)
    tries: int = 0
    wait_queue: WaitQueue[str] = field(init=False)

    def __post_init__(self) -> None:
        self.wait_queue = WaitQueue(
            self.clock, self.max_length, self.release, self.order
        )

    def try_acquire(self) -> str | None:
        """Return a slot if one is free."""
        self.tries += 1
        if not self.free:
            return None
        self.free -= 1
        return "slot"

    def release(self, slot: str) -> None:
        """Release a slot and notify the queue."""
        self.free += 1
        self.wait_queue.notify()

    async def call(self, name: str, ticket: Ticket) -> None:
        """Wait for a slot, hold it for the ticket's work and record the result."""
        try:
            slot = await self.wait_queue.acquire(ticket, self.try_acquire)
        except CuminstileError as error:
            self.refused.append((name, error))
            return
        self.granted.append(name)
        await self.clock.sleep_ms(ticket.work_ms)
        self.release(slot)


async def run(bench: Bench, tickets: list[tuple[str, Ticket]], total_ms: float) -> None:
    async with anyio.create_task_group() as tasks:
        for name, ticket in tickets:
            tasks.start_soon(bench.call, name, ticket)
        await settle()
        await bench.clock.advance_ms(total_ms)
        tasks.cancel_scope.cancel()


async def test_earliest_deadline_is_first_within_an_organisation() -> None:
    bench = Bench(free=0)
    tickets = [(str(at), Ticket("a", 1, float(at), 1.0)) for at in (300, 100, 200)]
    async with anyio.create_task_group() as tasks:
        for name, ticket in tickets:
            tasks.start_soon(bench.call, name, ticket)
        await settle()
        bench.release("slot")
        await settle()
        await bench.clock.advance_ms(10.0)
    assert bench.granted == ["100", "200", "300"]


@pytest.mark.parametrize("seed", range(5))
async def test_organisations_share_work_by_weight_not_by_calls(seed: int) -> None:
    shuffled = random.Random(seed)
    bench = Bench(free=2)
    tickets = [("large", Ticket("large", 1, FAR_MS, 10.0))] * 400
    tickets += [("small", Ticket("small", 2, FAR_MS, 40.0))] * 100
    shuffled.shuffle(tickets)
    await run(bench, tickets, 1_000.0)
    large_ms = bench.granted.count("large") * 10.0
    small_ms = bench.granted.count("small") * 40.0
    assert small_ms / large_ms == pytest.approx(2.0, rel=0.15)


async def test_an_idle_organisation_accumulates_no_credit() -> None:
    bench = Bench(free=1)
    busy = [("a", Ticket("a", 1, FAR_MS, 10.0))] * 100
    late_comers = [("b", Ticket("b", 1, FAR_MS, 10.0))] * 40
    async with anyio.create_task_group() as tasks:
        for name, ticket in busy:
            tasks.start_soon(bench.call, name, ticket)
        await settle()
        await bench.clock.advance_ms(500.0)
        for name, ticket in late_comers:
            tasks.start_soon(bench.call, name, ticket)
        await settle()
        before = len(bench.granted)
        await bench.clock.advance_ms(200.0)
        tasks.cancel_scope.cancel()
    after = bench.granted[before:]
    assert abs(after.count("a") - after.count("b")) <= 1


async def test_a_burst_evicts_its_own_calls_first() -> None:
    bench = Bench(free=0, max_length=10)
    burst = [("large", Ticket("large", 1, FAR_MS + at, 1.0)) for at in range(50)]
    async with anyio.create_task_group() as tasks:
        for name, ticket in burst:
            tasks.start_soon(bench.call, name, ticket)
        await settle()
        tasks.start_soon(bench.call, "small", Ticket("small", 1, FAR_MS, 1.0))
        await settle()
        waiting = [item.ticket.organisation for item in bench.wait_queue.waiting]
        tasks.cancel_scope.cancel()
    assert len(waiting) == 10
    assert waiting.count("small") == 1
    assert {error.code for _, error in bench.refused} == {ErrorCode.OVERLOADED}
    assert {error.ran for _, error in bench.refused} == {RunStatus.NOT_RUN}


async def test_first_come_lets_a_burst_hold_up_the_others() -> None:
    for order, place in ((first_come, 30), (fair_then_earliest, 2)):
        bench = Bench(free=1, order=order)
        tickets = [("large", Ticket("large", 1, FAR_MS, 1.0))] * 30
        tickets.append(("small", Ticket("small", 1, FAR_MS, 1.0)))
        await run(bench, tickets, 100.0)
        assert bench.granted.index("small") == pytest.approx(place, abs=1)


async def test_a_call_that_cannot_be_in_time_is_refused_at_that_moment() -> None:
    bench = Bench(free=0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(bench.call, "a", Ticket("a", 1, 50.0, 1.0))
        await settle()
        await bench.clock.advance_ms(49.0)
        assert not bench.refused
        await bench.clock.advance_ms(1.0)
        assert [error.code for _, error in bench.refused] == [ErrorCode.DEADLINE_PASSED]
    assert not bench.wait_queue.waiting


async def test_a_slot_granted_to_a_cancelled_call_goes_to_the_next() -> None:
    bench = Bench(free=0)
    async with anyio.create_task_group() as tasks:
        scope = anyio.CancelScope()

        async def cancelled() -> None:
            with scope:
                await bench.call("cancelled", Ticket("a", 1, 1_000.0, 1.0))

        tasks.start_soon(cancelled)
        await settle()
        tasks.start_soon(bench.call, "next", Ticket("a", 1, 2_000.0, 1.0))
        await settle()
        bench.free += 1
        bench.wait_queue.notify()
        scope.cancel()
        await settle()
        await bench.clock.advance_ms(10.0)
        tasks.cancel_scope.cancel()
    assert bench.granted == ["next"]
    assert bench.free == 1


async def test_a_cancelled_waiting_call_leaves_the_queue() -> None:
    bench = Bench(free=0)
    with anyio.move_on_after(0.01):
        await bench.call("a", Ticket("a", 1, 1_000.0, 1.0))
    assert not bench.wait_queue.waiting


async def test_a_call_that_no_free_slot_suits_does_not_hold_up_the_next() -> None:
    bench = Bench(free=0)
    async with anyio.create_task_group() as tasks:

        async def acquire_nothing() -> None:
            await bench.wait_queue.acquire(Ticket("a", 1, 10.0, 1.0), lambda: None)

        async def refused() -> None:
            with pytest.raises(CuminstileError):
                await acquire_nothing()

        tasks.start_soon(refused)
        tasks.start_soon(bench.call, "next", Ticket("a", 1, 2_000.0, 1.0))
        await settle()
        bench.release("slot")
        await settle()
        assert bench.granted == ["next"]
        await bench.clock.advance_ms(20.0)


async def test_no_slot_is_tried_while_none_is_released() -> None:
    bench = Bench(free=0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(bench.call, "a", Ticket("a", 1, FAR_MS, 1.0))
        await settle()
        await bench.clock.advance_ms(10_000.0)
        tasks.cancel_scope.cancel()
    assert bench.tries == 1


async def test_idle_organisations_are_forgotten() -> None:
    bench = Bench(free=1)
    for number in range(3 * MAX_IDLE_SHARES):
        ticket = Ticket(f"o{number}", 1, FAR_MS, 1.0)
        slot = await bench.wait_queue.acquire(ticket, bench.try_acquire)
        bench.release(slot)
    assert len(bench.wait_queue.shares.used_ms) <= MAX_IDLE_SHARES + 1

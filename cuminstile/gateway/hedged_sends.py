"""Send a request to a second upstream while the first one has not answered yet."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

from ..events import Event
from ..hedging.timing import second_send_after_ms
from .choosing import preferred_upstream
from .crash_guard import is_suspected
from .model import RouteKind
from .refusals import Refusal
from .send_state import Call, Outcome, Progress, Race, Send
from .state import Gateway
from .upstreams import UpstreamState, slot_usage

SendTo = Callable[[UpstreamState, Race | None], Coroutine[None, None, Send]]


async def send_hedged(
    vm: Gateway, call: Call, progress: Progress, state: UpstreamState, send_to: SendTo
) -> Send:
    """Send a request, a second time if that is likelier to be in time.

    Returns the send that answered the caller, or the last one that failed. When this
    function ends, no other send of the request is in progress.

    Parameters
    ----------
    send_to : callable
        Sends the request to an upstream, in a race with another send or alone.
    """
    began_ms = vm.clock.now_ms()
    after_ms = hedge_after_ms(vm, call, progress)
    if after_ms is None:
        send = await send_to(state, None)
        record_time(vm, call, send, began_ms)
        return send
    race = Race()
    try:
        first = begin(race, send_to, state)
        await asyncio.wait({first}, timeout=after_ms / 1000.0)
        second_began_ms = vm.clock.now_ms()
        answered = first.done() or race.winner is not None
        other = None if answered else hedge_upstream(vm, call, progress, state)
        if other is None:
            send = await first
            record_time(vm, call, send, began_ms)
            return send
        record_hedge(vm, call, state, other, after_ms)
        begin(race, send_to, other)
        send = await first_answer(race)
        record_end(vm, call, race, (began_ms, second_began_ms), send)
        return send
    finally:
        for task in race.tasks:
            task.cancel()
        await asyncio.gather(*race.tasks, return_exceptions=True)


def begin(race: Race, send_to: SendTo, state: UpstreamState) -> asyncio.Task[Send]:
    """Begin one send of a race."""
    task = asyncio.get_running_loop().create_task(send_to(state, race))
    race.tasks.append(task)
    return task


async def first_answer(race: Race) -> Send:
    """Return the send that answers the caller, or one that failed if none does.

    Of two that failed it is the one that crashed its upstream, else the last one. A
    send that is refused leaves the other to answer, and says nothing of one that ran.

    Raises
    ------
    Refusal
        If the request may not be sent any more.
    """
    failed: list[Send] = []
    refusals: list[Refusal] = []
    waiting = set(race.tasks)
    while waiting:
        done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        if race.winner is not None:
            return await race.winner
        for task in done:
            try:
                failed.append(task.result())
            except Refusal as refusal:
                refusals.append(refusal)
    if not failed:
        raise refusals[0]
    return next((send for send in failed if send.crashed), failed[-1])


def hedge_after_ms(vm: Gateway, call: Call, progress: Progress) -> float | None:
    """Return how long after its first send a request is sent again, None for never."""
    times = vm.hedging.times.get(call.route.name)
    if (
        times is None
        or not vm.hedging.is_on
        or not call.route.repeatable
        or call.route.max_attempts < 2
        or progress.sends
        or progress.answer.begun
        or is_suspected(vm, call)
    ):
        return None
    return second_send_after_ms(times, call.target_at_ms - vm.clock.now_ms())


def hedge_upstream(
    vm: Gateway, call: Call, progress: Progress, first: UpstreamState
) -> UpstreamState | None:
    """Return the upstream for a second send, None if it is outside the limits.

    The common budget for retries counts it too, as upstreams can't tell them apart.
    """
    now_ms, service = vm.clock.now_ms(), call.service.name
    if not vm.hedging.may_hedge(service, used_share(vm, service, now_ms), now_ms):
        return None
    if is_suspected(vm, call):
        return None
    other = preferred_upstream(
        vm, call, progress.results, progress.tried | {first.info.id}
    )
    if other is None or not is_quick(other, now_ms):
        return None
    if not vm.retries.acquire(service, vm.vm_count(), now_ms):
        return None
    vm.hedging.record_hedge(service, now_ms)
    return other


def is_quick(state: UpstreamState, now_ms: float) -> bool:
    """Return whether nothing is known that would slow an upstream's answer."""
    not_before_ms = max(
        state.cold_until_ms, state.ejected_until_ms, state.busy_until_ms
    )
    return now_ms >= not_before_ms and not state.unconfirmed and not state.failures


def used_share(vm: Gateway, service: str, now_ms: float) -> float:
    """Return the share of a service's slots that is in use, 1 if it has none."""
    states = vm.table.open(service, now_ms)
    slots = sum(max(1, state.info.slots) for state in states)
    used = sum(slot_usage(state, now_ms) * max(1, state.info.slots) for state in states)
    return used / slots if slots else 1.0


def record_time(vm: Gateway, call: Call, send: Send, began_ms: float) -> None:
    """Record how long the first event, or else the whole answer, took."""
    if send.outcome is Outcome.FORWARDED or send.events_since_ms:
        end_ms = vm.clock.now_ms()
        if call.route.kind is RouteKind.STREAM and send.events_since_ms:
            end_ms = send.events_since_ms
        vm.hedging.record_time(call.route.name, end_ms - began_ms)


def record_hedge(
    vm: Gateway, call: Call, first: UpstreamState, other: UpstreamState, after_ms: float
) -> None:
    """Log that a request is sent a second time."""
    vm.journal.record(
        Event.REQUEST_HEDGED,
        request=call.fields.attempt_id,
        route=call.route.name,
        upstream=first.info.id,
        other=other.info.id,
        after_ms=round(after_ms),
        target_ms=round(call.target_at_ms - call.request.arrived_ms),
    )


def record_end(
    vm: Gateway,
    call: Call,
    race: Race,
    began_ms: tuple[float, float],
    send: Send,
) -> None:
    """Count which of two sends answered, and the time that the other one took.

    Parameters
    ----------
    began_ms : tuple of float
        When each send began, in monotonic ms.
    """
    now_ms = vm.clock.now_ms()
    labels = {"service": call.service.name}
    if race.winner is None:
        vm.metrics.hedges_total.inc({**labels, "result": "failed"})
        return
    won = race.tasks.index(race.winner)
    vm.metrics.hedges_total.inc({**labels, "result": "won" if won else "lost"})
    record_time(vm, call, send, began_ms[won])
    if not race.cancelled:
        return
    answered_ms = send.events_since_ms or now_ms
    wasted_ms = max(0.0, answered_ms - began_ms[1 - won])
    vm.hedging.record_time(call.route.name, wasted_ms)
    vm.metrics.hedge_wasted_ms_total.add(labels, wasted_ms)

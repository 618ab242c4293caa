"""Send a request to upstreams until it is answered, with retries where allowed."""

from __future__ import annotations

import asyncio
from functools import partial

from ..crash_limits import Suspicion
from ..events import Event
from ..shutdown.in_progress import Phase
from .chain import Result
from .choosing import acquire_upstream
from .crash_evidence import is_gone
from .crash_guard import (
    begin_send,
    end_send,
    refuse_quarantined,
    suspicion_of,
    wait_for_trial,
)
from .hedged_sends import send_hedged
from .refusals import Refusal, correct_refusal, no_upstream, out_of_time, shut_down
from .send_state import Call, Outcome, Progress, Race, Send, SendEnd
from .sending import record_upstream_failure, send_with_timeout
from .staged_results import free_results
from .staged_work import results_for
from .state import Gateway
from .upstream_checks import has_ended
from .upstreams import UpstreamState

MAX_SENDS = 4
"""Maximum sends of one request, including those that provably did not run."""
FIRST_ATTEMPT_SHARE = 0.5
"""Share of the time left that an attempt may take if another one can follow."""


class StreamBrokenError(Exception):
    """An answer broke off after its head was sent to the caller."""


async def send_until_answered(vm: Gateway, call: Call, progress: Progress) -> None:
    """Send a request until it is answered, with retries where allowed.

    Raises
    ------
    Refusal
        If no upstream answers the request.
    StreamBrokenError
        If its answer breaks off; the caller's connection is then closed.
    """
    try:
        await run_send_loop(vm, call, progress)
    except Refusal as refusal:
        if progress.answer.begun:
            raise StreamBrokenError(f"{progress.detail}; {refusal.message}") from None
        raise correct_refusal(refusal, progress.runs > 0) from None


async def run_send_loop(vm: Gateway, call: Call, progress: Progress) -> None:
    """Send a request until it is answered; errors as in `send_until_answered`."""
    while True:
        left_ms = call.expires_at_ms - vm.clock.now_ms()
        if left_ms <= 0:
            raise out_of_time(progress.runs > 0)
        await wait_for_trial(vm, call)
        refuse_quarantined(vm, call)
        if not can_be_whole(vm, call, progress):
            if not progress.runs:
                raise shut_down(maybe_ran=False)
            await end_unanswered(vm, call, progress)
            return
        if progress.runs and not progress.results:
            progress.results = await recompute_results(vm, call, progress)
        state = next_upstream(vm, call, progress)
        if state is None:
            await end_unanswered(vm, call, progress)
            return
        send_to_one = partial(send_to, vm, call, progress)
        send = await send_hedged(vm, call, progress, state, send_to_one)
        if send.outcome is Outcome.FORWARDED:
            return
        if send.outcome is Outcome.INPUT_GONE and not progress.recomputed:
            await replace_lost_results(vm, call, progress)
        elif ended_with_suspicion(vm, call, send) or not can_send_again(
            call, progress, send
        ):
            await end_unanswered(vm, call, progress)
            return


def can_be_whole(vm: Gateway, call: Call, progress: Progress) -> bool:
    """Return whether an answer to a send can be whole before the VM shuts down.

    What callers have got of a stream is worth most if it goes on as long as it can.
    """
    if vm.shutdown is None or progress.answer.begun:
        return True
    usual_ms = vm.answer_times.usual_ms(call.route.name)
    return vm.clock.now_ms() + usual_ms < vm.shutdown.answer_by_ms


def next_upstream(vm: Gateway, call: Call, progress: Progress) -> UpstreamState | None:
    """Return the upstream for the next send, None if no send is possible or allowed."""
    state = acquire_upstream(vm, call, progress.results, progress.tried)
    if state is None or not progress.sends:
        return state
    now_ms = vm.clock.now_ms()
    if vm.retries.acquire(call.service.name, vm.vm_count(), now_ms):
        return state
    return None


async def send_to(
    vm: Gateway,
    call: Call,
    progress: Progress,
    state: UpstreamState,
    race: Race | None = None,
) -> Send:
    """Send a request to an upstream and record the outcome."""
    record_resumption(vm, call, progress, state)
    on_trial = begin_send(vm, call)
    began_ms = vm.clock.now_ms()
    call.progress.enter(Phase.UPSTREAM, state.info.id, began_ms)
    send = Send(
        progress.answer,
        vm.table.age(vm.clock.now_ms()),
        on_running=lambda: free_inputs(vm, progress),
        race=race,
    )
    inputs = tuple(result.handle for result in progress.results)
    left_ms = max(1.0, call.expires_at_ms - began_ms)
    others = race.others_in_progress() if race else 0
    limit_ms = attempt_timeout_ms(vm, call, progress, left_ms, others)
    try:
        await send_with_timeout(vm, call, state, inputs, send, limit_ms)
        if send.crashed and on_trial:
            send.crashed = await has_ended(vm.crash_guard, vm.table, vm.clock, state)
    except asyncio.CancelledError:
        # The request may have run there before another send answered it.
        progress.sends += send.sent
        progress.runs += send.sent
        raise
    finally:
        send.crashed |= send.outcome is Outcome.UNKNOWN and is_gone(vm, state)
        ran = send.outcome in (Outcome.FORWARDED, Outcome.FAILED)
        end = SendEnd(
            call,
            state,
            crashed=send.crashed,
            ran=ran,
            trial=on_trial,
            ran_long=send.runs_long(vm.clock),
            unframed=send.unframed,
            took_ms=vm.clock.now_ms() - began_ms,
        )
        end_send(vm, end)
    record_send(vm, call, state, send)
    record_upstream_failure(vm, call, state, send)
    progress.tried.add(state.info.id)
    progress.sends += send.sent
    progress.detail = send.detail
    if send.outcome in (Outcome.UNKNOWN, Outcome.FAILED):
        progress.runs += 1
        progress.failure = send.failure
    return send


async def replace_lost_results(vm: Gateway, call: Call, progress: Progress) -> None:
    """Recompute the stages because a result was lost.

    Raises
    ------
    Refusal
        If the stages can't be completed in time.
    """
    progress.recomputed = True
    progress.tried.clear()
    free_results(vm, progress.results)
    progress.results = ()
    progress.results = await recompute_results(vm, call, progress)


async def recompute_results(
    vm: Gateway, call: Call, progress: Progress
) -> tuple[Result, ...]:
    """Recompute the stages for another send and return their results.

    Raises
    ------
    Refusal
        If the stages can't be completed in time.
    """
    begun = progress.answer.begun
    since_ms = vm.clock.now_ms() if begun else call.request.arrived_ms
    return await results_for(vm, call, True, since_ms)


def ended_with_suspicion(vm: Gateway, call: Call, send: Send) -> bool:
    """Return whether a send crashed its upstream and the request is suspected of it."""
    suspicion = suspicion_of(vm, call.digest, call.service.name)
    return send.crashed and suspicion is not Suspicion.NONE


def free_inputs(vm: Gateway, progress: Progress) -> None:
    """Free the inputs of a request that has started; another run recomputes them.

    The result memory limits the throughput of the stages, and few streams break off.
    """
    free_results(vm, progress.results)
    progress.results = ()


def attempt_timeout_ms(
    vm: Gateway, call: Call, progress: Progress, left_ms: float, others: int = 0
) -> float:
    """Return the timeout of the next send; a stream only has to begin by then.

    The timeout is shorter than the time left if another send can follow: the route
    allows it, another upstream is usable and the retry budget is not used up.

    Parameters
    ----------
    others : int
        Sends of the request that are in progress.
    """
    service = call.service.name
    left_out = len(progress.tried) + 1 + others
    if (
        not call.route.repeatable
        or progress.runs + others + 1 >= call.route.max_attempts
        or len(vm.table.open(service, vm.clock.now_ms())) <= left_out
        or vm.retries.remaining(service, vm.vm_count(), vm.clock.now_ms()) < 1
    ):
        return left_ms
    return max(left_ms * FIRST_ATTEMPT_SHARE, min(left_ms, call.route.target_ms))


def can_send_again(call: Call, progress: Progress, send: Send) -> bool:
    """Return whether a request may be sent to another upstream after a send."""
    if progress.sends >= MAX_SENDS or len(progress.tried) > 2 * MAX_SENDS:
        return False
    if send.outcome in (Outcome.UNSENT, Outcome.NOT_RUN):
        return True
    if send.outcome is Outcome.INPUT_GONE:
        return False
    return (
        call.route.repeatable
        and progress.answer.resumable
        and progress.runs < call.route.max_attempts
    )


async def end_unanswered(vm: Gateway, call: Call, progress: Progress) -> None:
    """Forward the last failure that an upstream returned, or refuse the request.

    Raises
    ------
    Refusal
        If no upstream returned a failure.
    StreamBrokenError
        If the answer has begun.
    """
    if progress.answer.begun:
        raise StreamBrokenError(progress.detail)
    failure = progress.failure
    if failure is None:
        opens_in_ms = vm.table.opens_in_ms(call.service.name, vm.clock.now_ms())
        raise no_upstream(progress.runs > 0, opens_in_ms)
    progress.answer.begun = True
    await call.out.write_answer(failure.status, failure.headers, failure.body)
    vm.metrics.requests_total.inc({"route": call.route.name, "result": "failed"})


def record_resumption(
    vm: Gateway, call: Call, progress: Progress, state: UpstreamState
) -> None:
    """Log that another upstream resumes a stream."""
    if progress.answer.begun:
        vm.journal.record(
            Event.STREAM_RESUMED,
            request=call.fields.attempt_id,
            upstream=state.info.id,
            last_event=progress.answer.last_event,
            reason=progress.detail,
        )


def record_send(vm: Gateway, call: Call, state: UpstreamState, send: Send) -> None:
    """Log and count one send."""
    vm.metrics.sends_total.inc(
        {"service": call.service.name, "result": send.outcome.value}
    )
    vm.journal.record(
        Event.REQUEST_SENT,
        request=call.fields.attempt_id,
        route=call.route.name,
        upstream=state.info.id,
        zone=state.info.data_centre,
        in_flight=state.in_flight,
        slowness=round(state.estimate.slowness(vm.clock.now_ms()), 2),
        first_ms=round(send.first_ms, 1),
        list_version=send.chosen_by.version,
        list_age_ms=send.chosen_by.age_ms,
        outcome=send.outcome.value,
        nth_request=send.nth_request,
        detail=send.detail,
        at_ms=round(vm.clock.now_ms() - call.request.arrived_ms, 1),
        target_ms=round(call.target_at_ms - call.request.arrived_ms),
    )
    if send.outcome is Outcome.FORWARDED:
        took_ms = vm.clock.now_ms() - call.request.arrived_ms
        vm.metrics.request_ms.observe({"route": call.route.name}, took_ms)
        vm.metrics.requests_total.inc({"route": call.route.name, "result": "answered"})

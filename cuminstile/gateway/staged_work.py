"""Run the stages of one request before it is sent to an engine."""

from __future__ import annotations

import asyncio

from ..exceptions import ErrorCode
from ..shutdown.schedule import answer_by_ms
from ..shutdown.waits import ShutdownReachedError, limited_wait
from .accepting import next_event_by_ms
from .chain import ChainSpec, ChainStage, Result
from .choosing import preferred_upstream
from .crash_guard import quarantined
from .refusals import DEFAULT_RETRY_MS, Refusal, shut_down
from .send_state import Call
from .staged_results import ChainRefusedError, staged_results
from .staging import QUARANTINED
from .state import Gateway

ENGINE_BASE_MS = 80.0
"""Time from a request's arrival at an engine to its first token, without the time to
read the prompt."""
ENGINE_READ_MS_PER_TOKEN = 0.011
"""Time that an engine needs to read one prompt token."""


async def results_for(
    vm: Gateway, call: Call, recomputed: bool, since_ms: float
) -> tuple[Result, ...]:
    """Return the results that a request needs, none if it has no stages.

    Parameters
    ----------
    recomputed : bool
        Whether its stages ran before, and a result was lost or already used.
    since_ms : float
        Since when its caller waits for the next part of the answer, in monotonic ms.

    Raises
    ------
    Refusal
        If the stages can't be completed in time.
    """
    stages = stages_of(call)
    if not stages:
        return ()
    started_ms = vm.clock.now_ms()
    expires_ms = next_event_by_ms(call, since_ms)
    usual_ms = 0.0 if recomputed else vm.answer_times.usual_ms(call.route.name)
    spec = make_chain_spec(vm, call, stages, recomputed, expires_ms, usual_ms)
    left_ms = max(1.0, expires_ms - started_ms)
    try:
        async with (
            limited_wait(vm.clock, vm.in_progress, vm.shutdown, ahead_ms=usual_ms),
            asyncio.timeout(left_ms / 1000.0),
        ):
            results = await staged_results(vm, spec, recomputed, call.progress)
    except ChainRefusedError as error:
        if error.reason == QUARANTINED:
            raise quarantined(stages[0].service) from error
        retry_ms = error.retry_after_ms or DEFAULT_RETRY_MS
        raise Refusal(ErrorCode.OVERLOADED, error.reason, retry_ms) from error
    except ShutdownReachedError:
        raise shut_down(maybe_ran=False) from None
    except TimeoutError as error:
        raise Refusal(
            ErrorCode.DEADLINE_TOO_SHORT, "stages timed out", DEFAULT_RETRY_MS
        ) from error
    vm.metrics.staging_ms.observe({}, vm.clock.now_ms() - started_ms)
    return results


def stages_of(call: Call) -> tuple[ChainStage, ...]:
    """Return the stages that a request has work items for."""
    counts = call.fields.item_counts
    return tuple(
        ChainStage(
            number, stage.service, stage.after, counts[number], stage.result_bytes
        )
        for number, stage in enumerate(call.route.stages)
        if number < len(counts) and counts[number] > 0
    )


def make_chain_spec(
    vm: Gateway,
    call: Call,
    stages: tuple[ChainStage, ...],
    recomputed: bool,
    expires_ms: float,
    usual_ms: float,
) -> ChainSpec:
    """Return the specification of a request's staged work.

    While the VM shuts down it has to be ready so early that the answer can be whole
    before the end.

    Parameters
    ----------
    usual_ms : float
        How long the answer usually takes from the send of the request.
    """
    preferred = preferred_upstream(vm, call, (), ())
    engine_ms = ENGINE_BASE_MS + call.fields.prompt_tokens * ENGINE_READ_MS_PER_TOKEN
    rest_ms = max(0.0, usual_ms - engine_ms)
    expires_ms = min(expires_ms, answer_by_ms(vm.shutdown) - rest_ms)
    return ChainSpec(
        id=f"own:{id(call)}:{recomputed}:{vm.random.random()}",
        request_id=call.fields.attempt_id,
        key=call.fields.item_key,
        priority=call.priority,
        data_centre=preferred.info.data_centre if preferred else "",
        target_at_ms=call.target_at_ms,
        expires_at_ms=expires_ms,
        engine_ms=engine_ms,
        stages=stages,
        digest=call.digest,
    )

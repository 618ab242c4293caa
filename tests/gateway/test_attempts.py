"""Test when a request is sent again after an upstream is silent or breaks off."""

from typing import Any

import pytest

from cuminstile.clock import VirtualClock
from cuminstile.exceptions import HTTP_STATUS, ErrorCode
from cuminstile.gateway import attempts
from cuminstile.gateway.accepting import CLOSE_MARGIN_MS, next_event_by_ms
from cuminstile.gateway.attempts import (
    attempt_timeout_ms,
    can_be_whole,
    can_send_again,
    send_until_answered,
)
from cuminstile.gateway.event_stream import AnswerProgress
from cuminstile.gateway.http_server import Request
from cuminstile.gateway.model import RouteKind, Service
from cuminstile.gateway.refusals import Refusal, correct_refusal
from cuminstile.gateway.send_state import Call, Outcome, Progress, Send
from cuminstile.gateway.upstream_protocol import CallFields
from cuminstile.gateway.upstreams import UpstreamListAge
from cuminstile.shutdown.answer_times import MIN_TIMES
from cuminstile.shutdown.schedule import ANSWER_MARGIN_MS, shutdown_times

from .test_decisions import make_route
from .test_state import both, make_vm, one

pytestmark = pytest.mark.anyio
ARRIVED_MS = 100_000.0
LEFT_MS = 2_000.0
RESUMABLE = {"kind": RouteKind.STREAM, "resumable": True, "max_attempts": 2}
IDEMPOTENT = {"kind": RouteKind.IDEMPOTENT, "max_attempts": 2}


def make_call(**changes: Any) -> Call:
    request = Request(b"POST", b"/x", (), b"", ARRIVED_MS)
    return Call(
        request,
        None,  # type: ignore[arg-type]
        CallFields("a1", 6e3, None, 0, 0, (), (), ""),
        make_route("/x/", **changes),
        Service("s", 50),
        None,
        0,
        ARRIVED_MS + 500.0,
        ARRIVED_MS + 6_000.0,
    )


@pytest.mark.parametrize("route", [RESUMABLE, IDEMPOTENT])
def test_silent_upstream_gets_half_the_time_if_another_can_follow(
    route: dict[str, Any],
) -> None:
    vm = make_vm(VirtualClock(at_ms=ARRIVED_MS))
    vm.apply_upstreams(both(), 0.0)
    assert (
        attempt_timeout_ms(vm, make_call(**route), Progress(), LEFT_MS) == LEFT_MS / 2
    )


@pytest.mark.parametrize("route", [RESUMABLE, IDEMPOTENT])
def test_the_only_upstream_gets_all_the_time(route: dict[str, Any]) -> None:
    vm = make_vm(VirtualClock(at_ms=ARRIVED_MS))
    vm.apply_upstreams(one(), 0.0)
    assert attempt_timeout_ms(vm, make_call(**route), Progress(), LEFT_MS) == LEFT_MS


@pytest.mark.parametrize("route", [RESUMABLE, IDEMPOTENT])
def test_first_attempt_gets_all_the_time_without_retry_budget(
    route: dict[str, Any],
) -> None:
    vm = make_vm(VirtualClock(at_ms=ARRIVED_MS))
    vm.apply_upstreams(both(), 0.0)
    while vm.retries.acquire("s", vm.vm_count(), ARRIVED_MS):
        pass
    assert attempt_timeout_ms(vm, make_call(**route), Progress(), LEFT_MS) == LEFT_MS


def test_request_that_may_run_once_gets_all_the_time() -> None:
    vm = make_vm(VirtualClock(at_ms=ARRIVED_MS))
    vm.apply_upstreams(both(), 0.0)
    call = make_call(kind=RouteKind.STREAM, max_attempts=2)
    assert attempt_timeout_ms(vm, call, Progress(), LEFT_MS) == LEFT_MS


def test_timeout_of_a_stream_starts_at_its_last_event() -> None:
    call = make_call(event_timeout_ms=2_000.0)
    first_ms = next_event_by_ms(call, ARRIVED_MS)
    assert first_ms == ARRIVED_MS + 2_000.0 - CLOSE_MARGIN_MS
    assert next_event_by_ms(call, ARRIVED_MS + 3_000.0) == first_ms + 3_000.0
    assert next_event_by_ms(call, ARRIVED_MS + 5_500.0) == call.expires_at_ms


@pytest.mark.parametrize(
    ("route", "answer", "again"),
    [
        (RESUMABLE, AnswerProgress(), True),
        (RESUMABLE, AnswerProgress(begun=True, last_event="3"), True),
        (RESUMABLE, AnswerProgress(begun=True), False),
        ({"kind": RouteKind.STREAM, "max_attempts": 2}, AnswerProgress(), False),
        ({"kind": RouteKind.ONCE, "max_attempts": 2}, AnswerProgress(), False),
    ],
)
def test_request_that_may_have_run_is_retried_only_where_allowed(
    route: dict[str, Any], answer: AnswerProgress, again: bool
) -> None:
    progress = Progress(answer=answer, sends=1, runs=1)
    send = Send(answer, UpstreamListAge(1, 0.0), Outcome.UNKNOWN, sent=True)
    assert can_send_again(make_call(**route), progress, send) is again


@pytest.mark.parametrize("code", list(HTTP_STATUS))
def test_refusal_of_a_request_that_may_have_run_does_not_say_not_run(
    code: ErrorCode,
) -> None:
    refusal = Refusal(code, "no room", 300.0)
    assert correct_refusal(refusal, maybe_ran=False) is refusal
    corrected = correct_refusal(refusal, maybe_ran=True)
    assert HTTP_STATUS[corrected.code] not in {408, 421, 429, 503}
    assert corrected.message == refusal.message


async def test_failed_recomputation_of_results_is_no_proof_of_no_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def refuse(vm: Any, call: Call, progress: Progress) -> None:
        raise Refusal(ErrorCode.OVERLOADED, "overloaded", 300.0)

    monkeypatch.setattr(attempts, "run_send_loop", refuse)
    vm = make_vm(VirtualClock(at_ms=ARRIVED_MS))
    progress = Progress(sends=2, runs=1)
    with pytest.raises(Refusal) as raised:
        await send_until_answered(vm, make_call(**RESUMABLE), progress)
    assert raised.value.code is ErrorCode.UPSTREAM_FAILED


@pytest.mark.parametrize(
    ("usual_ms", "answer", "sent"),
    [
        (0.0, AnswerProgress(), True),
        (LEFT_MS - 1.0, AnswerProgress(), True),
        (LEFT_MS + 1.0, AnswerProgress(), False),
        (LEFT_MS + 1.0, AnswerProgress(begun=True, last_event="3"), True),
    ],
)
def test_request_is_sent_at_a_shutdown_only_if_its_answer_can_be_whole(
    usual_ms: float, answer: AnswerProgress, sent: bool
) -> None:
    vm = make_vm(VirtualClock(at_ms=ARRIVED_MS))
    call, progress = make_call(**RESUMABLE), Progress(answer=answer)
    for _ in range(MIN_TIMES if usual_ms else 0):
        vm.answer_times.record(call.route.name, usual_ms)
    assert can_be_whole(vm, call, progress)
    vm.shutdown = shutdown_times(ARRIVED_MS, LEFT_MS + ANSWER_MARGIN_MS)
    assert can_be_whole(vm, call, progress) is sent


def test_a_resumable_stream_runs_no_more_often_than_its_route_allows() -> None:
    answer = AnswerProgress(begun=True, last_event="3")
    progress = Progress(answer=answer, sends=2, runs=2)
    send = Send(answer, UpstreamListAge(1, 0.0), Outcome.UNKNOWN, sent=True)
    assert not can_send_again(make_call(**RESUMABLE), progress, send)

"""Test two sends of one request without a network: one answers, the other ends."""

import asyncio
from dataclasses import dataclass, field, replace
from typing import Any

import pytest

from cuminstile.clock import VirtualClock
from cuminstile.exceptions import ErrorCode
from cuminstile.gateway import hedged_sends
from cuminstile.gateway.event_stream import AnswerProgress
from cuminstile.gateway.hedged_sends import (
    first_answer,
    hedge_after_ms,
    hedge_upstream,
    record_time,
    send_hedged,
)
from cuminstile.gateway.model import RouteKind
from cuminstile.gateway.refusals import Refusal
from cuminstile.gateway.send_state import Outcome, Progress, Race, Send
from cuminstile.gateway.state import Gateway
from cuminstile.gateway.upstreams import UpstreamListAge, UpstreamState
from cuminstile.hedging.limits import HedgeLimits, Hedging

from .test_attempts import ARRIVED_MS, IDEMPOTENT, RESUMABLE, make_call
from .test_state import both, make_vm

pytestmark = pytest.mark.anyio
REFUSED = Refusal(ErrorCode.OVERLOADED, "a request like this runs on trial")


def make_hedging_vm(requests: int = 100) -> Gateway:
    """Return a VM that may hedge, and knows quick answers with a few slow ones."""
    vm = make_vm(VirtualClock(at_ms=ARRIVED_MS))
    vm.apply_upstreams(both(), 0.0)
    vm.hedging = Hedging(HedgeLimits(0.1))
    for number in range(requests):
        vm.hedging.record_request("s", ARRIVED_MS)
        vm.hedging.record_time("r", 2_000.0 if number % 20 == 0 else 50.0 + number / 10)
    return vm


def call_on(**route: Any) -> Any:
    call = make_call(**route)
    return replace(call, route=replace(call.route, name="r"))


@dataclass
class Upstreams:
    """How each upstream ends a send: at once, after an event, or never."""

    outcomes: dict[str, Outcome | Refusal]
    sent: list[str] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    answered: list[str] = field(default_factory=list)
    may_end: dict[str, asyncio.Event] = field(default_factory=dict)

    async def send_to(self, state: UpstreamState, race: Race | None) -> Send:
        """Send to one upstream, as `attempts.send_to` does."""
        name = state.info.id
        self.sent.append(name)
        send = Send(AnswerProgress(), UpstreamListAge(0, 0.0), sent=True)
        try:
            await self.may_end.setdefault(name, asyncio.Event()).wait()
            if self.outcomes[name] is Outcome.FORWARDED:
                if race is not None:
                    race.win()
                self.answered.append(name)
                await asyncio.sleep(0)
        except asyncio.CancelledError:
            self.cancelled.append(name)
            raise
        outcome = self.outcomes[name]
        if isinstance(outcome, Refusal):
            raise outcome
        send.outcome = outcome
        return send


async def race_of(
    monkeypatch: pytest.MonkeyPatch,
    outcomes: tuple[Outcome | Refusal, Outcome | Refusal],
    ends: list[str],
    pause_s: float = 0.01,
) -> tuple[Upstreams, Send]:
    """Hedge a request at once; let the upstreams end in an order."""
    monkeypatch.setattr(hedged_sends, "hedge_after_ms", lambda *_: 0.0)
    vm = make_hedging_vm()
    first, other = vm.table.states.values()
    names = (first.info.id, other.info.id)
    upstreams = Upstreams(dict(zip(names, outcomes, strict=True)))
    sending = asyncio.create_task(
        send_hedged(vm, call_on(**IDEMPOTENT), Progress(), first, upstreams.send_to)
    )
    while len(upstreams.may_end) < 2:
        await asyncio.sleep(0)
    for end in ends:
        upstreams.may_end[names[0] if end == "first" else names[1]].set()
        if end != ends[-1] and pause_s:
            await asyncio.sleep(pause_s)
    return upstreams, await sending


@pytest.mark.parametrize("quick", ["first", "other"])
async def test_first_answer_is_forwarded_and_the_other_send_cancelled(
    monkeypatch: pytest.MonkeyPatch, quick: str
) -> None:
    outcomes = (Outcome.FORWARDED, Outcome.FORWARDED)
    upstreams, send = await race_of(monkeypatch, outcomes, [quick])
    assert send.outcome is Outcome.FORWARDED
    assert len(upstreams.answered) == len(upstreams.cancelled) == 1
    assert set(upstreams.answered) | set(upstreams.cancelled) == set(upstreams.sent)


async def test_two_answers_at_the_same_moment_are_not_both_forwarded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    outcomes = (Outcome.FORWARDED, Outcome.FORWARDED)
    upstreams, send = await race_of(monkeypatch, outcomes, ["first", "other"])
    assert send.outcome is Outcome.FORWARDED
    assert len(upstreams.answered) == 1


async def test_failure_of_one_send_leaves_the_other_to_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    outcomes = (Outcome.FAILED, Outcome.FORWARDED)
    upstreams, send = await race_of(monkeypatch, outcomes, ["first", "other"])
    assert send.outcome is Outcome.FORWARDED
    assert upstreams.cancelled == []


# Guards against a second answer behind the first one.
@pytest.mark.parametrize("failure", [Outcome.NOT_RUN, Outcome.FAILED, Outcome.UNKNOWN])
@pytest.mark.parametrize("ends", [["first", "other"], ["other", "first"]])
async def test_answer_counts_if_the_other_send_fails_at_the_same_moment(
    monkeypatch: pytest.MonkeyPatch, failure: Outcome, ends: list[str]
) -> None:
    for _ in range(20):
        outcomes = (failure, Outcome.FORWARDED)
        _, send = await race_of(monkeypatch, outcomes, ends, pause_s=0.0)
        assert send.outcome is Outcome.FORWARDED


async def test_refusal_of_one_send_leaves_the_other_to_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    outcomes = (Outcome.FORWARDED, REFUSED)
    upstreams, send = await race_of(monkeypatch, outcomes, ["other", "first"])
    assert send.outcome is Outcome.FORWARDED
    assert upstreams.cancelled == []


async def test_request_that_may_have_run_is_not_refused_as_its_other_send_is(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    outcomes = (Outcome.FAILED, REFUSED)
    for ends in (["other", "first"], ["first", "other"]):
        _, send = await race_of(monkeypatch, outcomes, ends)
        assert send.outcome is Outcome.FAILED


async def test_request_whose_sends_are_both_refused_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with pytest.raises(Refusal):
        await race_of(monkeypatch, (REFUSED, REFUSED), ["first", "other"])


async def test_request_that_crashed_one_upstream_counts_as_crashing() -> None:
    async def end_at_once(send: Send) -> Send:
        return send

    age = UpstreamListAge(0, 0.0)
    crashed = Send(AnswerProgress(), age, Outcome.UNKNOWN, crashed=True)
    failed = Send(AnswerProgress(), age, Outcome.FAILED)
    for sends in ((crashed, failed), (failed, crashed)):
        tasks = [asyncio.create_task(end_at_once(send)) for send in sends]
        assert await first_answer(Race(tasks)) is crashed


async def test_request_whose_two_sends_fail_has_failed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    outcomes = (Outcome.FAILED, Outcome.UNKNOWN)
    _, send = await race_of(monkeypatch, outcomes, ["other", "first"])
    assert send.outcome is Outcome.FAILED


async def test_caller_that_leaves_ends_both_sends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(hedged_sends, "hedge_after_ms", lambda *_: 0.0)
    vm = make_hedging_vm()
    first, _ = vm.table.states.values()
    upstreams = Upstreams({})
    sending = asyncio.create_task(
        send_hedged(vm, call_on(**IDEMPOTENT), Progress(), first, upstreams.send_to)
    )
    while len(upstreams.may_end) < 2:
        await asyncio.sleep(0)
    sending.cancel()
    with pytest.raises(asyncio.CancelledError):
        await sending
    assert sorted(upstreams.cancelled) == sorted(upstreams.sent)


@pytest.mark.parametrize("route", [RESUMABLE, IDEMPOTENT])
def test_request_that_may_be_repeated_is_sent_again_after_the_usual_time(
    route: dict[str, Any],
) -> None:
    after_ms = hedge_after_ms(make_hedging_vm(), call_on(**route), Progress())
    assert after_ms is not None
    assert 50.0 < after_ms < 500.0


@pytest.mark.parametrize(
    ("route", "progress"),
    [
        ({"kind": RouteKind.ONCE, "max_attempts": 2}, Progress()),
        ({"kind": RouteKind.STREAM, "max_attempts": 2}, Progress()),
        ({"kind": RouteKind.IDEMPOTENT, "max_attempts": 1}, Progress()),
        (IDEMPOTENT, Progress(sends=1)),
        (RESUMABLE, Progress(answer=AnswerProgress(begun=True, last_event="3"))),
    ],
)
def test_other_requests_are_not_hedged(
    route: dict[str, Any], progress: Progress
) -> None:
    assert hedge_after_ms(make_hedging_vm(), call_on(**route), progress) is None


def fill(vm: Gateway, state: UpstreamState) -> None:
    for one in vm.table.states.values():
        one.in_flight = one.info.slots


def spend_retries(vm: Gateway, state: UpstreamState) -> None:
    while vm.retries.acquire("s", vm.vm_count(), ARRIVED_MS):
        pass


@pytest.mark.parametrize(
    "spoil",
    [
        fill,
        spend_retries,
        lambda vm, state: setattr(state, "cold_until_ms", ARRIVED_MS + 1.0),
        lambda vm, state: setattr(state, "ejected_until_ms", ARRIVED_MS + 1.0),
        lambda vm, state: setattr(state, "busy_until_ms", ARRIVED_MS + 1.0),
        lambda vm, state: setattr(state, "failures", 1),
        lambda vm, state: vm.table.record_left(state.process, ARRIVED_MS),
        lambda vm, state: vm.table.record_closed(state.process, ARRIVED_MS + 1.0),
        lambda vm, state: setattr(vm.hedging, "limits", HedgeLimits(0.0)),
    ],
)
def test_no_second_send_to_an_upstream_that_would_not_be_quicker(spoil: Any) -> None:
    vm = make_hedging_vm()
    first, other = vm.table.states.values()
    spoil(vm, other)
    assert hedge_upstream(vm, call_on(**IDEMPOTENT), Progress(), first) is None


def test_no_second_send_to_an_upstream_that_did_not_serve_the_request() -> None:
    vm = make_hedging_vm()
    first, other = vm.table.states.values()
    progress = Progress(tried={other.info.id})
    assert hedge_upstream(vm, call_on(**IDEMPOTENT), progress, first) is None


def test_time_of_a_stream_without_events_is_that_of_its_end() -> None:
    vm = make_hedging_vm(0)
    send = Send(AnswerProgress(), UpstreamListAge(0, 0.0), Outcome.FORWARDED)
    record_time(vm, call_on(**RESUMABLE), send, ARRIVED_MS - 70.0)
    assert vm.hedging.times["r"].ordered == [70.0]


def test_second_send_goes_to_the_other_upstream_and_counts_as_a_retry() -> None:
    vm = make_hedging_vm()
    first, other = vm.table.states.values()
    before = vm.retries.remaining("s", vm.vm_count(), ARRIVED_MS)
    assert hedge_upstream(vm, call_on(**IDEMPOTENT), Progress(), first) is other
    assert vm.retries.remaining("s", vm.vm_count(), ARRIVED_MS) == before - 1

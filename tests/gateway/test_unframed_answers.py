"""Test cuminstile.gateway.unframed_answers: answers that end with their connection."""

from __future__ import annotations

from dataclasses import replace

import pytest

from cuminstile.clock import VirtualClock
from cuminstile.crash_limits import Suspicion
from cuminstile.gateway.crash_guard import begin_send, end_send
from cuminstile.gateway.crash_state import part_name, part_names_of
from cuminstile.gateway.model import PromptPart
from cuminstile.gateway.send_state import Call, SendEnd
from cuminstile.gateway.state import Gateway
from cuminstile.gateway.unframed_answers import (
    CRASH_MS,
    MAX_ANSWERS,
    SURVIVAL_MS,
    record_alive,
    record_ended,
    settle_old,
)
from cuminstile.gateway.upstreams import UpstreamState

from .test_attempts import make_call
from .test_state import make_upstream, make_vm

PART = part_name("new")


@pytest.fixture
def clock() -> VirtualClock:
    return VirtualClock(at_ms=1_000.0)


@pytest.fixture
def vm(clock: VirtualClock) -> Gateway:
    return make_vm(clock)


def prompt_call(number: int, parts: tuple[str, ...] = ("new",)) -> Call:
    """Return a call with a body and a last part of its own."""
    prompt = tuple(PromptPart(part, 10) for part in (*parts, f"own{number}"))
    call = make_call(max_attempts=2)
    return replace(
        call,
        digest=b"%016d" % number,
        fields=replace(call.fields, parts=prompt),
        part_names=part_names_of(prompt),
        expires_at_ms=60_000.0,
    )


def listed(vm: Gateway, number: int = 0) -> UpstreamState:
    """Return an upstream that the list has."""
    state = UpstreamState(make_upstream(f"u{number}", started_ms=1))
    vm.table.states[state.info.id] = state
    return state


def answer(vm: Gateway, state: UpstreamState, number: int = 0) -> None:
    """Let an upstream answer a call without length and chunks."""
    end_send(vm, SendEnd(prompt_call(number), state, ran=True, unframed=True))


def suspicion(vm: Gateway) -> Suspicion:
    return vm.crash_guard.table.get(PART, vm.clock.now_ms())


def crash_one(vm: Gateway) -> None:
    """Make the part suspected."""
    end_send(vm, SendEnd(prompt_call(99), listed(vm, 9), crashed=True))
    assert suspicion(vm) is Suspicion.SUSPECTED


# Guards against an answer that only looks complete and clears the part that ended its
# upstream.
def test_answer_clears_nothing_before_its_upstream_is_known_to_live(
    vm: Gateway, clock: VirtualClock
) -> None:
    crash_one(vm)
    state = listed(vm)
    answer(vm, state)
    clock.at_ms += 10.0
    settle_old(vm)
    assert suspicion(vm) is Suspicion.SUSPECTED
    record_alive(vm, state, clock.now_ms())
    assert suspicion(vm) is Suspicion.NONE
    assert not vm.crash_guard.unframed


def test_answer_of_an_earlier_request_does_not_settle_a_later_one(
    vm: Gateway, clock: VirtualClock
) -> None:
    crash_one(vm)
    state = listed(vm)
    sent_ms = clock.now_ms()
    clock.at_ms += 10.0
    answer(vm, state)
    record_alive(vm, state, sent_ms)
    assert suspicion(vm) is Suspicion.SUSPECTED


def test_end_of_the_upstream_makes_the_answer_a_crash(
    vm: Gateway, clock: VirtualClock
) -> None:
    state = listed(vm)
    answer(vm, state)
    clock.at_ms += CRASH_MS / 2.0
    record_ended(vm, "u0@1")
    assert suspicion(vm) is Suspicion.SUSPECTED


def test_crash_under_another_request_settles_the_answers_of_the_process(
    vm: Gateway, clock: VirtualClock
) -> None:
    state = listed(vm)
    answer(vm, state)
    clock.at_ms += 5.0
    end_send(vm, SendEnd(prompt_call(5, ("other",)), state, crashed=True))
    assert suspicion(vm) is Suspicion.SUSPECTED
    assert not vm.crash_guard.unframed


def test_late_end_of_the_upstream_proves_nothing(
    vm: Gateway, clock: VirtualClock
) -> None:
    state = listed(vm)
    answer(vm, state)
    clock.at_ms += CRASH_MS * 2.0
    record_ended(vm, "u0@1")
    assert suspicion(vm) is Suspicion.NONE


@pytest.mark.parametrize("gone", [False, True])
def test_list_of_upstreams_settles_what_is_left(
    vm: Gateway, clock: VirtualClock, gone: bool
) -> None:
    crash_one(vm)
    answer(vm, listed(vm))
    if gone:
        del vm.table.states["u0"]
    clock.at_ms += SURVIVAL_MS
    settle_old(vm)
    assert not vm.crash_guard.unframed
    assert suspicion(vm) is (Suspicion.SUSPECTED if gone else Suspicion.NONE)
    assert vm.crash_guard.table.crash_count(PART, clock.now_ms()) == (2 if gone else 0)


# Guards against a part that is sent on and on, as its answers end with their channel at
# a whole event and clear it each time.
def test_part_behind_unframed_answers_is_quarantined(
    vm: Gateway, clock: VirtualClock
) -> None:
    sends = 0
    for number in range(12):
        state = listed(vm, number)
        call = prompt_call(number)
        if vm.crash_guard.table.quarantined(call.part_names, clock.now_ms()):
            break
        sends += 1
        trial = begin_send(vm, call)
        end_send(vm, SendEnd(call, state, ran=True, trial=trial, unframed=True))
        clock.at_ms += 20.0
        record_ended(vm, f"u{number}@1")
    assert sends == 3


def test_memory_is_bounded(vm: Gateway) -> None:
    state = listed(vm)
    for number in range(3 * MAX_ANSWERS):
        answer(vm, state, number)
    assert len(vm.crash_guard.unframed["u0@1"]) == MAX_ANSWERS

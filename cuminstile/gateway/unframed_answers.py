"""Judge answers without length or chunks, which end with their connection.

Such an answer looks complete also when its upstream ends in the middle of it. So it
proves that its request is harmless only once its upstream turns out to live on.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from .crash_evidence import is_gone, record_answer, record_crash
from .state import Gateway
from .upstreams import UpstreamState

if TYPE_CHECKING:
    from .send_state import SendEnd

CRASH_MS = 500.0
"""How long after an answer its upstream's end may be that of the answer."""
SURVIVAL_MS = 3_000.0
"""After this time an upstream that is still listed is taken to live on."""
MAX_ANSWERS = 256
"""Answers of one upstream that are waited for; the oldest are dropped."""


@dataclass(frozen=True, slots=True)
class UnframedAnswer:
    """An answer that ended with its connection, at a monotonic time in ms."""

    end: SendEnd
    at_ms: float


def add_unframed_answer(vm: Gateway, end: SendEnd) -> None:
    """Keep an answer until it is known whether its upstream lives on."""
    answers = vm.crash_guard.unframed.setdefault(end.state.process, [])
    answers.append(UnframedAnswer(end, vm.clock.now_ms()))
    del answers[:-MAX_ANSWERS]


def record_alive(vm: Gateway, state: UpstreamState, sent_ms: float) -> None:
    """Settle the answers of an upstream that answers a later request.

    Parameters
    ----------
    sent_ms : float
        When that request was sent, in monotonic ms.
    """
    unframed = vm.crash_guard.unframed
    if not unframed:
        return
    process = state.process
    answers = unframed.get(process, [])
    settle(vm, process, [answer for answer in answers if answer.at_ms < sent_ms], False)


def record_ended(vm: Gateway, process: str) -> None:
    """Settle the answers of an upstream process that turns out to have ended."""
    answers = vm.crash_guard.unframed.pop(process, ())
    now_ms = vm.clock.now_ms()
    for answer in answers:
        if now_ms - answer.at_ms <= CRASH_MS:
            record_crash(vm, crash_of(answer))


def settle_old(vm: Gateway) -> None:
    """Settle the answers for whose upstream's end was waited long enough."""
    due_ms = vm.clock.now_ms() - SURVIVAL_MS
    for process, answers in list(vm.crash_guard.unframed.items()):
        old = [answer for answer in answers if answer.at_ms <= due_ms]
        if old:
            settle(vm, process, old, is_gone(vm, old[0].end.state))


def settle(
    vm: Gateway, process: str, answers: Sequence[UnframedAnswer], ended: bool
) -> None:
    """Record some answers of a process as crashes or as complete, and forget them."""
    for answer in answers:
        if ended:
            record_crash(vm, crash_of(answer))
        else:
            record_answer(vm, answer.end.call)
    left = [
        answer
        for answer in vm.crash_guard.unframed.get(process, [])
        if answer not in answers
    ]
    if left:
        vm.crash_guard.unframed[process] = left
    else:
        vm.crash_guard.unframed.pop(process, None)


def crash_of(answer: UnframedAnswer) -> SendEnd:
    """Return the crash that an answer turns out to be, as one at once.

    How long it had run before says nothing: when its upstream ended is not known.
    """
    return replace(answer.end, crashed=True, ran_long=False, took_ms=0.0)

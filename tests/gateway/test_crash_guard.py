"""Test cuminstile.gateway.crash_guard: what a quarantined request is answered."""

import pytest

from cuminstile.clock import VirtualClock
from cuminstile.crash_limits import Suspicion
from cuminstile.exceptions import ErrorCode
from cuminstile.gateway.crash_guard import begin_send, end_send, refuse_quarantined
from cuminstile.gateway.crash_sharing import share_changes
from cuminstile.gateway.refusals import Refusal
from cuminstile.gateway.send_state import SendEnd
from cuminstile.gateway.state import Gateway
from cuminstile.shutdown.schedule import ANSWER_MARGIN_MS, shutdown_times

from .fleet import CountedStore, Fleet
from .test_unframed_answers import PART, listed, prompt_call

LEFT_MS = 500.0
"""Time until the last answers of a shutdown."""


def quarantine(vm: Gateway) -> None:
    """Let three upstreams crash under requests with the part, one at a time."""
    for number in range(3):
        call = prompt_call(number)
        trial = begin_send(vm, call)
        end_send(vm, SendEnd(call, listed(vm, number), crashed=True, trial=trial))
    assert vm.crash_guard.table.get(PART, vm.clock.now_ms()) is Suspicion.QUARANTINED


def two_vms() -> list[Gateway]:
    """Return two VMs that hear each other."""
    fleet = Fleet(VirtualClock(at_ms=1_000.0), CountedStore())
    vms = [fleet.add(number, "a") for number in range(2)]
    for _ in range(2):
        fleet.exchange_heartbeats()
    return vms


def test_trial_ends_with_the_vm_that_runs_it() -> None:
    """Guards against other VMs that wait for a trial of a process that has ended."""
    first, _ = two_vms()
    end_send(first, SendEnd(prompt_call(0), listed(first, 0), crashed=True))
    now_ms = first.clock.now_ms()
    first.shutdown = shutdown_times(now_ms, ANSWER_MARGIN_MS + LEFT_MS)
    assert begin_send(first, prompt_call(1))
    assert first.crash_guard.table.trial_left_ms(PART, now_ms) == LEFT_MS


def refusal_of(vm: Gateway) -> Refusal:
    with pytest.raises(Refusal) as refused:
        refuse_quarantined(vm, prompt_call(50))
    return refused.value


def test_refusal_names_part_and_count_and_the_log_who_told() -> None:
    first, second = two_vms()
    quarantine(first)
    share_changes(first)
    own, told = refusal_of(first), refusal_of(second)
    for refusal in (own, told):
        assert refusal.code is ErrorCode.QUARANTINED
        assert refusal.retry_after_ms is None
        assert "3 upstreams" in refusal.message
        assert "part new" in refusal.message
        assert first.settings.peer_address not in refusal.message
    assert "this VM" in own.logged
    assert first.settings.peer_address in told.logged

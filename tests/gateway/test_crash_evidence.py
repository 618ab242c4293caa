"""Test cuminstile.gateway.crash_evidence: which answers disprove a crash."""

import pytest

from cuminstile.clock import VirtualClock
from cuminstile.crash_limits import Suspicion
from cuminstile.gateway.crash_evidence import record_survivor
from cuminstile.gateway.crash_guard import end_send
from cuminstile.gateway.send_state import SendEnd

from .test_state import make_vm
from .test_unframed_answers import PART, listed, prompt_call

CRASHED_MS = 1_000.0


# Guards against taking an answer that was on its way as its upstream crashed for a sign
# that it lives.
@pytest.mark.parametrize(
    ("opened_ms", "sent_ms", "alive"),
    [
        (500.0, CRASHED_MS - 20.0, False),
        (500.0, CRASHED_MS + 20.0, True),
        (CRASHED_MS + 10.0, CRASHED_MS + 20.0, False),
    ],
)
def test_only_a_later_request_on_an_older_connection_disproves_a_crash(
    opened_ms: float, sent_ms: float, alive: bool
) -> None:
    clock = VirtualClock(at_ms=CRASHED_MS)
    vm = make_vm(clock)
    state = listed(vm)
    end_send(vm, SendEnd(prompt_call(1), state, crashed=True))
    clock.at_ms += 30.0
    record_survivor(vm, state, opened_ms, sent_ms)
    expected = Suspicion.NONE if alive else Suspicion.SUSPECTED
    assert vm.crash_guard.table.get(PART, clock.now_ms()) is expected

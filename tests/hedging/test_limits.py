"""Test the limits of second sends, under overload and over many VMs."""

import random

from cuminstile.hedging.limits import WINDOW_MS, HedgeLimits, Hedging

SHARE = 0.05


def test_without_a_limit_nothing_is_hedged_or_remembered() -> None:
    hedging = Hedging()
    hedging.record_request("s", 0.0)
    hedging.record_time("r", 5.0)
    assert not hedging.is_on
    assert not hedging.may_hedge("s", 0.0, 0.0)
    assert not hedging.times
    assert not hedging.uses["s"].requests


def test_all_vms_together_stay_inside_the_limit_as_they_start_and_stop() -> None:
    source = random.Random(3)
    vms = [Hedging(HedgeLimits(SHARE)) for _ in range(9)]
    requests = hedges = 0
    for step in range(20_000):
        now_ms = step * 2.0
        if step % 1_000 == 0:
            vms[source.randrange(9)] = Hedging(HedgeLimits(SHARE))
        vm = source.choice(vms)
        vm.record_request("s", now_ms)
        requests += 1
        if vm.may_hedge("s", 0.1, now_ms):
            vm.record_hedge("s", now_ms)
            hedges += 1
    assert 0 < hedges <= SHARE * requests


def test_no_second_send_while_the_service_is_short_of_room() -> None:
    hedging = Hedging(HedgeLimits(SHARE, busy_share=0.5))
    for number in range(100):
        hedging.record_request("s", float(number))
    assert hedging.may_hedge("s", 0.49, 100.0)
    assert not hedging.may_hedge("s", 0.5, 100.0)


def test_requests_of_an_earlier_window_allow_nothing() -> None:
    hedging = Hedging(HedgeLimits(SHARE))
    for _ in range(100):
        hedging.record_request("s", 0.0)
    assert not hedging.may_hedge("s", 0.0, WINDOW_MS + 1.0)


def test_limits_can_be_changed_while_it_runs() -> None:
    hedging = Hedging(HedgeLimits(SHARE))
    for _ in range(100):
        hedging.record_request("s", 0.0)
    hedging.limits = HedgeLimits(0.0)
    assert not hedging.may_hedge("s", 0.0, 1.0)

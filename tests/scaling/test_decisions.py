"""Test cuminstile.scaling.decisions: each load that it answers, in virtual time."""

import math
import random
from dataclasses import replace

import pytest

from cuminstile.scaling.decisions import MISSING_MS, RETRY_MS, UNUSED_HOLD_MS
from cuminstile.scaling.growth import HOLD_MS
from cuminstile.scaling.needs import sound_busy_share

from .fleet import POOL, START_MS, TRUE_WORK_MS, Fleet, make_fleet, steady

SOUND = sound_busy_share(POOL.target_ms, TRUE_WORK_MS)


def rate_for(upstreams: float) -> float:
    """Return the requests per second that need a number of upstreams."""
    return upstreams * SOUND * 1000.0 / TRUE_WORK_MS


def test_calm_load_gives_back_what_no_caller_needs_and_then_rests() -> None:
    fleet = make_fleet(running=8)
    fleet.run(60, steady(rate_for(2.5)))
    first_ms, first = fleet.orders[0]
    assert first_ms > HOLD_MS
    assert first.reason == "unneeded"
    assert fleet.running == {"a": 3, "b": 3}
    assert fleet.since(45_000.0) == []


def test_waits_behind_others_are_not_taken_for_work() -> None:
    """Pattern: at nine tenths of its time busy, an upstream answers ten times later."""
    fleet = make_fleet(running=4)
    fleet.run(80, steady(0.85 * 4 * 1000.0 / TRUE_WORK_MS))
    needed = 0.85 * 4 / SOUND
    assert math.ceil(needed) <= fleet.running["a"] <= math.ceil(1.25 * needed)


def test_service_without_callers_waits_longer_before_it_gives_back() -> None:
    fleet = make_fleet()
    fleet.run(int(UNUSED_HOLD_MS / 1000), steady(0.0))
    assert fleet.orders == []
    fleet.run(20, steady(0.0))
    assert fleet.running == {"a": 2, "b": 2}


def test_nothing_is_given_back_as_the_first_callers_come() -> None:
    fleet = make_fleet()
    fleet.run(int(UNUSED_HOLD_MS / 1000) - 5, steady(0.0))
    fleet.run(int(HOLD_MS / 1000), steady(rate_for(0.1)))
    assert fleet.orders == []


def test_wave_causes_no_flapping() -> None:
    """Pattern: the load swings by 27 % every 11 s, as long as an upstream starts."""
    fleet = make_fleet(running=8)

    def wave(now_ms: float) -> dict[str, tuple[float, float]]:
        swing = 1.0 + 0.27 * math.sin(now_ms / 11_000.0 * 2 * math.pi)
        return dict.fromkeys("ab", (rate_for(4.0) * swing, TRUE_WORK_MS))

    fleet.run(180, wave)
    assert fleet.since(60_000.0) == []
    assert 6 <= fleet.running["a"] <= 7


def test_jump_is_answered_at_once_and_given_back_slowly() -> None:
    fleet = make_fleet()
    fleet.run(40, steady(rate_for(3.0)))
    jump_ms = fleet.now_ms
    fleet.run(3, steady(rate_for(6.0)))
    assert {order.reason for order in fleet.since(jump_ms)} == {"demand"}
    assert all(fleet.wanted(name) >= 6 for name in "ab")
    fleet.run(20, steady(rate_for(6.0)))
    fell_ms = fleet.now_ms
    fleet.run(int(HOLD_MS / 1000) - 1, steady(rate_for(3.0)))
    assert all(order.wanted >= 6 for order in fleet.since(fell_ms))
    fleet.run(40, steady(rate_for(3.0)))
    assert fleet.running == {"a": 3, "b": 3}


def test_shift_to_a_dearer_kind_is_answered_though_no_more_requests_come() -> None:
    fleet = make_fleet()
    fleet.run(40, steady(rate_for(3.0)))
    shift_ms = fleet.now_ms
    fleet.run(5, steady(rate_for(3.0), work_ms=2 * TRUE_WORK_MS))
    assert {order.reason for order in fleet.since(shift_ms)} == {"demand"}
    assert all(fleet.wanted(name) >= 6 for name in "ab")


def test_callers_of_one_data_centre_use_the_spare_upstreams_of_the_other() -> None:
    fleet = make_fleet()
    load = {"a": (rate_for(6.0), TRUE_WORK_MS), "b": (rate_for(1.0), TRUE_WORK_MS)}
    fleet.run(60, lambda now_ms: load)
    assert fleet.running == {"a": 4, "b": 3}
    assert {order.reason for _, order in fleet.orders} == {"unneeded"}


def test_pool_that_dies_and_returns_keeps_its_number() -> None:
    """Pattern: all upstreams of a pool crash, and are back before others start."""
    fleet = make_fleet()
    fleet.run(40, steady(rate_for(3.5)))
    fleet.dead = {"a": 4}
    fleet.run(int(MISSING_MS / 1000), steady(rate_for(3.5)))
    fleet.dead = {}
    fleet.run(40, steady(rate_for(3.5)))
    assert fleet.orders == []


def test_upstreams_that_are_gone_for_good_are_replaced() -> None:
    fleet = make_fleet()
    fleet.run(40, steady(rate_for(3.5)))
    fleet.dead = {"a": 3}
    fleet.run(int((MISSING_MS + START_MS) / 1000) + 3, steady(rate_for(3.5)))
    order = fleet.orders[0][1]
    assert (order.data_centre, order.wanted, order.reason) == ("a", 7, "missing")
    assert fleet.seen("a").working == 4
    fleet.run(10, steady(rate_for(3.5)))
    assert fleet.wanted("a") == 7


def test_silent_data_centre_gets_no_orders_and_counts_for_nobody() -> None:
    """Pattern: a data centre is cut off; its callers turn to the others."""
    fleet = make_fleet("abc")
    fleet.run(40, steady(rate_for(3.5), "abc"))
    fleet.silent = {"c"}
    fleet.run(8, steady(rate_for(5.25), "ab"))
    assert all(fleet.wanted(name) >= 6 for name in "ab")
    fleet.run(60, steady(rate_for(5.25), "ab"))
    fleet.silent = set()
    fleet.run(int(HOLD_MS / 1000) - 1, steady(rate_for(3.5), "abc"))
    assert fleet.wanted("c") == 4


def test_data_centre_taken_out_gives_back_and_the_others_take_its_callers() -> None:
    fleet = make_fleet("abc")
    fleet.run(40, steady(rate_for(3.5), "abc"))
    fleet.pools["c"] = replace(fleet.pools["c"], taken_out=True)
    fleet.run(2, steady(rate_for(3.5), "abc"))
    assert all(fleet.wanted(name) >= 5 for name in "ab")
    assert fleet.wanted("c") == 4
    fleet.run(40, steady(rate_for(3.5), "abc"))
    assert fleet.wanted("c") == POOL.least


def test_more_than_a_data_centre_may_have_is_ordered_elsewhere() -> None:
    fleet = make_fleet(most=6)
    load = {"a": (rate_for(8.0), TRUE_WORK_MS), "b": (rate_for(3.0), TRUE_WORK_MS)}
    fleet.run(40, lambda now_ms: load)
    assert fleet.running["a"] + fleet.running["b"] >= 11
    assert max(fleet.running.values()) <= 6


def test_new_bounds_are_ordered_at_once() -> None:
    fleet = make_fleet()
    fleet.run(40, steady(rate_for(3.5)))
    fleet.pools = make_fleet(most=3).pools
    fleet.run(2, steady(rate_for(3.5)))
    assert [order.wanted for order in fleet.since(0.0)] == [3, 3]


def test_order_that_is_not_accepted_is_sent_again() -> None:
    fleet = make_fleet()
    fleet.accepts = False
    fleet.run(10, steady(rate_for(6.0)))
    times = [at_ms for at_ms, order in fleet.orders if order.data_centre == "a"]
    assert len(times) > 5
    assert min(b - a for a, b in zip(times, times[1:], strict=False)) >= RETRY_MS
    fleet.accepts = True
    fleet.run(20, steady(rate_for(6.0)))
    assert fleet.running["a"] >= 6


def test_order_that_is_not_followed_is_repeated_after_its_time() -> None:
    fleet = make_fleet()
    fleet.run(3, steady(rate_for(6.0)))
    fleet.starting = []
    fleet.run(30, steady(rate_for(6.0)))
    assert "repeat" in {order.reason for _, order in fleet.orders}
    assert fleet.running["a"] >= 6


@pytest.mark.parametrize("seed", range(40))
def test_drawn_loads_stay_in_bounds_and_come_to_rest(seed: int) -> None:
    """Any steady load that follows a drawn one comes to rest at what it needs."""
    draw = random.Random(seed)
    fleet = make_fleet("abc", running=draw.randint(2, 12))
    for _ in range(draw.randint(2, 8)):
        names = "".join(name for name in "abc" if draw.random() < 0.8)
        fleet.dead = {name: draw.randint(0, 2) for name in "abc"}
        fleet.run(draw.randint(1, 25), steady(rate_for(draw.uniform(0.0, 9.0)), names))
    fleet.dead = {}
    needed = draw.uniform(2.0, 9.0)
    fleet.run(90, steady(rate_for(needed), "abc"))
    settled_ms = fleet.now_ms
    fleet.run(30, steady(rate_for(needed), "abc"))
    assert all(POOL.least <= order.wanted <= POOL.most for _, order in fleet.orders)
    assert fleet.since(settled_ms + 1) == []
    assert_serves(fleet, needed)


def assert_serves(fleet: Fleet, needed: float) -> None:
    """Assert that as many upstreams run as are needed, and not many more."""
    running = sum(fleet.running.values())
    assert 3 * needed - 0.01 <= running <= 3 * needed * 1.1 + 3

"""Test that the staged work of VMs that shut down has one scheduler at a time."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from cuminstile.clock import VirtualClock
from cuminstile.gateway.handing_over import begin_leaving
from cuminstile.gateway.membership import SILENCE_LIMIT_MS
from cuminstile.gateway.model import BatchSpec

from .leaving_fleet import GRACE_MS, Chain, LeavingFleet
from .test_state import make_vm

VMS = 6
FIRST_STOP_MS = 4_000.0
AFTER_MS = GRACE_MS + 2_000.0
"""Time after the last SIGTERM in which all VMs are back."""
SETTLE_MS = SILENCE_LIMIT_MS
"""Time in which VMs agree again, though some datagrams are lost."""
MESSAGES_MS = 60.0
"""Time that the messages about a chain take at most if it is never handed over."""
DELAY_LIMIT_MS = 700.0
"""How much longer a chain may take for each time that it is handed over."""
MARGIN_MS = 1_500.0
"""Time before the end of a play in which chains need not have ended."""
SEEDS = range(30)


def rolled(seed: int, gap_ms: float, together: int = 1) -> LeavingFleet:
    """Return a fleet whose VMs get SIGTERM in an order drawn by the seed."""
    order = list(range(VMS))
    random.Random(seed).shuffle(order)
    stops = {
        number: [FIRST_STOP_MS + n // together * gap_ms]
        for n, number in enumerate(order)
    }
    fleet = LeavingFleet(seed, VMS, stops)
    fleet.play(FIRST_STOP_MS + (VMS - 1) // together * gap_ms + AFTER_MS)
    return fleet


def check(fleet: LeavingFleet, most_moves: int) -> None:
    """Check that VMs agree, and that chains end without a detour."""
    assert fleet.split_ms <= SETTLE_MS
    assert fleet.unready == 0
    end_ms = fleet.clock.at_ms
    begun = [c for c in fleet.chains if c.began_ms <= end_ms - c.work_ms - MARGIN_MS]
    assert max(chain.moves for chain in begun) <= most_moves
    assert sum(map(is_stranded, begun)) == 0


def is_stranded(chain: Chain) -> bool:
    """Return whether a chain has not ended, or much too late."""
    late_ms = chain.took_ms - chain.work_ms
    return chain.took_ms < 0 or late_ms > MESSAGES_MS + DELAY_LIMIT_MS * chain.moves


@pytest.mark.parametrize("seed", SEEDS)
def test_a_roll_with_a_second_between_hands_each_chain_over_once(seed: int) -> None:
    """Guards against work that moves at each SIGTERM, and schedulers beside it."""
    check(rolled(seed, 1_000.0), most_moves=1)


@pytest.mark.parametrize("seed", SEEDS)
def test_other_rolls_keep_one_scheduler_and_strand_no_chain(seed: int) -> None:
    """Guards against chains that starve where all VMs shut down, or two at once."""
    gap_ms = random.Random(seed).uniform(300.0, 3_000.0)
    check(rolled(seed, gap_ms, together=1 + seed % 3), most_moves=2)


@pytest.mark.parametrize("seed", SEEDS)
def test_all_vms_that_stop_at_once_keep_one_scheduler(seed: int) -> None:
    """Guards against VMs that each schedule for themselves when all shut down."""
    check(rolled(seed, 0.0, together=VMS), most_moves=2)


@pytest.mark.parametrize("old", [False, True])
def test_role_is_kept_only_if_all_vms_understand_it(old: bool) -> None:
    """Guards against two schedulers while an older build is in the fleet."""
    vm = make_vm(VirtualClock(at_ms=100_000.0))
    vm.scheduler.planner.set_service("s", BatchSpec(1, 1, 1, 1.0, 1.0, 1, 1.0))
    other = replace(
        vm.own_heartbeat(),
        address="127.0.0.1:9",
        duty_order=vm.own_heartbeat().duty_order + 1,
        scheduler="" if old else vm.settings.peer_address,
    )
    vm.membership.record_heartbeat(other, vm.clock.now_ms())
    begin_leaving(vm)
    assert vm.role.keeps is not old

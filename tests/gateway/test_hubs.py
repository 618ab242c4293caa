"""Test cuminstile.gateway.hubs: heartbeats of hundreds of VMs."""

from fractions import Fraction

import pytest

from cuminstile.clock import VirtualClock
from cuminstile.gateway.hubs import (
    FULL_MESH_VMS,
    HUBS_PER_DATA_CENTRE,
    heartbeat_targets,
)
from cuminstile.gateway.membership import REMOVE_AFTER_MS, SILENCE_LIMIT_MS
from cuminstile.gateway.messages import Heartbeat
from cuminstile.gateway.retry_budget import SAFETY_FACTOR

from .fleet import HEARTBEAT_MS, CountedStore, Fleet

DATA_CENTRES = 6
HUBS = DATA_CENTRES * HUBS_PER_DATA_CENTRE
SETTLE_ROUNDS = 4
"""Rounds of heartbeats after which all VMs agree: a silence and two exchanges."""
REPLACEMENTS = 100
FORGET_ROUNDS = round(2 * REMOVE_AFTER_MS / HEARTBEAT_MS) + SETTLE_ROUNDS
"""Rounds after which a VM that is gone is forgotten: others mention it for as long as
they remember it themselves."""


def make_fleet(vms: int) -> Fleet:
    """Return a fleet that has just started and has exchanged some heartbeats."""
    fleet = Fleet(VirtualClock(at_ms=100_000.0), CountedStore())
    for number in range(vms):
        fleet.add(number, f"dc-{number % DATA_CENTRES}")
    run_rounds(fleet, SETTLE_ROUNDS)
    return fleet


def run_rounds(fleet: Fleet, rounds: int) -> None:
    """Exchange heartbeats once a second."""
    for _ in range(rounds):
        fleet.clock.at_ms += HEARTBEAT_MS
        fleet.exchange_heartbeats()


def schedulers(fleet: Fleet) -> set[str]:
    """Return the VMs that live VMs take for the scheduler."""
    now_ms = fleet.clock.now_ms()
    return {
        vm.membership.scheduler(vm.own_heartbeat(), now_ms).address
        for address, vm in fleet.vms.items()
        if address not in fleet.dead
    }


def live(fleet: Fleet) -> list[str]:
    return [address for address in fleet.vms if address not in fleet.dead]


def kill(fleet: Fleet, addresses: list[str]) -> None:
    fleet.dead |= set(addresses)


def beat(number: int, data_centre: str, leaving: bool = False) -> Heartbeat:
    address = f"10.0.0.{number}:7000"
    return Heartbeat(f"vm-{number}", address, data_centre, "i", number, leaving, (), ())


@pytest.mark.parametrize("vms", [30, 100, 195, 325])
def test_heartbeats_of_a_vm_do_not_grow_with_the_fleet(vms: int) -> None:
    """Pattern: each of hundreds of VMs sends heartbeats to each other one."""
    fleet = make_fleet(vms)
    fleet.heartbeats = 0
    run_rounds(fleet, 1)
    assert fleet.heartbeats <= 2 * HUBS * vms
    assert schedulers(fleet) == {fleet.oldest(1)[0]}


def test_small_fleet_is_a_full_mesh() -> None:
    peers = [f"10.0.0.{number}:7000" for number in range(2, FULL_MESH_VMS + 1)]
    heard = [beat(number, "a") for number in range(2, FULL_MESH_VMS + 1)]
    assert heartbeat_targets(beat(99, "a"), heard, peers) == peers


def test_vm_that_hears_too_few_hubs_of_its_data_centre_sends_to_all() -> None:
    peers = [f"10.0.0.{number}:7000" for number in range(40)]
    heard = [beat(number, "b") for number in range(10)]
    own = beat(99, "a")
    assert heartbeat_targets(own, heard, peers) == peers
    heard += [beat(20, "a"), beat(21, "a", leaving=True)]
    assert heartbeat_targets(own, heard, peers) == peers
    heard.append(beat(22, "a"))
    assert set(heartbeat_targets(own, heard, peers)) == {
        beat(number, "").address for number in (0, 1, 20, 22)
    }


@pytest.mark.parametrize("vms", [20, 195])
def test_all_vms_agree_on_the_scheduler_soon_after_the_loss_of_hubs(vms: int) -> None:
    """Pattern: a herd kill takes the hubs of all data centres at once."""
    fleet = make_fleet(vms)
    kill(fleet, fleet.oldest(HUBS))
    fleet.clock.at_ms += SILENCE_LIMIT_MS - HEARTBEAT_MS
    run_rounds(fleet, SETTLE_ROUNDS)
    assert schedulers(fleet) == {fleet.oldest(1)[0]}


def test_loss_of_any_number_of_vms_leaves_a_fleet_that_agrees() -> None:
    fleet = make_fleet(120)
    kill(fleet, [address for n, address in enumerate(fleet.vms) if n % 7])
    run_rounds(fleet, SETTLE_ROUNDS)
    assert schedulers(fleet) == {fleet.oldest(1)[0]}


def test_no_vm_counts_too_few_vms_for_its_share_of_a_common_limit() -> None:
    """A share that is too large breaks a limit that all VMs have together."""
    fleet = make_fleet(195)
    kill(fleet, fleet.oldest(HUBS))
    for _ in range(10):
        counts = [fleet.vms[address].vm_count() for address in live(fleet)]
        assert min(counts) >= len(live(fleet))
        run_rounds(fleet, 1)


def test_data_centre_that_was_cut_off_is_heard_again() -> None:
    fleet = make_fleet(60)
    fleet.cut_off = "dc-0"
    run_rounds(fleet, SETTLE_ROUNDS)
    inside = {a for a in live(fleet) if fleet.vms[a].settings.data_centre == "dc-0"}
    assert schedulers(fleet) == {fleet.oldest(1)[0], fleet.oldest(2)[1]}
    assert fleet.oldest(1)[0] in inside
    fleet.cut_off = ""
    run_rounds(fleet, SETTLE_ROUNDS)
    assert schedulers(fleet) == {fleet.oldest(1)[0]}


def test_restarted_vm_knows_the_fleet_after_two_rounds() -> None:
    fleet = make_fleet(195)
    late = fleet.add(1_000, "dc-0")
    run_rounds(fleet, 2)
    assert late.vm_count() >= 0.9 * len(fleet.vms)
    assert schedulers(fleet) == {fleet.oldest(1)[0]}


def run_rounds_and_forget(fleet: Fleet, rounds: int) -> None:
    """Exchange heartbeats once a second; each VM forgets those silent for long."""
    for _ in range(rounds):
        run_rounds(fleet, 1)
        for address in live(fleet):
            fleet.vms[address].membership.remove_silent(fleet.clock.now_ms())


def replace_oldest(fleet: Fleet, number: int) -> None:
    """End the VM that started first; start one at a new address that knows others."""
    kill(fleet, fleet.oldest(1))
    late = fleet.add(number, f"dc-{number % 2}")
    late.membership.add_peers(fleet.oldest(3), fleet.clock.now_ms())


def counts(fleet: Fleet) -> list[int]:
    """Return by how many VMs each live VM divides a common limit."""
    return [fleet.vms[address].vm_count() for address in live(fleet)]


def sum_of_shares(fleet: Fleet) -> Fraction:
    """Return the part of a common limit that all live VMs use together."""
    return sum((Fraction(1, count) for count in counts(fleet)), Fraction(0))


@pytest.mark.parametrize(("vms", "rounds"), [(2, 5), (6, 5), (6, 15), (30, 5)])
def test_replaced_vms_are_forgotten(vms: int, rounds: int) -> None:
    """Guards against shares of common limits that shrink with each replaced VM."""
    fleet = make_fleet(vms)
    for number in range(REPLACEMENTS):
        replace_oldest(fleet, 1_000 + number)
        run_rounds_and_forget(fleet, rounds)
        assert sum_of_shares(fleet) <= 1
    run_rounds_and_forget(fleet, FORGET_ROUNDS)
    assert counts(fleet) == [vms] * vms


@pytest.mark.parametrize("vms", [7, 60])
def test_shares_stay_below_the_limit_while_a_data_centre_is_cut_off(vms: int) -> None:
    """Guards against both sides of a cut that each divide a limit by themselves."""
    fleet = make_fleet(vms)
    fleet.cut_off = "dc-0"
    for _ in range(round(REMOVE_AFTER_MS / HEARTBEAT_MS) - 1):
        run_rounds_and_forget(fleet, 1)
        assert sum_of_shares(fleet) <= 1


@pytest.mark.parametrize("vms", [6, 7, 60])
def test_smaller_side_of_a_long_cut_forgets_no_vm(vms: int) -> None:
    """Guards against VMs that are cut off for long and take a whole limit each."""
    fleet = make_fleet(vms)
    fleet.cut_off = "dc-0"
    run_rounds_and_forget(fleet, 2 * FORGET_ROUNDS)
    inside = {a for a in live(fleet) if fleet.vms[a].settings.data_centre == "dc-0"}
    assert min(fleet.vms[address].vm_count() for address in inside) >= vms


@pytest.mark.parametrize("vms", [6, 7, 8, 60])
def test_shares_stay_below_the_limit_during_a_long_cut_and_after_it(vms: int) -> None:
    """Guards against a larger side that forgets VMs which still use their shares."""
    fleet = make_fleet(vms)
    fleet.cut_off = "dc-0"
    for _ in range(2 * FORGET_ROUNDS):
        run_rounds_and_forget(fleet, 1)
        assert SAFETY_FACTOR * sum_of_shares(fleet) <= 1
    fleet.cut_off = ""
    run_rounds_and_forget(fleet, SETTLE_ROUNDS)
    assert counts(fleet) == [vms] * vms

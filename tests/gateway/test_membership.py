"""Test cuminstile.gateway.membership."""

from dataclasses import replace

import cbor2
import pytest

from cuminstile.gateway.membership import (
    CUT_OFF_FACTOR,
    REMOVE_AFTER_MS,
    SILENCE_LIMIT_MS,
    SUSPECT_MS,
    Membership,
)
from cuminstile.gateway.messages import CODEC, Heartbeat


def heartbeat(
    number: int, duty_order: int, leaving: bool = False, run: int = 0
) -> Heartbeat:
    address = f"10.0.0.{number}:7000"
    return Heartbeat(
        f"vm-{number}", address, "a", f"i{run}", duty_order, leaving, (), ()
    )


def make_members() -> Membership:
    members = Membership("10.0.0.1:7000")
    members.record_heartbeat(heartbeat(2, 100), 0.0)
    members.record_heartbeat(heartbeat(3, 50), 0.0)
    return members


OWN = heartbeat(1, 200)


def test_oldest_vm_schedules() -> None:
    assert make_members().scheduler(OWN, 10.0).name == "vm-3"


def test_added_vm_does_not_replace_an_older_scheduler() -> None:
    members = make_members()
    members.record_heartbeat(heartbeat(4, 900), 10.0)
    assert members.scheduler(OWN, 10.0).name == "vm-3"


def test_silent_leaving_and_suspected_vms_are_not_the_scheduler() -> None:
    members = make_members()
    members.record_heartbeat(heartbeat(3, 50, leaving=True), 10.0)
    assert members.scheduler(OWN, 10.0).name == "vm-2"
    members.suspect("10.0.0.2:7000", 10.0)
    assert members.scheduler(OWN, 10.0).name == "vm-1"
    members.record_heartbeat(heartbeat(2, 100), 10.0 + SUSPECT_MS)
    assert members.scheduler(OWN, 10.0 + SUSPECT_MS).name == "vm-2"
    assert members.scheduler(OWN, 20.0 + SUSPECT_MS + SILENCE_LIMIT_MS) == OWN


def test_leaving_vm_schedules_only_if_there_is_no_other() -> None:
    leaving = heartbeat(1, 1, leaving=True)
    assert make_members().scheduler(leaving, 10.0).name == "vm-3"
    assert Membership("10.0.0.1:7000").scheduler(leaving, 10.0) == leaving


def test_restarted_vm_is_reported_as_new_and_is_no_longer_suspected() -> None:
    members = make_members()
    assert not members.record_heartbeat(heartbeat(2, 100), 300.0)
    members.suspect("10.0.0.2:7000", 300.0)
    assert members.record_heartbeat(heartbeat(2, 400, run=1), 600.0)
    assert members.peers["10.0.0.2:7000"].suspect_until_ms == 0.0


def test_addresses_are_added_from_heartbeats_and_removed_after_long_silence() -> None:
    members = make_members()
    known = ("10.0.0.9:7000", "10.0.0.1:7000")
    members.record_heartbeat(
        Heartbeat("vm-2", "10.0.0.2:7000", "a", "i0", 100, False, (), known), 300.0
    )
    assert "10.0.0.9:7000" in members.peers
    assert "10.0.0.1:7000" not in members.peers
    assert members.remove_silent(100_000.0) == []
    members.record_heartbeat(heartbeat(2, 100), 100_000.0)
    members.record_heartbeat(heartbeat(3, 50), 100_000.0)
    assert members.remove_silent(100_000.0) == ["10.0.0.9:7000"]


def test_vm_that_hears_no_other_vm_removes_none() -> None:
    """Guards against a VM that is cut off and takes a whole limit for itself."""
    members = make_members()
    assert members.remove_silent(10 * REMOVE_AFTER_MS) == []
    assert members.fleet_size() == CUT_OFF_FACTOR * 3
    members.record_heartbeat(heartbeat(2, 100), 10 * REMOVE_AFTER_MS)
    assert members.remove_silent(10 * REMOVE_AFTER_MS) == ["10.0.0.3:7000"]
    assert members.fleet_size() == 2


@pytest.mark.parametrize("others", [1, 2, 3])
def test_vms_that_ended_as_announced_count_no_longer(others: int) -> None:
    """Guards against a VM with a part of a limit that is left alone as planned.

    The other VMs said that they leave before they fell silent, so this is no cut.
    """
    members = Membership("10.0.0.1:7000")
    for number in range(2, 2 + others):
        members.record_heartbeat(heartbeat(number, 50), 0.0)
        members.record_heartbeat(heartbeat(number, 50, leaving=True), 300.0)
    members.remove_silent(2 * REMOVE_AFTER_MS)
    assert members.fleet_size() == 1


def test_vm_that_was_only_mentioned_is_not_mentioned_again() -> None:
    """Guards against VMs that remind each other of a VM that is gone."""
    members = make_members()
    members.add_mentioned(["10.0.0.9:7000"], 10.0)
    assert members.remembered(10.0) == ["10.0.0.2:7000", "10.0.0.3:7000"]
    assert members.remembered(10.0 + REMOVE_AFTER_MS) == []


def test_share_of_common_limits_does_not_grow_when_vms_become_silent() -> None:
    members = make_members()
    assert len(members.live(10.0)) == 2
    assert len(members.live(10.0 + 2 * SILENCE_LIMIT_MS)) == 0
    assert members.fleet_size() == 3


def test_late_heartbeat_of_an_earlier_process_changes_nothing() -> None:
    """Guards against a restarted VM that is taken for the one it was before.

    Its earlier process was leaving, and its last heartbeats come after the first ones
    of the next process.
    """
    members = make_members()
    members.record_heartbeat(heartbeat(3, 50, leaving=True), 100.0)
    assert members.record_heartbeat(heartbeat(3, 60, run=1), 200.0)
    assert not members.record_heartbeat(heartbeat(3, 50, leaving=True), 210.0)
    assert members.scheduler(OWN, 210.0) == heartbeat(3, 60, run=1)
    assert not members.record_heartbeat(heartbeat(3, 60, run=1), 220.0)


def test_process_is_heard_although_a_late_heartbeat_came_between() -> None:
    """Guards against a live VM that is ignored for good after one late heartbeat.

    This VM never heard the earlier process, so it takes its late heartbeat for that of
    the next one.
    """
    members = make_members()
    members.record_heartbeat(heartbeat(4, 60, run=1), 100.0)
    members.record_heartbeat(heartbeat(4, 50), 110.0)
    for at_ms in (410.0, 710.0, 1_010.0, 1_310.0, 1_610.0, 1_910.0):
        members.record_heartbeat(heartbeat(4, 60, run=1), at_ms)
    assert heartbeat(4, 60, run=1) in members.live(1_920.0)


def test_started_vm_trusts_whom_the_others_name_until_it_hears_of_that_one() -> None:
    """Guards against a second scheduler beside the first when a VM comes back."""
    members = Membership("10.0.0.1:7000")
    members.add_peers(("10.0.0.3:7000",), 0.0)
    named = replace(heartbeat(2, 100), scheduler="10.0.0.3:7000")
    members.record_heartbeat(named, 0.0)
    assert members.scheduler_address(OWN, 10.0) == "10.0.0.3:7000"
    members.suspect("10.0.0.3:7000", 10.0)
    assert members.scheduler_address(OWN, 10.0) == "10.0.0.2:7000"
    members.record_heartbeat(named, 20.0 + SUSPECT_MS)
    assert members.scheduler_address(OWN, 20.0 + SUSPECT_MS) == "10.0.0.3:7000"
    members.record_heartbeat(heartbeat(3, 300), 20.0 + SUSPECT_MS)
    assert members.scheduler_address(OWN, 20.0 + SUSPECT_MS) == "10.0.0.2:7000"


def test_heartbeat_of_an_older_build_is_read() -> None:
    """Guards against VMs of two builds that lose each other during an update."""
    old = [1, "vm-2", "10.0.0.2:7000", "a", "i0", 100, True, [], []]
    message = CODEC.decode(cbor2.dumps(old))
    assert message == heartbeat(2, 100, leaving=True)
    assert (message.schedules, message.ends_at_ms, message.scheduler) == (False, 0, "")

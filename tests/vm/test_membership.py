"""Test cuminstile.vm.membership."""

from cuminstile.records.client import ListedVm
from cuminstile.vm.membership import Members


def listed(name: str, state: str = "live") -> ListedVm:
    return ListedVm(name, "a", "127.0.0.1:1", state, 0)


def test_unlisted_vm_stays_a_member_while_it_is_alive() -> None:
    members = Members("vm-a1", "a")
    members.apply_list((listed("vm-a2"),), 0.0)
    members.mark_seen("vm-a2", 1_000.0)
    members.apply_list((), 2_000.0)
    assert "vm-a2" in members.by_name
    members.apply_list((), 60_000.0)
    assert "vm-a2" not in members.by_name


def test_vm_from_the_settings_stays_a_member_while_unlisted() -> None:
    members = Members("vm-a1", "a")
    members.add("vm-b1", "b", "127.0.0.1:2", in_settings=True)
    members.apply_list((listed("vm-a2"),), 0.0)
    assert set(members.by_name) == {"vm-a2", "vm-b1"}


def test_listed_state_leaving_is_applied() -> None:
    members = Members("vm-a1", "a")
    members.apply_list((listed("vm-a2", "leaving"),), 0.0)
    assert members.by_name["vm-a2"].leaving


def test_own_name_is_never_a_member() -> None:
    members = Members("vm-a1", "a")
    members.apply_list((listed("vm-a1"),), 0.0)
    assert members.by_name == {}

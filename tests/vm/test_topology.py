"""Test cuminstile.vm.topology."""

from cuminstile.vm.membership import Member, Members
from cuminstile.vm.topology import needs_session

DATA_CENTRES = 16
VMS_PER_CENTRE = 20
CONTROL_BYTES_PER_S = 4_000
# A heartbeat, its WebSocket frame, and the headers of TCP, IP and Ethernet.
HEARTBEAT_BYTES = 18 + 6 + 66


def everyone() -> tuple[Member, ...]:
    """Return every VM of a system of the target size."""
    return tuple(
        Member(f"vm-{centre:02}-{index:02}", f"dc-{centre:02}", "127.0.0.1:1")
        for centre in range(DATA_CENTRES)
        for index in range(VMS_PER_CENTRE)
    )


def test_heartbeats_at_the_target_size_fit_the_control_budget() -> None:
    members = everyone()
    state = Members("vm-00-00", "dc-00")
    others = [item for item in members if item.name != "vm-00-00"]
    needed = [
        item for item in others if needs_session("vm-00-00", "dc-00", item, others)
    ]
    sent = sum(
        HEARTBEAT_BYTES * 1_000 / state.heartbeat_interval_ms(item.data_centre)
        for item in needed
    )
    assert len([item for item in needed if item.data_centre == "dc-00"]) == 19
    assert sent < 0.8 * CONTROL_BYTES_PER_S


def test_both_sides_agree_and_every_data_centre_is_reached() -> None:
    members = everyone()
    one = members[0]
    for other in members[1:]:
        there = needs_session(one.name, one.data_centre, other, members)
        back = needs_session(other.name, other.data_centre, one, members)
        assert there == back
    reached = {
        item.data_centre
        for item in members[1:]
        if needs_session(one.name, one.data_centre, item, members)
    }
    assert len(reached) == DATA_CENTRES

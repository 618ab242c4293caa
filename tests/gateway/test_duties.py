"""Test cuminstile.gateway.duties: who takes duties in a fleet of unequal VMs."""

import pytest

from cuminstile.gateway.duties import MAX_WEAKNESS, duty_order, weakness
from cuminstile.gateway.membership import Membership
from cuminstile.gateway.messages import Heartbeat

NOW_MS = 1_800_000_000_000
DAY_MS = 86_400_000


def heartbeat(number: int, started_ms: int, cores: float) -> Heartbeat:
    order = duty_order(started_ms, cores, 100.0)
    return Heartbeat(
        f"vm-{number}", f"10.0.0.{number}:7000", "a", "i", order, False, (), ()
    )


@pytest.mark.parametrize(
    ("cores", "link_mbps", "expected"),
    [
        (2.15, 100.0, 0),
        (8.0, 1_000.0, 0),
        (1.07, 1_000.0, 1),
        (0.516, 100.0, 2),
        (2.15, 10.0, 2),
        (0.12, 10.0, 3),
        (0.0, 0.0, MAX_WEAKNESS),
    ],
)
def test_weakness_counts_halvings_of_processor_or_link(
    cores: float, link_mbps: float, expected: int
) -> None:
    assert weakness(cores, link_mbps) == expected


def test_strong_vm_schedules_though_weak_ones_are_older() -> None:
    """Pattern: one VM in ten is strong, and all start within 0.3 s in any order."""
    weak = [heartbeat(n, NOW_MS + n, 0.516) for n in range(1, 20)]
    strong = heartbeat(20, NOW_MS + 300, 2.15)
    members = Membership("10.0.0.99:7000")
    for beat in (*weak, strong):
        members.record_heartbeat(beat, 0.0)
    own = heartbeat(99, NOW_MS - DAY_MS, 0.516)
    assert members.scheduler(own, 10.0).name == "vm-20"


def test_restarted_strong_vm_replaces_no_older_one_of_its_kind() -> None:
    members = Membership("10.0.0.99:7000")
    for beat in (heartbeat(1, NOW_MS, 2.15), heartbeat(2, NOW_MS + DAY_MS, 2.15)):
        members.record_heartbeat(beat, 0.0)
    own = heartbeat(99, NOW_MS, 0.516)
    assert members.scheduler(own, 10.0).name == "vm-1"


def test_weak_vm_schedules_where_all_are_weak() -> None:
    members = Membership("10.0.0.99:7000")
    members.record_heartbeat(heartbeat(1, NOW_MS + 5, 0.12), 0.0)
    own = heartbeat(99, NOW_MS, 0.12)
    assert members.scheduler(own, 10.0) is own

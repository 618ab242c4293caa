"""Test cuminstile.routing."""

import random
from collections import Counter
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

from cuminstile.objects.model import DataCentre, DataCentreState, Upstream
from cuminstile.routing import choose_peer
from cuminstile.runtime import Vm

from .fakes.objects import single_stage_objects
from .fakes.vms import make_test_vm, set_configuration


def vm_with_peers(out: str = "", **capacity: int) -> Vm:
    """Return a VM of data centre a with two peers in each other data centre."""
    vm = make_test_vm("vm-a1", "a")
    vm.random = random.Random(7)
    addresses = {
        f"gen-{name}": f"127.0.0.1:{index}" for index, name in enumerate("abc")
    }
    objects: list[Any] = []
    for item in single_stage_objects(addresses):
        if isinstance(item, Upstream):
            item = replace(item, capacity=capacity.get(item.data_centre, 8))
        if isinstance(item, DataCentre) and item.name == out:
            item = replace(item, state=DataCentreState.OUT)
        objects.append(item)
    set_configuration(vm, tuple(objects))
    for name in ("vm-b1", "vm-b2", "vm-c1", "vm-c2"):
        data_centre = name[3]
        vm.members.add(name, data_centre, "127.0.0.1:1")
        session = SimpleNamespace(name=name, data_centre=data_centre, calls={})
        vm.sessions.by_name[name] = session  # type: ignore[assignment]
    return vm


def draw(vm: Vm, count: int, tried: tuple[str, ...] = ()) -> Counter[str]:
    chosen = (choose_peer(vm, "generate-1", tried) for _ in range(count))
    return Counter(session.name for session in chosen if session is not None)


def test_data_centres_get_work_by_their_capacity() -> None:
    counts = draw(vm_with_peers(b=30, c=10), 4_000)
    of_b = counts["vm-b1"] + counts["vm-b2"]
    assert 0.7 < of_b / 4_000 < 0.8


def test_data_centre_that_is_out_gets_nothing() -> None:
    counts = draw(vm_with_peers(out="b"), 200)
    assert set(counts) == {"vm-c1", "vm-c2"}


def test_leaving_vm_is_the_last_choice() -> None:
    vm = vm_with_peers(out="b")
    vm.members.by_name["vm-c1"].leaving = True
    assert set(draw(vm, 50)) == {"vm-c2"}
    vm.members.by_name["vm-c2"].leaving = True
    assert set(draw(vm, 50)) == {"vm-c1", "vm-c2"}


def test_vm_that_failed_is_not_asked_again() -> None:
    vm = vm_with_peers()
    assert "vm-b1" not in draw(vm, 200, ("vm-b1",))
    assert not draw(vm, 10, ("vm-b1", "vm-b2", "vm-c1", "vm-c2"))


def test_busy_vm_gets_less() -> None:
    vm = vm_with_peers(out="b")
    vm.sessions.by_name["vm-c1"].calls = dict.fromkeys(range(9))  # type: ignore
    counts = draw(vm, 1_000)
    assert counts["vm-c2"] > 2 * counts["vm-c1"]

"""Test cuminstile.rollouts.marks: versions that are held back, over restarts."""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass, field

import pytest

from cuminstile.eras.position import Position
from cuminstile.rollouts.marks import VersionMark, VersionMarks

SCHEDULES = 3_000
STEPS = 30
VMS = 3
SERVICE = "desk"
BASE = "v1"


def ordered(*targets: str, listed: tuple[str, ...] = (BASE,)) -> VersionMarks:
    """Return what a VM knows that has seen some orders."""
    marks = VersionMarks()
    for number, target in enumerate(targets):
        position = Position(1, number)
        marks.apply_order(SERVICE, target, position, (*listed, *targets[:number]), 0.0)
    return marks


def held(marks: VersionMarks) -> set[str]:
    """Return the versions that get nothing."""
    return set(marks.held_back().get(SERVICE, ()))


@pytest.mark.parametrize(
    ("targets", "expected"),
    [
        (["v2"], {"v2"}),
        (["v2", "v3"], {"v2", "v3"}),
        (["v2", "v2"], {"v2"}),
        (["v2", "v1"], {"v2"}),
        (["v2", "v3", "v1"], {"v2", "v3"}),
        (["v2", "v1", "v3"], {"v2", "v3"}),
        (["v2", "v1", "v2"], {"v2"}),
    ],
)
def test_version_without_a_verdict_stays_held_back(
    targets: list[str], expected: set[str]
) -> None:
    assert held(ordered(*targets)) == expected


def test_order_back_is_known_without_having_seen_the_first_order() -> None:
    """Guards against a VM that holds back all versions, or the one in service."""
    known = ordered("v2")
    late = VersionMarks()
    late.learn(known.all(), True, 0.0)
    late.apply_order(SERVICE, BASE, Position(1, 9), (BASE, "v2"), 0.0)
    assert held(late) == {"v2"}


def test_knowledge_of_the_earlier_order_counts() -> None:
    """Guards against a VM that takes a version held back before for one in service."""
    knows, started = ordered("v2", "v3"), VersionMarks()
    started.apply_order(SERVICE, "v3", Position(1, 1), (BASE, "v2", "v3"), 0.0)
    assert held(started) == {"v3"}
    for one, other in ((knows, started), (started, knows)):
        one.learn(other.all(), True, 0.0)
    assert held(knows) == held(started) == {"v2", "v3"}


def test_marks_are_the_same_whatever_the_order_of_learning() -> None:
    rng = random.Random(5)
    for _ in range(500):
        lots = [
            VersionMark(SERVICE, f"v{number}", Position(1, rng.randrange(4)), served)
            for number in range(3)
            for served in (True, False)
        ]
        found = set()
        for order in itertools.islice(itertools.permutations(lots), 0, 720, 60):
            marks = VersionMarks()
            for mark in order:
                marks.learn([mark], False, 0.0)
            found.add(marks.all())
        assert len(found) == 1


@dataclass
class Fleet:
    """VMs that restart, the store of their marks, and the orders so far.

    Parameters
    ----------
    ordered : list of str
        The targets of all orders.
    in_store : tuple of VersionMark
        The marks in the store; `copies` are those of before.
    """

    draw: random.Random
    era: int = 1
    ordered: list[str] = field(default_factory=list)
    vms: list[VersionMarks] = field(default_factory=list)
    in_store: tuple[VersionMark, ...] = ()
    copies: list[tuple[VersionMark, ...]] = field(default_factory=list)

    def order(self, target: str) -> None:
        """Order to move the traffic to a version; some VMs hear of it later."""
        self.ordered.append(target)
        for vm in self.vms:
            if self.draw.random() < 0.7:
                self.hear(vm)
        self.hear(self.draw.choice(self.vms))

    def hear(self, vm: VersionMarks) -> None:
        """Let a VM see the newest order."""
        if self.ordered:
            position = Position(self.era, len(self.ordered))
            listed = {BASE, *self.ordered}
            vm.apply_order(SERVICE, self.ordered[-1], position, listed, 0.0)

    def store(self, vm: VersionMarks) -> None:
        """Let a VM read the store and write what that lacks."""
        vm.learn(self.in_store, True, 0.0)
        self.copies.append(self.in_store)
        self.in_store = vm.all()

    def gossip(self) -> None:
        """Let all VMs hear each other."""
        for one, other in itertools.permutations(self.vms, 2):
            one.learn(other.all(), other.known, 0.0)

    def start(self) -> VersionMarks:
        """Return a VM that starts: it serves once it knows the marks of before."""
        vm = VersionMarks()
        if self.vms and self.draw.random() < 0.5:
            other = self.draw.choice(self.vms)
            vm.learn(other.all(), other.known, 0.0)
        if not vm.known:
            vm.learn(self.in_store, True, 0.0)
        self.hear(vm)
        return vm


def check(fleet: Fleet) -> None:
    """Check that no VM sends to a version that an order named, nor holds all back."""
    for vm in fleet.vms:
        assert held(vm) == set(fleet.ordered) - {BASE}


# Guards against a restart, of one VM, each or all, after which a version that was held
# back gets requests, beside orders, orders back and returns of the store.
def test_no_version_is_set_free_by_restarts_drawn_at_random() -> None:
    for seed in range(SCHEDULES):
        fleet = Fleet(random.Random(seed))
        fleet.vms = [VersionMarks(known=True) for _ in range(VMS)]
        for _ in range(STEPS):
            step(fleet)
            check(fleet)


def step(fleet: Fleet) -> None:
    """Do one thing; what VMs tell each other and the store arrives before the next."""
    kind = fleet.draw.choice(["order", "one", "each", "all", "return"])
    if kind == "order":
        targets = [BASE, "v2", "v3", "v4"] if fleet.ordered else ["v2"]
        fleet.order(fleet.draw.choice(targets))
    elif kind == "one":
        number = fleet.draw.randrange(VMS)
        del fleet.vms[number]
        fleet.vms.append(fleet.start())
    elif kind == "each":
        for _ in range(VMS):
            del fleet.vms[0]
            fleet.vms.append(fleet.start())
    elif kind == "all":
        fleet.vms = []
        fleet.vms = [fleet.start() for _ in range(VMS)]
    elif fleet.copies:
        fleet.era += 1
        fleet.in_store = fleet.draw.choice(fleet.copies)
    fleet.gossip()
    fleet.store(fleet.draw.choice(fleet.vms))
    for vm in fleet.vms:
        vm.known = True
        fleet.hear(vm)

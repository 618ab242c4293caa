"""Test how VMs learn of requests that crash upstreams, on a virtual clock."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

import pytest

from cuminstile.clock import VirtualClock
from cuminstile.crash_limits import Suspicion
from cuminstile.exceptions import ErrorCode
from cuminstile.gateway.crash_guard import begin_send, end_send, suspicion_of
from cuminstile.gateway.crash_sharing import SHARE_INTERVAL_MS, share_changes
from cuminstile.gateway.refusals import Refusal
from cuminstile.gateway.send_state import SendEnd
from cuminstile.gateway.state import Gateway
from cuminstile.gateway.upstreams import UpstreamState

from .fleet import CountedStore, Fleet
from .test_attempts import make_call
from .test_state import make_upstream

DIGEST = b"poison" + bytes(10)
SIZES = [3, 30, 195]
COPIES = 24
INTERVAL_MS = 400.0
RESTART_MS = 2_000.0
CONTACT_MS = 3_000.0
MAX_LATE_SENDS = 3
MAX_CRASHES = 6
BATCH = 8
"""Other requests that run at an upstream as it crashes."""


@dataclass
class Outcome:
    """Figures of one simulation; times in ms of the virtual clock.

    Parameters
    ----------
    lost : int
        Other requests that were cut off twice, so that their caller got no answer.
    blamed : int
        Other requests that were ever quarantined.
    known_after_ms : float
        From the third crash until all VMs refuse the request.
    """

    crashes: list[float] = field(default_factory=list)
    cut_off: int = 0
    lost: int = 0
    blamed: int = 0
    known_after_ms: float = -1.0
    codes: list[ErrorCode] = field(default_factory=list)

    @property
    def late(self) -> int:
        """Return how many sends came after the third crash and the time of grace."""
        return sum(at > self.crashes[2] + CONTACT_MS for at in self.crashes[3:])


class Simulation:
    """VMs that send a request which crashes upstreams, and what ran beside it."""

    def __init__(self, vms: int, upstreams: int, seed: int) -> None:
        self.clock = VirtualClock(at_ms=1_000_000.0)
        self.fleet = Fleet(self.clock, CountedStore())
        listed = {
            f"u{n}": UpstreamState(make_upstream(f"u{n}")) for n in range(upstreams)
        }
        for number in range(vms):
            vm = self.fleet.add(number, "abc"[number % 3])
            vm.table.states = dict(listed)
        for _ in range(3):
            self.heartbeat()
        self.random = random.Random(seed)
        self.back_ms = dict.fromkeys(range(upstreams), 0.0)
        self.starts = dict.fromkeys(range(upstreams), 1)
        self.outcome = Outcome()
        self.numbers: Iterator[int] = iter(range(1_000_000))

    def heartbeat(self) -> None:
        """Exchange heartbeats and let their time pass."""
        self.fleet.exchange_heartbeats()
        self.clock.at_ms += 1_000.0

    def any_vm(self) -> Gateway:
        """Return a VM that is alive."""
        names = [a for a in self.fleet.vms if a not in self.fleet.dead]
        return self.fleet.vms[self.random.choice(names)]

    def upstream(self, number: int) -> UpstreamState:
        """Return the present process of an upstream."""
        started_ms = self.starts[number]
        return UpstreamState(make_upstream(f"u{number}", started_ms=started_ms))

    def up(self) -> list[int]:
        """Return the upstreams that run."""
        now_ms = self.clock.now_ms()
        return [n for n, back in self.back_ms.items() if back <= now_ms]

    def send_copy(self, vm: Gateway, sends: int = 2) -> None:
        """Send the request once more, to up to `sends` upstreams."""
        call = replace(make_call(max_attempts=2), digest=DIGEST)
        call = replace(call, expires_at_ms=self.clock.now_ms() + 5_000.0)
        for _ in range(sends):
            if not self.up():
                return
            try:
                on_trial = begin_send(vm, call)
            except Refusal as refusal:
                self.outcome.codes.append(refusal.code)
                return
            number = self.random.choice(self.up())
            state = self.upstream(number)
            end_send(vm, SendEnd(call, state, crashed=True, trial=on_trial))
            self.crash(number, state)
            if suspicion_of(vm, DIGEST, "s") is not Suspicion.NONE:
                return

    def crash(self, number: int, state: UpstreamState) -> None:
        """End an upstream, and cut off what runs beside the request."""
        self.outcome.crashes.append(self.clock.now_ms())
        self.back_ms[number] = self.clock.now_ms() + RESTART_MS
        self.starts[number] += 1
        for _ in range(BATCH):
            self.cut_off_other(self.any_vm(), state)

    def cut_off_other(self, vm: Gateway, state: UpstreamState) -> None:
        """Cut off another request, which then runs well elsewhere."""
        digest = b"%016d" % next(self.numbers)
        call = replace(make_call(max_attempts=2), digest=digest)
        call = replace(call, expires_at_ms=self.clock.now_ms() + 5_000.0)
        self.outcome.cut_off += 1
        end_send(vm, SendEnd(call, state, crashed=True))
        try:
            on_trial = begin_send(vm, call)
        except Refusal:
            self.outcome.lost += 1
            self.outcome.blamed += 1
            return
        end_send(vm, SendEnd(call, state, ran=True, trial=on_trial))

    def pass_time(self, duration_ms: float) -> None:
        """Let VMs share what they know, for a time."""
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            for address, vm in self.fleet.vms.items():
                if address not in self.fleet.dead:
                    share_changes(vm)
            self.clock.at_ms += SHARE_INTERVAL_MS
            self.note_known()

    def note_known(self) -> None:
        """Note when all VMs know of the quarantine."""
        if len(self.outcome.crashes) < 3 or self.outcome.known_after_ms >= 0:
            return
        if self.knowing() == len(self.fleet.vms) - len(self.fleet.dead):
            third_ms = self.outcome.crashes[2]
            self.outcome.known_after_ms = self.clock.now_ms() - third_ms

    def knowing(self) -> int:
        """Return how many live VMs have the request in quarantine."""
        return sum(
            suspicion_of(vm, DIGEST, "s") is Suspicion.QUARANTINED
            for address, vm in self.fleet.vms.items()
            if address not in self.fleet.dead
        )

    def run(self, copies: int = COPIES, sends: int = 2) -> Outcome:
        """Send copies of the request to drawn VMs one after the other."""
        for _ in range(copies):
            self.fleet.exchange_heartbeats()
            self.send_copy(self.any_vm(), sends)
            self.pass_time(INTERVAL_MS)
        return self.outcome


@pytest.mark.parametrize("sends", [1, 2])
@pytest.mark.parametrize("vms", SIZES)
def test_copies_at_any_vm_crash_few_upstreams(vms: int, sends: int) -> None:
    outcome = Simulation(vms, 6 if vms < 30 else 32, seed=vms).run(sends=sends)
    print(
        f"FIG vms={vms} sends={sends} ended={len(outcome.crashes)} late={outcome.late}"
        f" known={outcome.known_after_ms:.0f} cut={outcome.cut_off}"
        f" lost={outcome.lost} blamed={outcome.blamed}"
    )
    assert len(outcome.crashes) <= MAX_CRASHES
    assert outcome.late <= MAX_LATE_SENDS
    assert 0 <= outcome.known_after_ms <= CONTACT_MS
    assert outcome.blamed == 0
    assert outcome.codes[-1] is ErrorCode.QUARANTINED


@pytest.mark.parametrize("vms", SIZES)
def test_copies_at_all_vms_at_once_are_stopped_soon(vms: int) -> None:
    simulation = Simulation(vms, 32, seed=6)
    simulation.fleet.exchange_heartbeats()
    for vm in simulation.fleet.vms.values():
        simulation.send_copy(vm, sends=1)
    outcome = simulation.run()
    assert outcome.late <= MAX_LATE_SENDS
    assert outcome.blamed == 0


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("vms", SIZES)
def test_lost_datagrams_are_made_up_for(vms: int, seed: int) -> None:
    simulation = Simulation(vms, 32, seed)
    simulation.fleet.lost = set(simulation.random.sample(range(60_000), 18_000))
    outcome = simulation.run()
    assert outcome.late <= MAX_LATE_SENDS
    assert outcome.blamed == 0


@pytest.mark.parametrize("vms", SIZES)
def test_started_vm_learns_of_the_quarantine(vms: int) -> None:
    simulation = Simulation(vms, 32, seed=1)
    simulation.run(copies=8)
    newcomer = simulation.fleet.add(vms, "a")
    for _ in range(2):
        simulation.heartbeat()
    assert suspicion_of(newcomer, DIGEST, "s") is Suspicion.QUARANTINED


@pytest.mark.parametrize("vms", SIZES)
def test_cut_off_data_centre_learns_of_the_quarantine_when_it_is_back(vms: int) -> None:
    simulation = Simulation(vms, 32, seed=2)
    simulation.fleet.cut_off = "c"
    for _ in range(3):
        simulation.heartbeat()
    outcome = simulation.run()
    assert outcome.late <= MAX_LATE_SENDS
    simulation.fleet.cut_off = ""
    for _ in range(3):
        simulation.heartbeat()
        simulation.pass_time(100.0)
    assert simulation.knowing() == vms


def test_vm_that_did_not_hear_of_it_is_told_after_one_crash() -> None:
    """Guards against a frozen VM that goes on by what it knew before."""
    simulation = Simulation(30, 32, seed=3)
    simulation.run(copies=8)
    frozen = simulation.any_vm()
    frozen.crash_guard.table.by_fingerprint.clear()
    before = len(simulation.outcome.crashes)
    for _ in range(5):
        simulation.fleet.exchange_heartbeats()
        simulation.send_copy(frozen, sends=1)
        simulation.pass_time(INTERVAL_MS)
    assert len(simulation.outcome.crashes) <= before + 1


@pytest.mark.parametrize("vms", SIZES)
@pytest.mark.parametrize("seed", range(3))
def test_half_of_a_service_killed_at_once_blames_nobody(vms: int, seed: int) -> None:
    simulation = Simulation(vms, 32, seed)
    digests = []
    for number in range(16):
        state = simulation.upstream(number)
        for other in range(BATCH):
            digest = b"%08d%08d" % (number // 2, other)
            call = replace(make_call(max_attempts=2), digest=digest)
            digests.append(digest)
            vm = simulation.any_vm()
            end_send(vm, SendEnd(call, state, crashed=True))
    simulation.pass_time(200.0)
    for digest in digests:
        call = replace(make_call(max_attempts=2), digest=digest)
        call = replace(call, expires_at_ms=simulation.clock.now_ms() + 5_000.0)
        vm = simulation.any_vm()
        on_trial = begin_send(vm, call)
        end_send(vm, SendEnd(call, state, ran=True, trial=on_trial))
        simulation.pass_time(SHARE_INTERVAL_MS * 3)
    for vm in simulation.fleet.vms.values():
        states = {suspicion_of(vm, digest, "s") for digest in digests}
        assert Suspicion.QUARANTINED not in states


def test_a_hot_request_is_served_while_its_upstreams_crash_for_other_reasons() -> None:
    simulation = Simulation(9, 32, seed=4)
    call = replace(make_call(max_attempts=2), digest=b"hot" + bytes(13))
    refused = 0
    for number in range(300):
        vm = simulation.any_vm()
        now_ms = simulation.clock.now_ms()
        late_call = replace(call, expires_at_ms=now_ms + 5_000.0)
        crashed = number % 10 == 0
        state = UpstreamState(make_upstream(f"u{number % 32}", started_ms=number))
        try:
            on_trial = begin_send(vm, late_call)
        except Refusal as refusal:
            assert refusal.code is not ErrorCode.QUARANTINED
            refused += 1
            continue
        end_send(
            vm,
            SendEnd(late_call, state, crashed=crashed, ran=not crashed, trial=on_trial),
        )
        simulation.pass_time(SHARE_INTERVAL_MS)
    assert refused <= 3

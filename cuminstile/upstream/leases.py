"""Let one VM of a data centre at most call a cold upstream.

The owner of a cold upstream asks every VM of its data centre to leave the upstream to
it for the length of a lease. The lease holds while each VM that is heard has promised
so, and those that have promised are a majority of all VMs known there (of an exact
half, the one with the first name), or all others are known to be dead or frozen. A VM
promises an upstream to one VM at a time. A VM that has just started may have promised
something before, and abstains for the length of a lease.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..vm.messages import LeaseRelease, LeaseRequest, LeaseResponse
from ..vm.sessions import Session
from .evidence import LoadReport, mark_cold
from .peer_probes import PROBE_VALID_MS, Probes, cannot_act
from .peers import (
    alive_here,
    is_owner,
    known_here,
    owner_of,
    send_each,
    sessions_here,
    working_here,
)
from .ranking import compact_id
from .shares import share
from .table import NEVER_MS, Condition, UpstreamState

if TYPE_CHECKING:
    from ..runtime import Vm

LEASE_MS = 2_000
LEASE_ROUND_MS = 750
TICK_MS = 50
ROUNDS_KEPT = 4
ABSTENTION_VALID_MS = 1_000
TRANSIT_MS = 50


@dataclass(frozen=True)
class Promise:
    """Hold to whom this VM leaves an upstream, and until when."""

    vm: str
    until_ms: float


@dataclass
class Holding:
    """Hold a lease that this VM has or asks for.

    Parameters
    ----------
    until_ms : dict of str to float
        Until when each other VM leaves the upstream to this one.
    since_ms : float
        From when on the lease has held without a break; infinity while it does not.
    valid_until_ms : float
        Until when the lease was known to hold when it was last looked at.
    foreign : int or None
        Calls of other VMs that may still run there; None while unknown.
    """

    until_ms: dict[str, float] = field(default_factory=dict)
    since_ms: float = float("inf")
    valid_until_ms: float = NEVER_MS
    foreign: int | None = None

    def restart(self, since_ms: float) -> None:
        """Count anew which calls of other VMs may run there."""
        self.since_ms = since_ms
        self.foreign = None


@dataclass
class Leases:
    """Hold this VM's promises, its holdings and the rounds that it asked in.

    Parameters
    ----------
    abstains_until_ms : float
        Until when this VM promises nothing and holds nothing.
    promises : dict of int to Promise
        By the compact number of the upstream's name.
    abstaining : dict of str to float
        Until when each other VM is taken as too young to promise.
    as_young : dict of str to float
        The same, learned while this VM was too young itself; no lease hangs on it.
    asked_ms : dict of int to float
        When each of the latest rounds was sent.
    probes : Probes
        What was found at the VMs that are not heard.
    """

    abstains_until_ms: float = float("inf")
    promises: dict[int, Promise] = field(default_factory=dict)
    holdings: dict[str, Holding] = field(default_factory=dict)
    asked_ms: dict[int, float] = field(default_factory=dict)
    abstaining: dict[str, float] = field(default_factory=dict)
    recently_started_until_ms: dict[str, float] = field(default_factory=dict)
    round_number: int = 0
    asked_names: frozenset[str] = frozenset()
    asked_sessions: tuple[Session, ...] = ()
    last_round_ms: float = NEVER_MS
    probes: Probes = field(default_factory=Probes)

    def granted_to(self, upstream: str, now_ms: float) -> str:
        """Return the VM that an upstream is promised to; empty for none."""
        promise = self.promises.get(compact_id(upstream))
        if promise is None or promise.until_ms <= now_ms:
            return ""
        return promise.vm

    def is_held(self, upstream: str) -> bool:
        """Return whether this VM holds or asks for an upstream."""
        return upstream in self.holdings

    def count_foreign(self, state: UpstreamState, report: LoadReport) -> None:
        """Bound the calls of other VMs that still run at a held upstream.

        Nobody else may start one since the lease holds, so that any later report
        bounds them for good.
        """
        holding = self.holdings.get(state.name)
        if holding is None or report.about_ms < holding.since_ms:
            return
        if report.condition is Condition.UNAVAILABLE:
            return
        arrived_ms = report.about_ms - TRANSIT_MS
        foreign = max(0, report.in_flight - state.sent_until(arrived_ms))
        if holding.foreign is None or foreign < holding.foreign:
            holding.foreign = foreign


async def run_lease_loop(vm: Vm) -> None:
    """Ask for the leases of the cold upstreams that this VM owns, for ever."""
    reset_leases(vm)
    while True:
        await give_up_strange(vm)
        if is_round_due(vm):
            await ask_round(vm)
        for name in tuple(vm.leases.holdings):
            refresh(vm, name)
        await vm.clock.sleep_ms(TICK_MS)


def reset_leases(vm: Vm) -> None:
    """Promise and hold nothing for the length of a lease."""
    vm.leases.abstains_until_ms = vm.clock.now_ms() + LEASE_MS
    vm.leases.holdings.clear()


def is_recently_started(vm: Vm) -> bool:
    """Return whether this VM still keeps to what an earlier one may have promised."""
    return vm.clock.now_ms() < vm.leases.abstains_until_ms


def wanted(vm: Vm) -> frozenset[str]:
    """Return the cold upstreams that this VM owns and is free to ask for."""
    now_ms = vm.clock.now_ms()
    if is_recently_started(vm):
        return frozenset()
    own = vm.settings.name
    return frozenset(
        state.name
        for state in vm.upstreams.by_name.values()
        if state.condition is Condition.COLD
        and vm.leases.granted_to(state.name, now_ms) in ("", own)
        and is_owner(vm, state.name)
    )


def is_round_due(vm: Vm) -> bool:
    """Return whether to ask now: regularly, for a new upstream and a new VM."""
    leases = vm.leases
    names = wanted(vm)
    if names - leases.asked_names or sessions_here(vm) != leases.asked_sessions:
        return True
    asks = bool(names) or is_recently_started(vm)
    return asks and vm.clock.now_ms() - leases.last_round_ms >= LEASE_ROUND_MS


async def ask_round(vm: Vm) -> None:
    """Ask every VM of the data centre for every wanted upstream.

    A young VM asks for nothing, to learn which others are young.
    """
    leases = vm.leases
    names = wanted(vm)
    leases.last_round_ms = vm.clock.now_ms()
    leases.asked_names = names
    leases.asked_sessions = sessions_here(vm)
    leases.round_number += 1
    leases.asked_ms[leases.round_number] = leases.last_round_ms
    leases.asked_ms.pop(leases.round_number - ROUNDS_KEPT, None)
    for name in names:
        leases.holdings.setdefault(name, Holding())
    if not names and not is_recently_started(vm):
        return
    for session in leases.asked_sessions:
        # What is wanted may have changed while the others were sent to.
        present = tuple(compact_id(name) for name in names & wanted(vm))
        await send_each((session,), LeaseRequest(leases.round_number, present))


async def give_up_strange(vm: Vm) -> None:
    """Give back the leases of upstreams that are warm or that another VM owns."""
    names = wanted(vm)
    lost = tuple(
        name
        for name in vm.leases.holdings
        if name not in names and is_drained(vm, name)
    )
    if not lost:
        return
    for name in lost:
        del vm.leases.holdings[name]
    message = LeaseRelease(tuple(compact_id(name) for name in lost))
    await send_each(sessions_here(vm), message)


def is_drained(vm: Vm, name: str) -> bool:
    """Return whether this VM is down to its share, so that others may begin."""
    state = vm.upstreams.by_name.get(name)
    if state is None or state.condition is not Condition.WARM:
        return True
    return state.in_flight <= share(state, working_here(vm), vm.settings.name)


def refresh(vm: Vm, name: str) -> None:
    """Note since when a lease holds without a break."""
    holding = vm.leases.holdings[name]
    now_ms = vm.clock.now_ms()
    if not holds(vm, name, now_ms):
        holding.restart(float("inf"))
        return
    broke = now_ms > holding.valid_until_ms
    heard = alive_here(vm) & holding.until_ms.keys()
    ends = (holding.until_ms[other] for other in heard)
    # A probe counts for a while after the VM that it found dead has started again.
    alone_until_ms = now_ms + LEASE_MS - PROBE_VALID_MS
    holding.valid_until_ms = min(ends, default=alone_until_ms)
    if broke or holding.since_ms > now_ms:
        holding.restart(now_ms)
        vm.wait_queue.wake()


def holds(vm: Vm, name: str, now_ms: float) -> bool:
    """Return whether this VM alone may call a cold upstream at this moment."""
    leases = vm.leases
    holding = leases.holdings.get(name)
    if holding is None or now_ms < leases.abstains_until_ms:
        return False
    if leases.granted_to(name, now_ms) not in ("", vm.settings.name):
        return False
    own = vm.settings.name
    promised = {
        vm_name for vm_name, until in holding.until_ms.items() if until > now_ms
    }
    promised.add(own)
    heard = {other for other in alive_here(vm) if not abstains(vm, other, now_ms)}
    if not heard <= promised:
        return False
    known = known_here(vm)
    if is_majority(promised & known, known):
        return True
    started_ms = leases.abstains_until_ms - LEASE_MS
    silent = known - promised
    return all(cannot_act(vm, other, started_ms, now_ms) for other in silent)


def is_majority(promised: frozenset[str] | set[str], known: frozenset[str]) -> bool:
    """Return whether no other set of VMs could promise the same to somebody else."""
    if 2 * len(promised) == len(known):
        return min(known) in promised
    return 2 * len(promised) > len(known)


def abstains(vm: Vm, other: str, now_ms: float) -> bool:
    """Return whether another VM has lately said that it is too young to promise."""
    return vm.leases.abstaining.get(other, NEVER_MS) > now_ms


def usable_slots(vm: Vm, state: UpstreamState, now_ms: float) -> int:
    """Return how many calls this VM may have in flight at a held cold upstream."""
    holding = vm.leases.holdings.get(state.name)
    if holding is None or holding.foreign is None:
        return 0
    if not holds(vm, state.name, now_ms):
        return 0
    return max(0, int(state.ramp_limit) - holding.foreign)


async def on_lease_request(vm: Vm, session: Session, message: LeaseRequest) -> None:
    """Promise what is free, and give up what the asking VM rightly owns."""
    if session.data_centre != vm.settings.data_centre:
        return
    now_ms = vm.clock.now_ms()
    granted: list[int] = []
    released: list[int] = []
    abstains_now = now_ms < vm.leases.abstains_until_ms
    for number in message.upstreams:
        state = vm.upstreams.by_id.get(number)
        name = state.name if state else ""
        if not may_promise(vm, number, name, session.name, now_ms):
            continue
        if state is not None:
            # The asking VM has fresher evidence than a report that lags.
            mark_cold(state, now_ms, cold_observed=True)
        if abstains_now:
            continue
        if vm.leases.holdings.pop(name, None) is not None:
            released.append(number)
        vm.leases.promises[number] = Promise(session.name, now_ms + LEASE_MS)
        granted.append(number)
    if released:
        await send_each(sessions_here(vm), LeaseRelease(tuple(released)))
    answer = LeaseResponse(message.number, abstains_now, tuple(granted))
    await send_each((session,), answer)


def may_promise(vm: Vm, number: int, name: str, asking: str, now_ms: float) -> bool:
    """Return whether this VM is free to leave an upstream to the asking VM."""
    present = vm.leases.promises.get(number)
    if present is not None and present.until_ms > now_ms and present.vm != asking:
        return False
    return not vm.leases.is_held(name) or owner_of(vm, name) == asking


async def on_lease_response(vm: Vm, session: Session, message: LeaseResponse) -> None:
    """Note another VM's promises; each counts from the moment that it was asked."""
    leases = vm.leases
    asked_ms = leases.asked_ms.get(message.number)
    if asked_ms is None or vm.sessions.by_name.get(session.name) is not session:
        return
    if message.abstains and asked_ms < leases.abstains_until_ms:
        leases.recently_started_until_ms[session.name] = asked_ms + ABSTENTION_VALID_MS
        return
    if message.abstains:
        leases.abstaining[session.name] = asked_ms + ABSTENTION_VALID_MS
        return
    leases.abstaining.pop(session.name, None)
    leases.recently_started_until_ms.pop(session.name, None)
    granted = frozenset(message.granted)
    for name, holding in leases.holdings.items():
        if compact_id(name) in granted:
            holding.until_ms[session.name] = asked_ms + LEASE_MS
        refresh(vm, name)


async def on_lease_release(vm: Vm, session: Session, message: LeaseRelease) -> None:
    """Forget the promises that another VM gives back."""
    for number in message.upstreams:
        present = vm.leases.promises.get(number)
        if present is not None and present.vm == session.name:
            del vm.leases.promises[number]
    vm.wait_queue.wake()

"""Leases on cold upstreams: at most one VM of a data centre calls each of them.

The owner of a cold upstream requests a lease from every VM of its data centre. It holds
the lease while every live VM has granted it and the grants are a majority of all known
VMs, or all other VMs are known to be dead or frozen. An exact half counts as a majority
if it contains the VM whose name sorts first. A VM grants an upstream to one VM at a
time. A VM that has just started may have granted leases before its restart, so it
abstains for the length of a lease.
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
LEASE_ROUND_INTERVAL_MS = 750
TICK_MS = 50
MAX_ROUNDS = 4
ABSTENTION_VALID_MS = 1_000
CALL_TRANSIT_MS = 50


@dataclass(frozen=True)
class LeaseGrant:
    """The VM to which this VM has granted an upstream, and when the grant expires."""

    vm: str
    until_ms: float


@dataclass
class OwnLease:
    """A lease that this VM holds or requests.

    Parameters
    ----------
    granted_until_ms : dict of str to float
        When the grant of each other VM expires.
    held_since_ms : float
        Since when the lease has been held without interruption; infinity while it is
        not held.
    valid_until_ms : float
        When the lease expires, as of the last check.
    foreign_calls : int or None
        Upper bound of the calls of other VMs that may still run at the upstream; None
        while unknown.
    """

    granted_until_ms: dict[str, float] = field(default_factory=dict)
    held_since_ms: float = float("inf")
    valid_until_ms: float = NEVER_MS
    foreign_calls: int | None = None

    def restart(self, held_since_ms: float) -> None:
        """Start a new holding period; the number of foreign calls is unknown again."""
        self.held_since_ms = held_since_ms
        self.foreign_calls = None


@dataclass
class Leases:
    """The grants and leases of this VM, and its latest request rounds.

    Parameters
    ----------
    abstains_until_ms : float
        Until when this VM grants and holds no lease.
    grants : dict of int to LeaseGrant
        Grants to other VMs, by the compact number of the upstream's name.
    abstaining_until_ms : dict of str to float
        Until when each other VM counts as too recently started to grant leases.
    recently_started_until_ms : dict of str to float
        The same, recorded while this VM itself abstained; no lease depends on it.
    requested_ms : dict of int to float
        When each of the latest rounds was sent, by the number of the round.
    probes : Probes
        Latest probe results of the silent VMs.
    """

    abstains_until_ms: float = float("inf")
    grants: dict[int, LeaseGrant] = field(default_factory=dict)
    own_leases: dict[str, OwnLease] = field(default_factory=dict)
    requested_ms: dict[int, float] = field(default_factory=dict)
    abstaining_until_ms: dict[str, float] = field(default_factory=dict)
    recently_started_until_ms: dict[str, float] = field(default_factory=dict)
    round_number: int = 0
    requested_names: frozenset[str] = frozenset()
    requested_sessions: tuple[Session, ...] = ()
    last_round_ms: float = NEVER_MS
    probes: Probes = field(default_factory=Probes)

    def granted_to(self, upstream: str, now_ms: float) -> str:
        """Return the VM to which an upstream is granted, or an empty string."""
        grant = self.grants.get(compact_id(upstream))
        if grant is None or grant.until_ms <= now_ms:
            return ""
        return grant.vm

    def holds_or_requests(self, upstream: str) -> bool:
        """Return whether this VM holds or requests the lease of an upstream."""
        return upstream in self.own_leases

    def update_foreign_calls(self, state: UpstreamState, report: LoadReport) -> None:
        """Lower the bound of the calls of other VMs that still run at an upstream.

        No other VM may start a call while this VM holds the lease, so the bound of any
        later report stays valid.
        """
        lease = self.own_leases.get(state.name)
        if lease is None or report.about_ms < lease.held_since_ms:
            return
        if report.condition is Condition.UNAVAILABLE:
            return
        arrived_ms = report.about_ms - CALL_TRANSIT_MS
        foreign_calls = max(0, report.in_flight - state.sent_by(arrived_ms))
        if lease.foreign_calls is None or foreign_calls < lease.foreign_calls:
            lease.foreign_calls = foreign_calls


async def run_lease_loop(vm: Vm) -> None:
    """Request, renew and release leases of this VM's cold upstreams until cancelled."""
    reset_leases(vm)
    while True:
        await release_unneeded(vm)
        if is_round_due(vm):
            await request_leases(vm)
        for name in tuple(vm.leases.own_leases):
            refresh_lease(vm, name)
        await vm.clock.sleep_ms(TICK_MS)


def reset_leases(vm: Vm) -> None:
    """Drop all own leases, and abstain for the length of a lease."""
    vm.leases.abstains_until_ms = vm.clock.now_ms() + LEASE_MS
    vm.leases.own_leases.clear()


def is_recently_started(vm: Vm) -> bool:
    """Return whether this VM still abstains because of grants before its restart."""
    return vm.clock.now_ms() < vm.leases.abstains_until_ms


def wanted_upstreams(vm: Vm) -> frozenset[str]:
    """Return the cold upstreams that this VM owns and has granted to no other VM."""
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
    """Return whether to send lease requests now.

    A round is due at a regular interval, and at once for a new upstream or a changed
    set of sessions.
    """
    leases = vm.leases
    names = wanted_upstreams(vm)
    if names - leases.requested_names or sessions_here(vm) != leases.requested_sessions:
        return True
    sends_rounds = bool(names) or is_recently_started(vm)
    return (
        sends_rounds
        and vm.clock.now_ms() - leases.last_round_ms >= LEASE_ROUND_INTERVAL_MS
    )


async def request_leases(vm: Vm) -> None:
    """Send one round of lease requests to every VM of the data centre.

    A recently started VM sends empty requests, to learn which other VMs have recently
    started.
    """
    leases = vm.leases
    names = wanted_upstreams(vm)
    leases.last_round_ms = vm.clock.now_ms()
    leases.requested_names = names
    leases.requested_sessions = sessions_here(vm)
    leases.round_number += 1
    leases.requested_ms[leases.round_number] = leases.last_round_ms
    leases.requested_ms.pop(leases.round_number - MAX_ROUNDS, None)
    for name in names:
        leases.own_leases.setdefault(name, OwnLease())
    if not names and not is_recently_started(vm):
        return
    for session in leases.requested_sessions:
        # The wanted upstreams may have changed while the earlier requests were sent.
        upstreams = tuple(compact_id(name) for name in names & wanted_upstreams(vm))
        await send_each((session,), LeaseRequest(leases.round_number, upstreams))


async def release_unneeded(vm: Vm) -> None:
    """Release the leases of upstreams that are warm or that another VM owns."""
    names = wanted_upstreams(vm)
    unneeded = tuple(
        name
        for name in vm.leases.own_leases
        if name not in names and is_drained(vm, name)
    )
    if not unneeded:
        return
    for name in unneeded:
        del vm.leases.own_leases[name]
    message = LeaseRelease(tuple(compact_id(name) for name in unneeded))
    await send_each(sessions_here(vm), message)


def is_drained(vm: Vm, name: str) -> bool:
    """Return whether this VM has no more calls in flight than its share.

    Only then may the other VMs start calls at an upstream that has become warm.
    """
    state = vm.upstreams.by_name.get(name)
    if state is None or state.condition is not Condition.WARM:
        return True
    return state.in_flight <= share(state, working_here(vm), vm.settings.name)


def refresh_lease(vm: Vm, name: str) -> None:
    """Update until when a lease is valid and since when it has been held."""
    lease = vm.leases.own_leases[name]
    now_ms = vm.clock.now_ms()
    if not holds_lease(vm, name, now_ms):
        lease.restart(float("inf"))
        return
    was_interrupted = now_ms > lease.valid_until_ms
    live = alive_here(vm) & lease.granted_until_ms.keys()
    ends = (lease.granted_until_ms[other] for other in live)
    # The probe of a dead VM stays valid for a while after that VM has restarted.
    alone_until_ms = now_ms + LEASE_MS - PROBE_VALID_MS
    lease.valid_until_ms = min(ends, default=alone_until_ms)
    if was_interrupted or lease.held_since_ms > now_ms:
        lease.restart(now_ms)
        vm.wait_queue.wake()


def holds_lease(vm: Vm, name: str, now_ms: float) -> bool:
    """Return whether this VM holds the lease of a cold upstream now."""
    leases = vm.leases
    lease = leases.own_leases.get(name)
    if lease is None or now_ms < leases.abstains_until_ms:
        return False
    if leases.granted_to(name, now_ms) not in ("", vm.settings.name):
        return False
    own = vm.settings.name
    granting = {
        vm_name for vm_name, until in lease.granted_until_ms.items() if until > now_ms
    }
    granting.add(own)
    live = {other for other in alive_here(vm) if not is_abstaining(vm, other, now_ms)}
    if not live <= granting:
        return False
    known = known_here(vm)
    if is_majority(granting & known, known):
        return True
    started_ms = leases.abstains_until_ms - LEASE_MS
    silent = known - granting
    return all(cannot_act(vm, other, started_ms, now_ms) for other in silent)


def is_majority(granting: frozenset[str] | set[str], known: frozenset[str]) -> bool:
    """Return whether the other VMs cannot form a majority for another holder."""
    if 2 * len(granting) == len(known):
        return min(known) in granting
    return 2 * len(granting) > len(known)


def is_abstaining(vm: Vm, other: str, now_ms: float) -> bool:
    """Return whether another VM recently reported that it abstains."""
    return vm.leases.abstaining_until_ms.get(other, NEVER_MS) > now_ms


def usable_slots(vm: Vm, state: UpstreamState, now_ms: float) -> int:
    """Return how many calls this VM may have in flight at a cold upstream.

    It is 0 without the lease, and while the number of foreign calls is unknown.
    """
    lease = vm.leases.own_leases.get(state.name)
    if lease is None or lease.foreign_calls is None:
        return 0
    if not holds_lease(vm, state.name, now_ms):
        return 0
    return max(0, int(state.ramp_limit) - lease.foreign_calls)


async def on_lease_request(vm: Vm, session: Session, message: LeaseRequest) -> None:
    """Grant the requested upstreams that are free.

    This VM releases its own lease of an upstream that the requesting VM owns.
    """
    if session.data_centre != vm.settings.data_centre:
        return
    now_ms = vm.clock.now_ms()
    granted: list[int] = []
    released: list[int] = []
    abstains_now = now_ms < vm.leases.abstains_until_ms
    for number in message.upstreams:
        state = vm.upstreams.by_id.get(number)
        name = state.name if state else ""
        if not can_grant(vm, number, name, session.name, now_ms):
            continue
        if state is not None:
            # The requesting VM has newer evidence than a delayed load report.
            mark_cold(state, now_ms, cold_observed=True)
        if abstains_now:
            continue
        if vm.leases.own_leases.pop(name, None) is not None:
            released.append(number)
        vm.leases.grants[number] = LeaseGrant(session.name, now_ms + LEASE_MS)
        granted.append(number)
    if released:
        await send_each(sessions_here(vm), LeaseRelease(tuple(released)))
    response = LeaseResponse(message.number, abstains_now, tuple(granted))
    await send_each((session,), response)


def can_grant(vm: Vm, number: int, name: str, requester: str, now_ms: float) -> bool:
    """Return whether this VM may grant an upstream to the requesting VM."""
    current = vm.leases.grants.get(number)
    if current is not None and current.until_ms > now_ms and current.vm != requester:
        return False
    return not vm.leases.holds_or_requests(name) or owner_of(vm, name) == requester


async def on_lease_response(vm: Vm, session: Session, message: LeaseResponse) -> None:
    """Record the grants of another VM; each runs from when its round was sent."""
    leases = vm.leases
    requested_ms = leases.requested_ms.get(message.number)
    if requested_ms is None or vm.sessions.by_name.get(session.name) is not session:
        return
    if message.abstains and requested_ms < leases.abstains_until_ms:
        leases.recently_started_until_ms[session.name] = (
            requested_ms + ABSTENTION_VALID_MS
        )
        return
    if message.abstains:
        leases.abstaining_until_ms[session.name] = requested_ms + ABSTENTION_VALID_MS
        return
    leases.abstaining_until_ms.pop(session.name, None)
    leases.recently_started_until_ms.pop(session.name, None)
    granted = frozenset(message.granted)
    for name, lease in leases.own_leases.items():
        if compact_id(name) in granted:
            lease.granted_until_ms[session.name] = requested_ms + LEASE_MS
        refresh_lease(vm, name)


async def on_lease_release(vm: Vm, session: Session, message: LeaseRelease) -> None:
    """Delete the grants that another VM releases."""
    for number in message.upstreams:
        current = vm.leases.grants.get(number)
        if current is not None and current.vm == session.name:
            del vm.leases.grants[number]
    vm.wait_queue.wake()

"""Choose the data centre and VM for a stage that cannot run on this VM."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from .objects.model import DataCentreState, Upstream
from .vm.sessions import Session

if TYPE_CHECKING:
    from .runtime import Vm

SESSION_CHOICES = 2


def serving_upstreams(vm: Vm, version: str) -> tuple[Upstream, ...]:
    """Return the upstreams of a version in data centres that are in service."""
    centres = vm.objects.data_centres
    return tuple(
        upstream
        for upstream in vm.objects.upstreams_by_version.get(version, ())
        if centres[upstream.data_centre].state is DataCentreState.IN
    )


def choose_peer(vm: Vm, version: str, tried: Sequence[str]) -> Session | None:
    """Return a session with a VM of another data centre that serves a version.

    Draws two VMs, weighted by the capacity for the version in their data centres, and
    returns the one with fewer calls of this VM in flight.
    """
    weights = capacity_by_data_centre(vm, version)
    weights.pop(vm.settings.data_centre, None)
    sessions = [
        session
        for session in vm.sessions.by_name.values()
        if session.data_centre in weights and session.name not in tried
    ]
    staying = [session for session in sessions if not is_leaving(vm, session)]
    # A VM that is shutting down still runs calls for a while, so it is used if there
    # is no other; refusing the call would be worse.
    candidates = staying or sessions
    if not candidates:
        return None
    shares = [
        weights[session.data_centre] / session_count(candidates, session.data_centre)
        for session in candidates
    ]
    drawn = vm.random.choices(candidates, shares, k=SESSION_CHOICES)
    return min(drawn, key=lambda session: len(session.calls))


def capacity_by_data_centre(vm: Vm, version: str) -> dict[str, float]:
    """Return each data centre's capacity for a version, in calls in flight."""
    weights: dict[str, float] = {}
    for upstream in serving_upstreams(vm, version):
        present = weights.get(upstream.data_centre, 0.0)
        weights[upstream.data_centre] = present + upstream.capacity
    return weights


def session_count(sessions: Sequence[Session], data_centre: str) -> int:
    """Return the number of sessions with VMs of a data centre."""
    return sum(session.data_centre == data_centre for session in sessions)


def is_leaving(vm: Vm, session: Session) -> bool:
    """Return whether the other VM is shutting down."""
    member = vm.members.by_name.get(session.name)
    return member is None or member.leaving

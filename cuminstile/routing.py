"""Choose the data centre and the VM that run a stage which cannot run here."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from .objects.model import DataCentreState, Upstream
from .vm.sessions import Session

if TYPE_CHECKING:
    from .runtime import Vm

CHOICES = 2


def serving(vm: Vm, version: str) -> tuple[Upstream, ...]:
    """Return the upstreams of a version in data centres that are in."""
    centres = vm.objects.data_centres
    return tuple(
        upstream
        for upstream in vm.objects.upstreams_by_version.get(version, ())
        if centres[upstream.data_centre].state is DataCentreState.IN
    )


def choose_peer(vm: Vm, version: str, tried: Sequence[str]) -> Session | None:
    """Return a session with a VM of another data centre that serves a version.

    Data centres get work by the capacity that serves the version there, and of two
    VMs drawn so the one that is less busy with this VM's calls.
    """
    weights = capacities(vm, version)
    weights.pop(vm.settings.data_centre, None)
    sessions = [
        session
        for session in vm.sessions.by_name.values()
        if session.data_centre in weights and session.name not in tried
    ]
    staying = [session for session in sessions if not is_leaving(vm, session)]
    # A VM that leaves still works for a while: better than refusing.
    candidates = staying or sessions
    if not candidates:
        return None
    shares = [
        weights[session.data_centre] / count_in(candidates, session.data_centre)
        for session in candidates
    ]
    drawn = vm.random.choices(candidates, shares, k=CHOICES)
    return min(drawn, key=lambda session: len(session.calls))


def capacities(vm: Vm, version: str) -> dict[str, float]:
    """Return the calls in flight that each data centre bears for a version."""
    weights: dict[str, float] = {}
    for upstream in serving(vm, version):
        present = weights.get(upstream.data_centre, 0.0)
        weights[upstream.data_centre] = present + upstream.capacity
    return weights


def count_in(sessions: Sequence[Session], data_centre: str) -> int:
    """Return how many of the sessions are with VMs of a data centre."""
    return sum(session.data_centre == data_centre for session in sessions)


def is_leaving(vm: Vm, session: Session) -> bool:
    """Return whether the other VM is shutting down."""
    member = vm.members.by_name.get(session.name)
    return member is None or member.leaving

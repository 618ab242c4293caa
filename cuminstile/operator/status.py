"""Build the status of the whole system as one VM sees it."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING

from ..objects.model import DataCentreState
from ..vm.membership import Member
from ..vm.topology import needs_session
from .report import (
    ComponentReport,
    MoveReport,
    Problem,
    ProblemCode,
    Reporter,
    StatusReport,
    VmReport,
    VmState,
)

if TYPE_CHECKING:
    from ..runtime import Vm


def make_status(vm: Vm, reporters: Iterable[Reporter] = ()) -> StatusReport:
    """Return this VM's status report, including the components' reports."""
    component_reports = [reporter() for reporter in reporters]
    own = own_report(vm)
    others = (peer_report(vm, member) for member in sorted_members(vm))
    vms = (own, *others)
    problems = [
        *configuration_problems(vm),
        *platform_problems(vm),
        *vm_problems(vms),
        *data_centre_problems(vm),
        *(problem for component in component_reports for problem in component.problems),
    ]
    return StatusReport(
        ok=not problems,
        version=own.version,
        problems=tuple(problems),
        vm=own,
        vms=vms,
        upstreams=tuple(
            item for component in component_reports for item in component.upstreams
        ),
        moves=all_moves(vm, component_reports),
    )


def own_report(vm: Vm) -> VmReport:
    """Return the report on this VM itself."""
    settings = vm.settings
    return VmReport(
        settings.name,
        settings.data_centre,
        vm.incarnation,
        VmState.LEAVING if vm.leaving else VmState.LIVE,
        vm.configuration.version,
        vm.own_operator_address,
    )


def sorted_members(vm: Vm) -> tuple[Member, ...]:
    """Return the other VMs, sorted by name."""
    return tuple(vm.members.by_name[name] for name in sorted(vm.members.by_name))


def peer_report(vm: Vm, member: Member) -> VmReport:
    """Return the report on another VM, from what this VM knows about it."""
    silent_ms = vm.clock.now_ms() - member.last_seen_ms
    return VmReport(
        member.name,
        member.data_centre,
        member.incarnation,
        vm_state_of(vm, member),
        member.config_version,
        member.operator_address,
        silent_ms=int(min(silent_ms, 2**53)),
    )


def vm_state_of(vm: Vm, member: Member) -> VmState:
    """Return the state of another VM."""
    if vm.members.is_alive(member.name, vm.clock.now_ms()):
        return VmState.LEAVING if member.leaving else VmState.LIVE
    own = vm.settings
    every = vm.members.by_name.values()
    if not needs_session(own.name, own.data_centre, member, every):
        return VmState.LISTED
    return VmState.MISSING


def configuration_problems(vm: Vm) -> Iterator[Problem]:
    """Yield the problems with the configuration on this VM."""
    state = vm.configuration
    name = vm.settings.name
    if state.current is None:
        yield Problem(
            ProblemCode.NO_CONFIGURATION, name, "has no configuration in force"
        )
    elif state.head > state.current.version:
        yield Problem(
            ProblemCode.RECORD_REFUSED,
            name,
            f"cannot read version {state.head}, which is in force, and still uses"
            f" {state.current.version}; it needs a newer release",
        )


def platform_problems(vm: Vm) -> Iterator[Problem]:
    """Yield a problem while the platform is unavailable."""
    since_ms = vm.platform_unavailable_since_ms
    if since_ms is not None:
        unavailable_s = (vm.clock.now_ms() - since_ms) / 1000.0
        yield Problem(
            ProblemCode.PLATFORM_AWAY,
            vm.settings.name,
            f"has had no response from the platform for {unavailable_s:.0f} s",
        )


def vm_problems(vms: tuple[VmReport, ...]) -> Iterator[Problem]:
    """Yield the VMs that are missing or have an old version."""
    newest = max(item.version for item in vms)
    for item in vms:
        if item.state == VmState.MISSING:
            yield Problem(ProblemCode.VM_MISSING, item.name, "sends no messages")
        elif item.state != VmState.LISTED and item.version < newest:
            yield Problem(
                ProblemCode.VM_LAGGING,
                item.name,
                f"has version {item.version}, not {newest}",
            )


def data_centre_problems(vm: Vm) -> Iterator[Problem]:
    """Yield the data centres that operators have taken out."""
    current = vm.configuration.current
    for item in current.objects.data_centres.values() if current else ():
        if item.state == DataCentreState.OUT:
            yield Problem(
                ProblemCode.DATA_CENTRE_OUT, item.name, "is taken out by operators"
            )


def all_moves(
    vm: Vm, component_reports: Iterable[ComponentReport]
) -> tuple[MoveReport, ...]:
    """Return every traffic move: the components' reports, else as published."""
    reported = {
        move.name: move for component in component_reports for move in component.moves
    }
    current = vm.configuration.current
    published = current.objects.moves.values() if current else ()
    missing = tuple(
        MoveReport(
            move.name,
            move.stage,
            move.from_version,
            move.to_version,
            move.start_at_ms,
            move.finish_by_ms,
        )
        for move in published
        if move.name not in reported
    )
    return (*reported.values(), *missing)

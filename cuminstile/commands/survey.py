"""Collect the status of every VM, including VMs that other VMs report."""

from collections.abc import Mapping
from dataclasses import dataclass, replace

import anyio
from pydantic import TypeAdapter, ValidationError

from ..exceptions import CuminstileError
from ..operator.report import (
    MoveReport,
    Problem,
    ProblemCode,
    StatusReport,
    UpstreamReport,
    UpstreamStatus,
    VmReport,
    VmState,
)
from .client import Target, UnreachableError, call, checked_body

SURVEY_TIMEOUT_MS = 3_000
UPSTREAM_STATUSES = tuple(UpstreamStatus)
RESPONDING_STATES = (VmState.LIVE, VmState.LEAVING)
STATUS: TypeAdapter[StatusReport] = TypeAdapter(StatusReport)


@dataclass(frozen=True)
class Survey:
    """Status reports of all VMs.

    Parameters
    ----------
    reports : mapping of str to StatusReport
        The report of each VM that responded, by its operator address.
    failures : mapping of str to str
        Why there is no report from the other addresses.
    """

    reports: Mapping[str, StatusReport]
    failures: Mapping[str, str]


async def survey(target: Target) -> Survey:
    """Request the status of the given VMs, then of the VMs that these report."""
    reports: dict[str, StatusReport] = {}
    failures: dict[str, str] = {}

    async def ask(address: str) -> None:
        try:
            answer = await call(
                target, address, "GET", "/operator/status", None, SURVEY_TIMEOUT_MS
            )
            reports[address] = STATUS.validate_python(checked_body(answer))
        except UnreachableError as error:
            failures[address] = str(error)
        except CuminstileError as error:
            failures[address] = f"{address} refused: {error.message}"
        except ValidationError:
            failures[address] = f"{address} returned a status that is not valid"

    addresses = set(target.addresses)
    while addresses:
        async with anyio.create_task_group() as tasks:
            for address in addresses:
                tasks.start_soon(ask, address)
        addresses = unreported_addresses(reports) - set(reports) - set(failures)
    return Survey(reports, failures)


def unreported_addresses(reports: Mapping[str, StatusReport]) -> set[str]:
    """Return the addresses of VMs that others report and that have not responded.

    A VM that responded at an address other than its own is not asked again.
    """
    reported = {report.vm.name for report in reports.values()}
    return {
        vm.operator_address
        for report in reports.values()
        for vm in report.vms
        if vm.operator_address
        and vm.name not in reported
        and vm.state != VmState.MISSING
    }


def merge_reports(found: Survey) -> StatusReport | None:
    """Return the reports of all VMs as one, or `None` if no VM responded."""
    if not found.reports:
        return None
    reports = [found.reports[address] for address in sorted(found.reports)]
    vms = merge_vms(reports)
    version = max(vm.version for vm in vms)
    own = {vm.name: vm for vm in vms}
    problems = {
        (problem.code, problem.subject): problem
        for report in reports
        for problem in report.problems
        if not is_outdated(problem, own, version)
    }
    for vm in vms:
        if vm.version < version and vm.state in RESPONDING_STATES:
            problem = lagging_problem(vm, version)
            problems[problem.code, problem.subject] = problem
    for address, reason in sorted(found.failures.items()):
        code = ProblemCode.VM_UNREACHABLE
        problems[code, address] = Problem(code, address, reason)
    ordered = tuple(problems[key] for key in sorted(problems))
    return replace(
        reports[0],
        ok=not ordered,
        version=version,
        problems=ordered,
        vms=vms,
        upstreams=merge_upstreams(reports),
        moves=merge_moves(reports),
    )


def is_outdated(problem: Problem, own: Mapping[str, VmReport], version: int) -> bool:
    """Return whether a VM's own report disproves that it is lagging."""
    if problem.code != ProblemCode.VM_LAGGING or problem.subject not in own:
        return False
    return own[problem.subject].version >= version


def merge_vms(reports: list[StatusReport]) -> tuple[VmReport, ...]:
    """Return every VM once: its own report, else the one with the latest message."""
    vms: dict[str, VmReport] = {}
    for vm in (vm for report in reports for vm in report.vms):
        existing = vms.get(vm.name)
        if existing is None or vm.silent_ms < existing.silent_ms:
            vms[vm.name] = vm
    vms |= {report.vm.name: report.vm for report in reports}
    return tuple(vms[name] for name in sorted(vms))


def merge_upstreams(reports: list[StatusReport]) -> tuple[UpstreamReport, ...]:
    """Return every upstream once, with the calls and limits of all VMs added up.

    If VMs report different statuses of an upstream, the worst is used; `UNKNOWN`
    only if every VM reports it.
    """
    merged: dict[str, UpstreamReport] = {}
    for upstream in (item for report in reports for item in report.upstreams):
        existing = merged.get(upstream.name)
        if existing is None:
            merged[upstream.name] = upstream
            continue
        state = max(existing.state, upstream.state, key=UPSTREAM_STATUSES.index)
        merged[upstream.name] = replace(
            existing,
            state=state,
            in_flight=existing.in_flight + upstream.in_flight,
            limit=existing.limit + upstream.limit,
        )
    return tuple(merged[name] for name in sorted(merged))


def merge_moves(reports: list[StatusReport]) -> tuple[MoveReport, ...]:
    """Return every move once, from the report with its most advanced state."""
    order = ("unknown", "waiting", "moving", "done", "taken_back")
    merged: dict[str, MoveReport] = {}
    for move in (item for report in reports for item in report.moves):
        existing = merged.get(move.name)
        if existing is None or rank(order, move.state) > rank(order, existing.state):
            merged[move.name] = move
    return tuple(merged[name] for name in sorted(merged))


def rank(order: tuple[str, ...], state: str) -> int:
    """Return the index of a state in an order, -1 if it is not there."""
    return order.index(state) if state in order else -1


def lagging_problem(vm: VmReport, version: int) -> Problem:
    """Return the problem of a VM that does not have the newest configuration."""
    has = f"version {vm.version}" if vm.version >= 0 else "no configuration"
    message = f"has {has} while version {version} is in force elsewhere"
    return Problem(ProblemCode.VM_LAGGING, vm.name, message)


async def fetch_status(target: Target) -> StatusReport:
    """Return the merged status of all VMs.

    Raises
    ------
    UnreachableError
        If no VM responds.
    """
    found = await survey(target)
    report = merge_reports(found)
    if report is None:
        address, reason = next(iter(sorted(found.failures.items())))
        raise UnreachableError(address, reason, sent=False)
    return report

"""Ask every VM at once, those that other VMs name included."""

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
from .client import Target, UnreachableError, call, checked

SURVEY_TIMEOUT_MS = 3_000
STANDINGS = tuple(UpstreamStatus)
SPEAKING = (VmState.LIVE, VmState.LEAVING)
STATUS: TypeAdapter[StatusReport] = TypeAdapter(StatusReport)


@dataclass(frozen=True)
class Survey:
    """Hold what all VMs say of themselves.

    Parameters
    ----------
    reports : mapping of str to StatusReport
        What each VM that answered reports, by its operator address.
    failures : mapping of str to str
        Why the other addresses gave no report.
    """

    reports: Mapping[str, StatusReport]
    failures: Mapping[str, str]


async def survey(target: Target) -> Survey:
    """Ask the given VMs for their status, then those that they know of."""
    reports: dict[str, StatusReport] = {}
    failures: dict[str, str] = {}

    async def ask(address: str) -> None:
        try:
            answer = await call(
                target, address, "GET", "/operator/status", None, SURVEY_TIMEOUT_MS
            )
            reports[address] = STATUS.validate_python(checked(answer))
        except UnreachableError as error:
            failures[address] = str(error)
        except CuminstileError as error:
            failures[address] = f"{address} refused: {error.message}"
        except ValidationError:
            failures[address] = f"{address} gave a status that is not understood"

    addresses = set(target.addresses)
    while addresses:
        async with anyio.create_task_group() as tasks:
            for address in addresses:
                tasks.start_soon(ask, address)
        addresses = known_addresses(reports) - set(reports) - set(failures)
    return Survey(reports, failures)


def known_addresses(reports: Mapping[str, StatusReport]) -> set[str]:
    """Return the addresses of VMs that others name and that have not reported.

    A VM that was reached at another address than its own counts as reported.
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


def merge(found: Survey) -> StatusReport | None:
    """Return one report over all VMs, or `None` if none answered."""
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
        if not outdated(problem, own, version)
    }
    for vm in vms:
        if vm.version < version and vm.state in SPEAKING:
            problem = lagging(vm, version)
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


def outdated(problem: Problem, own: Mapping[str, VmReport], version: int) -> bool:
    """Return whether a VM itself has meanwhile said better than another VM."""
    if problem.code != ProblemCode.VM_LAGGING or problem.subject not in own:
        return False
    return own[problem.subject].version >= version


def merge_vms(reports: list[StatusReport]) -> tuple[VmReport, ...]:
    """Return every VM once: as it reports itself, else as heard of last."""
    vms: dict[str, VmReport] = {}
    for vm in (vm for report in reports for vm in report.vms):
        held = vms.get(vm.name)
        if held is None or vm.silent_ms < held.silent_ms:
            vms[vm.name] = vm
    vms |= {report.vm.name: report.vm for report in reports}
    return tuple(vms[name] for name in sorted(vms))


def merge_upstreams(reports: list[StatusReport]) -> tuple[UpstreamReport, ...]:
    """Return every upstream once, with the calls of all VMs added up.

    Where VMs see one differently, the worst goes first, and the unknown last.
    """
    merged: dict[str, UpstreamReport] = {}
    for upstream in (item for report in reports for item in report.upstreams):
        held = merged.get(upstream.name)
        if held is None:
            merged[upstream.name] = upstream
            continue
        state = max(held.state, upstream.state, key=STANDINGS.index)
        merged[upstream.name] = replace(
            held,
            state=state,
            in_flight=held.in_flight + upstream.in_flight,
            limit=held.limit + upstream.limit,
        )
    return tuple(merged[name] for name in sorted(merged))


def merge_moves(reports: list[StatusReport]) -> tuple[MoveReport, ...]:
    """Return every move once, from the VM that knows most about it."""
    order = ("unknown", "waiting", "moving", "done", "taken_back")
    merged: dict[str, MoveReport] = {}
    for move in (item for report in reports for item in report.moves):
        held = merged.get(move.name)
        if held is None or rank(order, move.state) > rank(order, held.state):
            merged[move.name] = move
    return tuple(merged[name] for name in sorted(merged))


def rank(order: tuple[str, ...], state: str) -> int:
    """Return the place of a state in an order, -1 if it isn't there."""
    return order.index(state) if state in order else -1


def lagging(vm: VmReport, version: int) -> Problem:
    """Return the problem of a VM that doesn't have the newest configuration."""
    has = f"version {vm.version}" if vm.version >= 0 else "no configuration"
    message = f"has {has} while version {version} is in force elsewhere"
    return Problem(ProblemCode.VM_LAGGING, vm.name, message)


async def whole_status(target: Target) -> StatusReport:
    """Return the status over all VMs.

    Raises
    ------
    UnreachableError
        If no VM answers.
    """
    found = await survey(target)
    report = merge(found)
    if report is None:
        address, reason = next(iter(sorted(found.failures.items())))
        raise UnreachableError(address, reason, sent=False)
    return report

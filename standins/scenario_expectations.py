"""Expectations of the scenario language: one function for each.

Each function returns a list of problems as text; an empty list means that the
expectation holds. An expectation with `within` is checked again until it holds or its
timeout is over.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping

import httpcore

from cuminstile.commands.timeline import Entry

from .caller import Reply, Result, wall_ms
from .fleet import is_good
from .http import ControlError
from .scenario import Action
from .scenario_replies import (
    Problems,
    describe_reply,
    expect_answered,
    expect_ended_by_deadline,
    expect_in_time,
    expect_refused,
    expect_whole,
)
from .scenario_session import (
    NO_VERSION,
    Session,
    UpstreamRun,
    call_operator_api,
    fetch_all_runs,
    fetch_run_report,
)


async def expect_ready(session: Session, *vms: str) -> Problems:
    """Check that VMs are ready and that the balancer sends requests to them."""
    names = vms or tuple(session.responsive_vms())
    problems = []
    for name in names:
        if not await is_good(session.fleet, name, "/readyz"):
            problems.append(f"{name} is not ready")
        elif name not in session.balancer.ready:
            problems.append(f"the balancer does not send requests to {name} yet")
    return problems


def expect_ended(session: Session, *programs: str) -> Problems:
    """Check that programs have exited with status 0."""
    problems = []
    for name in programs:
        process = session.fleet.programs.by_name[name].process
        status = None if process is None else process.poll()
        if status != 0:
            problems.append(f"{name} has exit status {status}, expected 0")
    return problems


async def expect_in_force(session: Session, *vms: str) -> Problems:
    """Check that the configuration accepted last is in force on VMs."""
    problems = []
    for name in vms or tuple(session.responsive_vms()):
        version = await fetch_version(session, name)
        if version != session.version:
            problems.append(f"{name} has version {version}, expected {session.version}")
    return problems


async def fetch_version(session: Session, vm: str) -> int:
    """Return the version in force on a VM; `NO_VERSION` if it does not answer."""
    try:
        status = await call_operator_api(session, vm, "GET", "/operator/status")
    except (ControlError, httpcore.NetworkError, httpcore.TimeoutException):
        return NO_VERSION
    return int(status["vm"]["version"])


def expect_no_revert(session: Session) -> Problems:
    """Check that the version in force never went back on a VM since it started."""
    problems = []
    last: dict[str, int] = {}
    for entry in session.entries():
        if entry.name == "vm_started":
            last.pop(entry.vm, None)
        if entry.name != "config_in_force":
            continue
        version = int(str(entry.fields["version"]))
        if version <= last.get(entry.vm, NO_VERSION):
            problems.append(f"{entry.vm} went from {last[entry.vm]} to {version}")
        last[entry.vm] = version
    return problems


async def expect_runs(session: Session, key: str, count: str) -> Problems:
    """Check how many times the call with an idempotency key ran."""
    runs = [run for run in await fetch_all_runs(session) if run.idempotency_key == key]
    if len(runs) == int(count):
        return []
    return [f"{key} ran {len(runs)} times at {[run.upstream for run in runs]}"]


async def expect_at_most_once(session: Session) -> Problems:
    """Check that no idempotency key ran more than once over all upstreams."""
    runs = Counter(
        run.idempotency_key
        for run in await fetch_all_runs(session)
        if run.idempotency_key
    )
    return [f"{key} ran {count} times" for key, count in runs.items() if count > 1]


async def expect_true_refusals(session: Session) -> Problems:
    """Check that keys whose replies all say `not_run` did not run, and answered did."""
    runs = Counter(run.idempotency_key for run in await fetch_all_runs(session))
    replies: dict[str, list[Reply]] = defaultdict(list)
    for reply in session.all_replies:
        if reply.sent.idempotency_key:
            replies[reply.sent.idempotency_key].append(reply)
    problems = []
    for key, group in replies.items():
        if all(reply.ran == "not_run" for reply in group) and runs[key]:
            outcomes = [describe_reply(reply) for reply in group]
            problems.append(f"{key} ran {runs[key]} times, but its replies: {outcomes}")
        if any(reply.result is Result.ANSWERED for reply in group) and not runs[key]:
            problems.append(f"{key} was answered but did not run")
    return problems


async def expect_no_new_work(
    session: Session, place: str, *, after: float, since: str = ""
) -> Problems:
    """Check that an upstream or data centre gets no calls from some time on.

    Parameters
    ----------
    after : float
        Seconds from the mark of `since`, or of `place`, during which calls may start.
    """
    limit_ms = session.mark_times_ms[since or place] + after * 1000.0
    if wall_ms() < limit_ms + 1_000:
        return [f"too early to check: {place} must get no calls after {limit_ms}"]
    upstreams = upstreams_in(session, place)
    late = [
        run
        for run in await fetch_all_runs(session)
        if run.upstream in upstreams and run.at_ms > limit_ms
    ]
    return describe_late_runs(late, limit_ms)


def upstreams_in(session: Session, place: str) -> set[str]:
    """Return the names of an upstream, or of all upstreams of a data centre."""
    upstreams = session.index.upstreams
    if place in upstreams:
        return {place}
    return {name for name, item in upstreams.items() if item.data_centre == place}


def describe_late_runs(runs: Iterable[UpstreamRun], limit_ms: float) -> Problems:
    """Return a problem for each upstream with runs; all runs start after `limit_ms`."""
    late: dict[str, list[float]] = defaultdict(list)
    for run in runs:
        late[run.upstream].append(run.at_ms - limit_ms)
    return [
        f"{name} got {len(times)} calls, the last {max(times):.0f} ms too late"
        for name, times in late.items()
    ]


async def expect_no_bad_work(
    session: Session, version: str, *, after: float
) -> Problems:
    """Check that a version gets no calls some seconds after its first failed run.

    Parameters
    ----------
    after : float
        Seconds from the first failure since the mark of the version.
    """
    bad = [run for run in await fetch_all_runs(session) if run.version == version]
    failed_ms = [
        run.ended_ms
        for run in bad
        if run.outcome == "failed" and run.ended_ms >= session.mark_times_ms[version]
    ]
    if not failed_ms:
        return [f"{version} has not failed yet"]
    limit_ms = min(failed_ms) + after * 1000.0
    if wall_ms() < limit_ms + 1_000:
        return [f"too early to check: {version} must get no calls after {limit_ms}"]
    return describe_late_runs((run for run in bad if run.at_ms > limit_ms), limit_ms)


async def expect_share(
    session: Session, version: str, *, at_most: float = 1.0, at_least: float = 0.0
) -> Problems:
    """Check a version's share of its stage's runs since the mark `share:VERSION`.

    Without that mark all runs since the start count.
    """
    since_ms = session.mark_times_ms.get(f"share:{version}", 0)
    stage = session.index.versions[version].stage
    runs = [
        run
        for run in await fetch_all_runs(session)
        if run.stage == stage and run.at_ms >= since_ms
    ]
    share = sum(run.version == version for run in runs) / max(1, len(runs))
    if runs and at_least <= share <= at_most:
        return []
    return [f"{version} had {share:.3f} of {len(runs)} runs"]


async def expect_move(session: Session, name: str, state: str) -> Problems:
    """Check the state of a traffic move on every responsive VM."""
    problems = []
    for vm in session.responsive_vms():
        body = await call_operator_api(session, vm, "GET", "/operator/moves")
        states = {row["name"]: row["state"] for row in body["moves"]}
        if states.get(name) != state:
            problems.append(f"{vm} reports {states.get(name)} for {name}")
    return problems


async def expect_bearable(session: Session, *upstreams: str) -> Problems:
    """Check that no upstream was overloaded after it had reported itself as cold."""
    problems = []
    for name in upstreams or tuple(session.fleet.upstream_ports):
        report = await fetch_run_report(session, name)
        if report and report["overloads_told"]:
            highest = report["highest_cold_in_flight"]
            text = f"{name} was overloaded {report['overloads_told']} times"
            problems.append(f"{text}; up to {highest} calls in flight while cold")
    return problems


async def expect_warm(session: Session, *upstreams: str) -> Problems:
    """Check that upstreams are warm."""
    report = {name: await fetch_run_report(session, name) for name in upstreams}
    return [
        f"{name} is {state['state'] if state else 'away'}"
        for name, state in report.items()
        if not state or state["state"] != "warm"
    ]


async def expect_used(session: Session, *places: str, since: str = "") -> Problems:
    """Check that upstreams or data centres got calls, optionally since a mark."""
    runs = await fetch_all_runs(session)
    since_ms = session.mark_times_ms[since] if since else 0
    problems = []
    for place in places:
        names = upstreams_in(session, place)
        if not any(run.upstream in names and run.at_ms >= since_ms for run in runs):
            problems.append(f"{place} got no calls")
    return problems


def expect_event(session: Session, vm: str, event: str) -> Problems:
    """Check that a VM has recorded an event."""
    if any(is_event(entry, vm, event) for entry in session.entries()):
        return []
    return [f"{vm} has not recorded {event}"]


def is_event(entry: Entry, vm: str, event: str) -> bool:
    """Return whether an entry is an event of a VM."""
    return entry.vm == vm and entry.name == event


EXPECTATIONS: Mapping[str, Action] = {
    "expect ready": expect_ready,
    "expect ended": expect_ended,
    "expect in force": expect_in_force,
    "expect no revert": expect_no_revert,
    "expect answered": expect_answered,
    "expect in time": expect_in_time,
    "expect ended by deadline": expect_ended_by_deadline,
    "expect whole": expect_whole,
    "expect refused": expect_refused,
    "expect runs": expect_runs,
    "expect at most once": expect_at_most_once,
    "expect true refusals": expect_true_refusals,
    "expect no new work": expect_no_new_work,
    "expect no bad work": expect_no_bad_work,
    "expect share": expect_share,
    "expect move": expect_move,
    "expect bearable": expect_bearable,
    "expect warm": expect_warm,
    "expect used": expect_used,
    "expect event": expect_event,
}

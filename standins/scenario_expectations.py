"""Check what a scenario expects: a plain function for each expectation.

Each returns what is wrong, as text; nothing is wrong if it returns nothing. An
expectation with `within` is checked again until it holds or its time is over.
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
    expect_answered,
    expect_ended_by_deadline,
    expect_in_time,
    expect_refused,
    expect_whole,
    shown,
)
from .scenario_session import (
    NO_VERSION,
    Session,
    UpstreamRun,
    all_runs,
    ask_operator,
    told_by,
)


async def expect_ready(session: Session, *vms: str) -> Problems:
    """Check that VMs are ready for callers."""
    names = vms or tuple(session.answering_vms())
    problems = []
    for name in names:
        if not await is_good(session.fleet, name, "/readyz"):
            problems.append(f"{name} is not ready")
        elif name not in session.balancer.ready:
            problems.append(f"the balancer does not send to {name} yet")
    return problems


def expect_ended(session: Session, *programs: str) -> Problems:
    """Check that programs have ended with status 0."""
    problems = []
    for name in programs:
        process = session.fleet.programs.by_name[name].process
        status = None if process is None else process.poll()
        if status != 0:
            problems.append(f"{name} has status {status}, 0 is right")
    return problems


async def expect_in_force(session: Session, *vms: str) -> Problems:
    """Check that the version accepted last is in force on VMs."""
    problems = []
    for name in vms or tuple(session.answering_vms()):
        version = await version_on(session, name)
        if version != session.version:
            problems.append(f"{name} has version {version}, not {session.version}")
    return problems


async def version_on(session: Session, vm: str) -> int:
    """Return the version in force on a VM."""
    try:
        status = await ask_operator(session, vm, "GET", "/operator/status")
    except (ControlError, httpcore.NetworkError, httpcore.TimeoutException):
        return NO_VERSION
    return int(status["vm"]["version"])


def expect_no_revert(session: Session) -> Problems:
    """Check that the version in force only grew, on every VM, over all its life."""
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
    """Check how often the call with an idempotency key ran."""
    runs = [run for run in await all_runs(session) if run.idempotency_key == key]
    if len(runs) == int(count):
        return []
    return [f"{key} ran {len(runs)} times at {[run.upstream for run in runs]}"]


async def expect_at_most_once(session: Session) -> Problems:
    """Check that no idempotency key ran twice, anywhere."""
    runs = Counter(
        run.idempotency_key for run in await all_runs(session) if run.idempotency_key
    )
    return [f"{key} ran {count} times" for key, count in runs.items() if count > 1]


async def expect_true_refusals(session: Session) -> Problems:
    """Check that what was only ever refused as not run did not run, and answers did."""
    runs = Counter(run.idempotency_key for run in await all_runs(session))
    replies: dict[str, list[Reply]] = defaultdict(list)
    for reply in session.every:
        if reply.sent.idempotency_key:
            replies[reply.sent.idempotency_key].append(reply)
    problems = []
    for key, group in replies.items():
        if all(reply.ran == "not_run" for reply in group) and runs[key]:
            said = [shown(reply) for reply in group]
            problems.append(f"{key} ran {runs[key]} times, though {said}")
        if any(reply.result is Result.ANSWERED for reply in group) and not runs[key]:
            problems.append(f"{key} was answered and did not run")
    return problems


async def expect_no_new_work(
    session: Session, place: str, *, after: float, since: str = ""
) -> Problems:
    """Check that an upstream or data centre got no call some seconds after its mark."""
    limit_ms = session.marks[since or place] + after * 1000.0
    if wall_ms() < limit_ms + 1_000:
        return [f"too early: {place} is to be without new work from {limit_ms} on"]
    upstreams = upstreams_in(session, place)
    late = [
        run
        for run in await all_runs(session)
        if run.upstream in upstreams and run.at_ms > limit_ms
    ]
    return late_runs(late, limit_ms)


def upstreams_in(session: Session, place: str) -> set[str]:
    """Return an upstream, or the upstreams of a data centre."""
    upstreams = session.index.upstreams
    if place in upstreams:
        return {place}
    return {name for name, item in upstreams.items() if item.data_centre == place}


def late_runs(runs: Iterable[UpstreamRun], limit_ms: float) -> Problems:
    """Return a line for each upstream that had runs after a moment."""
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
    """Check that a version got no call some seconds after its badness first showed."""
    bad = [run for run in await all_runs(session) if run.version == version]
    shown_ms = [
        run.ended_ms
        for run in bad
        if run.outcome == "failed" and run.ended_ms >= session.marks[version]
    ]
    if not shown_ms:
        return [f"{version} has not failed yet"]
    limit_ms = min(shown_ms) + after * 1000.0
    if wall_ms() < limit_ms + 1_000:
        return [f"too early: {version} is to be without work from {limit_ms} on"]
    return late_runs((run for run in bad if run.at_ms > limit_ms), limit_ms)


async def expect_share(
    session: Session, version: str, *, at_most: float = 1.0, at_least: float = 0.0
) -> Problems:
    """Check a version's share of its stage's runs since its mark, or the start."""
    since_ms = session.marks.get(f"share:{version}", 0)
    stage = session.index.versions[version].stage
    runs = [
        run
        for run in await all_runs(session)
        if run.stage == stage and run.at_ms >= since_ms
    ]
    share = sum(run.version == version for run in runs) / max(1, len(runs))
    if runs and at_least <= share <= at_most:
        return []
    return [f"{version} had {share:.3f} of {len(runs)} runs"]


async def expect_move(session: Session, name: str, state: str) -> Problems:
    """Check how every VM says that a traffic move stands."""
    problems = []
    for vm in session.answering_vms():
        body = await ask_operator(session, vm, "GET", "/operator/moves")
        states = {row["name"]: row["state"] for row in body["moves"]}
        if states.get(name) != state:
            problems.append(f"{vm} says {states.get(name)} of {name}")
    return problems


async def expect_bearable(session: Session, *upstreams: str) -> Problems:
    """Check that no upstream known to be cold had more in flight than it bears."""
    problems = []
    for name in upstreams or tuple(session.fleet.upstream_ports):
        told = await told_by(session, name)
        if told and told["overloads_told"]:
            highest = told["highest_cold_in_flight"]
            text = f"{name} fell over {told['overloads_told']} times"
            problems.append(f"{text}; {highest} in flight while cold")
    return problems


async def expect_warm(session: Session, *upstreams: str) -> Problems:
    """Check that upstreams are warm."""
    told = {name: await told_by(session, name) for name in upstreams}
    return [
        f"{name} is {state['state'] if state else 'away'}"
        for name, state in told.items()
        if not state or state["state"] != "warm"
    ]


async def expect_used(session: Session, *places: str, since: str = "") -> Problems:
    """Check that upstreams or data centres have got calls, on request after a mark."""
    runs = await all_runs(session)
    since_ms = session.marks[since] if since else 0
    problems = []
    for place in places:
        names = upstreams_in(session, place)
        if not any(run.upstream in names and run.at_ms >= since_ms for run in runs):
            problems.append(f"{place} has got no call")
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

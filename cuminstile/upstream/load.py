"""Poll the upstreams that this VM owns, and send the changes to the other VMs."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from ..objects.model import Upstream
from ..vm.messages import LoadDigest, LoadEntry
from ..vm.sessions import Session
from .crashes import send_quarantines
from .evidence import LoadReport, apply_report, mark_cold
from .leases import reset_leases
from .peers import is_owner, send_each, sessions_here, upstreams_here
from .ranking import compact_id
from .reports import FetchLoad, fetch_load
from .table import NEVER_MS, Condition, UpstreamState
from .taken_out import mark_cold_while_out

if TYPE_CHECKING:
    from ..runtime import Vm

TICK_MS = 100
MAX_POLLS_PER_TICK = 5
WARM_POLL_INTERVAL_MS = 500
COLD_POLL_INTERVAL_MS = 200
UNAVAILABLE_AFTER_POLLS = 3
DIGEST_INTERVAL_MS = 1_000
REFRESH_INTERVAL_MS = 15_000
LOAD_LEVELS = 8
DIGEST_BYTES_PER_S = 1_000
DIGEST_HEADER_BYTES = 8
ENTRY_BYTES = 16
MS_PER_DS = 100
PAUSE_LIMIT_MS = 500
RESUME_DELAY_MS = 250
FORGET_AFTER_MS = 2_000


@dataclass(frozen=True)
class AnnouncedState:
    """The state of an upstream that was last sent to the other VMs."""

    condition: Condition
    incarnation: int
    level: int
    at_ms: float


@dataclass(frozen=True)
class InitialDigest:
    """The session and configuration with which a VM got its initial digest."""

    session: Session
    config_version: int


@dataclass
class LoadExchange:
    """State of the polling and of the exchange of load with other VMs.

    Parameters
    ----------
    polled_ms : dict of str to float
        When each owned upstream was last polled.
    announced : dict of str to AnnouncedState
        The state of each upstream that was last sent to the other VMs.
    initial_digests : dict of str to InitialDigest
        The latest digest of all owned upstreams that each VM was sent.
    digest_ms : float
        When a digest of changes was last due.
    fetch : FetchLoad
        Requests the load of an upstream.
    """

    polled_ms: dict[str, float] = field(default_factory=dict)
    announced: dict[str, AnnouncedState] = field(default_factory=dict)
    initial_digests: dict[str, InitialDigest] = field(default_factory=dict)
    digest_ms: float = NEVER_MS
    fetch: FetchLoad = fetch_load


async def run_polling_loop(vm: Vm) -> None:
    """Poll owned upstreams and send their changes until cancelled."""
    async with anyio.create_task_group() as tasks:
        while True:
            record_tick(vm)
            mark_cold_while_out(vm)
            for state in due_upstreams(vm):
                vm.load.polled_ms[state.name] = vm.clock.now_ms()
                tasks.start_soon(poll_upstream, vm, state)
            await send_initial_digests(vm)
            await send_digest(vm)
            vm.wait_queue.wake()
            await vm.clock.sleep_ms(TICK_MS)


def record_tick(vm: Vm) -> None:
    """Record that this process runs, and handle a preceding pause.

    After a pause warm upstreams are not called at once: the messages that the other
    VMs sent meanwhile wait in the sessions and are read first. After a long pause the
    sessions have been closed, so every condition is unknown.
    """
    now_ms = vm.clock.now_ms()
    table = vm.upstreams
    paused_ms = now_ms - table.last_tick_ms
    table.last_tick_ms = now_ms
    if paused_ms <= PAUSE_LIMIT_MS or paused_ms == float("inf"):
        return
    table.usable_from_ms = now_ms + RESUME_DELAY_MS
    if paused_ms < FORGET_AFTER_MS:
        return
    for state in table.by_name.values():
        mark_cold(state, now_ms, cold_observed=False)
    reset_leases(vm)


def due_upstreams(vm: Vm) -> list[UpstreamState]:
    """Return the owned upstreams to poll now, the longest overdue first.

    Their number is limited: a VM that knows no other VM yet owns every upstream, and
    polling all of them at once would keep it from connecting to the others.
    """
    now_ms = vm.clock.now_ms()
    upstreams = upstreams_here(vm)
    vm.upstreams.set_upstreams(upstreams)
    owned = [vm.upstreams.state_of(item) for item in upstreams if is_owned(vm, item)]
    overdue = [state for state in owned if now_ms >= next_poll_ms(vm, state)]
    overdue.sort(key=lambda state: next_poll_ms(vm, state))
    return overdue[:MAX_POLLS_PER_TICK]


def is_owned(vm: Vm, upstream: Upstream) -> bool:
    """Return whether this VM polls an upstream."""
    return is_owner(vm, upstream.name)


def next_poll_ms(vm: Vm, state: UpstreamState) -> float:
    """Return when an owned upstream is to be polled next."""
    cold = state.condition is Condition.COLD
    interval_ms = COLD_POLL_INTERVAL_MS if cold else WARM_POLL_INTERVAL_MS
    return vm.load.polled_ms.get(state.name, NEVER_MS) + interval_ms


async def poll_upstream(vm: Vm, state: UpstreamState) -> None:
    """Poll one upstream and apply its report."""
    report = await vm.load.fetch(vm, state.upstream)
    if report is None:
        await record_failed_poll(vm, state)
        return
    state.unread_polls = 0
    state.loaded.apply_report(report.versions, report.process, vm.clock.now_ms())
    if apply_report(state, report):
        await announce(vm, (state,))
    vm.leases.update_foreign_calls(state, report)
    vm.wait_queue.wake()


async def record_failed_poll(vm: Vm, state: UpstreamState) -> None:
    """Count a poll without a report; after a few, mark the upstream unavailable."""
    state.unread_polls += 1
    if state.unread_polls != UNAVAILABLE_AFTER_POLLS:
        return
    now_ms = vm.clock.now_ms()
    report = LoadReport(state.incarnation, Condition.UNAVAILABLE, 0, 0, now_ms)
    if apply_report(state, report):
        await announce(vm, (state,))


async def announce(vm: Vm, states: Iterable[UpstreamState]) -> None:
    """Send a changed condition of upstreams to the other VMs immediately."""
    entries = tuple(entry_of(vm, state) for state in states)
    vm.wait_queue.wake()
    await send_each(sessions_here(vm), LoadDigest(entries))


def entry_of(vm: Vm, state: UpstreamState) -> LoadEntry:
    """Return the digest entry of an upstream, and record it as announced."""
    now_ms = vm.clock.now_ms()
    vm.load.announced[state.name] = AnnouncedState(
        state.condition, state.incarnation, level_of(state), now_ms
    )
    age_ms = min(max(0.0, now_ms - state.evidence_ms), 3_600_000.0)
    return LoadEntry(
        compact_id(state.name),
        state.incarnation,
        int(state.condition),
        state.reported_in_flight,
        state.reported_capacity,
        # Rounded up, so that a report never appears newer than it is.
        -int(-age_ms // MS_PER_DS),
    )


def level_of(state: UpstreamState) -> int:
    """Return the reported load in steps of capacity / `LOAD_LEVELS`."""
    return state.reported_in_flight * LOAD_LEVELS // state.capacity


async def send_initial_digests(vm: Vm) -> None:
    """Send each VM that has just connected the state of all owned upstreams.

    It is sent again when the VM's configuration has changed: the VM ignored entries of
    upstreams that its earlier configuration did not contain.
    """
    for session in tuple(vm.sessions.by_name.values()):
        member = vm.members.by_name.get(session.name)
        now = InitialDigest(session, member.config_version if member else -1)
        if vm.load.initial_digests.get(session.name) == now:
            continue
        vm.load.initial_digests[session.name] = now
        await send_quarantines(vm, session)
        if session.data_centre != vm.settings.data_centre:
            continue
        known = [state for state in owned_states(vm) if state.evidence_ms > NEVER_MS]
        entries = tuple(entry_of(vm, state) for state in known)
        await send_each((session,), LoadDigest(entries))


def owned_states(vm: Vm) -> list[UpstreamState]:
    """Return the states of the upstreams that this VM owns."""
    return [
        vm.upstreams.state_of(item) for item in upstreams_here(vm) if is_owned(vm, item)
    ]


async def send_digest(vm: Vm) -> None:
    """Send the greatest changes to the other VMs, within the byte limit per second."""
    now_ms = vm.clock.now_ms()
    if now_ms - vm.load.digest_ms < DIGEST_INTERVAL_MS:
        return
    vm.load.digest_ms = now_ms
    sessions = sessions_here(vm)
    scored = [(change_of(vm, state), state.name, state) for state in owned_states(vm)]
    changed = sorted((item for item in scored if item[0] > 0), reverse=True)
    greatest = changed[: entries_allowed(len(sessions))]
    if not greatest or not sessions:
        return
    entries = tuple(entry_of(vm, state) for _, _, state in greatest)
    await send_each(sessions, LoadDigest(entries))


def entries_allowed(peers: int) -> int:
    """Return how many entries a digest that is sent to `peers` VMs may have."""
    interval_bytes = DIGEST_BYTES_PER_S * DIGEST_INTERVAL_MS // 1_000
    return max(
        1, (interval_bytes // max(1, peers) - DIGEST_HEADER_BYTES) // ENTRY_BYTES
    )


def change_of(vm: Vm, state: UpstreamState) -> float:
    """Return how much an upstream has changed since it was announced.

    It is 0 for no change and infinity for a new condition. An upstream that was not
    announced for `REFRESH_INTERVAL_MS` counts as changed.
    """
    announced = vm.load.announced.get(state.name)
    if announced is None:
        return float("inf") if state.evidence_ms > NEVER_MS else 0.0
    if (announced.condition, announced.incarnation) != (
        state.condition,
        state.incarnation,
    ):
        return float("inf")
    age_ms = vm.clock.now_ms() - announced.at_ms
    refresh = age_ms / REFRESH_INTERVAL_MS if age_ms >= REFRESH_INTERVAL_MS else 0.0
    return abs(level_of(state) - announced.level) + refresh


async def on_load_digest(vm: Vm, session: Session, message: LoadDigest) -> None:
    """Apply the load entries of another VM of this data centre."""
    if session.data_centre != vm.settings.data_centre:
        return
    vm.upstreams.set_upstreams(upstreams_here(vm))
    for entry in message.entries:
        state = vm.upstreams.by_id.get(entry.upstream)
        if state is not None:
            apply_entry(vm, session, state, entry)
    vm.wait_queue.wake()


def apply_entry(
    vm: Vm, session: Session, state: UpstreamState, entry: LoadEntry
) -> None:
    """Apply one entry, unless it reports warm and that contradicts a lease."""
    now_ms = vm.clock.now_ms()
    try:
        condition = Condition(entry.condition)
    except ValueError:
        return
    holder = vm.leases.granted_to(state.name, now_ms)
    if condition is Condition.WARM and holder not in ("", session.name):
        return
    if condition is Condition.WARM and vm.leases.holds_or_requests(state.name):
        return
    about_ms = now_ms - entry.age_ds * MS_PER_DS
    if condition is Condition.WARM and holder == session.name:
        # Only the holder of the lease calls the upstream, so its entry takes
        # precedence over the evidence of this VM.
        about_ms = max(about_ms, state.evidence_ms)
    if condition is Condition.WARM and about_ms >= state.evidence_ms:
        # The sender has seen the upstream ramp up.
        state.cold_observed = False
    apply_report(
        state,
        LoadReport(
            entry.incarnation, condition, entry.in_flight, entry.capacity, about_ms
        ),
    )

"""Poll the upstreams that this VM owns, and tell the other VMs what changes."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from ..objects.model import Upstream
from ..vm.messages import LoadDigest, LoadEntry
from ..vm.sessions import Session
from .crashes import greet_with_crashes
from .evidence import LoadReport, mark_cold, take_report
from .leases import reset_leases
from .peers import is_owner, send_each, sessions_here, upstreams_here
from .ranking import compact_id
from .reports import FetchLoad, fetch_load
from .table import NEVER_MS, Condition, UpstreamState
from .taken_out import cool_down

if TYPE_CHECKING:
    from ..runtime import Vm

TICK_MS = 100
MAX_POLLS_PER_TICK = 5
WARM_POLL_INTERVAL_MS = 500
COLD_POLL_INTERVAL_MS = 200
AWAY_AFTER_POLLS = 3
DIGEST_INTERVAL_MS = 1_000
REFRESH_INTERVAL_MS = 15_000
LEVELS = 8
DIGEST_BYTES_PER_S = 1_000
DIGEST_HEAD_BYTES = 8
ENTRY_BYTES = 16
MS_PER_DS = 100
PAUSE_LIMIT_MS = 500
SETTLE_MS = 250
FORGET_AFTER_MS = 2_000


@dataclass(frozen=True)
class Told:
    """Hold what the other VMs were last told about an upstream."""

    condition: Condition
    incarnation: int
    level: int
    at_ms: float


@dataclass(frozen=True)
class Greeted:
    """Hold with which session and configuration a VM was told everything."""

    session: Session
    config_version: int


@dataclass
class LoadExchange:
    """Hold what was polled and what was told.

    Parameters
    ----------
    polled_ms : dict of str to float
        When each owned upstream was last polled.
    told : dict of str to Told
        What the other VMs were last told.
    fetch : FetchLoad
        Asks an upstream for its load.
    greeted : dict of str to Greeted
        When each VM was last told about every owned upstream.
    """

    polled_ms: dict[str, float] = field(default_factory=dict)
    told: dict[str, Told] = field(default_factory=dict)
    greeted: dict[str, Greeted] = field(default_factory=dict)
    digest_ms: float = NEVER_MS
    fetch: FetchLoad = fetch_load


async def run_polling_loop(vm: Vm) -> None:
    """Poll owned upstreams and pass on what changes, for ever."""
    async with anyio.create_task_group() as tasks:
        while True:
            note_tick(vm)
            cool_down(vm)
            for state in due(vm):
                vm.load.polled_ms[state.name] = vm.clock.now_ms()
                tasks.start_soon(poll, vm, state)
            await greet_new_sessions(vm)
            await pass_on_changes(vm)
            vm.wait_queue.wake()
            await vm.clock.sleep_ms(TICK_MS)


def note_tick(vm: Vm) -> None:
    """Note that this process runs; after a pause trust no warm upstream at once.

    What the other VMs said meanwhile waits in the sessions and is read first. After
    a long pause the sessions were closed, so that every condition is unknown.
    """
    now_ms = vm.clock.now_ms()
    table = vm.upstreams
    paused_ms = now_ms - table.last_tick_ms
    table.last_tick_ms = now_ms
    if paused_ms <= PAUSE_LIMIT_MS or paused_ms == float("inf"):
        return
    table.settled_ms = now_ms + SETTLE_MS
    if paused_ms < FORGET_AFTER_MS:
        return
    for state in table.by_name.values():
        mark_cold(state, now_ms, cold_observed=False)
    reset_leases(vm)


def due(vm: Vm) -> list[UpstreamState]:
    """Return the owned upstreams to poll now, those that wait longest first.

    They are few at a time: a VM that knows no other yet owns every upstream, and
    polling all of them would keep it from meeting the others.
    """
    now_ms = vm.clock.now_ms()
    upstreams = upstreams_here(vm)
    vm.upstreams.keep(upstreams)
    owned = [vm.upstreams.state_of(item) for item in upstreams if is_owned(vm, item)]
    waiting = [state for state in owned if now_ms >= next_poll_ms(vm, state)]
    waiting.sort(key=lambda state: next_poll_ms(vm, state))
    return waiting[:MAX_POLLS_PER_TICK]


def is_owned(vm: Vm, upstream: Upstream) -> bool:
    """Return whether this VM polls an upstream."""
    return is_owner(vm, upstream.name)


def next_poll_ms(vm: Vm, state: UpstreamState) -> float:
    """Return when an owned upstream is to be polled next."""
    cold = state.condition is Condition.COLD
    interval_ms = COLD_POLL_INTERVAL_MS if cold else WARM_POLL_INTERVAL_MS
    return vm.load.polled_ms.get(state.name, NEVER_MS) + interval_ms


async def poll(vm: Vm, state: UpstreamState) -> None:
    """Poll one upstream and take over what it reports."""
    report = await vm.load.fetch(vm, state.upstream)
    if report is None:
        await note_unread(vm, state)
        return
    state.unread_polls = 0
    state.loaded.take(report.versions, report.process, vm.clock.now_ms())
    if take_report(state, report):
        await announce(vm, (state,))
    vm.leases.count_foreign(state, report)
    vm.wait_queue.wake()


async def note_unread(vm: Vm, state: UpstreamState) -> None:
    """Count a poll without a report; after a few the upstream is away."""
    state.unread_polls += 1
    if state.unread_polls != AWAY_AFTER_POLLS:
        return
    now_ms = vm.clock.now_ms()
    report = LoadReport(state.incarnation, Condition.UNAVAILABLE, 0, 0, now_ms)
    if take_report(state, report):
        await announce(vm, (state,))


async def announce(vm: Vm, states: Iterable[UpstreamState]) -> None:
    """Tell the other VMs at once that the condition of upstreams has changed."""
    entries = tuple(entry_of(vm, state) for state in states)
    vm.wait_queue.wake()
    await send_each(sessions_here(vm), LoadDigest(entries))


def entry_of(vm: Vm, state: UpstreamState) -> LoadEntry:
    """Return what this VM tells about an upstream, and note that it is told."""
    now_ms = vm.clock.now_ms()
    vm.load.told[state.name] = Told(
        state.condition, state.incarnation, level_of(state), now_ms
    )
    age_ms = min(max(0.0, now_ms - state.evidence_ms), 3_600_000.0)
    return LoadEntry(
        compact_id(state.name),
        state.incarnation,
        int(state.condition),
        state.reported_in_flight,
        state.reported_capacity,
        # Rounded up, so that a report never seems fresher than it is.
        -int(-age_ms // MS_PER_DS),
    )


def level_of(state: UpstreamState) -> int:
    """Return the reported load in steps that are worth telling."""
    return state.reported_in_flight * LEVELS // state.capacity


async def greet_new_sessions(vm: Vm) -> None:
    """Tell each VM that has just connected what it may not know.

    One that has another configuration in force than before is told again: it left out
    what it was told about upstreams that it did not have yet.
    """
    for session in tuple(vm.sessions.by_name.values()):
        member = vm.members.by_name.get(session.name)
        now = Greeted(session, member.config_version if member else -1)
        if vm.load.greeted.get(session.name) == now:
            continue
        vm.load.greeted[session.name] = now
        await greet_with_crashes(vm, session)
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


async def pass_on_changes(vm: Vm) -> None:
    """Tell the other VMs the greatest changes, within the bytes allowed a second."""
    now_ms = vm.clock.now_ms()
    if now_ms - vm.load.digest_ms < DIGEST_INTERVAL_MS:
        return
    vm.load.digest_ms = now_ms
    sessions = sessions_here(vm)
    weighed = [(change_of(vm, state), state.name, state) for state in owned_states(vm)]
    changed = sorted((item for item in weighed if item[0] > 0), reverse=True)
    chosen = changed[: entries_allowed(len(sessions))]
    if not chosen or not sessions:
        return
    entries = tuple(entry_of(vm, state) for _, _, state in chosen)
    await send_each(sessions, LoadDigest(entries))


def entries_allowed(peers: int) -> int:
    """Return how many entries a digest to this many VMs may have."""
    interval_bytes = DIGEST_BYTES_PER_S * DIGEST_INTERVAL_MS // 1_000
    return max(1, (interval_bytes // max(1, peers) - DIGEST_HEAD_BYTES) // ENTRY_BYTES)


def change_of(vm: Vm, state: UpstreamState) -> float:
    """Return how much an upstream has changed since it was told about; 0 for no."""
    told = vm.load.told.get(state.name)
    if told is None:
        return float("inf") if state.evidence_ms > NEVER_MS else 0.0
    if (told.condition, told.incarnation) != (state.condition, state.incarnation):
        return float("inf")
    age_ms = vm.clock.now_ms() - told.at_ms
    refresh = age_ms / REFRESH_INTERVAL_MS if age_ms >= REFRESH_INTERVAL_MS else 0.0
    return abs(level_of(state) - told.level) + refresh


async def on_load_digest(vm: Vm, session: Session, message: LoadDigest) -> None:
    """Take over what another VM of the data centre tells about upstreams."""
    if session.data_centre != vm.settings.data_centre:
        return
    vm.upstreams.keep(upstreams_here(vm))
    for entry in message.entries:
        state = vm.upstreams.by_id.get(entry.upstream)
        if state is not None:
            take_entry(vm, session, state, entry)
    vm.wait_queue.wake()


def take_entry(
    vm: Vm, session: Session, state: UpstreamState, entry: LoadEntry
) -> None:
    """Take over one entry, but no warmth that the upstream's lease contradicts."""
    now_ms = vm.clock.now_ms()
    try:
        condition = Condition(entry.condition)
    except ValueError:
        return
    holder = vm.leases.granted_to(state.name, now_ms)
    if condition is Condition.WARM and holder not in ("", session.name):
        return
    if condition is Condition.WARM and vm.leases.is_held(state.name):
        return
    about_ms = now_ms - entry.age_ds * MS_PER_DS
    if condition is Condition.WARM and holder == session.name:
        # Only the holder calls it, so that its word outweighs older evidence here.
        about_ms = max(about_ms, state.evidence_ms)
    if condition is Condition.WARM and about_ms >= state.evidence_ms:
        # The sender has seen it ramped up.
        state.cold_observed = False
    take_report(
        state,
        LoadReport(
            entry.incarnation, condition, entry.in_flight, entry.capacity, about_ms
        ),
    )

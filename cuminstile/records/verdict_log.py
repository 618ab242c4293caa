"""Follow the platform's `moves` stream and append verdicts on traffic moves to it."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from ..const import CONFIG_RENEWAL_INTERVAL_MS, MOVE_STREAM, RECONNECT_MAX_MS
from ..events import Event
from ..exceptions import CuminstileError, PlatformUnavailableError, TrimmedError
from ..moves import MoveState, done_reason
from ..rendezvous import rank
from ..traffic import settled_version_of
from .client import Record
from .verdicts import RECORD_CODEC, KnownVerdict, Verdict, VerdictRecord, make_verdict

if TYPE_CHECKING:
    from ..runtime import Vm

POLL_WAIT_MS = 2_000
RECORD_INTERVAL_MS = 250
TURN_MS = 500
RETRY_MS = 3_000


async def follow_verdicts(vm: Vm) -> None:
    """Read the stream of verdicts and apply every record; never returns."""
    while True:
        try:
            await read_verdicts(vm, POLL_WAIT_MS)
        except PlatformUnavailableError:
            await vm.clock.sleep_ms(RECONNECT_MAX_MS)


async def read_verdicts(vm: Vm, wait_ms: int) -> None:
    """Read once from the next offset and apply the records.

    Raises
    ------
    PlatformUnavailableError
        If the platform doesn't answer.
    """
    state = vm.traffic.verdicts
    wait_ms = wait_ms if state.caught_up else 0
    try:
        batch = await vm.platform.read(MOVE_STREAM, state.next_offset, wait_ms=wait_ms)
    except TrimmedError as error:
        state.next_offset = error.first_offset
        return
    for record in batch.records:
        apply(vm, record)
    if not batch.records:
        state.caught_up = True


def apply(vm: Vm, record: Record) -> None:
    """Apply one record; a malformed one is logged and skipped."""
    try:
        known = vm.traffic.verdicts.apply(record)
    except CuminstileError as error:
        vm.journal.record(
            Event.MOVE_VERDICT_REFUSED, offset=record.offset, reason=error.message
        )
        return
    if known is not None:
        vm.journal.record(
            Event.MOVE_VERDICT,
            move=known.record.name,
            verdict=known.record.verdict.name.lower(),
            reason=known.record.reason,
            offset=record.offset,
        )


async def record_verdicts(vm: Vm) -> None:
    """Append due verdicts, and copies of old ones, at intervals; never returns."""
    while True:
        await append_due_verdicts(vm)
        await vm.clock.sleep_ms(RECORD_INTERVAL_MS)


async def append_due_verdicts(vm: Vm) -> None:
    """Append the verdicts and the copies that are due on this VM now."""
    for state in tuple(vm.traffic.moves.values()):
        if is_own_turn(vm, state):
            await append_verdict(vm, state)
    for known in tuple(vm.traffic.verdicts.by_number.values()):
        if is_copy_due(vm, known):
            await append_copy(vm, known)


def is_own_turn(vm: Vm, state: MoveState) -> bool:
    """Return whether this VM should append the verdict on a move now.

    The VMs take turns, so that usually only one of them appends it. A second append
    does no harm.
    """
    if state.verdict_due_since_ms is None or not vm.traffic.verdicts.caught_up:
        return False
    waited_ms = vm.clock.now_ms() - state.verdict_due_since_ms
    return waited_ms >= TURN_MS * turn_of(vm, state.move.name)


def turn_of(vm: Vm, key: str) -> int:
    """Return this VM's rank among the VMs that are alive and not leaving."""
    alive = vm.members.alive(vm.clock.now_ms())
    names = [member.name for member in alive if not member.leaving]
    own = vm.settings.name
    return rank(key, [*names, own]).index(own)


async def append_verdict(vm: Vm, state: MoveState) -> None:
    """Append a verdict unless the stream has one; the append may go unacknowledged."""
    try:
        await read_verdicts(vm, 0)
        if vm.traffic.verdicts.of(state.number):
            return
        await vm.platform.append(
            MOVE_STREAM, RECORD_CODEC.encode(verdict_on(vm, state))
        )
        await read_verdicts(vm, 0)
    except PlatformUnavailableError:
        # The append may have succeeded: the next round reads before it appends again.
        state.verdict_due_since_ms = vm.clock.now_ms() + RETRY_MS


def verdict_on(vm: Vm, state: MoveState) -> VerdictRecord:
    """Return the record of the verdict that this VM has reached."""
    decision = state.decision
    move = state.move
    settled = settled_version_of(vm, move.stage) or move.from_version
    return make_verdict(
        move,
        state.number,
        Verdict.TAKEN_BACK if decision.taken_back else Verdict.DONE,
        settled if decision.taken_back else move.to_version,
        decision.reason or done_reason(state),
        vm.settings.name,
        secrets.token_hex(8),
    )


def is_copy_due(vm: Vm, known: KnownVerdict) -> bool:
    """Return whether this VM should copy a verdict that may soon be trimmed."""
    current = vm.configuration.current
    if current is None or known.record.stage not in current.objects.stages:
        return False
    age_ms = vm.clock.wall_ms() - known.written_ms
    if not vm.traffic.verdicts.caught_up or age_ms < CONFIG_RENEWAL_INTERVAL_MS:
        return False
    return is_last_or_published(vm, known) and turn_of(vm, known.record.name) == 0


def is_last_or_published(vm: Vm, known: KnownVerdict) -> bool:
    """Return whether a verdict is the last of its stage or its move is published."""
    record = known.record
    if record.name in vm.objects.moves:
        return True
    others = (
        other.record.start_at_ms
        for other in vm.traffic.verdicts.by_number.values()
        if other.record.stage == record.stage
    )
    return record.start_at_ms >= max(others)


async def append_copy(vm: Vm, known: KnownVerdict) -> None:
    """Append the record of a verdict again, unchanged."""
    try:
        await vm.platform.append(MOVE_STREAM, RECORD_CODEC.encode(known.record))
        await read_verdicts(vm, 0)
    except PlatformUnavailableError:
        return  # The next round retries; a copy that is appended twice does no harm.

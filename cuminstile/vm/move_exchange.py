"""Tell the other VMs about traffic moves, and hear from them."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from ..const import FORMAT, HEARTBEAT_REMOTE_INTERVAL_MS
from ..events import Event
from ..evidence import Evidence
from ..exceptions import CuminstileError
from ..moves import LAST_STEP, MoveMark, MoveState
from ..platform.verdicts import RECORDS, decode_verdict
from ..traffic_state import NO_MOVE, SentEvidence, Told
from .messages import MoveEvidence, MoveStep, MoveVerdict, RouteEvidence

if TYPE_CHECKING:
    from ..runtime import Vm
    from .sessions import Session

EVIDENCE_INTERVAL_MS = 1_000
REPEAT_INTERVAL_MS = 30_000
ENTRIES_PER_ROUND = 24
MAX_ENTRIES = 8


async def tell_marks(vm: Vm) -> None:
    """Tell each other VM the marks and verdicts that it has not been told."""
    for session in tuple(vm.sessions.by_name.values()):
        try:
            await tell_one(vm, session)
        except CuminstileError:
            # The session has broken; the next one is told everything again.
            vm.traffic.told.pop(session.name, None)


async def tell_one(vm: Vm, session: Session) -> None:
    """Tell one other VM what it has not been told in this session."""
    traffic = vm.traffic
    told = traffic.told.get(session.name)
    if told is None or told.session is not session:
        if not traffic.is_informed():
            return
        told = traffic.told[session.name] = Told(session)
    for number in verdicts_to_tell(vm):
        if number not in told.verdicts:
            told.verdicts.add(number)
            record = traffic.verdicts.by_number[number].record
            await session.send(MoveVerdict(RECORDS.encode(record)))
    for number, mark in marks_to_tell(vm).items():
        if told.marks.get(number) != mark:
            told.marks[number] = mark
            await session.send(
                MoveStep(number, mark.step, mark.taken_back, mark.reason)
            )


def marks_to_tell(vm: Vm) -> dict[int, MoveMark]:
    """Return the marks by the moves' numbers; the empty one says that is all."""
    marks = {number: state.mark for number, state in vm.traffic.moves.items()}
    return {**marks, NO_MOVE: MoveMark()}


def verdicts_to_tell(vm: Vm) -> list[int]:
    """Return the numbers of the verdicts on stages that there still are."""
    current = vm.configuration.current
    stages = current.objects.stages if current else {}
    return [
        number
        for number, known in vm.traffic.verdicts.by_number.items()
        if known.record.stage in stages
    ]


async def tell_evidence(vm: Vm) -> None:
    """Tell the other VMs this VM's evidence, what has changed most first.

    How much goes out at once depends on the number of sessions, so that the bytes a
    second stay the same in a large data centre.
    """
    now_ms = vm.clock.now_ms()
    due = [session for session in vm.sessions.by_name.values() if is_due(vm, session)]
    if not due:
        return
    limit = max(1, min(MAX_ENTRIES, ENTRIES_PER_ROUND // len(vm.sessions.by_name)))
    entries = choose_entries(vm, now_ms, limit)
    for session in due:
        session.told_evidence_ms = now_ms
        if not entries:
            continue
        try:
            await session.send(MoveEvidence(entries))
        except CuminstileError:
            continue


def is_due(vm: Vm, session: Session) -> bool:
    """Return whether a session gets evidence in this round."""
    own = session.data_centre == vm.settings.data_centre
    interval_ms = EVIDENCE_INTERVAL_MS if own else HEARTBEAT_REMOTE_INTERVAL_MS
    return vm.clock.now_ms() - session.told_evidence_ms >= interval_ms


def choose_entries(vm: Vm, now_ms: float, limit: int) -> tuple[RouteEvidence, ...]:
    """Return the entries that matter most to the others now."""
    sent = vm.traffic.sent
    entries = [
        entry for state in vm.traffic.moves.values() for entry in entries_of(state)
    ]

    def urgency(entry: RouteEvidence) -> tuple[float, float]:
        last = sent.get((entry.move, entry.route))
        if last is None:
            return (float("inf"), 0.0)
        changes = zip(entry.log_bets, last.entry.log_bets, strict=True)
        change = max(abs(new - old) for new, old in changes)
        return (float(change), now_ms - last.sent_ms)

    def is_news(entry: RouteEvidence) -> bool:
        last = sent.get((entry.move, entry.route))
        if last is None or last.entry != entry:
            return True
        return now_ms - last.sent_ms >= REPEAT_INTERVAL_MS

    chosen = sorted(filter(is_news, entries), key=urgency, reverse=True)[:limit]
    for entry in chosen:
        sent[entry.move, entry.route] = SentEvidence(entry, now_ms)
    return tuple(chosen)


def entries_of(state: MoveState) -> Iterator[RouteEvidence]:
    """Yield this VM's own evidence on one move."""
    for route, counter in state.ledger.own.items():
        evidence = counter.evidence
        yield RouteEvidence(
            state.number,
            route,
            evidence.new_good,
            evidence.new_failed,
            evidence.new_late,
            evidence.old_good,
            evidence.old_failed,
            evidence.old_late,
            evidence.log_bets,
            round(state.late_above_ms.get(route, 0.0)),
        )


def source_of(session: Session) -> str:
    """Return what names the other VM in its present incarnation."""
    return f"{session.name}/{session.incarnation}"


async def on_move_evidence(vm: Vm, session: Session, message: MoveEvidence) -> None:
    """Take in another VM's evidence; the newest counts."""
    for entry in message.entries:
        state = vm.traffic.moves.get(entry.move)
        if state is None or len(entry.log_bets) != len(Evidence().log_bets):
            continue
        evidence = Evidence(
            entry.new_good,
            entry.new_failed,
            entry.new_late,
            entry.old_good,
            entry.old_failed,
            entry.old_late,
            entry.log_bets,
        )
        state.ledger.hear(source_of(session), entry.route, evidence)
        if entry.late_above_ms:
            state.late_above_ms.setdefault(entry.route, float(entry.late_above_ms))


async def on_move_step(vm: Vm, session: Session, message: MoveStep) -> None:
    """Join another VM's mark of a move to this VM's own."""
    if message.move == NO_MOVE:
        vm.traffic.met = True
        return
    step = max(0, min(LAST_STEP, message.step))
    mark = MoveMark(step, message.taken_back, message.reason)
    state = vm.traffic.moves.get(message.move)
    if state is None:
        vm.traffic.keep_mark(message.move, mark)
    elif state.merge(mark, vm.clock.wall_ms()):
        event = Event.MOVE_TAKEN_BACK if mark.taken_back else Event.MOVE_STEP
        vm.journal.record(
            event, move=state.move.name, step=state.mark.step, peer=session.name
        )


async def on_move_verdict(vm: Vm, session: Session, message: MoveVerdict) -> None:
    """Take over a verdict that another VM has read from the log."""
    record = decode_verdict(message.payload)
    if record is None or record.format != FORMAT:
        vm.journal.record(
            Event.PEER_MESSAGE_REFUSED, peer=session.name, reason="not a verdict"
        )
        return
    if vm.traffic.verdicts.hear(record):
        vm.journal.record(
            Event.MOVE_VERDICT,
            move=record.name,
            verdict=record.verdict.name.lower(),
            reason=record.reason,
            peer=session.name,
        )

"""Exchange decisions, verdicts and evidence of traffic moves with the other VMs."""

from __future__ import annotations

import contextlib
import math
from collections.abc import Iterator
from typing import TYPE_CHECKING

from ..const import HEARTBEAT_REMOTE_INTERVAL_MS
from ..events import Event
from ..evidence import Evidence
from ..exceptions import CuminstileError
from ..moves import LAST_STEP, MoveDecision, MoveState
from ..records.verdicts import RECORD_CODEC, VERDICT_FORMAT, decode_verdict
from ..traffic_state import NO_MOVE, EvidenceBroadcast, SentEvidence, SentMoves
from .messages import MoveEvidence, MoveStep, MoveVerdict, RouteEvidence

if TYPE_CHECKING:
    from ..runtime import Vm
    from .sessions import Session

EVIDENCE_INTERVAL_MS = 1_000
REPEAT_INTERVAL_MS = 30_000
ENTRIES_PER_ROUND = 24
MAX_ENTRIES = 8
URGENT_LOG_BETS = 50


async def send_decisions(vm: Vm) -> None:
    """Send each other VM the decisions and verdicts not yet sent to it."""
    for session in tuple(vm.sessions.by_name.values()):
        try:
            await send_decisions_to_peer(vm, session)
        except CuminstileError:
            # The session has closed; everything is sent again on the next one.
            vm.traffic.sent_moves.pop(session.name, None)


async def send_decisions_to_peer(vm: Vm, session: Session) -> None:
    """Send one other VM what has not been sent to it in this session."""
    traffic = vm.traffic
    sent_moves = traffic.sent_moves.get(session.name)
    if sent_moves is None or sent_moves.session is not session:
        if not traffic.knows_past_decisions():
            return
        sent_moves = traffic.sent_moves[session.name] = SentMoves(session)
    for number in current_verdicts(vm):
        if number not in sent_moves.verdicts:
            sent_moves.verdicts.add(number)
            record = traffic.verdicts.by_number[number].record
            await session.send(MoveVerdict(RECORD_CODEC.encode(record)))
    for number, decision in current_decisions(vm).items():
        if sent_moves.decisions.get(number) != decision:
            sent_moves.decisions[number] = decision
            await session.send(
                MoveStep(number, decision.step, decision.taken_back, decision.reason)
            )


def current_decisions(vm: Vm) -> dict[int, MoveDecision]:
    """Return the decisions by move number, with an empty one last as end marker."""
    decisions = {number: state.decision for number, state in vm.traffic.moves.items()}
    return {**decisions, NO_MOVE: MoveDecision()}


def current_verdicts(vm: Vm) -> list[int]:
    """Return the numbers of the verdicts on stages of the current configuration."""
    current = vm.configuration.current
    stages = current.objects.stages if current else {}
    return [
        number
        for number, known in vm.traffic.verdicts.by_number.items()
        if known.record.stage in stages
    ]


async def send_evidence(vm: Vm) -> None:
    """Send this VM's evidence to the other VMs, the most changed entries first.

    The number of entries per message shrinks with the number of sessions, so that
    the bytes per second do not grow in a large data centre.
    """
    sessions = tuple(vm.sessions.by_name.values())
    if not sessions or not vm.traffic.moves:
        return
    own = vm.settings.data_centre
    limit = max(1, min(MAX_ENTRIES, ENTRIES_PER_ROUND // len(sessions)))
    here = [session for session in sessions if session.data_centre == own]
    elsewhere = [session for session in sessions if session.data_centre != own]
    await send_evidence_to(vm, vm.traffic.here, here, EVIDENCE_INTERVAL_MS, limit)
    # Other data centres get it less often, unless evidence against a version grew.
    increase = evidence_against(vm) - vm.traffic.elsewhere.log_bets
    is_urgent = increase >= URGENT_LOG_BETS
    interval_ms = EVIDENCE_INTERVAL_MS if is_urgent else HEARTBEAT_REMOTE_INTERVAL_MS
    await send_evidence_to(vm, vm.traffic.elsewhere, elsewhere, interval_ms, limit)


async def send_evidence_to(
    vm: Vm,
    broadcast: EvidenceBroadcast,
    sessions: list[Session],
    interval_ms: float,
    limit: int,
) -> None:
    """Send the same entries to some VMs if the interval has passed."""
    now_ms = vm.clock.now_ms()
    if now_ms - broadcast.last_sent_ms < interval_ms:
        return
    broadcast.last_sent_ms = now_ms
    broadcast.log_bets = evidence_against(vm)
    entries = choose_entries(vm, broadcast, limit)
    if not entries:
        return
    for session in sessions:
        with contextlib.suppress(CuminstileError):
            await session.send(MoveEvidence(entries))


def evidence_against(vm: Vm) -> int:
    """Return this VM's evidence against new versions, in hundredths of a nat."""
    return sum(
        max(counter.evidence.log_bets)
        for state in vm.traffic.moves.values()
        for counter in state.evidence_table.own.values()
    )


def choose_entries(
    vm: Vm, broadcast: EvidenceBroadcast, limit: int
) -> tuple[RouteEvidence, ...]:
    """Return the most urgent entries, and record them as sent."""
    now_ms = vm.clock.now_ms()
    entries = (
        entry for state in vm.traffic.moves.values() for entry in entries_of(state)
    )
    candidates = [entry for entry in entries if needs_sending(broadcast, entry, now_ms)]
    candidates.sort(key=lambda entry: urgency(broadcast, entry, now_ms), reverse=True)
    for entry in candidates[:limit]:
        broadcast.sent[entry.move, entry.route] = SentEvidence(entry, now_ms)
    return tuple(candidates[:limit])


def needs_sending(
    broadcast: EvidenceBroadcast, entry: RouteEvidence, now_ms: float
) -> bool:
    """Return whether an entry has changed, or was sent long ago."""
    last = broadcast.sent.get((entry.move, entry.route))
    if last is None or last.entry != entry:
        return True
    return now_ms - last.sent_ms >= REPEAT_INTERVAL_MS


def urgency(
    broadcast: EvidenceBroadcast, entry: RouteEvidence, now_ms: float
) -> tuple[float, float]:
    """Return the sort key of an entry: the change against a version, then its age."""
    last = broadcast.sent.get((entry.move, entry.route))
    if last is None:
        return (float(max(entry.log_bets)), math.inf)
    changes = zip(entry.log_bets, last.entry.log_bets, strict=True)
    against = max(new - old for new, old in changes)
    return (max(0.0, float(against)), now_ms - last.sent_ms)


def entries_of(state: MoveState) -> Iterator[RouteEvidence]:
    """Yield this VM's own evidence on one move."""
    for route, counter in state.evidence_table.own.items():
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
    """Return the name of the other VM with its incarnation."""
    return f"{session.name}/{session.incarnation}"


async def on_move_evidence(vm: Vm, session: Session, message: MoveEvidence) -> None:
    """Apply another VM's evidence, which replaces its earlier evidence."""
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
        state.evidence_table.apply_evidence(source_of(session), entry.route, evidence)
        if entry.late_above_ms:
            state.late_above_ms.setdefault(entry.route, float(entry.late_above_ms))


async def on_move_step(vm: Vm, session: Session, message: MoveStep) -> None:
    """Merge another VM's decision on a move into this VM's own."""
    if message.move == NO_MOVE:
        vm.traffic.has_peer_decisions = True
        return
    step = max(0, min(LAST_STEP, message.step))
    decision = MoveDecision(step, message.taken_back, message.reason)
    state = vm.traffic.moves.get(message.move)
    if state is None:
        vm.traffic.store_decision(message.move, decision)
    elif state.merge(decision, vm.clock.wall_ms()):
        event = Event.MOVE_TAKEN_BACK if decision.taken_back else Event.MOVE_STEP
        vm.journal.record(
            event, move=state.move.name, step=state.decision.step, peer=session.name
        )


async def on_move_verdict(vm: Vm, session: Session, message: MoveVerdict) -> None:
    """Apply a verdict that another VM has read from the log."""
    record = decode_verdict(message.payload)
    if record is None or record.format != VERDICT_FORMAT:
        vm.journal.record(
            Event.PEER_MESSAGE_REFUSED, peer=session.name, reason="not a verdict"
        )
        return
    if vm.traffic.verdicts.apply_from_peer(record):
        vm.journal.record(
            Event.MOVE_VERDICT,
            move=record.name,
            verdict=record.verdict.name.lower(),
            reason=record.reason,
            peer=session.name,
        )

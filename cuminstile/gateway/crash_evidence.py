"""Record what the ends of sends say about requests, and log it."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from ..crash_limits import Suspicion
from ..events import Event
from .crash_state import names_of
from .state import Gateway
from .upstream_checks import chance_at_upstream
from .upstreams import UpstreamState

if TYPE_CHECKING:
    from .send_state import Call, SendEnd

MAX_LOGGED_PARTS = 16
CHANGE_EVENTS = {
    Suspicion.SUSPECTED: Event.REQUEST_SUSPECTED,
    Suspicion.QUARANTINED: Event.REQUEST_QUARANTINED,
}
"""Events of a name whose suspicion a crash has changed."""


def record_crash(vm: Gateway, end: SendEnd) -> None:
    """Record that an upstream process crashed while it ran a request."""
    guard, now_ms = vm.crash_guard, vm.clock.now_ms()
    call, trial = end.call, end.trial
    process = end.state.process
    names = names_of(call)
    own, *parts = names
    chance = 1.0
    if trial:
        chance = chance_at_upstream(
            guard, vm.table, names, end.state, end.took_ms, now_ms
        )
    before = {name: guard.table.get(name, now_ms) for name in names}
    if end.ran_long:
        for part in parts:
            guard.table.record_long_run(part, now_ms)
    service = call.service.name
    guard.table.record_crash(own, service, process, now_ms, trial, parts, chance)
    vm.metrics.crashes_total.inc({"service": service})
    for name in names:
        guard.unsent[name] = None
        after = guard.table.get(name, now_ms)
        if after is not before[name] and after in CHANGE_EVENTS:
            record_suspicion(vm, CHANGE_EVENTS[after], call, name, process)
        elif name is own:
            record_suspicion(vm, Event.REQUEST_CUT_OFF, call, name, process)


def end_trial(vm: Gateway, names: Sequence[bytes]) -> None:
    """End the trial of a request whose send proves nothing about its names."""
    table = vm.crash_guard.table
    for name in names:
        suspect = table.by_fingerprint.get(name)
        if suspect is not None and suspect.trial_until_ms and not suspect.trial_by:
            table.end_trial(name)
            vm.crash_guard.unsent[name] = None


def record_long_run(vm: Gateway, call: Call, since_ms: float = 0.0) -> None:
    """Record that an upstream has sent an answer for a while without a crash.

    Parameters
    ----------
    since_ms : float
        When the answer began, in monotonic ms. If that was after all crashes of a part,
        the part has not crashed an upstream that began to answer, so it is cleared.
    """
    guard, now_ms = vm.crash_guard, vm.clock.now_ms()
    for part in call.part_names:
        suspect = guard.table.by_fingerprint.get(part)
        if suspect is None:
            continue
        if since_ms > max(suspect.crashes.values(), default=now_ms):
            guard.table.record_good_run(part, now_ms, is_part=True)
            record_suspicion(vm, Event.REQUEST_CLEARED, call, part, "")
        elif suspect.ran_well:
            continue
        else:
            guard.table.record_long_run(part, now_ms)
        guard.unsent[part] = None


def record_answer(vm: Gateway, call: Call) -> None:
    """Clear the names of a request that was answered in full, here and elsewhere."""
    table, now_ms = vm.crash_guard.table, vm.clock.now_ms()
    for number, name in enumerate(names_of(call)):
        was_suspected = table.get(name, now_ms) is not Suspicion.NONE
        if not table.record_good_run(name, now_ms, is_part=number > 0):
            continue
        vm.crash_guard.unsent[name] = None
        if was_suspected or number == 0:
            record_suspicion(vm, Event.REQUEST_CLEARED, call, name, "")


def record_suspicion(
    vm: Gateway, event: Event, call: Call, name: bytes, process: str
) -> None:
    """Log a change of what is known of a request or of a part of its prompt."""
    table = vm.crash_guard.table
    suspect = table.by_fingerprint.get(name)
    known = suspect is not None and event is not Event.REQUEST_CUT_OFF
    vm.journal.record(
        event,
        request=call.fields.attempt_id,
        fingerprint=name.hex(),
        service=call.service.name,
        part=part_id_of(call, name),
        parts=shared_part_ids(call),
        upstream=process,
        crashes=0 if suspect is None else len(suspect.crashes),
        doubt=round(suspect.doubt, 3) if suspect and known else None,
        unrelated=table.unrelated_crashes(suspect) if suspect and known else None,
        told_by=suspect.told_by if suspect else "",
    )


def part_id_of(call: Call, name: bytes) -> str:
    """Return the id of the part that a name stands for, empty for a request's own."""
    if name not in call.part_names:
        return ""
    return call.fields.parts[call.part_names.index(name)].id


def shared_part_ids(call: Call) -> str:
    """Return the ids of the parts of a prompt that other requests can share."""
    return " ".join(part.id for part in call.fields.parts[:-1][:MAX_LOGGED_PARTS])


def record_survivor(
    vm: Gateway, state: UpstreamState, opened_ms: float, sent_ms: float
) -> None:
    """Retract a crash of an upstream that answers a later request on an old connection.

    An answer to an earlier request proves nothing: it may have been on its way.

    Parameters
    ----------
    opened_ms, sent_ms : float
        When the connection of the answer was opened and its request was sent, in
        monotonic ms.
    """
    table = vm.crash_guard.table
    if not table.ended_ms:
        return
    process = state.process
    crashed_ms = table.crashed_at_ms(state.info.service, process)
    if crashed_ms is None or not opened_ms < crashed_ms < sent_ms:
        return
    retract_crash(vm, process, crashed_ms)


def retract_crash(vm: Gateway, process: str, crashed_ms: float) -> None:
    """Retract the crash of an upstream process that turns out to live."""
    guard, now_ms = vm.crash_guard, vm.clock.now_ms()
    guard.table.retract_crash(process, now_ms)
    guard.unsent_survivors[process] = None
    vm.journal.record(
        Event.CRASH_RETRACTED, upstream=process, after_ms=round(now_ms - crashed_ms)
    )


def is_gone(vm: Gateway, state: UpstreamState) -> bool:
    """Return whether an upstream's process ended without having announced it."""
    known = vm.table.states.get(state.info.id)
    if known is None:
        return not state.info.leaving
    return known.info.started_ms != state.info.started_ms

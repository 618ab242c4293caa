"""Keep a request that crashes upstreams from being sent on and on.

Each send passes `begin_send` and ends with `end_send`; the decisions are those of
`crash_suspects`. An attempt whose runs crashed two upstreams is not sent on; the next
one is sent on trial, to one upstream and by one VM at a time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..crash_suspects import Suspicion
from ..events import Event
from ..exceptions import ErrorCode
from .crash_state import fingerprint_of
from .refusals import Refusal
from .state import Gateway
from .upstreams import UpstreamState, process_of

if TYPE_CHECKING:
    from .send_state import Call

TRIAL_MS = 3_000.0
"""How long other VMs wait at most for the end of a trial."""
MAX_RETRY_MS = 1_000.0
"""Longest time after which a caller may retry during a trial."""
SURVIVED_MS = 1_000.0
"""How long after a supposed crash an answer on an older connection disproves it."""
MAX_LOGGED_PARTS = 16
CHANGE_EVENTS = {
    Suspicion.SUSPECTED: Event.REQUEST_SUSPECTED,
    Suspicion.QUARANTINED: Event.REQUEST_QUARANTINED,
}
"""Events of a request whose suspicion a crash has changed."""


def suspicion_of(vm: Gateway, digest: bytes, service: str) -> Suspicion:
    """Return the suspicion of a request at the upstreams of a service."""
    table = vm.crash_guard.table
    if not digest or not table.by_fingerprint:
        return Suspicion.NONE
    return table.get(fingerprint_of(digest, service), vm.clock.now_ms())


def refuse_quarantined(vm: Gateway, call: Call) -> None:
    """Refuse a request that is quarantined for a service that it needs.

    Raises
    ------
    Refusal
        With `QUARANTINED`; the request has not run in this attempt.
    """
    services = (call.service.name, *(stage.service for stage in call.route.stages))
    for service in services:
        if suspicion_of(vm, call.digest, service) is Suspicion.QUARANTINED:
            raise quarantined(service)


def quarantined(service: str) -> Refusal:
    """Return the refusal of a quarantined request."""
    text = f"quarantined: this request crashed upstreams of {service}; do not retry"
    return Refusal(ErrorCode.QUARANTINED, text)


def begin_send(vm: Gateway, call: Call) -> bool:
    """Check that a request may be sent now; return whether it runs on trial.

    Raises
    ------
    Refusal
        With `QUARANTINED`, or with `OVERLOADED` while it runs on trial elsewhere.
    """
    suspicion = suspicion_of(vm, call.digest, call.service.name)
    if suspicion is Suspicion.NONE:
        return False
    if suspicion is Suspicion.QUARANTINED:
        raise quarantined(call.service.name)
    fingerprint = fingerprint_of(call.digest, call.service.name)
    now_ms = vm.clock.now_ms()
    left_ms = vm.crash_guard.table.trial_left_ms(fingerprint, now_ms)
    if left_ms > 0:
        raise Refusal(
            ErrorCode.OVERLOADED,
            "the same request runs on trial after crashes of upstreams",
            min(MAX_RETRY_MS, left_ms),
        )
    until_ms = min(call.expires_at_ms, now_ms + TRIAL_MS)
    vm.crash_guard.table.begin_trial(fingerprint, until_ms)
    vm.crash_guard.unsent[fingerprint] = None
    record_suspicion(vm, Event.REQUEST_ON_TRIAL, call, fingerprint, "")
    return True


def end_send(
    vm: Gateway, call: Call, state: UpstreamState, crashed: bool, ran: bool, trial: bool
) -> None:
    """Record how a send of a request ended.

    Parameters
    ----------
    crashed : bool
        Whether the upstream ended the connection before the answer was complete.
    ran : bool
        Whether the upstream answered the request after it ran.
    trial : bool
        Whether the send was a trial.
    """
    if not call.digest:
        return
    service = call.service.name
    fingerprint = fingerprint_of(call.digest, service)
    if crashed:
        process = process_of(state.info.id, state.info.started_ms)
        record_crash(vm, call, service, process, trial)
    elif ran:
        if vm.crash_guard.table.record_good_run(fingerprint, vm.clock.now_ms()):
            vm.crash_guard.unsent[fingerprint] = None
            record_suspicion(vm, Event.REQUEST_CLEARED, call, fingerprint, "")
    elif trial:
        vm.crash_guard.table.end_trial(fingerprint)
        vm.crash_guard.unsent[fingerprint] = None


def record_crash(
    vm: Gateway, call: Call, service: str, process: str, trial: bool
) -> None:
    """Record that an upstream crashed while it ran a request."""
    guard = vm.crash_guard
    fingerprint = fingerprint_of(call.digest, service)
    now_ms = vm.clock.now_ms()
    before = guard.table.get(fingerprint, now_ms)
    after = guard.table.record_crash(fingerprint, service, process, now_ms, trial)
    guard.unsent[fingerprint] = None
    vm.metrics.crashes_total.inc({"service": service})
    event = Event.REQUEST_CUT_OFF
    if after is not before:
        event = CHANGE_EVENTS.get(after, event)
    record_suspicion(vm, event, call, fingerprint, process)


def record_suspicion(
    vm: Gateway, event: Event, call: Call, fingerprint: bytes, process: str
) -> None:
    """Log a change of what is known of a request."""
    table = vm.crash_guard.table
    suspect = table.by_fingerprint.get(fingerprint)
    known = suspect is not None and event is not Event.REQUEST_CUT_OFF
    vm.journal.record(
        event,
        request=call.fields.attempt_id,
        fingerprint=fingerprint.hex(),
        service=call.service.name,
        parts=shared_part_ids(call),
        upstream=process,
        crashes=0 if suspect is None else len(suspect.crashes),
        unrelated=table.unrelated_crashes(suspect) if suspect and known else None,
    )


def shared_part_ids(call: Call) -> str:
    """Return the ids of the parts of a prompt that other requests can share."""
    return " ".join(part.id for part in call.fields.parts[:-1][:MAX_LOGGED_PARTS])


def record_survivor(vm: Gateway, state: UpstreamState, opened_ms: float) -> None:
    """Retract a crash of an upstream that answers on an older connection.

    Parameters
    ----------
    opened_ms : float
        When the connection of the answer was opened, in monotonic ms.
    """
    guard = vm.crash_guard
    ended = guard.table.ended_ms.get(state.info.service)
    if not ended:
        return
    process = process_of(state.info.id, state.info.started_ms)
    crashed_ms = ended.get(process)
    now_ms = vm.clock.now_ms()
    if crashed_ms is None or not opened_ms < crashed_ms < now_ms < (
        crashed_ms + SURVIVED_MS
    ):
        return
    guard.table.retract_crash(process, now_ms)
    guard.unsent_survivors[process] = None
    vm.journal.record(
        Event.CRASH_RETRACTED, upstream=process, after_ms=round(now_ms - crashed_ms)
    )

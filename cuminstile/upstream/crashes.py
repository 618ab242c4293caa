"""Detect requests that crash upstreams, run them isolated, and quarantine them."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Sequence
from typing import TYPE_CHECKING

from ..calls import StageCall
from ..crash_limits import Suspicion
from ..crash_suspects import FINGERPRINT_BYTES
from ..events import Event
from ..exceptions import CuminstileError, ErrorCode
from ..vm.messages import CrashNotice
from ..vm.sessions import Session
from .evidence import LoadReport
from .peers import send_each
from .ranking import ranked
from .table import UpstreamState

if TYPE_CHECKING:
    from ..runtime import Vm

MAX_SENT_QUARANTINES = 64


def fingerprint_of(call: StageCall) -> bytes:
    """Return a hash of the stage and the input, the same for copies of a request."""
    text = json.dumps([call.stage, call.input], sort_keys=True, default=str)
    digest = hashlib.blake2b(text.encode(), digest_size=FINGERPRINT_BYTES)
    return digest.digest()


def suspicion_of(vm: Vm, call: StageCall) -> Suspicion:
    """Return the suspicion of a call's request."""
    if not vm.crashes.by_fingerprint:
        return Suspicion.NONE
    return vm.crashes.get(fingerprint_of(call), vm.clock.now_ms())


def refuse_quarantined(vm: Vm, call: StageCall) -> None:
    """Refuse a call whose request has crashed upstreams.

    Raises
    ------
    CuminstileError
        With `QUARANTINED`; the call has not run.
    """
    if suspicion_of(vm, call) is Suspicion.QUARANTINED:
        raise CuminstileError(
            ErrorCode.QUARANTINED,
            f"input is quarantined: it crashed upstreams of stage {call.stage}",
        )


async def record_lost_call(
    vm: Vm,
    call: StageCall,
    upstream: str,
    report: LoadReport | None,
    incarnation: int,
    isolated: bool,
) -> None:
    """Suspect or quarantine a call whose connection broke because of a crash.

    It is no crash if the upstream reports afterwards, and its incarnation is the same
    or was unknown before.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    report : LoadReport or None
        Report of the upstream after the connection broke, if there was one.
    incarnation : int
        Incarnation of the upstream before the call; 0 while unknown.
    isolated : bool
        Whether the call was the only one at the upstream.
    """
    if report is not None and incarnation in (0, report.incarnation):
        return
    before = suspicion_of(vm, call)
    suspicion = vm.crashes.record_crash(
        fingerprint_of(call),
        call.stage,
        f"{upstream}@{incarnation}",
        vm.clock.now_ms(),
        on_trial=isolated,
    )
    for excused in vm.crashes.excused:
        await share_suspicion(vm, excused, Suspicion.NONE)
    if suspicion is before:
        return
    event = (
        Event.REQUEST_QUARANTINED
        if suspicion is Suspicion.QUARANTINED
        else Event.REQUEST_SUSPECTED
    )
    vm.journal.record(event, request=call.request, stage=call.stage)
    await share_suspicion(vm, fingerprint_of(call), suspicion)


async def clear_suspect(vm: Vm, call: StageCall) -> None:
    """Clear the suspicion of a request that ran isolated without a crash."""
    if suspicion_of(vm, call) is not Suspicion.SUSPECTED:
        return
    vm.crashes.record_good_run(fingerprint_of(call), vm.clock.now_ms())
    vm.journal.record(Event.REQUEST_CLEARED, request=call.request, stage=call.stage)
    await share_suspicion(vm, fingerprint_of(call), Suspicion.NONE)


async def share_suspicion(vm: Vm, fingerprint: bytes, suspicion: Suspicion) -> None:
    """Send a suspicion to every other VM."""
    notice = CrashNotice(fingerprint, int(suspicion))
    await send_each(vm.sessions.by_name.values(), notice)


async def send_quarantines(vm: Vm, session: Session) -> None:
    """Send the quarantined requests to a VM that has just connected."""
    now_ms = vm.clock.now_ms()
    quarantined = [
        fingerprint
        for fingerprint in vm.crashes.by_fingerprint
        if vm.crashes.get(fingerprint, now_ms) is Suspicion.QUARANTINED
    ]
    for fingerprint in quarantined[-MAX_SENT_QUARANTINES:]:
        notice = CrashNotice(fingerprint, int(Suspicion.QUARANTINED))
        await send_each((session,), notice)


async def on_crash_notice(vm: Vm, session: Session, message: CrashNotice) -> None:
    """Apply another VM's suspicion; it does not change a quarantine."""
    if len(message.fingerprint) != FINGERPRINT_BYTES:
        return
    try:
        suspicion = Suspicion(message.crashes)
    except ValueError:
        return
    now_ms = vm.clock.now_ms()
    if vm.crashes.get(message.fingerprint, now_ms) is Suspicion.QUARANTINED:
        return
    vm.crashes.put(message.fingerprint, suspicion, now_ms)


def upstreams_for_suspect(
    call: StageCall, candidates: Sequence[UpstreamState]
) -> list[UpstreamState]:
    """Return a list with the one upstream for suspected requests of a version.

    All VMs of the data centre choose the same one, so that the others remain available.
    The list is empty without candidates.
    """
    every = {state.name: state for state in candidates}
    if not every:
        return []
    return [every[ranked(tuple(sorted(every)), call.version)[0]]]

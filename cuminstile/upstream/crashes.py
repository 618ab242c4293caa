"""Find requests that crash upstreams, run them alone, then refuse them."""

from __future__ import annotations

import hashlib
import json
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import TYPE_CHECKING

from ..calls import StageCall
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

FINGERPRINT_BYTES = 16
SUSPICION_VALID_MS = 600_000
MOST_KEPT = 4_096
MOST_GREETED = 64


class Suspicion(IntEnum):
    """Tell what is known about a request; the numbers travel between VMs."""

    NONE = 0
    SUSPECTED = 1
    QUARANTINED = 2


@dataclass(frozen=True)
class Suspect:
    """Hold what a request has done, and until when it counts."""

    suspicion: Suspicion
    until_ms: float


@dataclass
class CrashTable:
    """Hold the requests that were running when an upstream crashed.

    The dictionary is in the order in which the suspicions came.
    """

    by_fingerprint: OrderedDict[bytes, Suspect] = field(default_factory=OrderedDict)

    def put(self, fingerprint: bytes, suspicion: Suspicion, now_ms: float) -> None:
        """Note a suspicion; the oldest of too many is dropped."""
        self.by_fingerprint.pop(fingerprint, None)
        if suspicion is Suspicion.NONE:
            return
        self.by_fingerprint[fingerprint] = Suspect(
            suspicion, now_ms + SUSPICION_VALID_MS
        )
        while len(self.by_fingerprint) > MOST_KEPT:
            self.by_fingerprint.popitem(last=False)

    def get(self, fingerprint: bytes, now_ms: float) -> Suspicion:
        """Return what is known about a request."""
        suspect = self.by_fingerprint.get(fingerprint)
        if suspect is None or suspect.until_ms <= now_ms:
            return Suspicion.NONE
        return suspect.suspicion


def fingerprint_of(call: StageCall) -> bytes:
    """Return what a request and its copies have in common: stage and input."""
    text = json.dumps([call.stage, call.input], sort_keys=True, default=str)
    digest = hashlib.blake2b(text.encode(), digest_size=FINGERPRINT_BYTES)
    return digest.digest()


def suspicion_of(vm: Vm, call: StageCall) -> Suspicion:
    """Return what is known about a call's request."""
    if not vm.crashes.by_fingerprint:
        return Suspicion.NONE
    return vm.crashes.get(fingerprint_of(call), vm.clock.now_ms())


def refuse_quarantined(vm: Vm, call: StageCall) -> None:
    """Refuse a call whose request has crashed upstreams.

    Raises
    ------
    CuminstileError
        With `QUARANTINED`; nothing has run.
    """
    if suspicion_of(vm, call) is Suspicion.QUARANTINED:
        raise CuminstileError(
            ErrorCode.QUARANTINED,
            f"this input has crashed upstreams of stage {call.stage}",
        )


async def record_lost_call(
    vm: Vm, call: StageCall, report: LoadReport | None, incarnation: int, isolated: bool
) -> None:
    """Judge a call whose connection broke, by what the upstream reports then.

    Parameters
    ----------
    incarnation : int
        Of the upstream before the call; 0 while unknown.
    alone : bool
        Whether the call had the upstream for itself.
    """
    if report is not None and incarnation in (0, report.incarnation):
        return
    if isolated:
        vm.journal.record(
            Event.REQUEST_QUARANTINED, request=call.request, stage=call.stage
        )
        await tell(vm, call, Suspicion.QUARANTINED)
    elif suspicion_of(vm, call) is Suspicion.NONE:
        vm.journal.record(
            Event.REQUEST_SUSPECTED, request=call.request, stage=call.stage
        )
        await tell(vm, call, Suspicion.SUSPECTED)


async def note_survived(vm: Vm, call: StageCall) -> None:
    """Clear a request that ran alone and crashed nothing."""
    if suspicion_of(vm, call) is not Suspicion.SUSPECTED:
        return
    vm.journal.record(Event.REQUEST_CLEARED, request=call.request, stage=call.stage)
    await tell(vm, call, Suspicion.NONE)


async def tell(vm: Vm, call: StageCall, suspicion: Suspicion) -> None:
    """Note a suspicion here and tell every other VM."""
    fingerprint = fingerprint_of(call)
    vm.crashes.put(fingerprint, suspicion, vm.clock.now_ms())
    notice = CrashNotice(fingerprint, int(suspicion))
    await send_each(vm.sessions.by_name.values(), notice)


async def greet_with_crashes(vm: Vm, session: Session) -> None:
    """Tell a VM that has just connected what is quarantined."""
    known = [
        fingerprint
        for fingerprint, suspect in vm.crashes.by_fingerprint.items()
        if suspect.suspicion is Suspicion.QUARANTINED
    ]
    for fingerprint in known[-MOST_GREETED:]:
        notice = CrashNotice(fingerprint, int(Suspicion.QUARANTINED))
        await send_each((session,), notice)


async def on_crash_notice(vm: Vm, session: Session, message: CrashNotice) -> None:
    """Take over another VM's suspicion; none clears a quarantine."""
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


def place_for_suspect(
    call: StageCall, candidates: Sequence[UpstreamState]
) -> list[UpstreamState]:
    """Return the one upstream where suspected requests of a version run alone.

    All VMs of the data centre come to the same one, so that the others stay free.
    """
    every = {state.name: state for state in candidates}
    if not every:
        return []
    return [every[ranked(tuple(sorted(every)), call.version)[0]]]

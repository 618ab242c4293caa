"""Keep requests that crash upstreams from being sent on and on.

Each send passes `begin_send` and ends with `end_send`; the decisions are those of
`crash_suspects`. A request has a name of its own, and one for each part of its prompt
that others can share. While a name is suspected, requests with it are sent on trial, to
one upstream and by one VM at a time; those with a suspected part wait for its end.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from ..crash_blame import Suspect
from ..crash_limits import Suspicion
from ..events import Event
from ..exceptions import ErrorCode
from ..rendezvous import weight
from ..shutdown.in_progress import Phase
from ..shutdown.schedule import answer_by_ms
from .crash_evidence import (
    end_trial,
    is_gone,
    part_id_of,
    record_answer,
    record_crash,
    record_suspicion,
)
from .crash_state import fingerprint_of, names_of
from .refusals import Refusal
from .state import Gateway
from .unframed_answers import add_unframed_answer, record_ended

if TYPE_CHECKING:
    from .send_state import Call, SendEnd

TRIAL_MS = 3_000.0
"""How long other VMs wait at most for the end of a trial."""
MAX_RETRY_MS = 1_000.0
"""Longest time after which a caller may retry during a trial."""
MAX_WAIT_MS = 1_000.0
"""Longest time that a request waits for the end of another one's trial."""
WAIT_STEP_MS = 10.0
TURN_MS = 50.0
"""How long some VMs may begin a trial in quarantine; they tell the others in less."""
MAX_TURNS = 8
"""Turns after which it is the first ones' turn again."""


def suspicion_of(vm: Gateway, digest: bytes, service: str) -> Suspicion:
    """Return the suspicion of a request at the upstreams of a service."""
    table = vm.crash_guard.table
    if not digest or not table.by_fingerprint:
        return Suspicion.NONE
    return table.get(fingerprint_of(digest, service), vm.clock.now_ms())


def is_suspected(vm: Gateway, call: Call) -> bool:
    """Return whether a request ran as an upstream crashed, or has a suspected part."""
    table = vm.crash_guard.table
    if not table.by_fingerprint or not call.digest:
        return False
    now_ms = vm.clock.now_ms()
    own, *parts = names_of(call)
    return table.crash_count(own, now_ms) > 0 or bool(table.suspected(parts, now_ms))


def refuse_quarantined(vm: Gateway, call: Call) -> None:
    """Refuse a request that is quarantined, at a service that it needs or for a part.

    Raises
    ------
    Refusal
        With `QUARANTINED`; the request is not sent.
    """
    table = vm.crash_guard.table
    if not table.by_fingerprint:
        return
    for stage in call.route.stages:
        own = fingerprint_of(call.digest, stage.service) if call.digest else b""
        if refused_name(vm, (own,)):
            raise quarantined(stage.service)
    names = names_of(call)
    name = refused_name(vm, names)
    if name is None:
        return
    if name == names[0]:
        raise quarantined(call.service.name)
    raise quarantined_part(part_id_of(call, name), table.by_fingerprint[name])


def refused_name(vm: Gateway, names: Sequence[bytes]) -> bytes | None:
    """Return the name for which this VM refuses a request now, if any."""
    table, now_ms = vm.crash_guard.table, vm.clock.now_ms()
    refusing = list(table.each_quarantined(names, now_ms))
    if refusing and has_turn(vm, refusing[0]):
        refusing = [name for name in refusing if not table.may_retest(name, now_ms)]
    return next(iter(refusing), None)


def quarantined(service: str) -> Refusal:
    """Return the refusal of a quarantined request."""
    text = f"quarantined: this request crashed upstreams of {service}; do not retry"
    return Refusal(ErrorCode.QUARANTINED, text)


def quarantined_part(part: str, suspect: Suspect) -> Refusal:
    """Return the refusal of a request with a quarantined part in its prompt."""
    text = (
        f"quarantined: {len(suspect.crashes)} upstreams crashed under requests with"
        f" part {part} of this prompt; do not retry"
    )
    source = f" (reported by {suspect.told_by or 'this VM'})"
    return Refusal(ErrorCode.QUARANTINED, text, logged=source)


async def wait_for_trial(vm: Gateway, call: Call) -> None:
    """Wait while another request with a suspected part of this one runs on trial."""
    now_ms = vm.clock.now_ms()
    until_ms = min(call.expires_at_ms, now_ms + MAX_WAIT_MS)
    call.progress.enter(Phase.TRIAL, "", now_ms)
    while is_part_on_trial(vm, call) and vm.clock.now_ms() < until_ms:
        await vm.clock.sleep_ms(WAIT_STEP_MS)


def is_part_on_trial(vm: Gateway, call: Call) -> bool:
    """Return whether another request with a suspected part runs on trial now."""
    table = vm.crash_guard.table
    if not table.by_fingerprint or not call.part_names:
        return False
    now_ms = vm.clock.now_ms()
    if table.quarantined(names_of(call), now_ms) is not None:
        return False
    suspected = table.suspected(call.part_names, now_ms)
    return any(table.trial_left_ms(name, now_ms) > 0 for name in suspected)


def begin_send(vm: Gateway, call: Call) -> bool:
    """Check that a request may be sent now; return whether it runs on trial.

    Raises
    ------
    Refusal
        With `QUARANTINED`, or with `OVERLOADED` while it runs on trial elsewhere.
    """
    table = vm.crash_guard.table
    if not table.by_fingerprint:
        return False
    refuse_quarantined(vm, call)
    now_ms = vm.clock.now_ms()
    suspected = table.suspected(names_of(call), now_ms)
    if not suspected:
        return False
    left_ms = max(table.trial_left_ms(name, now_ms) for name in suspected)
    if left_ms > 0:
        raise Refusal(
            ErrorCode.OVERLOADED,
            "a request like this runs on trial after crashes of upstreams",
            min(MAX_RETRY_MS, left_ms),
        )
    end_ms = answer_by_ms(vm.shutdown)
    until_ms = min(call.expires_at_ms, now_ms + TRIAL_MS, end_ms)
    for name in suspected:
        table.begin_trial(name, until_ms)
        vm.crash_guard.unsent[name] = None
        record_suspicion(vm, Event.REQUEST_ON_TRIAL, call, name, "")
    return True


def has_turn(vm: Gateway, name: bytes) -> bool:
    """Return whether it is this VM's turn to begin a trial of a quarantined name."""
    crashes = vm.crash_guard.table.by_fingerprint[name].crashes
    now_ms = vm.clock.now_ms()
    own_weight = weight(name.hex(), vm.settings.peer_address)
    live = vm.membership.live(now_ms)
    rank = sum(weight(name.hex(), peer.address) > own_weight for peer in live)
    turns = min(MAX_TURNS, len(live) + 1)
    since_ms = now_ms - max(crashes.values(), default=now_ms)
    return int(since_ms / TURN_MS) % turns == rank % turns


def end_send(vm: Gateway, end: SendEnd) -> None:
    """Record how a send of a request ended."""
    names = names_of(end.call)
    if not names:
        return
    if end.crashed:
        process = end.state.process
        record_crash(vm, end)
        if not end.trial and not is_gone(vm, end.state):
            vm.crash_guard.unchecked[process] = end.state
        record_ended(vm, process)
    elif end.ran and end.unframed:
        add_unframed_answer(vm, end)
    elif end.ran:
        record_answer(vm, end.call)
    elif end.trial:
        end_trial(vm, names)

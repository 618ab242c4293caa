"""Publish complete sets of objects through the platform's log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..const import CONFIG_POLL_WAIT_MS, CONFIG_STREAM, RECONNECT_MIN_MS
from ..events import Event
from ..exceptions import CuminstileError, ErrorCode, PlatformUnavailableError, RunStatus
from ..objects.checks import check_objects
from ..objects.files import raw_objects
from ..objects.model import AnyObject
from ..records.config_record import (
    ANY_BASE,
    NO_VERSION,
    RECORD_CODEC,
    ConfigRecord,
    make_changes_record,
    make_record,
    reset_base,
)
from ..records.configuration import Outcome
from ..records.follow import read_configuration, record_platform_state
from .bodies import PublishBody
from .changes import conflict_error

if TYPE_CHECKING:
    from ..runtime import Vm

PUBLISH_TIMEOUT_MS = 10_000


async def publish(vm: Vm, body: PublishBody) -> int:
    """Publish a set of objects and return its version.

    Raises
    ------
    CuminstileError
        With `BAD_OBJECTS` and every finding; with `PUBLISH_CONFLICT` and the changes
        since the base; with `NO_CONFIGURATION` if this VM does not know which version
        is in force; or with `PLATFORM_AWAY`, where `ran` shows whether the publication
        may still come into force.
    """
    objects = checked_objects(body)
    await catch_up(vm)
    known = vm.configuration.outcomes.get(body.nonce)
    if known is not None:
        return version_of(vm, body, known)
    record = shortest_record(vm, resolve_base(vm, body.base), body.nonce, objects)
    outcome = await append_once(vm, record)
    version = version_of(vm, body, outcome)
    vm.journal.record(
        Event.CONFIG_PUBLISHED, version=version, base=body.base, objects=len(objects)
    )
    return version


def shortest_record(
    vm: Vm, base: int, nonce: str, objects: tuple[AnyObject, ...]
) -> ConfigRecord:
    """Return the record with the changes, or with the complete set if that is shorter.

    With complete sets only, thousands of changes a day would take up the VMs'
    control traffic.
    """
    whole = make_record(base, nonce, objects)
    state = vm.configuration
    if base != state.head or not state.has_head_objects or state.latest is None:
        return whole
    changes = make_changes_record(base, nonce, state.latest.items, objects)
    return min(changes, whole, key=lambda record: len(record.objects))


def resolve_base(vm: Vm, base: int) -> int:
    """Return the base that the record of a publication names.

    Raises
    ------
    CuminstileError
        With `PUBLISH_CONFLICT` if a version other than the operator's base is in
        force, or `NO_CONFIGURATION` if this VM does not know which one is.
    """
    state = vm.configuration
    if state.head_confirmed:
        if base not in (ANY_BASE, state.head):
            raise conflict_error(state, base)
        return state.head
    if base == ANY_BASE:
        return reset_base(state.next_offset)
    raise CuminstileError(
        ErrorCode.NO_CONFIGURATION,
        "this VM does not know yet which version is in force",
    )


def checked_objects(body: PublishBody) -> tuple[AnyObject, ...]:
    """Return the objects of a publication if the complete set is valid.

    Raises
    ------
    CuminstileError
        With `BAD_OBJECTS` and every finding.
    """
    checked = check_objects(raw_objects(body.objects))
    if checked.findings:
        message = f"{len(checked.findings)} findings"
        raise CuminstileError(ErrorCode.BAD_OBJECTS, message, findings=checked.findings)
    return checked.objects


async def catch_up(vm: Vm) -> None:
    """Read the configuration stream to its present end.

    Raises
    ------
    PlatformUnavailableError
        If the platform does not respond; nothing has been published then.
    """
    while True:
        before = vm.configuration.next_offset
        await read_configuration(vm, 0)
        if vm.configuration.next_offset == before and vm.configuration.caught_up:
            return


async def append_once(vm: Vm, record: ConfigRecord) -> Outcome:
    """Append a record until it is found in the stream; return its outcome.

    An append whose response is lost may have taken effect, so the stream is read
    before the record is appended again. If it was appended twice, only the first
    record with its nonce counts.

    Raises
    ------
    PlatformUnavailableError
        If the platform is unavailable for too long; with `UNKNOWN` once an append
        was tried.
    """
    payload = RECORD_CODEC.encode(record)
    end_ms = vm.clock.now_ms() + PUBLISH_TIMEOUT_MS
    offset = NO_VERSION
    ran = RunStatus.NOT_RUN
    while vm.clock.now_ms() < end_ms:
        try:
            outcome = await find_outcome(vm, record.nonce, offset)
            if outcome is not None:
                return outcome
            if offset == NO_VERSION:
                ran = RunStatus.UNKNOWN
                offset = await vm.platform.append(CONFIG_STREAM, payload)
                continue
        except PlatformUnavailableError as error:
            record_platform_state(vm, error.message)
        await vm.clock.sleep_ms(RECONNECT_MIN_MS)
    message = "the platform became unavailable during the publication"
    if ran == RunStatus.UNKNOWN:
        message += "; the objects may still come into force, so publish them again"
    raise PlatformUnavailableError(message, ran)


async def find_outcome(vm: Vm, nonce: str, offset: int) -> Outcome | None:
    """Read the stream until a publication's outcome is known, or to its present end.

    Returns `None` if the outcome is not known at the end.

    Parameters
    ----------
    offset : int
        The offset that the platform confirmed for the record, -1 if none.

    Raises
    ------
    PlatformUnavailableError
        If the platform does not respond.
    """
    state = vm.configuration
    while nonce not in state.outcomes:
        before = state.next_offset
        expected = state.next_offset <= offset
        await read_configuration(vm, CONFIG_POLL_WAIT_MS if expected else 0)
        if state.next_offset == before and not expected:
            break
    at_offset = state.history.get(offset)
    if at_offset is not None and at_offset.record.nonce == nonce:
        return Outcome(offset, True)
    return state.outcomes.get(nonce)


def version_of(vm: Vm, body: PublishBody, outcome: Outcome) -> int:
    """Return the version of an accepted publication.

    Raises
    ------
    CuminstileError
        With `PUBLISH_CONFLICT` if another publication came first.
    """
    if outcome.accepted:
        return outcome.offset
    raise conflict_error(vm.configuration, body.base)

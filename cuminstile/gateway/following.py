"""Follow the store: manifest, upstreams and orders, through outages and trims."""

from __future__ import annotations

from typing import Protocol

from ..eras.position import Position
from ..events import Event
from ..exceptions import PlatformUnavailableError, TrimmedError
from .readers import ReaderRole, standby_ms
from .sharing import fetch_first_records, record_return
from .state import FollowedTopic, Gateway
from .topics import (
    TopicPage,
    TopicState,
    apply_records,
    apply_snapshot,
    record_confirmation,
)
from .updates import push_update

STORE = "store"
"""Source of records that were read from the store, not from another VM."""
RETRY_MIN_MS = 150.0
"""Pause before the retry after the first failed call to the store."""
RETRY_MAX_MS = 1_000.0
"""Longest pause; the end of an outage must be noticed within the limit for changes."""
STANDBY_RETRY_MAX_MS = 5_000.0
"""Longest pause of a VM that others pass on to what they read, the end of an outage
included."""
STANDBY_CHECK_MS = 300.0
"""Longest pause between checks whether others still pass on what they read."""
MIN_READ_INTERVAL_MS = 25.0
"""Shortest time between two calls, however fast the store answers them."""
PAUSED_MS = 1_000.0
"""A check that is later by this means that the process was paused."""


class StoreCallError(PlatformUnavailableError):
    """A call to the store failed.

    Parameters
    ----------
    calls_before : int or None
        Number of earlier calls on the connection, None if no connection was open.
    """

    def __init__(self, message: str, calls_before: int | None) -> None:
        super().__init__(message)
        self.calls_before = calls_before


class KeyedStore(Protocol):
    """Client for keyed topics; a call without an answer raises `StoreCallError`."""

    async def newest(self, topic: str) -> TopicPage:
        """Return the latest record of each key."""

    async def read(self, topic: str, start: Position, wait_ms: float) -> TopicPage:
        """Return the records from a position on; wait for the first up to `wait_ms`.

        Raises
        ------
        TrimmedError
            If the store doesn't have the records from that position on: they have been
            trimmed, or are of an era before its return from a copy.
        """


def shared_interval_ms(single_vm_ms: float, max_ms: float, vms: int) -> float:
    """Return the interval at which one of several reading VMs reads a topic.

    The VMs pass on what they have read, so all of them together read as often as a
    single VM would. The interval of one VM is at most `max_ms`.
    """
    return min(max_ms, single_vm_ms * vms)


def staggered_wait_ms(
    role: ReaderRole, readers: int, interval_ms: float, waited_in_full: bool
) -> float:
    """Return how long a reader's call waits if one reader is to answer each interval.

    The calls of all readers return with a record, and each waits for another time then.

    Parameters
    ----------
    waited_in_full : bool
        Whether the reader's last call found no record until its wait was over.
    """
    turn = min(role.rank, readers - 1) + 1
    return interval_ms * (readers if waited_in_full else turn)


async def follow_topic(topic: FollowedTopic, store: KeyedStore, vm: Gateway) -> None:
    """Read a topic in an endless loop and apply the changes after each answer.

    A VM that others pass records on to reads only when these have become too old.
    """
    state = topic.state
    retry_ms = RETRY_MIN_MS
    await fetch_first_records(vm, topic)
    while True:
        await wait_until_due(topic, vm)
        wait_ms, began_ms = topic.wait_ms(), vm.clock.now_ms()
        known = state.end
        try:
            keys = await read_once(state, store, wait_ms, vm)
        except (TrimmedError, StoreCallError) as error:
            if isinstance(error, StoreCallError):
                record_failed_call(state, vm, error, retry_ms)
            else:
                record_trimmed(state, vm, known)
            await vm.clock.sleep_ms(retry_ms)
            retry_ms = min(longest_retry_ms(topic), retry_ms * 2)
            continue
        retry_ms = RETRY_MIN_MS
        record_answered_call(state, vm)
        state.waited_in_full = vm.clock.now_ms() - began_ms >= wait_ms
        topic.apply_changes(keys, STORE)
        push_update(vm, state)
        brought_nothing = state.end == known and not state.waited_in_full
        least_ms = RETRY_MIN_MS if brought_nothing else MIN_READ_INTERVAL_MS
        await vm.clock.sleep_ms(max(least_ms, topic.pause_ms()))


async def wait_until_due(topic: FollowedTopic, vm: Gateway) -> None:
    """Wait until this VM has to read a topic itself, or was paused."""
    while True:
        role = vm.reader_role()
        record_role(topic, role, vm)
        began_ms = vm.clock.now_ms()
        due_ms = read_due_ms(topic, role, began_ms)
        if due_ms <= 0:
            return
        sleep_ms = min(due_ms, STANDBY_CHECK_MS)
        await vm.clock.sleep_ms(sleep_ms)
        if vm.clock.now_ms() - began_ms > sleep_ms + PAUSED_MS:
            return


def read_due_ms(topic: FollowedTopic, role: ReaderRole, now_ms: float) -> float:
    """Return the time until a VM reads a topic unless others pass on records."""
    age_ms = topic.state.age_ms(now_ms)
    if age_ms is None or topic.state.must_read_all or topic.state.always_read:
        return 0.0
    return standby_ms(role, topic.max_age_ms()) - age_ms


def record_role(topic: FollowedTopic, role: ReaderRole, vm: Gateway) -> None:
    """Log that this VM begins or ceases to read a topic for others."""
    reads = topic.always_read(role)
    if reads == topic.state.always_read:
        return
    topic.state.always_read = reads
    vm.metrics.store_reader.set({"topic": topic.state.name}, int(reads))
    vm.journal.record(
        Event.STORE_READER_CHANGED,
        topic=topic.state.name,
        reads=reads,
        rank=role.rank,
        vms=role.vms,
        data_centres=role.data_centres,
        age_ms=topic.state.age_ms(vm.clock.now_ms()),
    )


def longest_retry_ms(topic: FollowedTopic) -> float:
    """Return the longest pause between failed calls of this VM."""
    return RETRY_MAX_MS if topic.state.always_read else STANDBY_RETRY_MAX_MS


async def read_once(
    state: TopicState, store: KeyedStore, wait_ms: float, vm: Gateway
) -> set[str]:
    """Read and apply the new records of a topic; return the keys that changed.

    Raises
    ------
    StoreCallError
        If the store doesn't answer, or answers with what is older than known.
    TrimmedError
        If the store doesn't have the next records.
    """
    if state.must_read_all:
        return apply_newest(state, await store.newest(state.name), vm)
    start = state.end
    page = await store.read(state.name, start, wait_ms)
    if page.end.era > start.era:
        raise TrimmedError(state.name, start.offset)
    if page.end.era < state.end.era:
        raise StoreCallError(f"read of {state.name}: an earlier era", None)
    return apply_records(state, page)


def apply_newest(state: TopicState, page: TopicPage, vm: Gateway) -> set[str]:
    """Apply the newest records of a topic; log if the store came back from a copy.

    Raises
    ------
    StoreCallError
        If the page is older than what is known, and so doesn't help.
    """
    known = state.end
    keys = apply_snapshot(state, page, vm.clock.now_ms())
    if state.must_read_all:
        raise StoreCallError(f"newest of {state.name}: older than known", None)
    record_return(state, known, vm, STORE)
    return keys


def record_trimmed(state: TopicState, vm: Gateway, known: Position) -> None:
    """Log that the store lacks the records behind what is known; read all next."""
    vm.journal.record(
        Event.STORE_TRIMMED,
        topic=state.name,
        known_era=known.era,
        known_end=known.offset,
    )
    state.trimmed = True


def record_failed_call(
    state: TopicState, vm: Gateway, error: StoreCallError, retry_ms: float
) -> None:
    """Log and count a failed call; the first one marks the start of an outage."""
    now_ms = vm.clock.now_ms()
    vm.metrics.store_calls_total.inc({"topic": state.name, "result": "failed"})
    state.failed_calls += 1
    event = Event.STORE_CALL_FAILED
    if state.unavailable_since_ms is None:
        state.unavailable_since_ms = now_ms
        event = Event.PLATFORM_LOST
    vm.journal.record(
        event,
        topic=state.name,
        error=error.message,
        failed_calls=state.failed_calls,
        connection_calls_before=error.calls_before,
        age_ms=state.age_ms(now_ms),
        retry_ms=round(retry_ms),
    )


def record_answered_call(state: TopicState, vm: Gateway) -> None:
    """Count an answered call; the first one after failures ends the outage."""
    now_ms = vm.clock.now_ms()
    vm.metrics.store_calls_total.inc({"topic": state.name, "result": "answered"})
    if state.unavailable_since_ms is not None:
        vm.journal.record(
            Event.PLATFORM_BACK,
            topic=state.name,
            away_ms=round(now_ms - state.unavailable_since_ms),
            failed_calls=state.failed_calls,
            age_ms=state.age_ms(now_ms),
        )
    record_confirmation(state, now_ms)

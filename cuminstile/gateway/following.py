"""Follow the store: manifest, upstreams and orders, through outages and trims."""

from __future__ import annotations

from typing import Protocol

from ..events import Event
from ..exceptions import PlatformUnavailableError, TrimmedError
from .state import FollowedTopic, Gateway
from .topics import (
    TopicPage,
    TopicState,
    apply_records,
    apply_snapshot,
    record_confirmation,
)

STORE = "store"
"""Where records come from that no other VM gave."""
RETRY_MIN_MS = 150.0
"""Pause after the first failed call of the store."""
RETRY_MAX_MS = 1_000.0
"""Longest pause; a store that is back is noticed within the bound for changes."""


class StoreCallError(PlatformUnavailableError):
    """Tell that a call of the store failed.

    Parameters
    ----------
    calls_before : int or None
        Calls that its connection had carried before, None if none was open.
    """

    def __init__(self, message: str, calls_before: int | None) -> None:
        super().__init__(message)
        self.calls_before = calls_before


class KeyedStore(Protocol):
    """Read keyed topics; each call raises `StoreCallError` if it isn't answered."""

    async def newest(self, topic: str) -> TopicPage:
        """Return the newest record of each key."""

    async def read(self, topic: str, start: int, wait_ms: float) -> TopicPage:
        """Return the records from an offset on, waiting for the first one.

        Raises
        ------
        TrimmedError
            If records from that offset on are gone.
        """


def shared_interval_ms(alone_ms: float, most_ms: float, vms: int) -> float:
    """Return the time between two readings of a topic by one of several VMs.

    What one VM has read reaches the others, so all together read as often as one alone
    would, until that is `most_ms` for each.
    """
    return min(most_ms, alone_ms * vms)


async def follow_topic(topic: FollowedTopic, store: KeyedStore, vm: Gateway) -> None:
    """Keep a topic up to date without end; take it after each answer."""
    state = topic.state
    retry_ms = RETRY_MIN_MS
    while True:
        try:
            keys = await read_once(state, store, topic.wait_ms())
        except TrimmedError:
            vm.journal.record(Event.STORE_TRIMMED, topic=state.name)
            state.trimmed = True
            continue
        except StoreCallError as error:
            note_failed(state, vm, error, retry_ms)
            await vm.clock.sleep_ms(retry_ms)
            retry_ms = min(RETRY_MAX_MS, retry_ms * 2)
            continue
        retry_ms = RETRY_MIN_MS
        note_answered(state, vm)
        topic.apply_changes(keys, STORE)
        await vm.clock.sleep_ms(topic.pause_ms())


async def read_once(state: TopicState, store: KeyedStore, wait_ms: float) -> set[str]:
    """Read what is new in a topic; return the keys that changed.

    Raises
    ------
    StoreCallError
        If the store doesn't answer.
    TrimmedError
        If the next records are gone.
    """
    if state.must_read_all:
        return apply_snapshot(state, await store.newest(state.name))
    return apply_records(state, await store.read(state.name, state.end, wait_ms))


def note_failed(
    state: TopicState, vm: Gateway, error: StoreCallError, retry_ms: float
) -> None:
    """Log and count a failed call; the first one tells that the store is away."""
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


def note_answered(state: TopicState, vm: Gateway) -> None:
    """Count an answer; after failed calls it tells that the store is back."""
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

"""Follow the store: manifest, upstreams and orders, through outages and trims."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from ..events import Event
from ..exceptions import PlatformAwayError, TrimmedError
from .state import Gateway

RETRY_MIN_MS = 150.0
"""Pause after the first failed call of the store."""
RETRY_MAX_MS = 1_000.0
"""Longest pause; a store that is back is noticed within the bound for changes."""


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """Hold one record of a keyed topic; no value means that the key is gone."""

    key: str
    value: bytes | None
    offset: int


@dataclass(frozen=True, slots=True)
class TopicPage:
    """Hold records of a topic, and the offset behind the last one that was read."""

    records: tuple[KeyedRecord, ...]
    end: int


class StoreCallError(PlatformAwayError):
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


@dataclass
class TopicState:
    """Hold the newest value of each key, and since when the store is away.

    Parameters
    ----------
    end : int or None
        The next offset to read, None before the first reading.
    read_ms : float
        Monotonic time of the last answer.
    failed_calls : int
        Calls that have failed since then.
    """

    name: str
    values: dict[str, bytes] = field(default_factory=dict)
    end: int | None = None
    away_since_ms: float | None = None
    back_ms: float = 0.0
    read_ms: float = 0.0
    failed_calls: int = 0


async def follow_topic(
    state: TopicState,
    store: KeyedStore,
    vm: Gateway,
    wait_ms: float,
    pause_ms: float,
    answered: Callable[[set[str]], None],
) -> None:
    """Keep `state` up to date without end; tell after each answer which keys changed.

    Parameters
    ----------
    wait_ms : float
        How long one call waits for a record, 0 to poll.
    pause_ms : float
        Pause between calls.
    """
    retry_ms = RETRY_MIN_MS
    while True:
        try:
            if state.end is None:
                page = await store.newest(state.name)
                keys = replace_all(state, page)
            else:
                page = await store.read(state.name, state.end, wait_ms)
                keys = take_records(state, page)
        except TrimmedError:
            vm.journal.record(Event.STORE_TRIMMED, topic=state.name)
            state.end = None
            continue
        except StoreCallError as error:
            note_failed(state, vm, error, retry_ms)
            await vm.clock.sleep_ms(retry_ms)
            retry_ms = min(RETRY_MAX_MS, retry_ms * 2)
            continue
        retry_ms = RETRY_MIN_MS
        note_answered(state, vm)
        answered(keys)
        await vm.clock.sleep_ms(pause_ms)


def replace_all(state: TopicState, page: TopicPage) -> set[str]:
    """Take over all newest records; return the keys that changed or are gone."""
    values = {r.key: r.value for r in page.records if r.value is not None}
    known = state.values
    keys = {key for key in known if key not in values}
    keys |= {key for key, value in values.items() if known.get(key) != value}
    state.values = values
    first = state.end is None
    state.end = page.end
    return keys | {""} if first else keys


def take_records(state: TopicState, page: TopicPage) -> set[str]:
    """Take over records in their order; return the keys that changed."""
    keys: set[str] = set()
    for record in page.records:
        if record.value is None:
            state.values.pop(record.key, None)
            keys.add(record.key)
        elif state.values.get(record.key) != record.value:
            state.values[record.key] = record.value
            keys.add(record.key)
    state.end = page.end
    return keys


def note_failed(
    state: TopicState, vm: Gateway, error: StoreCallError, retry_ms: float
) -> None:
    """Log and count a failed call; the first one tells that the store is away."""
    now_ms = vm.clock.now_ms()
    vm.metrics.store_calls_total.inc({"topic": state.name, "result": "failed"})
    state.failed_calls += 1
    event = Event.STORE_CALL_FAILED
    if state.away_since_ms is None:
        state.away_since_ms = now_ms
        event = Event.PLATFORM_LOST
    vm.journal.record(
        event,
        topic=state.name,
        error=error.message,
        failed_calls=state.failed_calls,
        connection_calls_before=error.calls_before,
        age_ms=round(now_ms - state.read_ms),
        retry_ms=round(retry_ms),
    )


def note_answered(state: TopicState, vm: Gateway) -> None:
    """Count an answer; after failed calls it tells that the store is back."""
    now_ms = vm.clock.now_ms()
    vm.metrics.store_calls_total.inc({"topic": state.name, "result": "answered"})
    if state.away_since_ms is not None:
        vm.journal.record(
            Event.PLATFORM_BACK,
            topic=state.name,
            away_ms=round(now_ms - state.away_since_ms),
            failed_calls=state.failed_calls,
            age_ms=round(now_ms - state.read_ms),
        )
        state.away_since_ms = None
        state.back_ms = now_ms
    state.failed_calls = 0
    state.read_ms = now_ms

"""Apply records of a topic, read from the store or sent by another VM.

Designed for a store that is unavailable, slow, or refuses some VMs while it serves the
others, and that may come back from an older copy. Records are ordered by their position
in the topic's log. Does no I/O.
"""

from __future__ import annotations

from ...eras.position import UNREAD, Position
from .returns import begin_era, is_older, is_revived
from .state import KeyedRecord, Outage, TopicPage, TopicState, WrittenRecord

MAX_DROPS = 1_000
"""Number of dropped keys that are remembered, for VMs that don't know them yet."""
CONFIRMED_MAX_AGE_MS = 1_000.0
"""Age up to which a confirmation by another VM counts like one by the store: two reads
of a topic that changes continuously."""


def apply_records(state: TopicState, page: TopicPage) -> set[str]:
    """Apply the records after the known end; return the keys that changed.

    Records of another era change nothing: they continue another log.
    """
    if not continues(state, page.end):
        return set()
    keys: set[str] = set()
    for record in page.records:
        if page.end.at(record.offset) >= state.end:
            keys |= apply_record(state, record, page.end)
    state.end = max(state.end, page.end)
    return keys


def continues(state: TopicState, end: Position) -> bool:
    """Return whether records up to a position are of the log that is known."""
    return not state.end.is_read or end.era == state.end.era


def apply_record(
    state: TopicState, record: KeyedRecord, end: Position
) -> frozenset[str]:
    """Apply a record of the era of a position; return its key if that changed."""
    key = record.key
    if record.value is None:
        state.lost.pop(key, None)
        drop_key(state, key, end.at(record.offset))
        return frozenset((key,))
    written = WrittenRecord(record.value, state.order(record.value))
    if is_older(written, state.written.get(key)) or is_revived(state, key, written):
        return frozenset()
    state.lost.pop(key, None)
    state.revived.pop(key, None)
    state.written[key] = written
    value = state.canonical(record.value)
    if state.values.get(key) == value:
        return frozenset()
    state.dropped.pop(key, None)
    state.values[key] = value
    state.offsets[key] = record.offset
    state.changed_end = max(state.changed_end, end.at(record.offset + 1))
    return frozenset((key,))


def apply_snapshot(state: TopicState, page: TopicPage, now_ms: float) -> set[str]:
    """Apply the newest records of all keys; return the keys changed or dropped.

    A page that is older than the known state changes nothing.

    Parameters
    ----------
    now_ms : float
        Monotonic time; if the page is the first one of a new era, the store returned
        then.
    """
    if page.end < state.end:
        return set()
    state.trimmed = False
    records = page.records
    if state.end.is_read and page.end.era > state.end.era:
        records = begin_era(state, page, now_ms)
    listed = {record.key for record in page.records if record.value is not None}
    gone = [key for key in state.values if key not in listed]
    for key in gone:
        drop_key(state, key, page.end.at(page.end.offset - 1))
    # Other VMs may know keys that were set and dropped unseen here, so VMs behind this
    # position need a whole delta.
    state.drops_complete_from = page.end
    state.end = UNREAD
    keys = {*gone, *apply_records(state, TopicPage(records, page.end))}
    # A value may have changed and changed back in between.
    state.offsets.update(
        (record.key, record.offset)
        for record in page.records
        if record.key in state.values
    )
    known_ends = (page.end.at(record.offset + 1) for record in page.records)
    state.changed_end = max(page.end, *known_ends, state.changed_end)
    return keys


def settle(state: TopicState, now_ms: float) -> set[str]:
    """Go by the store alone once its writers had their time; return the keys changed.

    Does nothing unless the store returned from a copy and that time is over.
    """
    if state.settled_at_ms is None or now_ms < state.settled_at_ms:
        return set()
    state.settled_at_ms = None
    keys = set(state.lost)
    state.lost = {}
    revived, state.revived = state.revived, {}
    for record in revived.values():
        keys |= apply_record(state, record, state.end)
    return keys


def drop_key(state: TopicState, key: str, position: Position) -> None:
    """Remove the value of a key, and record the position of the drop."""
    state.values.pop(key, None)
    state.offsets.pop(key, None)
    state.dropped.pop(key, None)
    state.revived.pop(key, None)
    state.dropped[key] = position
    state.changed_end = max(state.changed_end, position.at(position.offset + 1))
    while len(state.dropped) > MAX_DROPS:
        oldest = next(iter(state.dropped))
        dropped_at = state.dropped.pop(oldest)
        state.drops_complete_from = max(
            state.drops_complete_from, dropped_at.at(dropped_at.offset + 1)
        )
        state.written.pop(oldest, None)


def record_confirmation(state: TopicState, now_ms: float) -> None:
    """Record an answer of the store, and the end of an outage if there was one.

    Failed calls are no outage if other VMs confirmed the topic meanwhile.
    """
    if state.unavailable_since_ms is not None:
        age_ms = state.age_ms(now_ms)
        if age_ms is None or age_ms > CONFIRMED_MAX_AGE_MS:
            state.outage = Outage(now_ms, state.end)
    state.unavailable_since_ms = None
    state.failed_calls = 0
    state.confirmed_ms = now_ms


def expired_keys(state: TopicState) -> frozenset[str]:
    """Return the dropped keys that were missing when the last outage ended."""
    end = state.outage.end
    return frozenset(key for key, position in state.dropped.items() if position < end)

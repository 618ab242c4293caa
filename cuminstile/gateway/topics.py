"""Newest value of each key of a store's topic, read from the store or another VM.

Designed for a store that is unavailable, slow, or refuses some VMs while it serves the
others: VMs can pass on what they have read. Updates are ordered by their position in
the topic's log. The store may also come back from an older copy: then its era is a new
one, and what it lacks is written again within `RETURN_GRACE_MS`. Does no I/O.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..eras.position import UNREAD, Position

MAX_DROPS = 1_000
"""Number of dropped keys that are remembered, for VMs that don't know them yet."""
KEPT_PUSHES = 3
"""Pushes whose changes are sent again, so that a lost datagram costs nothing."""
CONFIRMED_MAX_AGE_MS = 1_000.0
"""Age up to which a confirmation by another VM counts like one by the store: two reads
of a topic that changes continuously."""
RETURN_GRACE_MS = 2_000.0
"""Time after the store's return from an older copy within which its writers write again
what it lost."""


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record of a keyed topic; the value is None if the key was dropped."""

    key: str
    value: bytes | None
    offset: int


@dataclass(frozen=True, slots=True)
class TopicPage:
    """Records of a topic, and the position after the last one that was read.

    The offsets of the records are of the era of that position.
    """

    records: tuple[KeyedRecord, ...]
    end: Position


@dataclass(frozen=True, slots=True)
class Outage:
    """End of the store's last outage.

    Parameters
    ----------
    back_ms : float
        Monotonic time of its first answer, 0 if there was no outage.
    end : Position
        The topic's end at that answer; keys dropped before may only have expired.
    """

    back_ms: float = 0.0
    end: Position = UNREAD


@dataclass(frozen=True, slots=True)
class TopicDelta:
    """Records of a topic that one VM sends another.

    Parameters
    ----------
    whole : bool
        Whether the records are all keys that have a value, instead of the changes.
    age_ms : float
        Time since the store confirmed that the topic ends at `end`.
    back_age_ms : float
        Time since the end of the last outage of the store that the sender knows of, 0
        for none.
    back_end : Position
        The topic's end at that time, see `Outage`.
    """

    records: tuple[KeyedRecord, ...]
    end: Position
    whole: bool
    age_ms: float
    back_age_ms: float
    back_end: Position


def unchanged(value: bytes) -> bytes:
    """Return a value as it is."""
    return value


def without_order(value: bytes) -> tuple[int, ...]:
    """Return the order of a value of a topic whose values have none."""
    del value
    return ()


@dataclass(frozen=True, slots=True)
class WrittenRecord:
    """A record as it was written, and its order as `TopicState.order` returned it."""

    payload: bytes
    order: tuple[int, ...]


@dataclass
class TopicState:
    """Newest value of each key of a topic; times are monotonic ms.

    Parameters
    ----------
    end : Position
        The position after the last known record, `UNREAD` before the first read.
    offsets : dict of str to int
        Offset of the value of each key, in the era of `end`.
    canonical : callable
        Returns a value without what changes in each heartbeat of its writer. Values
        with the same canonical form are no change.
    order : callable
        Returns by what a value is compared with others of its writer, the older first;
        empty if that isn't known. The store may carry out an older write late.
    written : dict of str to WrittenRecord
        The last record of each key as it was written, also one that changed nothing.
        Those of `dropped` are kept too.
    changed_end : Position
        The position after the last change; the records from there to `end` changed
        nothing.
    dropped : dict of str to Position
        Position of the drop of each dropped key, the oldest first.
    drops_complete_from : Position
        The position from which on `dropped` has every dropped key.
    lost : dict of str to bytes
        Values that the store lacks since its return; their writers may write them
        again.
    revived : dict of str to KeyedRecord
        Records of dropped keys that stand in the store again since its return; their
        writers may drop them again.
    settled_at_ms : float or None
        When `lost` and `revived` end, None unless the store returned lately.
    trimmed : bool
        Whether the records after `end` are gone, so that all keys have to be read.
    confirmed_ms : float or None
        When the store last confirmed, to this or another VM, that the topic ends at
        `end`.
    pushed_ends : deque of Position
        `changed_end` at the last pushes to other VMs, the oldest first.
    peer_end, peer_end_since_ms : Position, float
        An end that another VM has reported, and since when it is not reached here.
    always_read : bool
        Whether this VM reads the topic whatever other VMs pass on.
    waited_in_full : bool
        Whether this VM's last read found no record until its wait was over. If it found
        one, the reads of all VMs returned then.
    unavailable_since_ms : float or None
        Since when this VM's calls of the store fail, None while they succeed.
    """

    name: str
    end: Position = UNREAD
    canonical: Callable[[bytes], bytes] = unchanged
    order: Callable[[bytes], tuple[int, ...]] = without_order
    changed_end: Position = UNREAD
    values: dict[str, bytes] = field(default_factory=dict)
    written: dict[str, WrittenRecord] = field(default_factory=dict)
    offsets: dict[str, int] = field(default_factory=dict)
    dropped: dict[str, Position] = field(default_factory=dict)
    drops_complete_from: Position = Position(0, 0)
    lost: dict[str, bytes] = field(default_factory=dict)
    revived: dict[str, KeyedRecord] = field(default_factory=dict)
    settled_at_ms: float | None = None
    trimmed: bool = False
    confirmed_ms: float | None = None
    outage: Outage = Outage()
    pushed_ends: deque[Position] = field(
        default_factory=lambda: deque(maxlen=KEPT_PUSHES)
    )
    peer_end: Position = UNREAD
    peer_end_since_ms: float = 0.0
    unavailable_since_ms: float | None = None
    failed_calls: int = 0
    always_read: bool = False
    waited_in_full: bool = False

    @property
    def must_read_all(self) -> bool:
        """Return whether all newest records have to be read, not only the next ones."""
        return self.trimmed or not self.end.is_read

    def age_ms(self, now_ms: float) -> float | None:
        """Return the time in ms since the last confirmation, None before the first."""
        return None if self.confirmed_ms is None else round(now_ms - self.confirmed_ms)


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


def is_older(record: WrittenRecord, known: WrittenRecord | None) -> bool:
    """Return whether a record was written before the last known one of its key."""
    if known is None or not record.order or not known.order:
        return False
    return record.order < known.order


def is_revived(state: TopicState, key: str, record: WrittenRecord) -> bool:
    """Return whether a record is the last one before the drop of its key.

    The store has it again after its return, or carries out a late write. Its writer
    did not write it anew: the order would be a later one.
    """
    known = state.written.get(key)
    if key not in state.dropped or known is None or not record.order:
        return False
    return record.order == known.order


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


def begin_era(
    state: TopicState, page: TopicPage, now_ms: float
) -> tuple[KeyedRecord, ...]:
    """Record the store's return; return the records of the first page to apply now.

    What the page lacks, and what it has although it was dropped, counts once the
    writers had time to write again what the store lost.
    """
    state.outage = Outage(now_ms, page.end)
    state.settled_at_ms = now_ms + RETURN_GRACE_MS
    state.pushed_ends.clear()
    listed = {record.key for record in page.records}
    known = {**state.lost, **state.values}
    state.lost = {key: value for key, value in known.items() if key not in listed}
    state.revived = {
        record.key: record for record in page.records if stands_again(state, record)
    }
    return tuple(one for one in page.records if one.key not in state.revived)


def stands_again(state: TopicState, record: KeyedRecord) -> bool:
    """Return whether the store has a dropped key again as it was before its drop.

    A record with an order is left out: its writer writes a later one if it lives.
    """
    known = state.written.get(record.key)
    return (
        record.key in state.dropped
        and known is not None
        and not known.order
        and known.payload == record.value
    )


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


def delta_since(state: TopicState, end: Position, now_ms: float) -> TopicDelta | None:
    """Return the records that a VM lacks that knows a topic up to a position.

    None if it lacks nothing, or the store has not confirmed the topic yet.
    """
    if state.confirmed_ms is None or end >= state.end:
        return None
    whole = end < state.drops_complete_from or end.era < state.end.era
    start = state.end.at(0 if whole else end.offset)
    records = [
        KeyedRecord(key, state.written[key].payload, offset)
        for key, offset in state.offsets.items()
        if offset >= start.offset
    ]
    if whole:
        records += state.revived.values()
    else:
        records += [
            KeyedRecord(key, None, position.offset)
            for key, position in state.dropped.items()
            if position >= start
        ]
    records.sort(key=lambda record: record.offset)
    back_ms = state.outage.back_ms
    return TopicDelta(
        tuple(records),
        state.end,
        whole,
        now_ms - state.confirmed_ms,
        now_ms - back_ms if back_ms else 0.0,
        state.outage.end,
    )


def apply_delta(state: TopicState, delta: TopicDelta, now_ms: float) -> set[str]:
    """Apply the records of another VM; return the keys that changed."""
    if delta.end <= state.end or not (delta.whole or continues(state, delta.end)):
        return set()
    back_ms = now_ms - max(0.0, delta.back_age_ms)
    page = TopicPage(delta.records, delta.end)
    if delta.whole:
        keys = apply_snapshot(state, page, back_ms)
    else:
        keys = apply_records(state, page)
    if delta.back_age_ms and delta.back_end > state.outage.end:
        state.outage = Outage(back_ms, delta.back_end)
    record_confirmed_by_vm(state, delta.end, now_ms - max(0.0, delta.age_ms))
    return keys


def record_confirmed_by_vm(
    state: TopicState, end: Position, confirmed_ms: float
) -> None:
    """Record that another VM read the topic up to `end` and found no unknown change.

    Says nothing about a log of another era.
    """
    if end.era != state.end.era:
        return
    state.end = max(state.end, end)
    if state.confirmed_ms is None or confirmed_ms > state.confirmed_ms:
        state.confirmed_ms = confirmed_ms


def record_reported_end(state: TopicState, end: Position, now_ms: float) -> None:
    """Record the position up to which another VM knows the topic."""
    if state.peer_end <= state.end < end:
        state.peer_end = end
        state.peer_end_since_ms = now_ms


def is_lagging(state: TopicState, now_ms: float, limit_ms: float) -> bool:
    """Return whether other VMs know more than the store has returned in time.

    Parameters
    ----------
    limit_ms : float
        How long the store may take while its calls succeed.
    """
    if state.peer_end <= state.end:
        return False
    return state.unavailable_since_ms is not None or (
        now_ms - state.peer_end_since_ms >= limit_ms
    )

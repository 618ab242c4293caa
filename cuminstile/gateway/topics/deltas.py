"""Work out what one VM lacks of a topic that another one knows; does no I/O."""

from __future__ import annotations

from dataclasses import dataclass

from ...eras.position import Position
from .applying import apply_records, apply_snapshot, continues
from .state import KeyedRecord, Outage, TopicPage, TopicState


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

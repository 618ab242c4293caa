"""Decide which records count when the store came back from an older copy.

Its writers write again what it lost. Until then the copy may lack what holds, and have
again what has ended. Does no I/O.
"""

from __future__ import annotations

from .state import KeyedRecord, Outage, TopicPage, TopicState, WrittenRecord

RETURN_GRACE_MS = 2_000.0
"""Time after the store's return from an older copy within which its writers write again
what it lost."""


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

"""Hold what a VM knows of a topic of the store, and its records."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ...eras.position import UNREAD, Position

KEPT_PUSHES = 3
"""Pushes whose changes are sent again, so that a lost datagram costs nothing."""


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

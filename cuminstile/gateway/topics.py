"""Keep the newest value of each key of a topic of the store, whoever told it.

Answers the pattern of a store that is away, slow, or turns some VMs away while it
serves the others: what one VM has read can be given to another one. Offsets in the
topic's log order all that is told. Needs no network.
"""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_DROPS = 1_000
"""Dropped keys that are remembered for VMs that have not heard of them."""
CONFIRMED_MS = 1_000.0
"""Age up to which a topic that another VM confirmed is as good as read from the store:
two readings of a topic that changes without pause."""


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


@dataclass(frozen=True, slots=True)
class Outage:
    """Tell when the store came back from its last outage, and what it told then.

    Parameters
    ----------
    back_ms : float
        Monotonic time of its first answer, 0 if there was no outage.
    end : int
        The topic's end at that answer: what was dropped before may only have lapsed.
    """

    back_ms: float = 0.0
    end: int = -1


@dataclass(frozen=True, slots=True)
class TopicDelta:
    """Hold what one VM gives another one of a topic.

    Parameters
    ----------
    whole : bool
        Whether the records are all keys that have a value, instead of the changes.
    age_ms : float
        Time since the store confirmed that the topic ends there.
    back_age_ms : float
        Time since the store came back from the last outage that the giver knows of, 0
        for none.
    back_end : int
        The topic's end at that time, see `Outage`.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    whole: bool
    age_ms: float
    back_age_ms: float
    back_end: int


@dataclass
class TopicState:
    """Hold the newest value of each key of a topic; times are monotonic ms.

    Parameters
    ----------
    end : int
        The offset behind the last record that is known, -1 before the first reading.
    offsets : dict of str to int
        Where the value of each key stands in the log.
    dropped : dict of str to int
        The same for keys that are gone, the oldest first.
    drops_known_from : int
        The offset from which on every dropped key is in `dropped`.
    trimmed : bool
        Whether the records behind `end` are gone, so that all keys have to be read.
    confirmed_ms : float or None
        When the store last told, or told another VM, that the topic ends at `end`.
    behind_end, behind_since_ms : int, float
        An end that another VM has told, and since when it is not reached here.
    away_since_ms : float or None
        Since when this VM's calls of the store fail, None while they don't.
    """

    name: str
    end: int = -1
    values: dict[str, bytes] = field(default_factory=dict)
    offsets: dict[str, int] = field(default_factory=dict)
    dropped: dict[str, int] = field(default_factory=dict)
    drops_known_from: int = 0
    trimmed: bool = False
    confirmed_ms: float | None = None
    outage: Outage = Outage()
    behind_end: int = -1
    behind_since_ms: float = 0.0
    unavailable_since_ms: float | None = None
    failed_calls: int = 0

    @property
    def must_read_all(self) -> bool:
        """Tell whether the newest records have to be read instead of the next ones."""
        return self.trimmed or self.end < 0

    def age_ms(self, now_ms: float) -> float | None:
        """Return the time since the topic was last known to be the newest, in ms."""
        return None if self.confirmed_ms is None else round(now_ms - self.confirmed_ms)


def apply_records(state: TopicState, page: TopicPage) -> set[str]:
    """Take over what comes behind the end; return the keys that changed."""
    keys: set[str] = set()
    for record in page.records:
        if record.offset < state.end:
            continue
        if record.value is None:
            drop(state, record.key, record.offset)
            keys.add(record.key)
            continue
        state.dropped.pop(record.key, None)
        state.offsets[record.key] = record.offset
        if state.values.get(record.key) != record.value:
            state.values[record.key] = record.value
            keys.add(record.key)
    state.end = max(state.end, page.end)
    return keys


def apply_snapshot(state: TopicState, page: TopicPage) -> set[str]:
    """Take over all newest records; return the keys that changed or are gone.

    A page that is older than what is known changes nothing.
    """
    if page.end < state.end:
        return set()
    state.trimmed = False
    listed = {record.key for record in page.records if record.value is not None}
    gone = [key for key in state.values if key not in listed]
    for key in gone:
        drop(state, key, page.end - 1)
    # Keys that came and went unseen may be known to others: they have to be given all.
    state.drops_known_from = page.end
    state.end = -1
    return {*gone, *apply_records(state, page)}


def drop(state: TopicState, key: str, offset: int) -> None:
    """Forget the value of a key, and remember where it was dropped."""
    state.values.pop(key, None)
    state.offsets.pop(key, None)
    state.dropped.pop(key, None)
    state.dropped[key] = offset
    while len(state.dropped) > MAX_DROPS:
        oldest = next(iter(state.dropped))
        state.drops_known_from = max(
            state.drops_known_from, state.dropped.pop(oldest) + 1
        )


def record_confirmation(state: TopicState, now_ms: float) -> None:
    """Note an answer of the store; after an outage, note when it ended.

    It is none if other VMs confirmed the topic meanwhile.
    """
    if state.unavailable_since_ms is not None:
        age_ms = state.age_ms(now_ms)
        if age_ms is None or age_ms > CONFIRMED_MS:
            state.outage = Outage(now_ms, state.end)
    state.unavailable_since_ms = None
    state.failed_calls = 0
    state.confirmed_ms = now_ms


def expired_keys(state: TopicState) -> frozenset[str]:
    """Return the keys that were gone when the store came back from an outage."""
    end = state.outage.end
    return frozenset(key for key, offset in state.dropped.items() if offset < end)


def delta_since(state: TopicState, end: int, now_ms: float) -> TopicDelta | None:
    """Return what a VM lacks that knows a topic up to an offset; None if nothing."""
    if state.confirmed_ms is None or end >= state.end:
        return None
    whole = end < state.drops_known_from
    start = 0 if whole else end
    records = [
        KeyedRecord(key, state.values[key], offset)
        for key, offset in state.offsets.items()
        if offset >= start
    ]
    if not whole:
        records += [
            KeyedRecord(key, None, offset)
            for key, offset in state.dropped.items()
            if offset >= start
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
    """Take over what another VM knows; return the keys that changed."""
    if delta.end <= state.end:
        return set()
    if delta.back_age_ms and delta.back_end > state.outage.end:
        state.outage = Outage(now_ms - delta.back_age_ms, delta.back_end)
    page = TopicPage(delta.records, delta.end)
    keys = apply_snapshot(state, page) if delta.whole else apply_records(state, page)
    confirmed_ms = now_ms - delta.age_ms
    if state.confirmed_ms is None or confirmed_ms > state.confirmed_ms:
        state.confirmed_ms = confirmed_ms
    return keys


def record_reported_end(state: TopicState, end: int, now_ms: float) -> None:
    """Note up to where another VM knows the topic."""
    if state.behind_end <= state.end < end:
        state.behind_end = end
        state.behind_since_ms = now_ms


def lags(state: TopicState, now_ms: float, limit_ms: float) -> bool:
    """Tell whether other VMs know more, and the store has not told it in time.

    Parameters
    ----------
    limit_ms : float
        How long the store may take while its calls don't fail.
    """
    if state.behind_end <= state.end:
        return False
    return state.unavailable_since_ms is not None or (
        now_ms - state.behind_since_ms >= limit_ms
    )

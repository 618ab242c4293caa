"""Test cuminstile.gateway.topics: what VMs read of the store and send each other."""

from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cuminstile.eras.position import Position
from cuminstile.gateway.topics import (
    CONFIRMED_MAX_AGE_MS,
    MAX_DROPS,
    KeyedRecord,
    TopicPage,
    TopicState,
    apply_delta,
    apply_records,
    apply_snapshot,
    delta_since,
    expired_keys,
    is_lagging,
    record_confirmation,
    record_reported_end,
)

NOW_MS = 100_000.0
LAG_MS = 700.0
KEYS = "abc"


@dataclass
class Log:
    """Stand-in for the store's log of one topic."""

    records: list[KeyedRecord] = field(default_factory=list)

    def put(self, key: str, value: bytes | None) -> None:
        """Append a record."""
        self.records.append(KeyedRecord(key, value, len(self.records)))

    def values(self, end: int) -> dict[str, bytes]:
        """Return the values of all keys at an offset."""
        values: dict[str, bytes] = {}
        for record in self.records[:end]:
            values.pop(record.key, None)
            if record.value is not None:
                values[record.key] = record.value
        return values

    def page(self, start: int) -> TopicPage:
        """Return all records from an offset on."""
        return TopicPage(
            tuple(self.records[max(0, start) :]), Position(0, len(self.records))
        )

    def newest(self) -> TopicPage:
        """Return the newest record of each key that has a value."""
        newest = {record.key: record for record in self.records}
        kept = (record for record in newest.values() if record.value is not None)
        return TopicPage(tuple(kept), Position(0, len(self.records)))


def read(state: TopicState, log: Log, now_ms: float = NOW_MS) -> set[str]:
    """Apply the next records of the log."""
    keys = apply_records(state, log.page(state.end.offset))
    record_confirmation(state, now_ms)
    return keys


def send_delta(
    giver: TopicState, taker: TopicState, now_ms: float = NOW_MS
) -> set[str]:
    """Send one VM the records that another one knows."""
    delta = delta_since(giver, taker.end, now_ms)
    return set() if delta is None else apply_delta(taker, delta, now_ms)


PUT = st.tuples(st.just("put"), st.sampled_from(KEYS), st.booleans())
READ = st.tuples(st.sampled_from(["read", "newest"]), st.sampled_from([0, 1, 2]))
SEND = st.tuples(st.just("send"), st.sampled_from([0, 1, 2]), st.sampled_from([0, 1]))


@given(st.lists(st.one_of(PUT, READ, SEND), max_size=60))
def test_every_vm_has_the_values_of_the_log_up_to_its_end(steps: list[tuple]) -> None:
    log = Log()
    states = [TopicState("t") for _ in range(3)]
    for number, step in enumerate(steps):
        if step[0] == "put":
            log.put(step[1], b"%d" % number if step[2] else None)
        elif step[0] == "read":
            read(states[step[1]], log)
        elif step[0] == "newest":
            apply_snapshot(states[step[1]], log.newest(), NOW_MS)
            record_confirmation(states[step[1]], NOW_MS)
        else:
            others = [n for n in range(3) if n != step[1]]
            send_delta(states[step[1]], states[others[step[2]]])
        for state in states:
            assert state.values == log.values(max(0, state.end.offset))


def test_vm_that_lost_the_store_receives_changed_and_dropped_keys() -> None:
    """Guards against a broken DRAIN bound when a single VM has lost the store."""
    log = Log()
    served, away = TopicState("t"), TopicState("t")
    for key in KEYS:
        log.put(key, b"ready")
    read(served, log)
    read(away, log)
    log.put("a", None)
    log.put("b", b"draining")
    read(served, log)
    assert send_delta(served, away) == {"a", "b"}
    assert away.values == {"b": b"draining", "c": b"ready"}
    assert away.end == served.end


def test_late_answer_restores_no_old_value() -> None:
    log = Log()
    log.put("a", b"ready")
    state, other = TopicState("t"), TopicState("t")
    read(state, log)
    late = log.page(0)
    log.put("a", b"draining")
    read(other, log)
    send_delta(other, state)
    assert apply_records(state, late) == set()
    assert apply_snapshot(state, TopicPage(late.records, late.end), NOW_MS) == set()
    assert state.values == {"a": b"draining"}


def numbered() -> TopicState:
    """Return a topic whose values are texts with a number that orders them."""
    return TopicState(
        "t",
        canonical=lambda value: value.partition(b"#")[0],
        order=lambda value: (int(value.partition(b"#")[2]),),
    )


@pytest.mark.parametrize("dropped", [False, True])
def test_older_write_changes_nothing_on_any_vm(dropped: bool) -> None:
    """Guards against a leaving upstream that its older write brings back."""
    log = Log()
    log.put("a", b"ready#1")
    state, other, starting = numbered(), numbered(), numbered()
    read(state, log)
    log.put("a", b"draining#3")
    read(state, log)
    send_delta(state, other)
    if dropped:
        log.put("a", None)
        read(state, log)
        send_delta(state, other)
    log.put("a", b"ready#2")
    known = {} if dropped else {"a": b"draining"}
    assert read(state, log) == set()
    assert state.values == known
    assert apply_snapshot(other, log.newest(), NOW_MS) == set()
    assert other.values == known
    send_delta(state, starting)
    assert starting.values == known
    log.put("a", b"ready#4")
    assert read(state, log) == {"a"}
    assert send_delta(state, other) == {"a"}
    assert state.values == other.values == {"a": b"ready"}


@pytest.mark.parametrize("change", [None, b"draining#4"])
def test_write_before_an_unchanged_one_changes_nothing(change: bytes | None) -> None:
    """Guards against a dropped upstream that an older write brings back.

    Its last known write repeated a value, as most of an upstream's writes do.
    """
    log = Log()
    log.put("a", b"ready#1")
    log.put("a", b"ready#3")
    log.put("a", change)
    state = numbered()
    read(state, log)
    known = dict(state.values)
    log.put("a", b"ready#2")
    assert read(state, log) == set()
    assert state.values == known


def test_write_between_two_of_one_value_changes_nothing_late() -> None:
    """Guards against a ready upstream that an older write makes a leaving one."""
    log = Log()
    for value in (b"ready#1", b"ready#3", b"draining#2"):
        log.put("a", value)
    state = numbered()
    read(state, log)
    assert state.values == {"a": b"ready"}


def test_only_changes_are_sent_if_the_other_vm_knows_the_rest() -> None:
    log = Log()
    for number in range(200):
        log.put(f"k{number}", b"v")
    giver, taker = TopicState("t"), TopicState("t")
    read(giver, log)
    read(taker, log)
    log.put("k7", b"w")
    read(giver, log)
    delta = delta_since(giver, taker.end, NOW_MS)
    assert delta is not None
    assert [record.key for record in delta.records] == ["k7"]
    assert not delta.whole


def test_delta_is_whole_after_dropped_keys_were_discarded() -> None:
    log = Log()
    log.put("a", b"v")
    giver, taker = TopicState("t"), TopicState("t")
    read(giver, log)
    read(taker, log)
    log.put("a", None)
    for number in range(MAX_DROPS + 1):
        log.put(f"k{number}", None)
    read(giver, log)
    assert len(giver.dropped) == MAX_DROPS
    send_delta(giver, taker)
    assert taker.values == {}


def test_keys_missing_after_an_outage_expired_and_keys_dropped_later_did_not() -> None:
    log = Log()
    for key in KEYS:
        log.put(key, b"ready")
    state, other = TopicState("t"), TopicState("t")
    read(state, log)
    read(other, log)
    state.unavailable_since_ms = other.unavailable_since_ms = NOW_MS
    back_ms = NOW_MS + 10_000.0
    log.put("a", None)
    read(state, log, back_ms)
    log.put("b", None)
    read(state, log, back_ms + 500.0)
    assert expired_keys(state) == {"a"}
    send_delta(state, other, back_ms + 600.0)
    assert expired_keys(other) == {"a"}
    assert other.outage == state.outage


def test_loss_of_the_store_by_one_vm_alone_is_no_outage() -> None:
    log = Log()
    log.put("a", b"ready")
    served, away = TopicState("t"), TopicState("t")
    read(served, log)
    read(away, log)
    away.unavailable_since_ms = NOW_MS
    log.put("a", None)
    read(served, log, NOW_MS + 5_000.0)
    send_delta(served, away, NOW_MS + 5_000.0)
    read(away, log, NOW_MS + 5_000.0 + CONFIRMED_MAX_AGE_MS)
    assert expired_keys(away) == frozenset()
    assert away.outage.back_ms == 0.0


@pytest.mark.parametrize(
    ("unavailable_since_ms", "waited_ms", "expected"),
    [(None, LAG_MS - 1, False), (None, LAG_MS, True), (NOW_MS, 0.0, True)],
    ids=["store may still return it", "store is late", "store is unavailable"],
)
def test_other_vms_are_asked_for_what_the_store_does_not_return_in_time(
    unavailable_since_ms: float | None, waited_ms: float, expected: bool
) -> None:
    state = TopicState(
        "t", end=Position(0, 5), unavailable_since_ms=unavailable_since_ms
    )
    assert not is_lagging(state, NOW_MS, LAG_MS)
    record_reported_end(state, Position(0, 7), NOW_MS)
    record_reported_end(state, Position(0, 9), NOW_MS + waited_ms)
    assert is_lagging(state, NOW_MS + waited_ms, LAG_MS) is expected
    state.end = Position(0, 7)
    assert not is_lagging(state, NOW_MS + 10 * LAG_MS, LAG_MS)

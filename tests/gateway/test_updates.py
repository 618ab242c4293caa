"""Test cuminstile.gateway.updates: any order of reads, lost and late datagrams."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from cuminstile.clock import VirtualClock
from cuminstile.eras.position import Position
from cuminstile.gateway.messages import CODEC, TopicUpdate
from cuminstile.gateway.topics import (
    TopicPage,
    apply_delta,
    apply_records,
    apply_snapshot,
    delta_since,
    record_confirmation,
)
from cuminstile.gateway.updates import encode_update, on_update

from .fleet import TOPIC, CountedStore, Fleet

VMS = 3
KEYS = ("a", "b", "c")
VALUES = (b"ready", b"draining", None)
PUT = st.tuples(st.just("put"), st.sampled_from(KEYS), st.sampled_from(VALUES))
READ = st.tuples(
    st.sampled_from(["read", "newest", "push", "fetch"]),
    st.integers(0, VMS - 1),
    st.lists(st.integers(0, VMS - 1), max_size=2),
)


def expected(store: CountedStore, end: Position) -> dict[str, bytes]:
    """Return the canonical values of all keys at a position."""
    values: dict[str, bytes] = {}
    for record in store.records[: max(0, end.offset)]:
        values.pop(record.key, None)
        if record.value is not None:
            values[record.key] = record.value.partition(b"#")[0]
    return values


def newest(store: CountedStore) -> TopicPage:
    """Return the newest record of each key that has a value."""
    last = {record.key: record for record in store.records}
    kept = (record for record in last.values() if record.value is not None)
    return TopicPage(tuple(kept), Position(store.era, len(store.records)))


@settings(max_examples=300, deadline=None)
@given(st.lists(st.one_of(PUT, READ), max_size=60))
def test_every_vm_has_the_values_of_the_log_up_to_its_end(steps: list[tuple]) -> None:
    """Updates say that nothing else changed; a change they pass over is never known."""
    fleet = Fleet(VirtualClock(at_ms=100_000.0), CountedStore())
    vms = [fleet.add(number, "a") for number in range(VMS)]
    store = fleet.store
    for number, step in enumerate(steps):
        if step[0] == "put":
            value = None if step[2] is None else step[2] + b"#%d" % number
            store.put(step[1], value)
        else:
            state = vms[step[1]].topics[TOPIC].state
            if step[0] == "read":
                apply_records(state, store.page("vm", state.end.offset))
                record_confirmation(state, 1.0)
            elif step[0] == "newest":
                apply_snapshot(state, newest(store), 1.0)
                record_confirmation(state, 1.0)
            elif step[0] == "push" and state.end.is_read:
                message = CODEC.decode(encode_update(state, "10.0.0.1:1", 1.0))
                assert isinstance(message, TopicUpdate)
                for target in step[2]:
                    on_update(vms[target], message)
            elif step[0] == "fetch" and step[2]:
                giver = vms[step[2][0]].topics[TOPIC].state
                delta = delta_since(giver, state.end, 1.0)
                if delta is not None:
                    apply_delta(state, delta, 1.0)
        for vm in vms:
            known = vm.topics[TOPIC].state
            assert known.values == expected(store, known.end)


def test_update_for_a_vm_that_lacks_earlier_changes_is_requested() -> None:
    fleet = Fleet(VirtualClock(at_ms=100_000.0), CountedStore())
    reader, other = (fleet.add(number, "a") for number in range(2))
    state, behind = (vm.topics[TOPIC].state for vm in (reader, other))
    for key in KEYS:
        fleet.store.put(key, b"ready#0")
    apply_records(state, fleet.store.page("vm", -1))
    record_confirmation(state, 1.0)
    on_update(other, CODEC.decode(encode_update(state, "10.0.0.1:1", 1.0)))
    assert other.wanted_records == {TOPIC: "10.0.0.1:1"}
    assert behind.values == {}


def test_update_of_an_unknown_topic_is_ignored() -> None:
    fleet = Fleet(VirtualClock(at_ms=100_000.0), CountedStore())
    vm = fleet.add(0, "a")
    on_update(vm, TopicUpdate("other", "10.0.0.1:1", 0, (), 9, 0.0, 0.0, -1))
    assert vm.wanted_records == {}


def test_age_that_is_negative_makes_no_list_fresh_for_long() -> None:
    fleet = Fleet(VirtualClock(at_ms=100_000.0), CountedStore())
    vm = fleet.add(0, "a")
    state = vm.topics[TOPIC].state
    state.end = Position(0, 5)
    on_update(vm, TopicUpdate(TOPIC, "10.0.0.1:1", 5, (), 9, -1e9, 0.0, -1))
    assert state.end == Position(0, 9)
    assert state.confirmed_ms == 100_000.0

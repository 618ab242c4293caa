"""Pass on what a VM reads of the store to the other VMs.

After each answer of the store a VM sends the last changes to the other VMs, which need
no call of the store then. A VM that missed a change requests it, see `sharing`.
"""

from __future__ import annotations

from ..eras.position import Position
from .conversions import records_from_entries, records_to_entries
from .messages import CODEC, TopicUpdate
from .sharing import record_taken
from .state import Gateway
from .topics import (
    KeyedRecord,
    TopicDelta,
    TopicState,
    apply_delta,
    delta_since,
    record_confirmed_by_vm,
)

MAX_UPDATE_BYTES = 4_096
"""Largest datagram with records; the VMs that miss larger changes request them."""


def push_update(vm: Gateway, state: TopicState) -> None:
    """Send the last changes of a topic to all live VMs."""
    now_ms = vm.clock.now_ms()
    data = encode_update(state, vm.settings.peer_address, now_ms)
    for heartbeat in vm.membership.live(now_ms):
        vm.send_datagram(heartbeat.address, data)


def encode_update(state: TopicState, address: str, now_ms: float) -> bytes:
    """Return the next update of a topic that this VM has just read."""
    start = state.pushed_ends[0] if state.pushed_ends else state.changed_end
    state.pushed_ends.append(state.changed_end)
    delta = delta_since(state, start, now_ms)
    if delta is not None and not delta.whole and delta.records:
        data = CODEC.encode(make_update(state, address, start, delta.records, now_ms))
        if len(data) <= MAX_UPDATE_BYTES:
            return data
    return CODEC.encode(make_update(state, address, state.changed_end, (), now_ms))


def make_update(
    state: TopicState,
    address: str,
    start: Position,
    records: tuple[KeyedRecord, ...],
    now_ms: float,
) -> TopicUpdate:
    """Return the message with the changes of a topic from a position on."""
    back_ms = state.outage.back_ms
    return TopicUpdate(
        state.name,
        address,
        start.offset,
        records_to_entries(records),
        state.end.offset,
        state.age_ms(now_ms) or 0.0,
        now_ms - back_ms if back_ms else 0.0,
        state.outage.end.offset,
        state.end.era,
    )


def on_update(vm: Gateway, update: TopicUpdate) -> None:
    """Apply the update of another VM, or note that changes before it are missing."""
    topic = vm.topics.get(update.name)
    end = Position(update.era, update.end)
    if topic is None or end < topic.state.end:
        return
    state = topic.state
    if state.end < end.at(update.start):
        vm.wanted_records[update.name] = update.address
        return
    now_ms = vm.clock.now_ms()
    delta = TopicDelta(
        records_from_entries(update.records),
        end,
        False,
        update.age_ms,
        update.back_age_ms,
        end.at(update.back_end),
    )
    known = state.end
    keys = apply_delta(state, delta, now_ms)
    record_confirmed_by_vm(state, end, now_ms - max(0.0, update.age_ms))
    if keys:
        record_taken(vm, state, update.address, known, len(keys), whole=False)
    topic.apply_changes(keys, update.address)

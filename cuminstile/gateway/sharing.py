"""Get records of the store from other VMs where the store itself gives them late.

Manifest, upstreams that leave, data centres taken out and versions held back bind
every VM, also one that the store turns away while it serves the others.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from ..events import Event
from .messages import Heartbeat, RecordEntry, TopicRequest, TopicResponse
from .peer_sessions import SessionLostError
from .state import FollowedTopic, Gateway
from .topics import (
    KeyedRecord,
    TopicDelta,
    TopicState,
    apply_delta,
    delta_since,
    lags,
    record_reported_end,
)

LOOK_INTERVAL_MS = 200.0
"""Pause between looks at what other VMs know."""
ASK_TIMEOUT_MS = 500.0
"""How long another VM may take to give records; it has them at hand."""


async def run_topic_sync_loop(vm: Gateway) -> None:
    """Ask other VMs for what the store does not tell in time, without end."""
    while True:
        await vm.clock.sleep_ms(LOOK_INTERVAL_MS)
        now_ms = vm.clock.now_ms()
        heartbeats = vm.membership.live(now_ms)
        for topic in vm.topics.values():
            ahead = beats_ahead(topic.state, heartbeats, now_ms)
            if ahead and lags(topic.state, now_ms, topic.lag_ms):
                await ask(vm, topic, vm.random.choice(ahead))


def beats_ahead(
    state: TopicState, heartbeats: Sequence[Heartbeat], now_ms: float
) -> list[Heartbeat]:
    """Return the heartbeats of VMs that know more of a topic, and note how much."""
    ahead = [
        heartbeat
        for heartbeat in heartbeats
        if told_end(heartbeat, state.name) > state.end
    ]
    for heartbeat in ahead:
        record_reported_end(state, told_end(heartbeat, state.name), now_ms)
    return ahead


def told_end(heartbeat: Heartbeat, name: str) -> int:
    """Return up to where a VM knows a topic, -1 for not at all."""
    return next((topic.end for topic in heartbeat.topics if topic.name == name), -1)


async def ask(vm: Gateway, topic: FollowedTopic, heartbeat: Heartbeat) -> None:
    """Take over what another VM knows of a topic."""
    state = topic.state
    known = state.end
    try:
        delta = await request_delta(vm, heartbeat.address, state.name, known)
    except (SessionLostError, TimeoutError) as error:
        vm.journal.record(
            Event.RECORDS_NOT_GIVEN,
            peer=heartbeat.name,
            topic=state.name,
            end=known,
            error=repr(error),
        )
        return
    now_ms = vm.clock.now_ms()
    keys = apply_delta(state, delta, now_ms)
    vm.journal.record(
        Event.RECORDS_TAKEN,
        peer=heartbeat.name,
        topic=state.name,
        known_end=known,
        end=state.end,
        changed=len(keys),
        whole=delta.whole,
        age_ms=state.age_ms(now_ms),
    )
    topic.apply_changes(keys, heartbeat.name)


async def request_delta(vm: Gateway, address: str, name: str, end: int) -> TopicDelta:
    """Return what another VM knows of a topic behind an offset.

    Raises
    ------
    LinkLostError, TimeoutError
        If it doesn't answer.
    """
    session = await vm.sessions.get_session(address)
    call = session.begin_call()
    try:
        session.send(TopicRequest(call, name, end))
        async with asyncio.timeout(ASK_TIMEOUT_MS / 1000.0):
            message = await session.reply(call)
    finally:
        session.end_call(call)
    assert isinstance(message, TopicResponse)
    return TopicDelta(
        tuple(KeyedRecord(r.key, r.value, r.offset) for r in message.records),
        message.end,
        message.whole,
        message.age_ms,
        message.back_age_ms,
        message.back_end,
    )


def answer_topic_request(
    state: TopicState | None, asked: TopicRequest, now_ms: float
) -> TopicResponse:
    """Return the answer to a VM that asks for records of a topic."""
    delta = None if state is None else delta_since(state, asked.end, now_ms)
    if delta is None:
        return TopicResponse(asked.call, (), asked.end, False, 0.0, 0.0, -1)
    return TopicResponse(
        asked.call,
        tuple(RecordEntry(r.key, r.value, r.offset) for r in delta.records),
        delta.end,
        delta.whole,
        delta.age_ms,
        delta.back_age_ms,
        delta.back_end,
    )

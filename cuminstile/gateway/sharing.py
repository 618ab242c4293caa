"""Exchange of the store's records between VMs, for VMs that the store serves late.

The manifest, leaving upstreams, data centres taken out and versions held back apply to
every VM, including one that the store refuses while it serves the others.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from ..eras.position import UNREAD, Position
from ..events import Event
from .conversions import records_from_entries, records_to_entries
from .messages import Heartbeat, TopicRequest, TopicResponse
from .peer_sessions import SessionLostError
from .state import FollowedTopic, Gateway
from .topics import (
    TopicDelta,
    TopicState,
    apply_delta,
    delta_since,
    is_lagging,
    record_reported_end,
    settle,
)

CHECK_INTERVAL_MS = 200.0
"""Pause between checks of what other VMs know."""
FIRST_WAIT_MS = 100.0
"""How long a VM that starts waits for a VM that knows a topic; the answer to its first
heartbeat takes a few ms."""
FIRST_WAIT_SPREAD_MS = 200.0
"""Longest random addition to that wait, so that VMs that start together do not all read
the store."""
FIRST_CHECK_MS = 20.0
"""Interval of checks in that wait."""
DELTA_TIMEOUT_MS = 500.0
"""How long another VM may take to send records; it has them in memory."""


async def run_topic_sync_loop(vm: Gateway) -> None:
    """Fetch from other VMs what the store does not return in time, without end.

    Ends the time in which what the store lost at a return still counts, too.
    """
    while True:
        await vm.clock.sleep_ms(CHECK_INTERVAL_MS)
        now_ms = vm.clock.now_ms()
        heartbeats = vm.membership.live(now_ms)
        for topic in vm.topics.values():
            settled = settle(topic.state, now_ms)
            if settled:
                topic.apply_changes(settled, vm.settings.name)
            wanted = wanted_from(vm, topic.state)
            if wanted is not None:
                await fetch_delta(vm, topic, wanted)
                continue
            ahead = heartbeats_ahead(topic.state, heartbeats, now_ms)
            if ahead and is_lagging(topic.state, now_ms, topic.lag_ms):
                await fetch_delta(vm, topic, vm.random.choice(ahead))


async def fetch_first_records(vm: Gateway, topic: FollowedTopic) -> None:
    """Fetch all records of a topic from another VM, if one answers soon."""
    if not vm.settings.seeds:
        return
    state = topic.state
    spread_ms = vm.random.uniform(0.0, FIRST_WAIT_SPREAD_MS)
    end_ms = vm.clock.now_ms() + FIRST_WAIT_MS + spread_ms
    while not state.end.is_read and vm.clock.now_ms() < end_ms:
        await vm.clock.sleep_ms(FIRST_CHECK_MS)
        live = vm.membership.live(vm.clock.now_ms())
        known = [peer for peer in live if reported_end(peer, state.name).is_read]
        if known:
            await fetch_delta(vm, topic, vm.random.choice(known))


def wanted_from(vm: Gateway, state: TopicState) -> Heartbeat | None:
    """Return the VM whose update told of missing changes, if there is one."""
    address = vm.wanted_records.pop(state.name, None)
    peer = vm.membership.peers.get(address) if address is not None else None
    return None if peer is None else peer.heartbeat


def heartbeats_ahead(
    state: TopicState, heartbeats: Sequence[Heartbeat], now_ms: float
) -> list[Heartbeat]:
    """Return the heartbeats of VMs that know more of a topic; record their ends."""
    ahead = [
        heartbeat
        for heartbeat in heartbeats
        if reported_end(heartbeat, state.name) > state.end
    ]
    for heartbeat in ahead:
        record_reported_end(state, reported_end(heartbeat, state.name), now_ms)
    return ahead


def reported_end(heartbeat: Heartbeat, name: str) -> Position:
    """Return the position up to which a VM knows a topic, `UNREAD` if it doesn't."""
    return next(
        (Position(one.era, one.end) for one in heartbeat.topics if one.name == name),
        UNREAD,
    )


async def fetch_delta(vm: Gateway, topic: FollowedTopic, heartbeat: Heartbeat) -> None:
    """Fetch and apply what another VM knows of a topic."""
    state = topic.state
    known = state.end
    try:
        delta = await request_delta(vm, heartbeat.address, state.name, known)
    except (SessionLostError, TimeoutError) as error:
        vm.journal.record(
            Event.RECORDS_NOT_GIVEN,
            peer=heartbeat.name,
            topic=state.name,
            era=known.era,
            end=known.offset,
            error=repr(error),
        )
        return
    now_ms = vm.clock.now_ms()
    keys = apply_delta(state, delta, now_ms)
    record_taken(vm, state, heartbeat.name, known, len(keys), delta.whole)
    topic.apply_changes(keys, heartbeat.name)


def record_taken(
    vm: Gateway,
    state: TopicState,
    peer: str,
    known: Position,
    changed: int,
    whole: bool,
) -> None:
    """Log that records of another VM were applied to a topic."""
    record_return(state, known, vm, peer)
    vm.journal.record(
        Event.RECORDS_TAKEN,
        peer=peer,
        topic=state.name,
        era=state.end.era,
        known_end=known.offset,
        end=state.end.offset,
        changed=changed,
        whole=whole,
        age_ms=state.age_ms(vm.clock.now_ms()),
    )


def record_return(state: TopicState, known: Position, vm: Gateway, source: str) -> None:
    """Log that the store came back from a copy, if the records just applied say so.

    Parameters
    ----------
    known : Position
        The position up to which the topic was known before.
    source : str
        Who gave the records.
    """
    if not known.is_read or state.end.era == known.era:
        return
    vm.metrics.store_returns_total.inc({"topic": state.name})
    vm.journal.record(
        Event.STORE_RETURNED,
        topic=state.name,
        source=source,
        known_era=known.era,
        known_end=known.offset,
        era=state.end.era,
        end=state.end.offset,
        lost=len(state.lost),
        revived=len(state.revived),
    )


async def request_delta(
    vm: Gateway, address: str, name: str, end: Position
) -> TopicDelta:
    """Return what another VM knows of a topic after a position.

    Raises
    ------
    SessionLostError, TimeoutError
        If it doesn't answer.
    """
    session = await vm.sessions.get_session(address)
    call = session.begin_call()
    try:
        session.send(TopicRequest(call, name, end.offset, end.era))
        async with asyncio.timeout(DELTA_TIMEOUT_MS / 1000.0):
            message = await session.reply(call)
    finally:
        session.end_call(call)
    if not isinstance(message, TopicResponse):
        raise SessionLostError(f"{address} sent {type(message).__name__} for a topic")
    return TopicDelta(
        records_from_entries(message.records),
        Position(message.era, message.end),
        message.whole,
        message.age_ms,
        message.back_age_ms,
        Position(message.era, message.back_end),
    )


def answer_topic_request(
    state: TopicState | None, asked: TopicRequest, now_ms: float
) -> TopicResponse:
    """Return the response to a VM's request for records of a topic."""
    known = Position(asked.era, asked.end)
    delta = None if state is None else delta_since(state, known, now_ms)
    if delta is None:
        return TopicResponse(asked.call, (), asked.end, False, 0.0, 0.0, -1, asked.era)
    return TopicResponse(
        asked.call,
        records_to_entries(delta.records),
        delta.end.offset,
        delta.whole,
        delta.age_ms,
        delta.back_age_ms,
        delta.back_end.offset,
        delta.end.era,
    )

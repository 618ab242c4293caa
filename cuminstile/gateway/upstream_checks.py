"""Check which upstreams live after one of them closed a connection in use.

A closed connection alone may be a single reset. An upstream that crashed while most
others of its service ended too crashed for a reason that they share.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from ..clock import Clock
from ..crash_chance import UpstreamCrash, chance_of_unrelated_crash
from .answers import ConnectionLostError
from .crash_state import CrashGuard, LivenessCheck
from .http_client import open_connection
from .upstreams import UpstreamState, UpstreamTable

LISTENS_ON_MS = 20.0
"""How long a process that ends may still listen after its connections are closed."""
HOLD_MS = 30.0
"""How long the peer must keep a new connection open to show that it lives."""
CHECK_TIMEOUT_MS = 200.0
"""A live upstream accepts a connection within some network round trips."""
MAX_CHECKED = 16
"""Upstreams that are checked at once."""


def liveness_check(clock: Clock) -> LivenessCheck:
    """Return a check that opens a connection and sends nothing.

    What comes on it answers nothing, but shows that a process has sent it.
    """

    async def lives(address: str) -> bool:
        try:
            connection = await open_connection(address, CHECK_TIMEOUT_MS)
        except ConnectionLostError:
            return False
        try:
            await clock.sleep_ms(HOLD_MS)
            return not connection.ended_by_peer
        finally:
            connection.close("the check is done")

    return lives


async def has_ended(
    guard: CrashGuard, table: UpstreamTable, clock: Clock, state: UpstreamState
) -> bool:
    """Return whether an upstream that closed a connection of a trial has ended.

    If so, the end of other upstreams of its service is recorded too.
    """
    if guard.lives is None:
        return True
    await clock.sleep_ms(LISTENS_ON_MS)
    others = table.others(state)
    found = await living(guard, [state, *others])
    if state in found:
        return False
    for other in others:
        if other not in found:
            process = other.process
            guard.table.record_ended(other.info.service, process, clock.now_ms())
    return True


async def living(
    guard: CrashGuard, states: Sequence[UpstreamState]
) -> list[UpstreamState]:
    """Return those upstreams that live."""
    if guard.lives is None:
        return []
    checks = [guard.lives(state.info.address) for state in states]
    results = await asyncio.gather(*checks)
    return [state for state, lives in zip(states, results, strict=True) if lives]


def chance_at_upstream(
    guard: CrashGuard,
    table: UpstreamTable,
    names: Sequence[bytes],
    state: UpstreamState,
    took_ms: float,
    now_ms: float,
) -> float:
    """Return how likely an upstream would have crashed without the names it ran."""
    others = (o.process for o in table.others(state))
    process = state.process
    crash = UpstreamCrash(state.info.service, process, took_ms)
    suspects, ended = guard.table.by_fingerprint, guard.table.ended_ms
    return chance_of_unrelated_crash(suspects, ended, names, crash, others, now_ms)

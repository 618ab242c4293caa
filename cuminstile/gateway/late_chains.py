"""Find the chains that can't be ready in time. Does no I/O."""

from __future__ import annotations

from collections.abc import Iterable

from .chain import Chain, has_started, will_miss_deadline, will_miss_target
from .stage_queue import ServiceQueue


def waiting_chains(queues: Iterable[ServiceQueue]) -> list[Chain]:
    """Return the chains with an item that waits in a queue, each once."""
    return list(
        dict.fromkeys(
            item.chain
            for queue in queues
            for item in queue.ready
            if item.queued and not item.chain.ended
        )
    )


def expired_chains(
    chains: Iterable[Chain], queues: Iterable[ServiceQueue], now_ms: float
) -> list[Chain]:
    """Return the chains that can't be ready before their deadline."""
    gone = [chain for chain in chains if now_ms >= chain.spec.expires_at_ms]
    gone += [
        chain
        for chain in waiting_chains(queues)
        if will_miss_deadline(chain, now_ms) and now_ms < chain.spec.expires_at_ms
    ]
    return gone


def late_chains(queues: Iterable[ServiceQueue], now_ms: float) -> list[Chain]:
    """Return the chains that have not started and would be late.

    Chains that were admitted as late are not among them.
    """
    return [
        chain
        for chain in waiting_chains(queues)
        if chain.in_time and will_miss_target(chain, now_ms) and not has_started(chain)
    ]

"""State of the guard against requests that crash upstreams, and their fingerprints.

Does no I/O.
"""

from __future__ import annotations

import hashlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import lru_cache
from typing import TYPE_CHECKING

from ..crash_suspects import CrashTable
from .model import Organisation, PromptPart

if TYPE_CHECKING:
    from .send_state import Call
    from .unframed_answers import UnframedAnswer
    from .upstreams import UpstreamState

DIGEST_BYTES = 16
SUSPECT_AFTER = 2
"""Crashes after which a request runs on trial alone."""
QUARANTINE_AFTER = 3
"""Crashes after which a request that crashed an upstream on trial is quarantined."""
RETESTS_MS = (3_000.0, 12_000.0)
"""See `CrashTable`; the upstreams may have ended for another reason."""

LivenessCheck = Callable[[str], Awaitable[bool]]
"""Returns whether an upstream process listens at a `host:port`."""


@dataclass
class CrashGuard:
    """Names of what may crash upstreams, and what other VMs have to be told of them.

    Parameters
    ----------
    unsent : dict of bytes
        Names whose entry changed since the last message, in order.
    unsent_survivors : dict of str
        Processes whose crash was retracted since the last message, in order.
    unframed : dict of str to list
        By upstream process, answers that may have ended because it crashed.
    repeat_at_ms : float
        When the suspicions are sent again, in monotonic ms.
    unchecked : dict of str to UpstreamState
        Upstream processes that closed a connection in use, and may live on.
    lives : callable or None
        Checks whether an upstream lives; None to take closed connections for its end.
    """

    table: CrashTable = field(
        default_factory=lambda: CrashTable(SUSPECT_AFTER, QUARANTINE_AFTER, RETESTS_MS)
    )
    unsent: dict[bytes, None] = field(default_factory=dict)
    unsent_survivors: dict[str, None] = field(default_factory=dict)
    unframed: dict[str, list[UnframedAnswer]] = field(default_factory=dict)
    repeat_at_ms: float = 0.0
    unchecked: dict[str, UpstreamState] = field(default_factory=dict)
    lives: LivenessCheck | None = None


def digest_of(
    method: bytes,
    host: str,
    target: bytes,
    body: bytes,
    organisation: Organisation | None,
) -> bytes:
    """Return a hash of a request that is the same for each attempt of it.

    It covers what the caller asks for and who asks, but no headers of one attempt.
    """
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    name = organisation.name if organisation else ""
    for part in (method, host.encode(), target, name.encode()):
        hasher.update(b"%d:" % len(part))
        hasher.update(part)
    hasher.update(body)
    return hasher.digest()


def fingerprint_of(digest: bytes, service: str) -> bytes:
    """Return the key of a request at the upstreams of one service."""
    text = service.encode()
    return hashlib.blake2b(text, key=digest, digest_size=DIGEST_BYTES).digest()


def names_of(call: Call) -> tuple[bytes, ...]:
    """Return the names of a request: its own, then those of the parts of its prompt."""
    if not call.digest:
        return ()
    return (fingerprint_of(call.digest, call.service.name), *call.part_names)


def part_names_of(parts: tuple[PromptPart, ...]) -> tuple[bytes, ...]:
    """Return the names of the parts of a prompt, but for the last, the request's own.

    The name of a part is the same at all services: it crashes whatever runs it.
    """
    return tuple(part_name(part.id) for part in parts[:-1])


@lru_cache(maxsize=4_096)
def part_name(part_id: str) -> bytes:
    """Return the name of a part of prompts."""
    text = part_id.encode()
    return hashlib.blake2b(text, person=b"part", digest_size=DIGEST_BYTES).digest()

"""State of the guard against requests that crash upstreams, and their fingerprints.

Does no I/O.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

from ..crash_suspects import CrashTable
from .model import Organisation

DIGEST_BYTES = 16
SUSPECT_AFTER = 2
"""Crashes after which a request runs on trial alone."""
QUARANTINE_AFTER = 3
"""Crashes after which a request that crashed an upstream on trial is quarantined."""


@dataclass
class CrashGuard:
    """Requests that may crash upstreams, and what other VMs have to be told of them.

    Parameters
    ----------
    unsent : dict of bytes
        Fingerprints whose entry changed since the last message, in order.
    unsent_survivors : dict of str
        Processes whose crash was retracted since the last message, in order.
    """

    table: CrashTable = field(
        default_factory=lambda: CrashTable(SUSPECT_AFTER, QUARANTINE_AFTER)
    )
    unsent: dict[bytes, None] = field(default_factory=dict)
    unsent_survivors: dict[str, None] = field(default_factory=dict)


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

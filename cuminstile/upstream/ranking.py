"""Rank VMs for an upstream by rendezvous hashing."""

import hashlib
from functools import lru_cache

from ..rendezvous import rank

ID_BYTES = 4


@lru_cache(maxsize=8192)
def ranked(vms: tuple[str, ...], key: str) -> tuple[str, ...]:
    """Return the VMs by descending rendezvous weight for `key`, the owner first."""
    return rank(key, vms)


@lru_cache(maxsize=65_536)
def compact_id(text: str) -> int:
    """Return the number that represents a name on the wire; 0 for an empty name."""
    if not text:
        return 0
    digest = hashlib.blake2b(text.encode(), digest_size=ID_BYTES).digest()
    return max(1, int.from_bytes(digest, "big"))

"""Rank names for a key by rendezvous hashing (highest random weight)."""

import hashlib
from collections.abc import Iterable


def weight(key: str, name: str) -> bytes:
    """Return the weight of one name for a key; the same on every VM."""
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


def rank(key: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return the names, the one responsible for the key first.

    When a name goes, only the keys that it was first for get another first.
    """
    return tuple(sorted(names, key=lambda name: weight(key, name), reverse=True))

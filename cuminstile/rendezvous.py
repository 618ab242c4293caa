"""Rank names for a key by rendezvous hashing (highest random weight)."""

import hashlib
from collections.abc import Iterable


def weight(key: str, name: str) -> bytes:
    """Return the weight of a name for a key; it is the same on every VM."""
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


def rank(key: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return the names by falling weight; the first one is responsible for the key.

    When a name is removed, only the keys that it was responsible for move.
    """
    return tuple(sorted(names, key=lambda name: weight(key, name), reverse=True))

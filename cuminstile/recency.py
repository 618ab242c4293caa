"""Bounded dictionaries that drop their oldest entries."""

from __future__ import annotations

from collections import OrderedDict
from typing import TypeVar

K = TypeVar("K")
V = TypeVar("V")


def remember(entries: OrderedDict[K, V], key: K, value: V, limit: int) -> None:
    """Store a value as the newest entry, and drop the oldest ones above a limit."""
    entries[key] = value
    entries.move_to_end(key)
    while len(entries) > limit:
        entries.popitem(last=False)

"""Simulated prompt prefix cache of an engine, and the events about its content."""

import hashlib
from collections import OrderedDict, deque
from dataclasses import dataclass, field

BLOCK_CHARS = 256
HASH_DIGITS = 16
EVENTS_KEPT = 10_000


@dataclass(frozen=True)
class CacheEvent:
    """A prefix was added to the cache or removed from it."""

    seq: int
    at_ms: float
    prefix: str
    added: bool


@dataclass
class PrefixCache:
    """LRU cache of prefixes, least recently used first, with its events."""

    prefixes: OrderedDict[str, None] = field(default_factory=OrderedDict)
    events: deque[CacheEvent] = field(default_factory=lambda: deque(maxlen=EVENTS_KEPT))
    seq: int = 0

    def use(self, prompt: str, limit: int, now_ms: float) -> int:
        """Add the prefixes of a prompt and return how many blocks were not cached.

        The least recently used prefixes beyond `limit` are evicted.
        """
        missing = 0
        for prefix in prefixes_of(prompt):
            if prefix not in self.prefixes:
                missing += 1
                self.record_event(prefix, True, now_ms)
            self.prefixes[prefix] = None
            self.prefixes.move_to_end(prefix)
        while len(self.prefixes) > limit:
            dropped, _ = self.prefixes.popitem(last=False)
            self.record_event(dropped, False, now_ms)
        return missing

    def record_event(self, prefix: str, added: bool, now_ms: float) -> None:
        """Record an event with the next sequence number."""
        self.seq += 1
        self.events.append(CacheEvent(self.seq, now_ms, prefix, added))

    def clear(self, now_ms: float) -> None:
        """Remove all prefixes."""
        for prefix in self.prefixes:
            self.record_event(prefix, False, now_ms)
        self.prefixes.clear()

    def events_before(self, after: int, before_ms: float) -> tuple[CacheEvent, ...]:
        """Return the events numbered above `after` and not newer than `before_ms`."""
        return tuple(
            event
            for event in self.events
            if event.seq > after and event.at_ms <= before_ms
        )


def prefixes_of(prompt: str) -> tuple[str, ...]:
    """Return the hash of each block-aligned prefix of a prompt, the shortest first.

    A hash is the first 16 hexadecimal digits of the SHA-256 of the first 256, 512, ...
    characters in UTF-8.
    """
    digest = hashlib.sha256()
    prefixes = []
    for start in range(0, len(prompt) - BLOCK_CHARS + 1, BLOCK_CHARS):
        digest.update(prompt[start : start + BLOCK_CHARS].encode())
        prefixes.append(digest.hexdigest()[:HASH_DIGITS])
    return tuple(prefixes)

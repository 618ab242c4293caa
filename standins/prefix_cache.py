"""Keep the prompt prefixes of an engine and tell of them late and with gaps."""

import hashlib
from collections import OrderedDict, deque
from dataclasses import dataclass, field

BLOCK_CHARS = 256
HASH_DIGITS = 16
EVENTS_KEPT = 10_000


@dataclass(frozen=True)
class CacheEvent:
    """Tell that a prefix came into the cache or left it."""

    seq: int
    at_ms: float
    prefix: str
    added: bool


@dataclass
class PrefixCache:
    """Hold prefixes, the least recently used first, and the events about them."""

    prefixes: OrderedDict[str, None] = field(default_factory=OrderedDict)
    events: deque[CacheEvent] = field(default_factory=lambda: deque(maxlen=EVENTS_KEPT))
    seq: int = 0

    def use(self, prompt: str, limit: int, now_ms: float) -> int:
        """Take a prompt's prefixes in; return how many blocks were missing."""
        missing = 0
        for prefix in prefixes_of(prompt):
            if prefix not in self.prefixes:
                missing += 1
                self.note(prefix, True, now_ms)
            self.prefixes[prefix] = None
            self.prefixes.move_to_end(prefix)
        while len(self.prefixes) > limit:
            dropped, _ = self.prefixes.popitem(last=False)
            self.note(dropped, False, now_ms)
        return missing

    def note(self, prefix: str, added: bool, now_ms: float) -> None:
        """Note one event under the next number."""
        self.seq += 1
        self.events.append(CacheEvent(self.seq, now_ms, prefix, added))

    def clear(self, now_ms: float) -> None:
        """Forget every prefix."""
        for prefix in self.prefixes:
            self.note(prefix, False, now_ms)
        self.prefixes.clear()

    def told(self, after: int, before_ms: float) -> tuple[CacheEvent, ...]:
        """Return the events numbered above `after` that are old enough to tell."""
        return tuple(
            event
            for event in self.events
            if event.seq > after and event.at_ms <= before_ms
        )


def prefixes_of(prompt: str) -> tuple[str, ...]:
    """Return the hash of each prefix of whole blocks of a prompt, the shortest first.

    It is the first 16 hexadecimal digits of the SHA-256 of the first 256, 512, ...
    characters in UTF-8.
    """
    digest = hashlib.sha256()
    prefixes = []
    for start in range(0, len(prompt) - BLOCK_CHARS + 1, BLOCK_CHARS):
        digest.update(prompt[start : start + BLOCK_CHARS].encode())
        prefixes.append(digest.hexdigest()[:HASH_DIGITS])
    return tuple(prefixes)

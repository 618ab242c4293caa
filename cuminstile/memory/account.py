"""Account of the bytes that a process holds for others, and who gets room of it.

Designed for crowds that nobody controls: many large bodies at once, whole or stopping
short, under one key or many. Whoever wants room is given it, waits unread, or is
refused before its body. Does no I/O.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

BYTES_PER_BODY_BYTE = 3
"""What a body takes at most: in the parser, in its request, and while it is sent."""
SMALL_BYTES = 64 * 1024 * BYTES_PER_BODY_BYTE
"""Room up to which a request counts as small. A crowd of large bodies leaves the
remaining share to the small ones, as most requests are small."""
LARGE_SHARE = 0.75
"""Share of the account for large requests."""
OWNER_SHARE = 0.75
"""Share of the room for large requests that one owner gets: a crowd of one organisation
leaves room for the others."""
SMALL_SHARE = 1.0 - LARGE_SHARE
WAITING_SHARE = 0.6 * SMALL_SHARE
"""Share of the account in use for small requests, and by those who wait for room and
hold what they sent already, above which nobody waits any more."""
MAX_WAIT_MS = 1_000.0
"""How long a request waits for room: a caller gives up a request that isn't read in
that time, or gets its refusal soon enough to try elsewhere."""
LEAST_BYTES_PER_S = 16 * 1024.0
"""Rate below which a body loses its room to others that wait."""
SHARE_OF_FREE = 0.6
"""Share of the free memory that the account gives away; the rest is for what the
process itself keeps later, and for memory that is free but not given back."""
LEAST_SIZE_BYTES = 4 * 1024 * 1024


class Kind(StrEnum):
    """What bytes are held for."""

    REQUEST = "request"
    ANSWER = "answer"


class Grant(StrEnum):
    """What becomes of a wish for room."""

    GIVEN = "given"
    WAITING = "waiting"
    REFUSED = "refused"


def account_size(memory_mb: float, own_bytes: int) -> float:
    """Return the bytes that a process can hold for others.

    Parameters
    ----------
    memory_mb : float
        The memory of the machine; infinite if it isn't known.
    own_bytes : int
        What the process holds for itself at its start.
    """
    free_bytes = memory_mb * 1024.0 * 1024.0 - own_bytes
    return max(LEAST_SIZE_BYTES, free_bytes * SHARE_OF_FREE)


@dataclass(eq=False, slots=True)
class Room:
    """The bytes that one holder has of the account; times are monotonic ms.

    Parameters
    ----------
    owner : str
        Organisation or address of the caller.
    held, wanted : int
        Bytes taken, and bytes that it waits for in all; 0 if it doesn't wait.
    large : int
        Bytes taken of the share for large requests: all or none.
    moved_bytes : int
        Bytes that came, or went for an answer, since `since_ms`.
    since_ms : float
        Since when its bytes are counted: since it got its room, or asked for it.
    moved_ms : float
        When the last byte came or went.
    decided : callable
        Called with whether a waiting holder got its room.
    lose : callable
        Called when others need the room: the holder must give it back.
    """

    kind: Kind
    decided: Callable[[bool], None]
    lose: Callable[[], None]
    owner: str = ""
    held: int = 0
    large: int = 0
    wanted: int = 0
    moved_bytes: int = 0
    since_ms: float = 0.0
    moved_ms: float = 0.0
    can_lose: bool = False

    def move(self, size: int, now_ms: float) -> None:
        """Count bytes that came or went."""
        self.moved_bytes += size
        self.moved_ms = now_ms

    def rate(self, now_ms: float) -> float:
        """Return the bytes per second since the room was given."""
        elapsed_s = max(1.0, now_ms - self.since_ms) / 1000.0
        return self.moved_bytes / elapsed_s


@dataclass
class MemoryAccount:
    """All rooms of a process.

    Parameters
    ----------
    size : float
        Bytes that all holders may have together.
    refused, closed : int
        Requests refused, and holders that lost their room, since `take_counts`.
    """

    size: float = math.inf
    held: int = 0
    large: int = 0
    refused: int = 0
    closed: int = 0
    by_kind: Counter[Kind] = field(default_factory=Counter)
    by_owner: Counter[str] = field(default_factory=Counter)
    rooms: dict[Room, None] = field(default_factory=dict)
    waiting: dict[Room, None] = field(default_factory=dict)

    def hold(self, room: Room, size: int, large: int = 0) -> None:
        """Set what a holder has, without asking: the bytes are there already."""
        self.held += size - room.held
        self.by_kind[room.kind] += size - room.held
        self.large += large - room.large
        if large != room.large:
            self.by_owner[room.owner] += large - room.large
            if not self.by_owner[room.owner]:
                del self.by_owner[room.owner]
        room.held, room.large = size, large
        if size:
            self.rooms[room] = None
        else:
            self.rooms.pop(room, None)

    def ask(self, room: Room, size: int, now_ms: float) -> Grant:
        """Ask for room of `size` bytes in all."""
        room.since_ms = room.moved_ms = now_ms
        room.moved_bytes = 0
        if self.fits(room, size):
            self.hold(room, size, large_part(size))
            return Grant.GIVEN
        if self.is_crowded():
            self.refused += 1
            return Grant.REFUSED
        room.wanted = size
        self.waiting[room] = None
        return Grant.WAITING

    def is_crowded(self) -> bool:
        """Return whether those who wait or are small hold too much already."""
        return self.held - self.large > self.size * WAITING_SHARE

    def ask_at_once(self, room: Room, size: int, now_ms: float) -> bool:
        """Ask for room for a request that is complete and can't wait any more."""
        room.since_ms = room.moved_ms = now_ms
        if not self.fits(room, size):
            self.refused += 1
            return False
        self.hold(room, size, large_part(size))
        return True

    def fits(self, room: Room, size: int) -> bool:
        """Return whether there is room of `size` bytes in all for a holder.

        A single large request fits whatever its size, as it is within the limits.
        """
        others_large = self.large - room.large
        if size <= SMALL_BYTES:
            others_small = self.held - room.held - others_large
            free = max(self.size - others_large, self.size * SMALL_SHARE)
            return others_small + size <= free
        if not others_large:
            return True
        limit = self.size * LARGE_SHARE
        if others_large + size > limit or self.held - room.held + size > self.size:
            return False
        others_of_owner = self.by_owner[room.owner] - room.large
        return not others_of_owner or others_of_owner + size <= limit * OWNER_SHARE

    def take_counts(self) -> tuple[int, int]:
        """Return what was refused and closed since the last call."""
        counts = self.refused, self.closed
        self.refused = self.closed = 0
        return counts

    def give_back(self, room: Room) -> None:
        """Take back all that a holder has, and give it to those who wait."""
        self.waiting.pop(room, None)
        room.wanted = 0
        self.hold(room, 0)
        self.serve_waiting()

    def shrink(self, room: Room, size: int) -> None:
        """Take back what a holder has above `size` bytes."""
        if size < room.held:
            self.hold(room, size, size if room.large else 0)
            self.serve_waiting()

    def serve_waiting(self) -> None:
        """Give room to those who wait, the owner with the least room first."""
        while self.waiting:
            fitting = [room for room in self.waiting if self.fits(room, room.wanted)]
            if not fitting:
                return
            room = min(fitting, key=lambda one: self.by_owner[one.owner])
            self.decide(room, True)

    def decide(self, room: Room, given: bool) -> None:
        """End the wait of a holder."""
        del self.waiting[room]
        size, room.wanted = room.wanted, 0
        if given:
            self.hold(room, size, large_part(size))
        else:
            self.refused += 1
        room.decided(given)

    def check(self, now_ms: float, stalled_ms: float) -> None:
        """Refuse who waited too long; close who sits on room that others need.

        Parameters
        ----------
        stalled_ms : float
            How long a holder may have room without progress, or slower than
            `LEAST_BYTES_PER_S`.
        """
        for room in list(self.waiting):
            if room in self.waiting and now_ms - room.since_ms > MAX_WAIT_MS:
                self.decide(room, False)
        for room in self.slow_holders(now_ms, stalled_ms):
            if not self.is_short():
                return
            self.closed += 1
            room.lose()

    def is_short(self) -> bool:
        """Return whether a request waits, or may be refused without a wait."""
        return bool(self.waiting) or self.is_crowded()

    def slow_holders(self, now_ms: float, stalled_ms: float) -> list[Room]:
        """Return who can lose its room, the slowest first.

        Designed for bodies that stop just short, and for answers that nobody reads.
        """
        slow = [
            room
            for room in self.rooms
            if room.can_lose
            and (
                now_ms - room.moved_ms > stalled_ms
                or (
                    now_ms - room.since_ms > stalled_ms
                    and room.rate(now_ms) < LEAST_BYTES_PER_S
                )
            )
        ]
        return sorted(slow, key=lambda room: room.moved_ms)


def large_part(size: int) -> int:
    """Return what a room takes of the share for large requests."""
    return size if size > SMALL_BYTES else 0

"""Positions in the log of a store that may come back from an older copy.

Such a store has lost its newest records and gives their offsets out again. Each return
begins a new era, so an offset says something only together with its era.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, order=True, slots=True)
class Position:
    """An offset in the log of one era; any position of a later era is newer.

    Parameters
    ----------
    era : int
        Number of the era, 0 for a store that names none.
    offset : int
        Offset in the log, -1 for a log that was never read.
    """

    era: int = 0
    offset: int = -1

    @property
    def is_read(self) -> bool:
        """Return whether the log was read at all."""
        return self.offset >= 0

    def at(self, offset: int) -> Position:
        """Return the position of another offset in the same era."""
        return Position(self.era, offset)


UNREAD = Position()
"""Position in a log that was never read; older than all others."""

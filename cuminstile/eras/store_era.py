"""Know the newest era of the store, from all answers that a process gets of it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


@dataclass
class StoreEra:
    """The newest era that the store has named.

    Parameters
    ----------
    number : int
        The era, 0 before the first answer that names one.
    since_ms : float
        When this process first heard of it, in monotonic ms.
    on_return : callable
        Called with the era before and the new one when the store came back from a copy.
    """

    number: int = 0
    since_ms: float = 0.0
    on_return: Callable[[int, int], None] = lambda before, now: None

    def observe(self, named: int | None, now_ms: float) -> bool:
        """Record the era of an answer; return whether the answer is of the newest one.

        Parameters
        ----------
        named : int or None
            The era in the answer; an answer without one counts as of the newest.
        """
        if named is None or named == self.number:
            return True
        if named < self.number:
            return False
        before, self.number, self.since_ms = self.number, named, now_ms
        if before:
            self.on_return(before, named)
        return True

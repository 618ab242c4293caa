"""Know how long answers usually take, to tell which can't be whole before a shutdown.

Does no I/O.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from statistics import median

from ..recency import remember

MAX_TIMES = 32
"""Last answers of a route whose times are remembered."""
MIN_TIMES = 5
"""Answers of a route from which on their times tell what is usual."""
MAX_ROUTES = 1_000
"""Routes whose times are remembered."""


@dataclass
class AnswerTimes:
    """Times from the send of a request to the end of its answer.

    Parameters
    ----------
    by_route : OrderedDict of str to deque of float
        The last times of each route in ms, the route of the last answer at the end.
    """

    by_route: OrderedDict[str, deque[float]] = field(default_factory=OrderedDict)

    def record(self, route: str, took_ms: float) -> None:
        """Record how long one complete answer took."""
        times = self.by_route.get(route)
        if times is None:
            times = deque(maxlen=MAX_TIMES)
        times.append(took_ms)
        remember(self.by_route, route, times, MAX_ROUTES)

    def usual_ms(self, route: str) -> float:
        """Return the time in which half of a route's answers are whole.

        It is 0 while too few have been seen: nothing is refused on a guess.
        """
        times = self.by_route.get(route, ())
        return median(times) if len(times) >= MIN_TIMES else 0.0

"""Decide when a second send is likelier to be in time than the first one.

Designed for a few slow answers among quick ones: an upstream in a slow bout, a request
behind a long one. Where most answers are slow, a second send is no quicker and none is
made. Does no I/O.
"""

from __future__ import annotations

from bisect import bisect_right, insort
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

MAX_TIMES = 256
"""Answers of a kind whose times are remembered."""
MIN_TIMES = 30
"""Answers of a kind from which on their times tell what is usual."""
EARLIEST_QUANTILE = 0.9
"""Share of the answers that have come before a second send is worth its work."""
SAFE_QUANTILE = 0.95
"""Share of the answers for whose time a second send leaves room before the target: it
begins no earlier than it must, as most answers come until then."""
UNSEEN_FACTOR = 2.0
"""How often the longest time in memory has to pass until an answer counts as lost."""
MIN_GAIN = 0.2
"""By how much a second send must be likelier to be in time than the first one."""


@dataclass
class AnswerTimes:
    """Times in ms from a send to the first event, or to the whole answer, of one kind.

    Parameters
    ----------
    recent : deque of float
        The times, the oldest first.
    ordered : list of float
        The same times, the shortest first.
    """

    recent: deque[float] = field(default_factory=deque)
    ordered: list[float] = field(default_factory=list)

    def record(self, took_ms: float) -> None:
        """Add a time, and forget the oldest one above the limit."""
        if len(self.recent) >= MAX_TIMES:
            oldest = self.recent.popleft()
            del self.ordered[bisect_right(self.ordered, oldest) - 1]
        self.recent.append(took_ms)
        insort(self.ordered, took_ms)


def share_within(ordered: Sequence[float], limit_ms: float) -> float:
    """Return the share of some times, the shortest first, up to a limit."""
    return bisect_right(ordered, limit_ms) / len(ordered)


def second_send_after_ms(times: AnswerTimes, left_ms: float) -> float | None:
    """Return how long after a send a second one begins, None for no second send.

    It begins as soon as an upstream that gets the request then is likelier to answer
    within the target than the one that has it, given that that one has not answered; or
    later, if there is still time for nearly all answers then.

    Parameters
    ----------
    left_ms : float
        Time from the first send to the latency target.
    """
    ordered = times.ordered
    if len(ordered) < MIN_TIMES:
        return None
    in_time = share_within(ordered, left_ms)
    for after_ms in ordered[int(EARLIEST_QUANTILE * len(ordered)) :]:
        answered = share_within(ordered, after_ms)
        if answered == 1.0:
            break
        by_first = max(0.0, in_time - answered) / (1.0 - answered)
        by_second = share_within(ordered, left_ms - after_ms)
        if by_second >= by_first + MIN_GAIN:
            return max(after_ms, left_ms - ordered[int(SAFE_QUANTILE * len(ordered))])
    unseen_ms = UNSEEN_FACTOR * ordered[-1]
    return unseen_ms if share_within(ordered, left_ms - unseen_ms) > MIN_GAIN else None

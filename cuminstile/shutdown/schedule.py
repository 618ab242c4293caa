"""Times of a planned stop, from SIGTERM to the end of the process. Does no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

HAND_OVER_MARGIN_MS = 3_000.0
"""How long before its forced end a VM hands on the staged work that it schedules: its
calls in progress end in that time, and the next scheduler completes the rest."""
ANSWER_MARGIN_MS = 1_000.0
"""How long before the forced end the last final answer is written."""
EXIT_MARGIN_MS = 500.0
"""How long before its forced end the process exits by itself."""


@dataclass(frozen=True, slots=True)
class ShutdownTimes:
    """Times of a planned stop in monotonic ms.

    Parameters
    ----------
    began_ms : float
        When SIGTERM came.
    hand_over_at_ms : float
        When the staged work of other VMs goes to another scheduler.
    answer_by_ms : float
        When each request in progress gets its final answer, whatever it waits for.
    exit_at_ms : float
        When the process exits, whatever is unfinished.
    """

    began_ms: float
    hand_over_at_ms: float
    answer_by_ms: float
    exit_at_ms: float


def shutdown_times(began_ms: float, shutdown_ms: float) -> ShutdownTimes:
    """Return the times of a stop.

    Parameters
    ----------
    shutdown_ms : float
        Time from SIGTERM to the forced end of the process.
    """
    forced_at_ms = began_ms + shutdown_ms
    return ShutdownTimes(
        began_ms,
        max(began_ms, forced_at_ms - HAND_OVER_MARGIN_MS),
        max(began_ms, forced_at_ms - ANSWER_MARGIN_MS),
        max(began_ms, forced_at_ms - EXIT_MARGIN_MS),
    )


def answer_by_ms(times: ShutdownTimes | None) -> float:
    """Return when the last answers are written; infinite without a planned stop."""
    return inf if times is None else times.answer_by_ms

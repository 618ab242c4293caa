"""Draw the engine of a session by the speeds of engines.

Designed for engines of uneven speed to which many VMs send at the same time: each VM
draws the same engine for a session, without messages, and of two engines the faster one
gets more sessions, not all of them. Does no I/O.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Mapping
from dataclasses import dataclass

from ..rendezvous import weight
from .estimate import Estimate

SPEED_POWER = 3.0
"""Power of the speed by which sessions are drawn. An engine that is twice as fast reads
a prompt in half of the time and with half of the wait: at low load it gets far more
than twice the sessions."""
HASH_RANGE = 2.0**64


@dataclass(frozen=True, slots=True)
class SpeedView:
    """Slowness of the engines of a service by id.

    Parameters
    ----------
    usual : dict of str to float
        Apart from bouts; one that is not known counts as the median of the others.
    now : dict of str to float
        At this moment.
    """

    usual: dict[str, float]
    now: dict[str, float]


def view_speeds(estimates: Mapping[str, Estimate], now_ms: float) -> SpeedView | None:
    """Return the slowness of engines, None if none of them reports its own."""
    known = {
        name: estimate.usual(now_ms)
        for name, estimate in estimates.items()
        if estimate.tells_speed
    }
    if not known:
        return None
    median = statistics.median(known.values())
    usual = {name: known.get(name, median) for name in estimates}
    now = {
        name: estimate.slowness(now_ms) if name in known else median
        for name, estimate in estimates.items()
    }
    return SpeedView(usual, now)


def home_order(session: str, speeds: SpeedView) -> dict[str, int]:
    """Return the place of each engine in the order in which a session prefers them.

    The chance of the first place grows with the engine's speed. A change of one
    engine's speed moves only sessions to or from that engine, so that VMs that know
    the speeds a little differently agree on most sessions.
    """

    def key(name: str) -> float:
        drawn = (int.from_bytes(weight(session, name)) + 0.5) / HASH_RANGE
        slowness = math.pow(speeds.usual[name], SPEED_POWER)
        return -math.log(min(drawn, 1.0 - 1e-15)) * slowness

    names = sorted(speeds.usual, key=key)
    return {name: place for place, name in enumerate(names)}

"""Decide what VMs tell each other of the speeds of upstreams.

Designed for many VMs that each send one request to one upstream now and then: alone
each would have to meet each slow upstream itself, and would draw sessions by other
speeds than the others. A VM sends the reports that it gets to the hubs, and a hub
sends their median to the VMs of its data centre when that has changed. A lost message
delays that, and without a hub each VM goes by its own reports. Does no I/O.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ..recency import remember
from .estimate import SAMPLES, Estimate

CHANGE = 1.1
"""Factor by which a speed must differ from what was told to be told again."""
REPEAT_MS = 5_000.0
"""Interval at which a hub repeats all that it knows, for messages that were lost and
VMs that are new."""
LOGGED_CHANGE = 1.25
"""Factor by which a speed must differ from what was logged to be logged again."""
LOGGED_SAMPLES = 3
"""Reports of which a speed must be to be logged."""
MAX_LOGGED = 1_024
"""Processes whose logged speed is remembered."""
MAX_TOLD = 30
"""Upstreams in one message; it fits in one packet of the network."""


@dataclass(frozen=True, slots=True)
class Speed:
    """Usual slowness of the process of an upstream, and of how many reports."""

    process: str
    slowness: float
    samples: int


@dataclass
class SpeedSharing:
    """What this VM has told others; times are monotonic ms.

    Parameters
    ----------
    unsent : dict of str to float
        The newest reported slowness, by process, that the hubs weren't told.
    told : dict of str to Speed
        What this VM told the VMs of its data centre, by process.
    logged : OrderedDict of str to float
        The usual slowness that was logged last, by process.
    """

    unsent: dict[str, float] = field(default_factory=dict)
    told: dict[str, Speed] = field(default_factory=dict)
    logged: OrderedDict[str, float] = field(default_factory=OrderedDict)
    repeated_ms: float = -math.inf

    def note_report(self, process: str, estimate: Estimate) -> None:
        """Remember a report for the hubs, the newest of each process.

        All are sent, not only those that differ: the hubs take their median.
        """
        if estimate.report is not None and estimate.report.slowness is not None:
            self.unsent[process] = estimate.report.slowness

    def is_worth_a_line(self, process: str, estimate: Estimate) -> bool:
        """Return whether a usual slowness is to be logged; it counts as logged."""
        usual, known = estimate.usual_report, estimate.samples_known
        before = self.logged.get(process, 1.0)
        if known < LOGGED_SAMPLES or not differs(usual, before, LOGGED_CHANGE):
            return False
        remember(self.logged, process, usual, MAX_LOGGED)
        return True

    def take_unsent(self) -> tuple[Speed, ...]:
        """Return what the hubs are told now, and forget it."""
        speeds = tuple(Speed(process, s, 1) for process, s in self.unsent.items())
        self.unsent.clear()
        return speeds

    def take_changes(
        self, estimates: Mapping[str, Estimate], now_ms: float
    ) -> tuple[Speed, ...]:
        """Return what a hub tells the VMs of its data centre now.

        That is what has changed, and all of it every few seconds.

        Parameters
        ----------
        estimates : mapping of str to Estimate
            By process.
        """
        if now_ms - self.repeated_ms >= REPEAT_MS:
            self.repeated_ms = now_ms
            self.told.clear()
        changes = []
        for process, estimate in estimates.items():
            if not estimate.samples:
                continue
            speed = Speed(process, estimate.own_usual, len(estimate.samples))
            if is_news(speed, self.told.get(process)):
                self.told[process] = speed
                changes.append(speed)
        return tuple(changes)


def differs(one: float, other: float, factor: float = CHANGE) -> bool:
    """Return whether two speeds differ by more than a factor."""
    return max(one, other) > factor * min(one, other)


def is_news(speed: Speed, told: Speed | None) -> bool:
    """Return whether a speed says more than what was told before."""
    if told is None:
        return True
    is_surer = told.samples < SAMPLES <= speed.samples
    return is_surer or differs(speed.slowness, told.slowness)


def apply_samples(
    estimates: Mapping[str, Estimate], speeds: Iterable[Speed], now_ms: float
) -> None:
    """Apply the reports that other VMs received, at a hub."""
    for speed in speeds:
        estimate = estimates.get(speed.process)
        if estimate is not None and is_slowness(speed.slowness):
            estimate.add_sample(speed.slowness, now_ms)


def apply_told(estimates: Mapping[str, Estimate], speeds: Iterable[Speed]) -> None:
    """Apply what a hub says of the speeds of upstreams."""
    for speed in speeds:
        estimate = estimates.get(speed.process)
        if estimate is not None and is_slowness(speed.slowness):
            estimate.record_told(speed.slowness, max(0, min(SAMPLES, speed.samples)))


def is_slowness(value: float) -> bool:
    """Return whether a number from another VM can be a slowness."""
    return math.isfinite(value) and value > 0.0

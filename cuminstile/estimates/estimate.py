"""Estimate how long work takes at one upstream now, relative to the usual time.

Designed for upstreams of uneven speed that share their machines with others: some are
always faster, and each is slowed down for some hundred ms now and then. A report shows
the product of both. They are kept apart, so that a short slow bout doesn't count
against an upstream for long. Does no I/O.
"""

from __future__ import annotations

import math
import statistics
from collections import deque
from dataclasses import dataclass, field

from .report import LoadReport

REPORT_DECAY_MS = 300.0
"""Age after which a reported slowness counts for about a third: such bouts last some
hundred ms."""
LASTING_DECAY_MS = 30_000.0
"""Age after which a measured speed counts for about a third, so that an upstream that
was slow is tried again."""
LASTING_WEIGHT = 0.2
"""Weight of the newest measurement in the moving average of the lasting slowness."""
SAMPLES = 5
"""Reported figures of which the median is the usual one: bouts are the exception."""
SAMPLE_INTERVAL_MS = 500.0
"""Time between two of these, so that one bout doesn't give most of them."""
PRIOR_SAMPLES = 0.5
"""Weight, in samples, of the assumption that an upstream is as fast as usual."""
MIN_SLOWNESS = 0.25
MAX_SLOWNESS = 8.0
"""Bounds of one measurement: beyond them it says more of that request than of the
upstream."""


def bounded(slowness: float) -> float:
    """Return a slowness within the bounds of one measurement."""
    return min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))


@dataclass(slots=True)
class Estimate:
    """What is known of one upstream's speed and load; times are monotonic ms.

    Parameters
    ----------
    report : LoadReport or None
        The last report of its load, None before the first.
    samples : deque of float
        The last reported figures that are some time apart.
    own_usual, told_usual : float
        The figure that the upstream usually reports, by these and by another VM.
    told_samples : int
        Of how many reports the other VM has it.
    usual_report : float
        The better of the two, nearer to 1 if it is of few reports; 1 without any.
    lasting : float
        Moving average of the time that its work takes relative to the usual time,
        without what its reports explain.
    lasting_decay_ms, lasting_weight : float
        How fast `lasting` is forgotten, and how much the newest measurement counts.
    """

    report: LoadReport | None = None
    reported_ms: float = -math.inf
    samples: deque[float] = field(default_factory=lambda: deque(maxlen=SAMPLES))
    sampled_ms: float = -math.inf
    own_usual: float = 1.0
    told_usual: float = 1.0
    told_samples: int = 0
    usual_report: float = 1.0
    lasting: float = 1.0
    measured_ms: float = 0.0
    lasting_decay_ms: float = LASTING_DECAY_MS
    lasting_weight: float = LASTING_WEIGHT

    def record_report(
        self,
        running: int,
        waiting: int,
        slots: int,
        slowness: float | None,
        now_ms: float,
    ) -> None:
        """Record a load that the upstream reports, see `LoadReport`."""
        self.apply_report(LoadReport(running, waiting, slots, slowness), now_ms)

    def apply_report(self, report: LoadReport, now_ms: float) -> None:
        """Record a load that the upstream reports."""
        self.report = report
        self.reported_ms = now_ms
        if report.slowness is not None:
            self.add_sample(report.slowness, now_ms)

    def add_sample(self, slowness: float, now_ms: float) -> None:
        """Add a reported figure to those of which the median is the usual one."""
        if now_ms - self.sampled_ms < SAMPLE_INTERVAL_MS:
            return
        self.sampled_ms = now_ms
        self.samples.append(bounded(slowness))
        self.own_usual = statistics.median_low(self.samples)
        self.update_usual()

    def record_told(self, slowness: float, samples: int) -> None:
        """Record the usual figure that another VM has from a number of reports."""
        self.told_usual = bounded(slowness)
        self.told_samples = samples
        self.update_usual()

    def update_usual(self) -> None:
        """Take the usual figure from whoever knows more reports."""
        own = len(self.samples)
        usual = self.told_usual if self.told_samples > own else self.own_usual
        known = self.samples_known
        self.usual_report = usual ** (known / (known + PRIOR_SAMPLES))

    @property
    def samples_known(self) -> int:
        """Return of how many reports the usual figure is."""
        return max(len(self.samples), self.told_samples)

    def record_time(self, expected_ms: float, took_ms: float, now_ms: float) -> None:
        """Record how long work took there that usually takes `expected_ms`.

        A slowness that the upstream reports at the same time explains its share of it.
        """
        ratio = took_ms / max(1.0, expected_ms) / self.momentary(now_ms)
        newest = bounded(ratio)
        before = self.lasting_at(now_ms)
        self.lasting = before + self.lasting_weight * (newest - before)
        self.measured_ms = now_ms

    def age_ms(self, now_ms: float) -> float:
        """Return the age of the last report, infinite without one."""
        return now_ms - self.reported_ms

    @property
    def tells_speed(self) -> bool:
        """Return whether its reports say how long work takes."""
        return self.samples_known > 0

    def momentary(self, now_ms: float) -> float:
        """Return the reported slowness; it goes to the usual one with its age."""
        if self.report is None or self.report.slowness is None:
            return self.usual_report
        excess = self.report.slowness - self.usual_report
        decay = math.exp(-self.age_ms(now_ms) / REPORT_DECAY_MS)
        return max(MIN_SLOWNESS, self.usual_report + excess * decay)

    def bout(self, now_ms: float) -> float:
        """Return the reported slowness relative to the usual one of this upstream."""
        return self.momentary(now_ms) / self.usual_report

    def usual(self, now_ms: float) -> float:
        """Return the slowness apart from bouts."""
        return self.lasting_at(now_ms) * self.usual_report

    def lasting_at(self, now_ms: float) -> float:
        """Return the measured slowness; it goes to 1 with its age."""
        age_ms = now_ms - self.measured_ms
        excess = self.lasting - 1.0
        return 1.0 + excess * math.exp(-age_ms / self.lasting_decay_ms)

    def slowness(self, now_ms: float) -> float:
        """Return how long work takes there now relative to the usual time."""
        return self.lasting_at(now_ms) * self.momentary(now_ms)

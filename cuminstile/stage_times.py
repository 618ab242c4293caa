"""Estimates of stage run times from recent runs."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .latency import HIGHEST_UNITS, LOWEST_UNITS, UNITS_PER_MS, DurationSeries

WINDOW_MS = 10_000
REFRESH_MS = 1_000
MIN_RUNS = 10
QUANTILES = (0.05, 0.5, 0.9)
MAX_SERIES = 256
PROBE_EVERY_CALLS = 16
RECENT_WAIT_MS = 250


@dataclass(frozen=True)
class Estimate:
    """Estimated run time without queueing; all zeros if it is unknown.

    Parameters
    ----------
    least_ms, typical_ms, likely_ms : float
        The `QUANTILES` of the recent runs.
    """

    least_ms: float = 0.0
    typical_ms: float = 0.0
    likely_ms: float = 0.0


UNKNOWN = Estimate()


@dataclass
class RecentRuns:
    """Recent runs and the last estimate from them."""

    series: DurationSeries = field(default_factory=DurationSeries)
    estimate: Estimate = UNKNOWN
    estimated_ms: float = float("-inf")


@dataclass
class StageTimes:
    """Run times of recent runs, by version and pipeline.

    Parameters
    ----------
    waited_ms : dict of str to float
        For each version, the monotonic time at which a call last found no free slot.
    refusals : dict of str to int
        For each version, how many calls were infeasible by the estimates alone.
    """

    recent: dict[tuple[str, str], RecentRuns] = field(default_factory=dict)
    waited_ms: dict[str, float] = field(default_factory=dict)
    refusals: dict[str, int] = field(default_factory=dict)

    def record_run(
        self, version: str, pipeline: str, elapsed_ms: float, now_ms: float
    ) -> None:
        """Record the duration of one run."""
        entry = self.recent.get((version, pipeline))
        if entry is None:
            if len(self.recent) >= MAX_SERIES:
                self.recent.pop(next(iter(self.recent)))
            entry = self.recent.setdefault((version, pipeline), RecentRuns())
        entry.series.rotate(int(now_ms // WINDOW_MS))
        units = int(elapsed_ms * UNITS_PER_MS)
        entry.series.present.record_value(min(HIGHEST_UNITS, max(LOWEST_UNITS, units)))

    def record_stopped(
        self, version: str, pipeline: str, elapsed_ms: float, now_ms: float
    ) -> None:
        """Record a run that was stopped before it had ended.

        Only runs that were already slow are recorded: the time of a run that was
        stopped early would make the estimates too short.
        """
        if elapsed_ms >= self.estimate(version, pipeline, now_ms).likely_ms:
            self.record_run(version, pipeline, elapsed_ms, now_ms)

    def estimate(self, version: str, pipeline: str, now_ms: float) -> Estimate:
        """Return the estimate for a run; `UNKNOWN` without enough recent runs."""
        entry = self.recent.get((version, pipeline))
        if entry is None:
            return UNKNOWN
        is_old = now_ms - entry.estimated_ms >= REFRESH_MS
        if is_old or entry.estimate is UNKNOWN:
            entry.series.rotate(int(now_ms // WINDOW_MS))
            entry.estimate = estimate_of(entry.series)
            entry.estimated_ms = now_ms
        return entry.estimate

    def is_probe(self, versions: Iterable[str]) -> bool:
        """Count an infeasible call; return whether to try it as a probe.

        Without probes, an estimate that is too long would not be corrected until its
        runs are dropped.
        """
        name = ",".join(versions)
        if len(self.refusals) >= MAX_SERIES:
            self.refusals.clear()
        self.refusals[name] = self.refusals.get(name, 0) + 1
        return self.refusals[name] % PROBE_EVERY_CALLS == 0

    def record_waiting(self, version: str, now_ms: float) -> None:
        """Record that a call of a version found no free slot."""
        self.waited_ms[version] = now_ms

    def waited_recently(self, version: str, now_ms: float) -> bool:
        """Return whether a call of a version found no free slot recently."""
        since_ms = now_ms - self.waited_ms.get(version, float("-inf"))
        return since_ms <= RECENT_WAIT_MS


def estimate_of(series: DurationSeries) -> Estimate:
    """Return the estimate from a series of durations."""
    if series.count() < MIN_RUNS:
        return UNKNOWN
    return Estimate(*series.quantiles_ms(QUANTILES))

"""Histograms of the durations of recent stage runs, by version and pipeline."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

WINDOW_MS = 60_000
UNITS_PER_MS = 10
LOWEST_UNITS = 1
HIGHEST_UNITS = 36_000_000
SIGNIFICANT_DIGITS = 2
MAX_SERIES = 2_000


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of tenths of a millisecond."""
    return HdrHistogram(LOWEST_UNITS, HIGHEST_UNITS, SIGNIFICANT_DIGITS)


@dataclass
class DurationSeries:
    """Durations of the current and the previous time window."""

    present: HdrHistogram = field(default_factory=make_histogram)
    previous: HdrHistogram = field(default_factory=make_histogram)
    window: int = -1

    def rotate(self, window: int) -> None:
        """Start a new window and drop windows older than the previous one."""
        if window == self.window:
            return
        stale = window != self.window + 1
        self.previous = make_histogram() if stale else self.present
        self.present = make_histogram()
        self.window = window

    def count(self) -> int:
        """Return the number of durations in both windows."""
        return int(self.present.total_count + self.previous.total_count)

    def quantile_ms(self, quantile: float) -> float:
        """Return a quantile (0 to 1) of the durations in ms; 0 without any."""
        return self.quantiles_ms((quantile,))[0]

    def quantiles_ms(self, quantiles: Sequence[float]) -> list[float]:
        """Return several quantiles in ms; costs little more than one."""
        merged = make_histogram()
        merged.add(self.previous)
        merged.add(self.present)
        percents = [quantile * 100.0 for quantile in quantiles]
        values = merged.get_percentile_to_value_dict(percents)
        return [float(values[percent]) / UNITS_PER_MS for percent in percents]


@dataclass
class Latencies:
    """Recent durations by version and pipeline."""

    series: dict[tuple[str, str], DurationSeries] = field(default_factory=dict)

    def record(
        self, version: str, pipeline: str, elapsed_ms: float, now_ms: float
    ) -> None:
        """Add the duration of one run."""
        entry = self.series.get((version, pipeline))
        if entry is None:
            if len(self.series) >= MAX_SERIES:
                self.series.pop(next(iter(self.series)))
            entry = self.series.setdefault((version, pipeline), DurationSeries())
        entry.rotate(int(now_ms // WINDOW_MS))
        units = int(elapsed_ms * UNITS_PER_MS)
        entry.present.record_value(min(HIGHEST_UNITS, max(LOWEST_UNITS, units)))

    def quantile_ms(
        self, version: str, pipeline: str, quantile: float, min_runs: int
    ) -> float | None:
        """Return a quantile in ms, or None with fewer than `min_runs` recent runs."""
        entry = self.series.get((version, pipeline))
        if entry is None or entry.count() < min_runs:
            return None
        return entry.quantile_ms(quantile)

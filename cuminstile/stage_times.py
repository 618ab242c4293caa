"""Estimate how long runs of a stage take from the recent ones."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .latency import HIGHEST_UNITS, LOWEST_UNITS, UNITS_PER_MS, Series

WINDOW_MS = 10_000
REFRESH_MS = 1_000
MIN_RUNS = 10
QUANTILES = (0.05, 0.5, 0.9)
MAX_SERIES = 256
PROBE_EVERY_CALLS = 16
WAITED_LATELY_MS = 250


@dataclass(frozen=True)
class Estimate:
    """Hold how long a run takes, waiting not included; zeros while unknown.

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
class Recent:
    """Hold recent runs, and the estimate last drawn from them."""

    series: Series = field(default_factory=Series)
    estimate: Estimate = UNKNOWN
    estimated_ms: float = float("-inf")


@dataclass
class StageTimes:
    """Hold how long recent runs took, by version and pipeline.

    Parameters
    ----------
    waited_ms : dict of str to float
        For each version, when a call last found no slot free anywhere.
    refusals : dict of str to int
        How often the estimates alone spoke against a call of each version.
    """

    recent: dict[tuple[str, str], Recent] = field(default_factory=dict)
    waited_ms: dict[str, float] = field(default_factory=dict)
    refusals: dict[str, int] = field(default_factory=dict)

    def record_run(
        self, version: str, pipeline: str, elapsed_ms: float, now_ms: float
    ) -> None:
        """Take how long one run took."""
        held = self.recent.get((version, pipeline))
        if held is None:
            if len(self.recent) >= MAX_SERIES:
                self.recent.pop(next(iter(self.recent)))
            held = self.recent.setdefault((version, pipeline), Recent())
        held.series.turn(int(now_ms // WINDOW_MS))
        units = int(elapsed_ms * UNITS_PER_MS)
        held.series.present.record_value(min(HIGHEST_UNITS, max(LOWEST_UNITS, units)))

    def record_stopped(
        self, version: str, pipeline: str, elapsed_ms: float, now_ms: float
    ) -> None:
        """Take that one run had not ended when it was stopped.

        It tells something only where it was slow already: the time of a run that was
        stopped early would make the estimates too short.
        """
        if elapsed_ms >= self.estimate(version, pipeline, now_ms).likely_ms:
            self.record_run(version, pipeline, elapsed_ms, now_ms)

    def estimate(self, version: str, pipeline: str, now_ms: float) -> Estimate:
        """Return the estimate for a run, `UNKNOWN` without enough recent ones."""
        held = self.recent.get((version, pipeline))
        if held is None:
            return UNKNOWN
        is_old = now_ms - held.estimated_ms >= REFRESH_MS
        if is_old or held.estimate is UNKNOWN:
            held.series.turn(int(now_ms // WINDOW_MS))
            held.estimate = estimate_of(held.series)
            held.estimated_ms = now_ms
        return held.estimate

    def is_probe(self, versions: Iterable[str]) -> bool:
        """Count a call that the estimates speak against; return whether to try it.

        Without such calls an estimate that was once long would stay so for as long
        as it is kept.
        """
        name = ",".join(versions)
        if len(self.refusals) >= MAX_SERIES:
            self.refusals.clear()
        self.refusals[name] = self.refusals.get(name, 0) + 1
        return self.refusals[name] % PROBE_EVERY_CALLS == 0

    def record_waiting(self, version: str, now_ms: float) -> None:
        """Note that a call of a version found no slot free anywhere."""
        self.waited_ms[version] = now_ms

    def waited_lately(self, version: str, now_ms: float) -> bool:
        """Return whether calls of a version have to wait at present."""
        since_ms = now_ms - self.waited_ms.get(version, float("-inf"))
        return since_ms <= WAITED_LATELY_MS


def estimate_of(series: Series) -> Estimate:
    """Return the estimate that a series of durations gives."""
    if series.count() < MIN_RUNS:
        return UNKNOWN
    return Estimate(*series.quantiles_ms(QUANTILES))

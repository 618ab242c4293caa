"""Count what upstreams began, by organisation and window of time; does no I/O.

Each process counts totals that only grow. Whoever merges them takes the larger number,
so copies may come late, twice, through others or not at all before the next one.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from .messages import DutyReport, UsageEntry

KEPT_WINDOWS = 6
"""Windows that a process keeps counts of: more than are reported late."""
KEPT_REPORTS = 4
"""Reports that the ledger keeps: those of the windows that may still be due."""

Process = tuple[str, str]
"""Address and incarnation."""


@dataclass(frozen=True)
class Report:
    """The report of a window as it lies in the ledger, which alone is ever sent."""

    window: int
    body: str
    accepted: bool = False


@dataclass
class UsageTable:
    """Counts of this process and of others.

    Parameters
    ----------
    own : tuple of str
        Address and incarnation of this process.
    window_ms : int
        Length of a window; window k begins k times this after 1970 UTC.
    counts : dict
        By process and window the count of each organisation.
    counted_ms : dict of str to int
        By address, up to when the counts of a VM are known.
    """

    own: Process
    window_ms: int
    counts: dict[Process, dict[int, dict[str, int]]] = field(default_factory=dict)
    counted_ms: dict[str, int] = field(default_factory=dict)

    def window_at(self, wall_ms: float) -> int:
        """Return the number of the window at a time."""
        return int(wall_ms // self.window_ms)

    def end_ms(self, window: int) -> int:
        """Return the end of a window in ms since 1970 UTC."""
        return (window + 1) * self.window_ms

    def count(self, organisation: str, wall_ms: float) -> None:
        """Count a request that an upstream began now."""
        windows = self.counts.setdefault(self.own, {})
        window = windows.setdefault(self.window_at(wall_ms), {})
        window[organisation] = window.get(organisation, 0) + 1

    def merge(self, report: DutyReport) -> None:
        """Take the larger of the known and the reported counts."""
        process = (report.address, report.incarnation)
        if process == self.own:
            return
        windows = self.counts.setdefault(process, {})
        for entry in report.usage:
            window = windows.setdefault(entry.window, {})
            known = window.get(entry.organisation, 0)
            window[entry.organisation] = max(known, entry.count)
        heard = self.counted_ms.get(report.address, 0)
        self.counted_ms[report.address] = max(heard, report.counted_ms)

    def total(self, window: int) -> dict[str, int]:
        """Return the count of each organisation in a window, sorted by name."""
        sums: dict[str, int] = {}
        for windows in self.counts.values():
            for organisation, count in windows.get(window, {}).items():
                sums[organisation] = sums.get(organisation, 0) + count
        return dict(sorted(sums.items()))

    def windows_of_others(self) -> set[int]:
        """Return the windows in which other processes counted something."""
        others = (
            windows for process, windows in self.counts.items() if process != self.own
        )
        return {window for windows in others for window in windows}

    def entries(self, process: Process, first: int) -> list[UsageEntry]:
        """Return the counts of a process from a window on, the newest window first."""
        windows = self.counts.get(process, {})
        return [
            UsageEntry(window, organisation, count)
            for window in sorted(windows, reverse=True)
            if window >= first
            for organisation, count in windows[window].items()
        ]

    def forget_old(self, wall_ms: float) -> None:
        """Forget windows that nobody reports any more, and processes without any."""
        first = self.window_at(wall_ms) - KEPT_WINDOWS
        for process, windows in list(self.counts.items()):
            for window in [number for number in windows if number < first]:
                del windows[window]
            if not windows:
                del self.counts[process]
        for address, heard in list(self.counted_ms.items()):
            if self.window_at(heard) < first:
                del self.counted_ms[address]

    def is_complete(self, window: int, addresses: Iterable[str]) -> bool:
        """Return whether some VMs have all said what they counted in a window."""
        end_ms = self.end_ms(window)
        own = self.own[0]
        return all(
            address == own or self.counted_ms.get(address, 0) > end_ms
            for address in addresses
        )


def due_windows(
    table: UsageTable,
    ledger: Sequence[Report],
    wall_ms: float,
    late_ms: float,
    patience_ms: float,
    first: int,
    addresses: Sequence[str],
) -> list[int]:
    """Return the windows to report now, the oldest first.

    A window is reported once all VMs have told their counts, or when the patience is
    over. Only windows behind all those in the ledger are, so that none gets two.

    Parameters
    ----------
    late_ms, patience_ms : float
        Times after the end of a window: when its report is late, and until when counts
        are awaited.
    first : int
        The first window in which this fleet can have counted.
    """
    current = table.window_at(wall_ms)
    reported = last_window(ledger)
    oldest = table.window_at(wall_ms - late_ms)
    due = []
    for window in range(max(reported + 1, first, oldest), current):
        waited_ms = wall_ms - table.end_ms(window)
        if waited_ms < patience_ms and not table.is_complete(window, addresses):
            break
        due.append(window)
    return due


def last_window(ledger: Sequence[Report]) -> int:
    """Return the last window in the ledger, -1 for none."""
    return max((report.window for report in ledger), default=-1)


def add_reports(
    ledger: Sequence[Report], reports: Sequence[Report]
) -> tuple[Report, ...]:
    """Return the ledger with further reports, without the oldest ones."""
    return (*ledger, *reports)[-KEPT_REPORTS:]


def merge_ledgers(
    known: Sequence[Report], stored: Sequence[Report]
) -> tuple[Report, ...]:
    """Return the reports of two ledgers; of a window in both, the stored one."""
    reports = {report.window: report for report in (*known, *stored)}
    return add_reports((), [reports[window] for window in sorted(reports)])


def unsent_reports(
    table: UsageTable, ledger: Sequence[Report], wall_ms: float, late_ms: float
) -> list[Report]:
    """Return the reports that may not have been accepted and are not late yet."""
    return [
        report
        for report in ledger
        if not report.accepted and wall_ms < table.end_ms(report.window) + late_ms
    ]

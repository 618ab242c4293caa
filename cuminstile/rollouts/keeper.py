"""Keep the marks of versions in the store, and read them when a VM starts.

One VM at a time writes: the first one in the order in which VMs read the store; the
others wait for what it tells. Marks are written under a condition, so that none that
another VM wrote is lost.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..clock import Clock
from ..eras.position import Position
from ..eras.store_era import StoreEra
from ..events import Event, Journal
from ..exceptions import PlatformUnavailableError
from .marks import VersionMark, VersionMarks

CHECK_MS = 400.0
"""Pause between checks whether something is due."""
START_CHECK_MS = 50.0
"""That pause while a VM starts, as it may wait for the marks."""
START_MS = 3_000.0
"""How long a VM counts as starting."""
FIRST_WAIT_MS = 100.0
"""How long a VM that starts waits for what other VMs know; then it reads the store."""
FIRST_WAIT_SPREAD_MS = 200.0
"""Longest random addition to that wait."""
TURN_MS = 700.0
"""How much later each further VM writes: time for a call and a heartbeat."""
MAX_TURNS = 6
LONGEST_WAIT_MS = 5_000.0
"""How long a VM that starts waits for the marks. Callers are better off with a VM that
may send to a version held back before than with none."""
RETRY_MIN_MS = 200.0
RETRY_MAX_MS = 2_000.0


@dataclass(frozen=True)
class StoredMarks:
    """The marks in the store, and the end of the log in which they lie."""

    marks: tuple[VersionMark, ...]
    end: Position


class MarkStore(Protocol):
    """The log of the marks; a failed call raises `PlatformUnavailableError`."""

    async def read(self) -> StoredMarks:
        """Return all marks."""

    async def append(self, at: Position, marks: tuple[VersionMark, ...]) -> bool:
        """Append all marks if the log ends at a position; return whether it did."""


@dataclass
class MarkKeeper:
    """What keeps the marks of one VM and those of the store alike.

    Parameters
    ----------
    rank : callable
        Returns this VM's place in the order in which VMs write.
    wanted : callable
        Returns whether this VM waits for earlier marks, as it starts and there are
        orders.
    first_wait_ms : float
        How long it waits for what other VMs know, before it reads the store.
    """

    marks: VersionMarks
    store: MarkStore
    era: StoreEra
    clock: Clock
    journal: Journal
    rank: Callable[[], int]
    wanted: Callable[[], bool]
    first_wait_ms: float = FIRST_WAIT_MS
    wanted_since_ms: float | None = None
    retry_ms: float = RETRY_MIN_MS
    paused_until_ms: float = 0.0

    async def run(self) -> None:
        """Read and write the marks when that is due, without end."""
        started_ms = self.clock.now_ms()
        while True:
            starts = self.clock.now_ms() - started_ms < START_MS
            await self.clock.sleep_ms(START_CHECK_MS if starts else CHECK_MS)
            if self.is_due(self.clock.now_ms()):
                await self.synchronise()

    def is_due(self, now_ms: float) -> bool:
        """Return whether the store should be asked now."""
        marks = self.marks
        if now_ms < self.paused_until_ms:
            return False
        if not marks.known and self.wanted():
            if self.wanted_since_ms is None:
                self.wanted_since_ms = now_ms
            return now_ms - self.wanted_since_ms >= self.first_wait_ms
        if not marks.marks or marks.stored_era >= self.era.number:
            return False
        changed_ms = max(marks.changed_ms, self.era.since_ms)
        return now_ms - changed_ms >= min(self.rank(), MAX_TURNS) * TURN_MS

    def waive_if_late(self) -> None:
        """Let a VM serve without the marks that it has waited for too long."""
        since_ms = self.wanted_since_ms
        if since_ms is None or not self.wanted():
            return
        if self.clock.now_ms() - since_ms >= LONGEST_WAIT_MS:
            self.marks.waive()

    async def synchronise(self) -> None:
        """Merge what the store has, and write what it lacks."""
        marks = self.marks
        try:
            stored = await self.store.read()
            if marks.learn(stored.marks, True, self.clock.now_ms()):
                self.journal.record(Event.VERSIONS_LEARNED, source="store")
            written = marks.all()
            lacks = set(written) != set(stored.marks)
            is_stored = not lacks or await self.store.append(stored.end, written)
        except PlatformUnavailableError as error:
            self.waive_if_late()
            self.journal.record(Event.VERSIONS_NOT_STORED, error=error.message)
            self.paused_until_ms = self.clock.now_ms() + self.retry_ms
            self.retry_ms = min(RETRY_MAX_MS, 2 * self.retry_ms)
            return
        self.retry_ms = RETRY_MIN_MS
        if is_stored and marks.all() == written:
            marks.stored_era = stored.end.era
            self.journal.record(
                Event.VERSIONS_STORED, marks=len(written), written=lacks
            )
        else:
            self.paused_until_ms = self.clock.now_ms() + RETRY_MIN_MS

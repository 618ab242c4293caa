"""Record how calls of stages ended, and let upstreams that failed or refused rest."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..clock import Clock
from ..events import Event, Journal
from .spare_connections import SpareConnections
from .stage_calls import StageAnswer
from .stage_queue import Worker
from .upstream_words import apply_words, record_word
from .upstreams import UpstreamTable, process_of

REFUSED_PAUSE_MS = 60.0
"""Pause after an upstream refused a call because it was full; a fifth of a call."""
LOST_PAUSE_MS = 500.0
"""Pause after the first failed call of an upstream; doubled after each further one."""
LOST_PAUSE_MAX_MS = 4_000.0
"""Longest pause after failed calls; a restarted upstream is up after some seconds."""


@dataclass
class CallReports:
    """What the ends of calls say of the upstreams of stages.

    Parameters
    ----------
    pauses : dict of str to float
        The pause after the next failed call of an upstream, in ms.
    """

    clock: Clock
    journal: Journal
    spares: SpareConnections
    pauses: dict[str, float] = field(default_factory=dict)

    def record_succeeded(self, worker: Worker) -> None:
        """Forget the failed calls of an upstream."""
        self.pauses.pop(worker.id, None)

    def record_lost(self, worker: Worker, reason: str) -> None:
        """Log a failed call and pause its upstream."""
        pause_ms = self.pauses.get(worker.id, LOST_PAUSE_MS)
        self.pauses[worker.id] = min(LOST_PAUSE_MAX_MS, pause_ms * 2)
        worker.available_at_ms = self.clock.now_ms() + pause_ms
        self.journal.record(
            Event.STAGE_UPSTREAM_LOST,
            service=worker.service,
            upstream=worker.id,
            reason=reason,
            pause_ms=pause_ms,
        )

    def record_refused(self, worker: Worker, status: int, not_run: bool) -> None:
        """Log a refused call and pause its upstream; status 421 excludes it."""
        pause_end_ms = self.clock.now_ms() + REFUSED_PAUSE_MS
        worker.available_at_ms = max(worker.available_at_ms, pause_end_ms)
        if status == 421:
            self.stop_using(worker)
        self.journal.record(
            Event.STAGE_CALL_REFUSED,
            service=worker.service,
            upstream=worker.id,
            status=status,
            not_run=not_run,
        )

    def record_words(
        self, table: UpstreamTable, worker: Worker, answer: StageAnswer
    ) -> None:
        """Record what an upstream says of itself in an answer."""
        now_ms = self.clock.now_ms()
        process = process_of(worker.id, worker.started_ms)
        if answer.load is not None:
            worker.estimate.apply_report(answer.load, now_ms)
        words = apply_words(table, process, answer.leaving, answer.closed_ms, now_ms)
        for word in words:
            record_word(self.journal, worker.id, worker.service, word, answer.closed_ms)
        if answer.leaving:
            self.stop_using(worker)
        closed_until_ms = table.closed_until_ms.get(process, 0.0)
        worker.available_at_ms = max(worker.available_at_ms, closed_until_ms)

    def stop_using(self, worker: Worker) -> None:
        """Make no more calls to an upstream."""
        worker.usable = False
        self.spares.drop(worker.id)

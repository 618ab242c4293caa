"""Keep work items that crash upstreams of stages from being run on and on.

The items of a request under which an upstream crashed run in calls of their own, one at
a time, until one is answered or the request is quarantined; see `crash_suspects`.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from ..clock import Clock
from ..crash_limits import Suspicion
from ..events import Event, Journal
from .chain import WorkItem
from .crash_state import CrashGuard, fingerprint_of
from .stage_queue import Worker
from .upstream_checks import chance_at_upstream, has_ended
from .upstreams import UpstreamTable, process_of


@dataclass
class StageCrashes:
    """The guard as the scheduler of staged work uses it."""

    clock: Clock
    journal: Journal
    guard: CrashGuard

    def must_run_alone(self, item: WorkItem) -> bool:
        """Return whether an upstream crashed under the item's request."""
        if not self.guard.table.by_fingerprint:
            return False
        now_ms = self.clock.now_ms()
        return self.guard.table.crash_count(key_of(item), now_ms) > 0

    def may_run(self, item: WorkItem) -> bool:
        """Return whether an item is neither quarantined nor on trial elsewhere."""
        table = self.guard.table
        if not table.by_fingerprint:
            return True
        now_ms, key = self.clock.now_ms(), key_of(item)
        if table.trial_left_ms(key, now_ms) > 0:
            return False
        quarantined = table.quarantined((key,), now_ms) is not None
        return not quarantined or table.may_retest(key, now_ms)

    def begin_call(self, batch: Sequence[WorkItem], limit_ms: float) -> bool:
        """Reserve the trial of a request whose items run in a call of their own.

        Returns whether the call is on trial.
        """
        if not self.must_run_alone(batch[0]):
            return False
        key = key_of(batch[0])
        self.guard.table.begin_trial(key, self.clock.now_ms() + limit_ms)
        self.guard.unsent[key] = None
        return True

    async def has_ended(self, table: UpstreamTable, worker: Worker) -> bool:
        """Return whether an upstream that closed the connection of a call has ended."""
        state = table.states.get(worker.id)
        if state is None or state.info.started_ms != worker.started_ms:
            return True
        return await has_ended(self.guard, table, self.clock, state)

    def record_crash(
        self,
        table: UpstreamTable,
        worker: Worker,
        batch: Sequence[WorkItem],
        on_trial: bool,
        took_ms: float,
    ) -> bool:
        """Record a crash under a call; return whether a request is quarantined now.

        Parameters
        ----------
        on_trial : bool
            Whether the call was the only run of its request.
        took_ms : float
            Time from the call to the crash.
        """
        items = {key_of(item): item for item in batch if item.chain.spec.digest}
        process = process_of(worker.id, worker.started_ms)
        chance = self.chance_at_worker(table, worker, list(items), took_ms)
        quarantined = False
        for key, item in items.items():
            suspicion = self.guard.table.record_crash(
                key,
                worker.service,
                process,
                self.clock.now_ms(),
                on_trial=on_trial,
                chance=chance,
            )
            self.guard.unsent[key] = None
            quarantined |= suspicion is Suspicion.QUARANTINED
            self.journal.record(
                Event.REQUEST_QUARANTINED
                if suspicion is Suspicion.QUARANTINED
                else Event.REQUEST_CUT_OFF,
                request=item.chain.spec.request_id,
                fingerprint=key.hex(),
                service=worker.service,
                upstream=process,
                crashes=self.guard.table.crash_count(key, self.clock.now_ms()),
            )
        return quarantined

    def chance_at_worker(
        self,
        table: UpstreamTable,
        worker: Worker,
        names: Sequence[bytes],
        took_ms: float,
    ) -> float:
        """Return how likely an upstream would have crashed without the names it ran."""
        state = table.states.get(worker.id)
        if state is None:
            return 1.0
        now_ms = self.clock.now_ms()
        return chance_at_upstream(self.guard, table, names, state, took_ms, now_ms)

    def record_answer(self, batch: Sequence[WorkItem], ran: bool) -> None:
        """Clear the requests of an answered call; only end its trial if it didn't run.

        Parameters
        ----------
        ran : bool
            Whether the upstream ran the call to its end.
        """
        table = self.guard.table
        if not table.by_fingerprint:
            return
        for key in {key_of(item) for item in batch}:
            if key not in table.by_fingerprint:
                continue
            if ran:
                table.record_good_run(key, self.clock.now_ms())
            else:
                table.end_trial(key)
            self.guard.unsent[key] = None


def key_of(item: WorkItem) -> bytes:
    """Return the fingerprint of an item's request at the service of its stage."""
    return fingerprint_of(item.chain.spec.digest, item.stage.service)

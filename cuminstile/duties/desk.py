"""Hold the duties of the fleet, or wait until this VM may: the steps with I/O."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Protocol

from ..clock import Clock
from ..events import Event, Journal
from ..exceptions import PlatformUnavailableError
from ..token_bucket import TokenBucket
from .fleet_time import FleetTime
from .lease import Attempt, Lease, LeaseRecord
from .messages import DemandEntry, DutyBeat, DutyReport, UsageEntry
from .store import DutyCall, DutyPlatform, DutyStore
from .types import DutyAnswer, Subject
from .usage import (
    Process,
    Report,
    UsageTable,
    add_reports,
    due_windows,
    last_window,
    merge_ledgers,
    unsent_reports,
)

SILENT_MS = 1_600.0
"""How long the holder may be silent before the first VM tries to take the lease."""
RANK_STEP_MS = 700.0
"""How much longer each further VM waits."""
MAX_RANK_STEPS = 6
RETRY_MS = 400.0
"""Pause after the first call of the store that failed."""
MAX_RETRY_MS = 2_000.0
"""Longest pause of a VM that does not hold the lease."""
CALL_TIMEOUT_SHARE = 0.25
"""Share of the lease after which a call is given up: less than the time between the end
of the holder's calls and the earliest call of another holder."""
BEAT_INTERVAL_MS = 400.0
"""Interval at which the holder says that it lives."""
REPORT_INTERVAL_MS = 400.0
"""Shortest interval at which a VM tells its counts; bounds what a killed VM loses."""
REPORT_STEP_MS = 15.0
"""Added to it for each VM, so that the holder reads some dozen reports a second."""
MAX_REPORT_INTERVAL_MS = 1_000.0
BACKUPS = 2
"""Further VMs that are told; one of them takes the lease if the holder is lost."""
ENTRIES_PER_DATAGRAM = 40
PATIENCE_SHARE = 0.45
"""Share of the time until a report is late for which missing counts are awaited; a VM
that takes the lease over afterwards still reports in time."""
FRESH_MS = 15_000.0
"""How long counts of a VM that fell silent are awaited for each window."""
BUCKET_SHARE = 0.8
"""Share of the platform's limit of calls that is used."""
REFUSED_PAUSE_MS = 1_000.0
"""Pause of all calls after the platform refused one because of its limit."""
REPEAT_MS = 700.0
"""Pause before a report that got no answer is sent again."""
PAUSED_MS = 1_000.0
"""A step that is later by this means that the process was paused."""
SETTLE_INTERVALS = 2.0
"""Intervals of counts that a new holder, or one that was paused, waits for what others
tell before it reports."""
HASTE_MS = 2_000.0
"""Time before a report is late from which on it waits for nothing."""
FORWARDS = 3
"""How often the counts of other VMs are told to a new holder."""


@dataclass(frozen=True)
class DutySettings:
    """What a deployment says of its duties.

    Parameters
    ----------
    duties : tuple of str
        The duties that there are: `USAGE_DUTY`, `ORDERS_DUTY`.
    calls_per_s : float
        The platform's limit of such calls of all VMs together.
    window_ms, late_ms : int
        Length of a window of usage, and the time after its end when its report is late.
    """

    duties: tuple[str, ...]
    lease_ms: float
    calls_per_s: float
    window_ms: int
    late_ms: float


class Fleet(Protocol):
    """The other VMs, as this one knows them."""

    def order(self) -> Sequence[str]:
        """Return the live VMs that take on duties, this one too, the first one first.

        A VM that leaves is not among them.
        """

    def live(self) -> Sequence[str]:
        """Return the addresses of all other VMs that are heard of, leaving ones too."""

    def send(self, addresses: Sequence[str], message: object) -> None:
        """Send some VMs a message that may be lost."""

    def everyone(self) -> Sequence[str]:
        """Return the addresses of all other VMs, silent ones too."""


@dataclass
class Known:
    """The holder as other VMs know it; times are monotonic ms."""

    address: str = ""
    token: int = -1
    heard_ms: float = -SILENT_MS
    released: bool = False
    reported: int = -1
    forwards: int = 0


@dataclass
class DutyDesk:
    """The duties as one VM has them; see `types.DutyHolder`.

    Parameters
    ----------
    leaving : callable
        Returns whether this VM shuts down.
    on_token, on_call : callable
        Called with the fencing token or 0 when that changes, and with the duty and the
        result of each call.
    local_demand : callable
        Returns the demand as this VM sees it.
    own_demand, told_demand
        The last one of this VM, and those of others by address with their time.
    ledger : tuple of Report
        The reports in the store as this VM knows them, whole while it holds the lease.
    ledger_stored : bool
        Whether the store has it so; not after it came back from an older copy.
    reported : int
        The last window whose report may have left, as far as any VM told.
    accepted : set of int
        Windows whose reports the platform accepted from this process.
    """

    settings: DutySettings
    clock: Clock
    journal: Journal
    name: str
    address: str
    incarnation: str
    fleet: Fleet
    store: DutyStore
    platform: DutyPlatform
    leaving: Callable[[], bool]
    on_token: Callable[[int], None] = lambda _: None
    on_call: Callable[[str, str], None] = lambda *_: None
    local_demand: Callable[[], tuple[DemandEntry, ...]] = tuple
    lease: Lease = field(init=False)
    usage: UsageTable = field(init=False)
    time: FleetTime = field(default_factory=FleetTime)
    bucket: TokenBucket = field(init=False)
    known: Known = field(default_factory=Known)
    ledger: tuple[Report, ...] = ()
    ledger_stored: bool = True
    reported: int = -1
    accepted: set[int] = field(default_factory=set)
    told_demand: dict[str, tuple[float, tuple[DemandEntry, ...]]] = field(
        default_factory=dict
    )
    first_window: int = -1
    started_ms: float = 0.0
    store_pause_until_ms: float = 0.0
    retry_ms: float = RETRY_MS
    call_pause_until_ms: float = 0.0
    unanswered_ms: float = -1e12
    calls: int = 0
    repeat_at_ms: dict[int, float] = field(default_factory=dict)
    beat_at_ms: float = 0.0
    report_at_ms: float = 0.0
    token_held: int | None = None
    stepped_ms: float = 0.0
    settled_at_ms: float = 0.0

    def __post_init__(self) -> None:
        """Make the parts that follow from the settings."""
        settings, own = self.settings, (self.address, self.incarnation)
        self.lease = Lease(self.address, self.incarnation, settings.lease_ms)
        self.usage = UsageTable(own, settings.window_ms)
        per_s = max(1.0, settings.calls_per_s * BUCKET_SHARE)
        self.bucket = TokenBucket(per_s / 2.0, per_s / 2.0)
        self.started_ms = self.clock.now_ms()
        self.known.heard_ms = self.started_ms - SILENT_MS

    def wall_ms(self) -> float:
        """Return the corrected wall-clock time in ms since 1970 UTC."""
        return self.time.wall_ms(self.clock.wall_ms(), self.clock.now_ms())

    def left_ms(self) -> float:
        """Return for how long this VM may make calls."""
        return self.lease.left_ms(self.clock.now_ms(), self.clock.wall_ms())

    def token(self, subject: Subject) -> int | None:
        """Return the fencing token, None unless this VM holds the lease."""
        held = self.lease.held
        if held is None or subject.duty not in self.settings.duties:
            return None
        return held.record.token if self.left_ms() > 0.0 else None

    def count_begun(self, organisation: str) -> None:
        """Count a request that an upstream began now."""
        self.usage.count(organisation, self.wall_ms())

    def demands(self) -> Mapping[str, tuple[DemandEntry, ...]]:
        """Return the latest demand by VM address."""
        fresh_ms = self.clock.now_ms() - 3.0 * MAX_REPORT_INTERVAL_MS
        told = {
            address: entries
            for address, (at_ms, entries) in self.told_demand.items()
            if at_ms >= fresh_ms
        }
        return {**told, self.address: self.local_demand()}

    # Calls to the platform

    async def call(
        self, subject: Subject, method: bytes, path: bytes, body: bytes
    ) -> DutyAnswer:
        """Make one call of a duty; see `types.DutyHolder`."""
        return await self.make_call(subject, DutyCall(method, path, body))

    async def make_call(self, subject: Subject, call: DutyCall) -> DutyAnswer:
        """Make one call with the token of the lease, if there is time for it."""
        now_ms = self.clock.now_ms()
        token = self.token(subject)
        if token is None or now_ms < self.call_pause_until_ms:
            return DutyAnswer(None, False)
        if not self.bucket.take(1.0, now_ms):
            await self.clock.sleep_ms(self.bucket.wait_ms())
        self.calls += 1
        try:
            answer = await self.platform.call(
                call,
                token,
                lambda: self.token(subject) == token,
                self.settings.lease_ms * CALL_TIMEOUT_SHARE,
            )
        finally:
            self.calls -= 1
        self.on_call(subject.duty, "accepted" if answer.accepted else "failed")
        if answer.sent and answer.status is None:
            self.unanswered_ms = self.clock.now_ms()
        if answer.status == 429:
            self.call_pause_until_ms = self.clock.now_ms() + REFUSED_PAUSE_MS
        if not answer.accepted:
            self.journal.record(
                Event.DUTY_CALL_FAILED,
                duty=subject.duty,
                subject=subject.name,
                token=token,
                status=answer.status,
                sent=answer.sent,
            )
        return answer

    # What other VMs say

    def on_beat(self, beat: DutyBeat) -> None:
        """Record what the holder says; an earlier holder is not believed."""
        now_ms = self.clock.now_ms()
        self.time.record(beat.address, beat.wall_ms, now_ms)
        known = self.known
        if beat.token < known.token:
            return
        if beat.token > known.token:
            self.known = known = Known(beat.address, beat.token, forwards=FORWARDS)
        known.heard_ms, known.released = now_ms, beat.released
        known.reported = max(known.reported, beat.reported)
        self.note_reported(beat.reported)

    def on_report(self, report: DutyReport) -> None:
        """Merge the counts of a VM, and keep its demand."""
        now_ms = self.clock.now_ms()
        self.usage.merge(report)
        self.note_reported(report.reported)
        if report.demand:
            self.told_demand[report.address] = (now_ms, report.demand)
        if report.wall_ms:
            self.time.record(report.address, report.wall_ms, now_ms)

    def note_reported(self, window: int) -> None:
        """Note that reports up to a window may have left."""
        self.reported = max(self.reported, window)

    # Steps

    async def step(self) -> None:
        """Do what is due now, but for the reports: hold the lease, take it, tell."""
        now_ms, wall_ms = self.clock.now_ms(), self.wall_ms()
        if self.first_window < 0:
            self.first_window = self.usage.window_at(wall_ms)
        if now_ms - self.stepped_ms > PAUSED_MS:
            self.await_counts()
        self.stepped_ms = now_ms
        self.usage.forget_old(wall_ms)
        if now_ms >= self.report_at_ms:
            self.report_at_ms = now_ms + self.report_interval_ms()
            self.tell_counts()
        await self.keep_lease()
        self.note_change()
        if self.left_ms() <= 0.0:
            return
        if self.clock.now_ms() >= self.beat_at_ms:
            self.tell_all()

    def await_counts(self) -> None:
        """Have the next reports wait for what the others tell meanwhile."""
        wait_ms = SETTLE_INTERVALS * self.report_interval_ms() + BEAT_INTERVAL_MS
        self.settled_at_ms = self.clock.now_ms() + wait_ms

    def note_change(self) -> None:
        """Log that this VM began or ceased to hold the lease."""
        held = self.lease.held if self.left_ms() > 0.0 else None
        token = None if held is None else held.record.token
        if token == self.token_held:
            return
        if token is not None:
            self.beat_at_ms = 0.0
            self.await_counts()
            end = self.lease.end
            self.journal.record(
                Event.DUTIES_TAKEN, token=token, era=end.era, end=end.offset
            )
        else:
            by = self.lease.record.machine if self.lease.record else ""
            self.journal.record(Event.DUTIES_LOST, token=self.token_held, by=by)
        self.token_held = token
        self.on_token(token or 0)

    async def keep_lease(self) -> None:
        """Renew, give back or take the lease, if that is due."""
        now_ms = self.clock.now_ms()
        if now_ms < self.store_pause_until_ms:
            return
        try:
            if self.lease.held is not None:
                await self.renew()
            elif self.is_turn(now_ms):
                await self.take()
            self.retry_ms = RETRY_MS
        except PlatformUnavailableError as error:
            self.store_pause_until_ms = self.clock.now_ms() + self.retry_ms
            holds = self.left_ms() > 0.0
            self.retry_ms = RETRY_MS if holds else min(MAX_RETRY_MS, 2 * self.retry_ms)
            self.journal.record(Event.DUTY_STORE_FAILED, error=error.message)

    def is_turn(self, now_ms: float) -> bool:
        """Return whether this VM should try to take the lease now."""
        if self.leaving():
            return False
        order = list(self.fleet.order())
        rank = order.index(self.address) if self.address in order else len(order)
        silent_ms = now_ms - self.known.heard_ms
        limit_ms = 0.0 if self.known.released else SILENT_MS
        return silent_ms >= limit_ms + min(rank, MAX_RANK_STEPS) * RANK_STEP_MS

    async def take(self) -> None:
        """Take the lease if it may be taken, with the newest state of it."""
        lease = self.lease
        if self.must_read_lease():
            await self.read_lease()
        wait_ms = lease.wait_ms(self.clock.now_ms())
        if lease.held is not None:
            return
        if wait_ms > 0.0:
            # One more read in the middle notices a holder that lives.
            self.store_pause_until_ms = self.clock.now_ms() + min(
                wait_ms, lease.lease_ms / 2.0
            )
            return
        await self.append(lease.taking(secrets.token_hex(6)), None)

    def must_read_lease(self) -> bool:
        """Return whether the lease has to be read before it may be taken.

        Where the store names eras it always has to: offsets that were given out again
        make a condition true that was meant for another log.
        """
        lease = self.lease
        waits = lease.wait_ms(self.clock.now_ms()) > 0.0
        return waits or not lease.end.is_read or lease.end.era > 0

    async def read_lease(self) -> None:
        """Read how the lease stands, and the ledger with it."""
        page = await self.store.read()
        if page.end < self.lease.end:
            return
        now_ms = self.clock.now_ms()
        self.lease.observe(page.end, page.record, now_ms, page.era_since_ms)
        self.ledger = merge_ledgers(self.ledger, page.ledger)
        self.note_reported(last_window(self.ledger))
        self.ledger_stored = self.ledger == page.ledger

    async def append(
        self, record: LeaseRecord, ledger: tuple[Report, ...] | None
    ) -> None:
        """Append a record of the lease, and the ledger if it changed."""
        if ledger is None and not self.ledger_stored:
            ledger = self.ledger
        record = replace(record, reported=last_window(ledger or self.ledger))
        attempt: Attempt = self.lease.begin(
            record, self.clock.now_ms(), self.clock.wall_ms()
        )
        end = await self.store.append(attempt.at, record, ledger)
        if end is None:
            await self.read_lease()
            return
        self.lease.appended(attempt, end, self.clock.now_ms())
        if ledger is not None:
            self.ledger = ledger
            self.ledger_stored = True
            self.note_reported(last_window(ledger))
            if self.left_ms() > 0.0:
                # The other VMs know what is reported even if the store loses it.
                self.tell_all()

    async def renew(self) -> None:
        """Renew the lease, with the reports that are due; give it back on leaving.

        While no other VM stays, this one goes on: nobody could take the lease.
        """
        now_ms = self.clock.now_ms()
        nonce = secrets.token_hex(6)
        if self.leaving() and any(one != self.address for one in self.fleet.order()):
            quiet_ms = now_ms - self.unanswered_ms
            if self.calls == 0 and quiet_ms > self.settings.lease_ms:
                await self.append(self.lease.renewing(nonce, now_ms, True), None)
                self.tell_all(released=True)
            return
        ledger = self.ledger_with_due()
        if ledger is None and not self.lease.renew_due(now_ms, self.clock.wall_ms()):
            return
        await self.append(self.lease.renewing(nonce, now_ms, False), ledger)

    # Usage

    def ledger_with_due(self) -> tuple[Report, ...] | None:
        """Return the ledger with the windows that are due now, None if none is."""
        wall_ms, late_ms = self.wall_ms(), self.settings.late_ms
        first_window = max(
            min({self.first_window, *self.usage.windows_of_others()}),
            self.reported + 1,
        )
        due = due_windows(
            self.usage,
            self.ledger,
            wall_ms,
            late_ms,
            late_ms * PATIENCE_SHARE,
            first_window,
            self.awaited(wall_ms),
        )
        settled = self.clock.now_ms() >= self.settled_at_ms
        if due and not settled:
            due = [one for one in due if self.hastes(one, wall_ms)]
        if not due:
            return None
        reports = []
        for window in due:
            call = self.platform.usage_call(window, self.usage.total(window))
            reports.append(Report(window, call.body.decode()))
        known = [
            replace(report, accepted=report.accepted or report.window in self.accepted)
            for report in self.ledger
        ]
        return add_reports(known, reports)

    def hastes(self, window: int, wall_ms: float) -> bool:
        """Return whether the report of a window is nearly late."""
        late_at_ms = self.usage.end_ms(window) + self.settings.late_ms
        return wall_ms > late_at_ms - HASTE_MS

    def awaited(self, wall_ms: float) -> list[str]:
        """Return the VMs whose counts are awaited."""
        told = {
            address
            for address, heard_ms in self.usage.counted_ms.items()
            if wall_ms - heard_ms < FRESH_MS
        }
        return sorted(told.union(self.fleet.live()))

    async def send_reports(self) -> None:
        """Send the reports of the ledger that the platform has not accepted."""
        if self.left_ms() <= 0.0:
            return
        late_ms = self.settings.late_ms
        for report in unsent_reports(self.usage, self.ledger, self.wall_ms(), late_ms):
            now_ms = self.clock.now_ms()
            if report.window in self.accepted:
                continue
            if now_ms < self.repeat_at_ms.get(report.window, 0.0):
                continue
            self.repeat_at_ms[report.window] = now_ms + REPEAT_MS
            call = self.platform.usage_repeat(report.body)
            answer = await self.make_call(Subject("usage"), call)
            if answer.accepted:
                self.accepted.add(report.window)
                self.repeat_at_ms.pop(report.window, None)
                self.journal.record(Event.USAGE_REPORTED, window=report.window)

    # What this VM tells the others

    def report_interval_ms(self) -> float:
        """Return the interval at which this VM tells its counts."""
        many_ms = len(self.fleet.everyone()) * REPORT_STEP_MS
        return min(MAX_REPORT_INTERVAL_MS, REPORT_INTERVAL_MS + many_ms)

    def tell_all(self, released: bool = False) -> None:
        """Tell all VMs that this one holds the lease."""
        record = self.lease.record
        if record is None:
            return
        now_ms = self.clock.now_ms()
        self.beat_at_ms = now_ms + BEAT_INTERVAL_MS
        beat = DutyBeat(
            self.address,
            self.name,
            record.token,
            round(self.wall_ms()),
            last_window(self.ledger),
            released,
        )
        self.known = Known(self.address, record.token, now_ms, released, beat.reported)
        self.fleet.send(self.fleet.everyone(), beat)

    def targets(self) -> list[str]:
        """Return the VMs that this one tells its counts, the holder first.

        If too few stay, VMs that leave are told too: one of them ends later than this.
        """
        staying = [one for one in self.fleet.order() if one != self.address]
        leaving = [one for one in self.fleet.live() if one not in staying]
        others = [*staying, *leaving]
        backups = [one for one in others if one != self.known.address][:BACKUPS]
        holder = self.known.address
        return backups if holder in ("", self.address) else [holder, *backups]

    def tell_counts(self) -> None:
        """Tell the holder and its backups what this VM counted, and its demand."""
        targets = self.targets()
        if not targets:
            return
        demand = self.local_demand()
        self.tell(self.usage.own, demand, targets)
        known = self.known
        if known.forwards and known.address != self.address:
            known.forwards -= 1
            self.tell_counts_of_others([known.address])

    def tell_all_counts(self) -> None:
        """Tell what this VM counted and what others told it, before it ends."""
        self.tell_counts()
        self.tell_counts_of_others(self.targets())

    def tell_counts_of_others(self, targets: Sequence[str]) -> None:
        """Tell some VMs the counts of all processes but this one.

        Those of an earlier process at an address of theirs are among them: only others
        know what it counted.
        """
        for process in list(self.usage.counts):
            if process != self.usage.own:
                self.tell(process, (), targets)

    def tell(
        self,
        process: Process,
        demand: tuple[DemandEntry, ...],
        targets: Sequence[str],
    ) -> None:
        """Tell some VMs the counts of a process that are not reported yet."""
        own = process == self.usage.own
        wall_ms = round(self.wall_ms()) if own else 0
        counted_ms = wall_ms if own else self.usage.counted_ms.get(process[0], 0)
        entries = self.usage.entries(process, self.known.reported + 1)
        *first, last = in_datagrams(entries)
        for part in first:
            self.fleet.send(targets, DutyReport(*process, 0, wall_ms, part, ()))
        report = DutyReport(*process, counted_ms, wall_ms, last, demand, self.reported)
        self.fleet.send(targets, report)


def in_datagrams(entries: Sequence[UsageEntry]) -> list[tuple[UsageEntry, ...]]:
    """Return the entries in groups that fit into one datagram, one group at least."""
    starts = range(0, max(1, len(entries)), ENTRIES_PER_DATAGRAM)
    return [tuple(entries[start : start + ENTRIES_PER_DATAGRAM]) for start in starts]

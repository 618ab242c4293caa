"""Decide who holds the lease of the duties, and until when; does no I/O.

The lease is the newest record of a log on the platform's store that takes appends under
a condition: where the log ends. Designed for VMs that freeze, are cut off, restart
or jump in time, and for a store that answers late, loses answers or is away:

- The token of a holder is the offset of the record with which it took the lease, plus
  one, and the era of the store before all. The store gives an offset once in an era, so
  no two holders have the same token.
- A holder counts its time from before it sent the append, and stops early.
- Another VM takes the lease only after it has itself seen the same last record for
  longer than the lease lasts, or if the holder gave it back.
- The store may come back from an older copy, without the record of the holder. What it
  has then says nothing of who holds the lease, until that has run out.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field, replace

from ..eras.position import UNREAD, Position

STOP_EARLY_SHARE = 0.2
"""Share of the lease for which the holder makes no call any more: what has left may
still be on its way."""
WAIT_LONGER_SHARE = 0.1
"""Share of the lease by which another VM waits longer than the lease lasts."""
RENEW_SHARE = 0.4
"""Share of the lease after which it is renewed: leaves time for a second attempt."""
TOKENS_PER_ERA = 1 << 40
"""Tokens of an era: more than the offsets of a log."""
MAX_ATTEMPTS = 8
"""Appends without an answer whose times are remembered."""


@dataclass(frozen=True)
class LeaseRecord:
    """The newest record of the lease.

    Parameters
    ----------
    machine : str
        Name of the VM, the same after a restart.
    incarnation : str
        The process that holds the lease.
    token : int
        Fencing token, rises with each holder.
    nonce : str
        Tells this append from others of the same process.
    recent : tuple of str
        VMs that may have held the lease less than its length before this record.
    released : bool
        Whether the holder gave the lease back and makes no call any more.
    reported : int
        The last window in the ledger, -1 for none: tells a ledger that is too old.
    """

    machine: str
    incarnation: str
    token: int
    nonce: str
    recent: tuple[str, ...] = ()
    released: bool = False
    reported: int = -1


@dataclass(frozen=True, slots=True)
class Attempt:
    """An append that was sent: the record and the times right before, in ms."""

    record: LeaseRecord
    at: Position
    sent_ms: float
    sent_wall_ms: float


@dataclass
class Lease:
    """What this process knows of the lease.

    Parameters
    ----------
    machine, incarnation : str
        This VM's name and process.
    lease_ms : float
        How long a record holds.
    end : Position
        Where the log ends as far as known, `UNREAD` before the first read.
    seen_ms : float
        When this process learned of that end, in monotonic ms.
    held : Attempt or None
        The last append of this process that the store took, None if another record
        followed.
    since_ms : float
        When this process took the lease.
    era_since_ms : float
        Since when the store is known to be in the era of `end`, in monotonic ms.
    given_back : bool
        Whether this process gives the lease back, and makes no call any more; the store
        may have taken that record even if its answer was lost.
    """

    machine: str
    incarnation: str
    lease_ms: float
    end: Position = UNREAD
    record: LeaseRecord | None = None
    seen_ms: float = 0.0
    held: Attempt | None = None
    since_ms: float = 0.0
    era_since_ms: float = 0.0
    given_back: bool = False
    attempts: OrderedDict[str, Attempt] = field(default_factory=OrderedDict)

    def observe(
        self,
        end: Position,
        record: LeaseRecord | None,
        now_ms: float,
        era_since_ms: float = 0.0,
    ) -> None:
        """Apply a read of the log; `now_ms` is the time after the answer came.

        An append of this process that got no answer is recognised and counts from the
        time at which it was sent, if it was meant for the log that was read.
        """
        if end < self.end:
            return
        if end > self.end:
            self.seen_ms = now_ms
        self.end, self.record, self.era_since_ms = end, record, era_since_ms
        attempt = None if record is None else self.attempts.get(record.nonce)
        if attempt is not None and attempt.at.era != end.era:
            attempt = None
        self.set_held(attempt)

    def set_held(self, attempt: Attempt | None) -> None:
        """Record the append that is the newest record, None if it is another's."""
        if attempt is None or attempt.record.released:
            self.held = None
            return
        before = self.held
        if before is None or before.record.token != attempt.record.token:
            self.since_ms = attempt.sent_ms
        self.held = attempt

    def begin(self, record: LeaseRecord, now_ms: float, wall_ms: float) -> Attempt:
        """Return the attempt to append a record at the known end of the log."""
        self.given_back |= record.released
        attempt = Attempt(record, self.end, now_ms, wall_ms)
        self.attempts[record.nonce] = attempt
        while len(self.attempts) > MAX_ATTEMPTS:
            self.attempts.popitem(last=False)
        return attempt

    def appended(self, attempt: Attempt, end: Position, now_ms: float) -> None:
        """Record that the store took an append, after which the log ends at `end`."""
        if end <= self.end:
            return
        self.end, self.record, self.seen_ms = end, attempt.record, now_ms
        self.set_held(attempt)

    def wait_ms(self, now_ms: float) -> float:
        """Return how long this VM has to wait until it may take the lease.

        A VM that is named in `recent` waits even if the lease was given back, so that
        it never acts again within the lease's length after another one.
        """
        if not self.is_free():
            since_ms = self.seen_ms
        elif self.end.era:
            since_ms = self.era_since_ms
        else:
            return 0.0
        longest_ms = self.lease_ms * (1.0 + WAIT_LONGER_SHARE)
        return max(0.0, since_ms + longest_ms - now_ms)

    def is_free(self) -> bool:
        """Return whether, by the log alone, this VM may take the lease."""
        if self.record is None:
            return self.end.offset == 0
        return self.record.released and not self.is_recent(self.record)

    def is_recent(self, record: LeaseRecord) -> bool:
        """Return whether this VM may have acted shortly before a record."""
        return self.machine in (record.machine, *record.recent)

    def taking(self, nonce: str) -> LeaseRecord:
        """Return the record that takes the lease at the known end of the log."""
        before = self.record
        recent = () if before is None else (*before.recent, before.machine)
        others = dict.fromkeys(recent)
        token = self.end.era * TOKENS_PER_ERA + self.end.offset + 1
        return LeaseRecord(self.machine, self.incarnation, token, nonce, tuple(others))

    def renewing(self, nonce: str, now_ms: float, released: bool) -> LeaseRecord:
        """Return the record that renews or gives back the lease of this process."""
        assert self.held is not None
        record = replace(self.held.record, nonce=nonce, released=released)
        if now_ms - self.since_ms > self.lease_ms * (1.0 + WAIT_LONGER_SHARE):
            record = replace(record, recent=())
        return record

    def left_ms(self, now_ms: float, wall_ms: float) -> float:
        """Return for how long this process may make calls, 0 or less for not at all.

        Both clocks count, whichever ran further.
        """
        held = self.held
        if held is None or self.given_back:
            return 0.0
        gone_ms = max(now_ms - held.sent_ms, wall_ms - held.sent_wall_ms)
        return self.lease_ms * (1.0 - STOP_EARLY_SHARE) - gone_ms

    def renew_due(self, now_ms: float, wall_ms: float) -> bool:
        """Return whether the lease of this process should be renewed now."""
        spent = 1.0 - STOP_EARLY_SHARE - RENEW_SHARE
        return self.left_ms(now_ms, wall_ms) <= self.lease_ms * spent

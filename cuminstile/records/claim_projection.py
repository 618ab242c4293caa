"""Projection of one `claims` stream: the effective claim of each key."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from ..const import CALLER_CLOCK_SKEW_MS, RESEND_WINDOW_MS
from .claim_records import BATCH_CODEC, ClaimBatch, ClaimEntry
from .client import Record

CLAIM_RETENTION_MS = RESEND_WINDOW_MS + 2 * CALLER_CLOCK_SKEW_MS


@dataclass
class Claim:
    """One claim as recorded in the log.

    Parameters
    ----------
    vm, incarnation : str
        The claimant; no other process dispatches or voids the claim.
    time_ms : int
        The platform's time of the claim's record, in ms since 1970 UTC.
    outcome : bytes
        Empty until the outcome is recorded.
    """

    entry: ClaimEntry
    vm: str
    incarnation: str
    time_ms: int
    is_void: bool = False
    outcome: bytes = b""


@dataclass
class ClaimProjection:
    """State built from the records of one stream; the same for every reader.

    Parameters
    ----------
    complete_since_ms : float
        Platform time since which every record has been read.
    latest_ms : int
        The latest platform time of a record.
    voided : dict of bytes to int
        Voided claims, including those whose own record has not been read yet.
    applied_nonces : dict of bytes to int
        The offsets of the applied batches, by nonce.
    applied : deque of AppliedBatch
        The applied batches to expire, oldest first.
    """

    next_offset: int = 0
    complete_since_ms: float = -math.inf
    latest_ms: int = 0
    by_key: dict[bytes, list[Claim]] = field(default_factory=dict)
    by_claim: dict[bytes, Claim] = field(default_factory=dict)
    voided: dict[bytes, int] = field(default_factory=dict)
    applied_nonces: dict[bytes, int] = field(default_factory=dict)
    applied: deque[AppliedBatch] = field(default_factory=deque)

    def start_at(self, offset: int) -> None:
        """Continue at a later offset; the records before it are skipped."""
        self.next_offset = offset
        self.complete_since_ms = math.inf

    def apply(self, record: Record) -> None:
        """Apply the next record.

        Raises
        ------
        CuminstileError
            With `BAD_MESSAGE` if it is not a batch; the record is then skipped.
        """
        if record.offset < self.next_offset:
            return
        self.next_offset = record.offset + 1
        self.latest_ms = max(self.latest_ms, record.time_ms)
        self.complete_since_ms = min(self.complete_since_ms, record.time_ms)
        self.forget()
        batch: ClaimBatch = BATCH_CODEC.decode(record.payload)
        if batch.nonce in self.applied_nonces:
            return
        self.applied_nonces[batch.nonce] = record.offset
        self.apply_batch(batch)
        self.applied.append(AppliedBatch(self.latest_ms, batch))

    def apply_batch(self, batch: ClaimBatch) -> None:
        """Apply one batch whose nonce is new."""
        for entry in batch.claims:
            claim = Claim(entry, batch.vm, batch.incarnation, self.latest_ms)
            claim.is_void = entry.claim in self.voided
            self.by_claim[entry.claim] = claim
            self.by_key.setdefault(entry.key, []).append(claim)
        for void in batch.voids:
            self.voided[void.claim] = self.latest_ms
            if void.claim in self.by_claim:
                self.by_claim[void.claim].is_void = True
        for outcome in batch.outcomes:
            if outcome.claim in self.by_claim:
                self.by_claim[outcome.claim].outcome = outcome.outcome

    def effective_claim(self, key: bytes) -> Claim | None:
        """Return the first claim of a key that is not void, or `None`."""
        claims = self.by_key.get(key, ())
        return next((claim for claim in claims if not claim.is_void), None)

    def forget(self) -> None:
        """Drop batches so old that no acceptable resend can refer to them."""
        oldest_ms = self.latest_ms - CLAIM_RETENTION_MS
        while self.applied and self.applied[0].time_ms < oldest_ms:
            batch = self.applied.popleft().batch
            self.applied_nonces.pop(batch.nonce, None)
            for entry in batch.claims:
                self.by_claim.pop(entry.claim, None)
                self.drop(entry)
            for void in batch.voids:
                self.voided.pop(void.claim, None)

    def drop(self, entry: ClaimEntry) -> None:
        """Drop one claim of a key."""
        left = [
            claim
            for claim in self.by_key.get(entry.key, ())
            if claim.entry.claim != entry.claim
        ]
        if left:
            self.by_key[entry.key] = left
        else:
            self.by_key.pop(entry.key, None)


@dataclass(frozen=True)
class AppliedBatch:
    """An applied batch and the latest platform time when it was applied."""

    time_ms: int
    batch: ClaimBatch

"""Test cuminstile.records.claim_projection."""

from cuminstile.records.claim_projection import CLAIM_RETENTION_MS, ClaimProjection
from cuminstile.records.claim_records import (
    BATCH_CODEC,
    ClaimBatch,
    ClaimEntry,
    OutcomeEntry,
    VoidEntry,
)
from cuminstile.records.client import Record


def batch(nonce: bytes, claims: tuple = (), voids: tuple = (), outcomes: tuple = ()):
    return BATCH_CODEC.encode(ClaimBatch(nonce, "vm-a1", "i", claims, voids, outcomes))


def project(*payloads: bytes, every_ms: int = 1) -> ClaimProjection:
    projection = ClaimProjection()
    for offset, payload in enumerate(payloads):
        projection.apply(Record(offset, 1_000 + offset * every_ms, payload))
    return projection


def test_a_batch_appended_twice_counts_once() -> None:
    claims = batch(b"n", (ClaimEntry(b"key", b"one", b"f"),))
    outcome = batch(b"m", (), (), (OutcomeEntry(b"one", b"done"),))
    projection = project(claims, claims, outcome)
    effective_claim = projection.effective_claim(b"key")
    assert effective_claim is not None
    assert effective_claim.outcome == b"done"
    assert len(projection.by_key[b"key"]) == 1


def test_void_applies_to_a_claim_that_is_read_later() -> None:
    void = batch(b"m", (), (VoidEntry(b"one"),))
    late = batch(b"n", (ClaimEntry(b"key", b"one", b"f"),))
    second = batch(b"o", (ClaimEntry(b"key", b"two", b"f"),))
    effective_claim = project(void, late, second).effective_claim(b"key")
    assert effective_claim is not None
    assert effective_claim.entry.claim == b"two"


def test_batches_older_than_the_retention_are_dropped() -> None:
    payloads = [
        batch(bytes([number]), (ClaimEntry(bytes([number]), bytes([number]), b"f"),))
        for number in range(50)
    ]
    projection = project(
        *payloads,
        batch(b"m", (), (VoidEntry(b"x"),)),
        every_ms=CLAIM_RETENTION_MS // 10,
    )
    assert len(projection.by_key) <= 11
    assert len(projection.by_claim) == len(projection.by_key)
    assert len(projection.applied_nonces) <= 12


def test_projection_started_at_an_offset_is_complete_since_its_first_record() -> None:
    projection = ClaimProjection()
    projection.start_at(5)
    projection.apply(Record(4, 900, batch(b"n")))
    assert projection.complete_since_ms > 900
    projection.apply(Record(5, 1_000, batch(b"m")))
    assert projection.complete_since_ms == 1_000

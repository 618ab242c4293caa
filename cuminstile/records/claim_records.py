"""Records of the `claims` streams."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import cbor2
from pydantic.dataclasses import dataclass

from ..const import CLAIM_PARTITIONS, CLAIM_STREAM_PREFIX
from ..wire import Message, make_codec

if TYPE_CHECKING:
    from ..calls import StageCall

DIGEST_BYTES = 16


@dataclass(frozen=True)
class ClaimEntry(Message):
    """Claim of a key.

    Parameters
    ----------
    key : bytes
        Digest of organisation, idempotency key, pipeline and step.
    claim : bytes
        Unique id of this claim.
    fingerprint : bytes
        Digest of the request that the key is used for.
    """

    key: bytes
    claim: bytes
    fingerprint: bytes


@dataclass(frozen=True)
class VoidEntry(Message):
    """Withdrawal of a claim that was never dispatched and never will be."""

    claim: bytes


@dataclass(frozen=True)
class OutcomeEntry(Message):
    """Outcome of the run of a claim; `outcome` is encoded by `claim_outcomes`."""

    claim: bytes
    outcome: bytes


@dataclass(frozen=True)
class ClaimBatch(Message):
    """The entries of one VM that are appended together.

    Parameters
    ----------
    nonce : bytes
        The same in every append of one batch; only the first occurrence is applied.
    vm, incarnation : str
        The VM that made the claims.
    """

    nonce: bytes
    vm: str
    incarnation: str
    claims: tuple[ClaimEntry, ...]
    voids: tuple[VoidEntry, ...]
    outcomes: tuple[OutcomeEntry, ...]


BATCH_CODEC = make_codec(((1, ClaimBatch),))


def digest(*parts: str) -> bytes:
    """Return a digest of texts that depends on where each text ends."""
    data = cbor2.dumps(parts)
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def key_of(call: StageCall) -> bytes:
    """Return the digest that identifies what may run at most once."""
    return digest(call.organisation, call.idempotency_key, call.pipeline, call.step)


def fingerprint_of(call: StageCall) -> bytes:
    """Return a digest of the stage, its input and the key's issue time."""
    data = cbor2.dumps([call.stage, call.issued_at_ms, call.input], canonical=True)
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def partition_of(key: bytes) -> int:
    """Return the number of the partition that holds the claims of a key."""
    return int.from_bytes(key[:4], "big") % CLAIM_PARTITIONS


def stream_of(partition: int) -> str:
    """Return the name of the stream of a partition."""
    return f"{CLAIM_STREAM_PREFIX}-{partition}"

"""Codec for outcomes of claimed calls, so that a resend gets the same answer."""

from __future__ import annotations

from typing import Any

from pydantic.dataclasses import dataclass

from .calls import StageOutcome
from .const import MAX_OUTCOME_BYTES
from .exceptions import CuminstileError, ErrorCode, RunStatus
from .wire import Message, make_codec


@dataclass(frozen=True)
class OutputRecord(Message):
    """Output of a run and where it ran."""

    output: Any
    version: str
    upstream: str
    data_centre: str
    vm: str


@dataclass(frozen=True)
class FailureRecord(Message):
    """Error of a call that may have run."""

    code: ErrorCode
    message: str


@dataclass(frozen=True)
class OversizedOutputRecord(Message):
    """Marker for an output that is too large to be stored in the log."""

    size_bytes: int


OUTCOMES = make_codec(
    ((1, OutputRecord), (2, FailureRecord), (3, OversizedOutputRecord))
)


def encode_outcome(outcome: StageOutcome) -> bytes:
    """Encode an output; if it is too large, encode only its size in bytes."""
    data = OUTCOMES.encode(
        OutputRecord(
            outcome.output,
            outcome.version,
            outcome.upstream,
            outcome.data_centre,
            outcome.vm,
        )
    )
    if len(data) > MAX_OUTCOME_BYTES:
        return OUTCOMES.encode(OversizedOutputRecord(len(data)))
    return data


def encode_failure(error: CuminstileError) -> bytes:
    """Encode the error of a call that may have run and returned no output."""
    return OUTCOMES.encode(FailureRecord(error.code, error.message))


def decode_outcome(data: bytes) -> StageOutcome:
    """Decode a recorded outcome and return its output.

    Raises
    ------
    CuminstileError
        The recorded error, or `ANSWER_TOO_LARGE` if the output was not stored.
    """
    recorded = OUTCOMES.decode(data)
    if isinstance(recorded, FailureRecord):
        raise CuminstileError(recorded.code, recorded.message, RunStatus.UNKNOWN)
    if isinstance(recorded, OversizedOutputRecord):
        raise CuminstileError(
            ErrorCode.ANSWER_TOO_LARGE,
            f"it ran, but its answer of {recorded.size_bytes} bytes was not stored",
            RunStatus.UNKNOWN,
        )
    return StageOutcome(
        recorded.output,
        recorded.version,
        recorded.upstream,
        recorded.data_centre,
        recorded.vm,
        0,
        0.0,
    )

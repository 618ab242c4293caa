"""Encode how the run of a claim ended, so that a resend gets the same answer."""

from __future__ import annotations

from typing import Any

from pydantic.dataclasses import dataclass

from .calls import StageOutcome
from .const import MAX_OUTCOME_BYTES
from .exceptions import CuminstileError, ErrorCode, RunStatus
from .wire import Message, make_codec


@dataclass(frozen=True)
class Answered(Message):
    """Hold the output of a run and where it ran."""

    output: Any
    version: str
    upstream: str
    data_centre: str
    vm: str


@dataclass(frozen=True)
class Failed(Message):
    """Hold the refusal of a call that may have run."""

    code: ErrorCode
    message: str


@dataclass(frozen=True)
class TooLarge(Message):
    """Tell that a run gave an answer which the log does not keep."""

    size_bytes: int


OUTCOMES = make_codec(((1, Answered), (2, Failed), (3, TooLarge)))


def encode_outcome(outcome: StageOutcome) -> bytes:
    """Return the recorded form of an output, or a note that it is too large."""
    data = OUTCOMES.encode(
        Answered(
            outcome.output,
            outcome.version,
            outcome.upstream,
            outcome.data_centre,
            outcome.vm,
        )
    )
    if len(data) > MAX_OUTCOME_BYTES:
        return OUTCOMES.encode(TooLarge(len(data)))
    return data


def encode_failure(error: CuminstileError) -> bytes:
    """Return the recorded form of a call that may have run and gave no output."""
    return OUTCOMES.encode(Failed(error.code, error.message))


def decode_outcome(data: bytes) -> StageOutcome:
    """Return the recorded output.

    Raises
    ------
    CuminstileError
        The recorded refusal, or `ANSWER_TOO_LARGE`.
    """
    recorded = OUTCOMES.decode(data)
    if isinstance(recorded, Failed):
        raise CuminstileError(recorded.code, recorded.message, RunStatus.UNKNOWN)
    if isinstance(recorded, TooLarge):
        raise CuminstileError(
            ErrorCode.ANSWER_TOO_LARGE,
            f"it ran, but its answer of {recorded.size_bytes} bytes is not kept",
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

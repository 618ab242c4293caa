"""Define what the gateway needs of a wire dialect, so that it knows no header names."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum

from .model import PromptPart

RawHeaders = Sequence[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class CallFields:
    """Hold what a caller says about its request in the headers.

    Parameters
    ----------
    attempt_id : str
        The caller's id of this attempt, empty if it sent none.
    deadline_ms : float or None
        How long the caller will wait, from when it sent the request.
    parts : tuple of PromptPart
        The parts of the prompt in order; the last one is the request's own.
    pieces : tuple of int
        How many pieces each stage has; 0 leaves the stage out.
    piece_key : str
        What the first stages work on.
    resumed : bool
        Whether the caller goes on with a stream that broke.
    """

    attempt_id: str
    deadline_ms: float | None = None
    key: str | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    item_counts: tuple[int, ...] = ()
    item_key: str = ""
    resumed: bool = False


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Hold what the gateway tells an upstream beside the caller's request.

    Parameters
    ----------
    upstream_id : str
        The only upstream that may run the request.
    left_ms : float
        Time left for the answer.
    last_event : str or None
        The last event that the caller got, where a stream goes on.
    """

    upstream_id: str
    left_ms: float
    organisation: str | None
    priority: int | None
    inputs: tuple[str, ...]
    last_event: str | None = None


@dataclass(frozen=True, slots=True)
class AnswerFields:
    """Hold what an upstream says about its answer in the headers.

    Parameters
    ----------
    sealed : bool
        Whether the answer carries the upstream's seal.
    not_run : bool
        Whether the upstream states that it has not run the request.
    load : tuple of int or None
        Requests that run, requests that wait, slots.
    """

    attempt_id: str
    sealed: bool
    not_run: bool
    load: tuple[int, int, int] | None


@dataclass(frozen=True)
class UpstreamProtocol:
    """Hold the functions of a wire dialect.

    Parameters
    ----------
    read_call : callable
        Decodes a caller's headers.
    forwarded_headers : callable
        Returns the headers of the request to an upstream.
    read_answer : callable
        Decodes status and headers of an upstream's answer.
    """

    read_call: Callable[[RawHeaders], CallFields]
    forwarded_headers: Callable[[RawHeaders, Dispatch], list[tuple[bytes, bytes]]]
    read_answer: Callable[[int, RawHeaders], AnswerFields]


@dataclass(frozen=True, slots=True)
class ItemRequest:
    """Describe one piece in a call to an upstream that makes pieces.

    Parameters
    ----------
    key : str or None
        What a first stage works on.
    inputs : tuple of str
        Handles of all results that a later stage works on.
    """

    request_id: str
    stage: int
    number: int
    left_ms: float
    key: str | None
    inputs: tuple[str, ...]


class StageFault(StrEnum):
    """Tell why a piece was not made."""

    LATE = "late"
    INPUT_GONE = "input_gone"
    NO_MEMORY = "no_room"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class StageOutcome:
    """Hold the handle of a result, or why there is none."""

    handle: str | None
    fault: StageFault | None


@dataclass(frozen=True)
class StageProtocol:
    """Hold the functions of the wire dialect for staged work.

    Parameters
    ----------
    run_request : callable
        Returns the bytes of a call for an upstream's id and its items.
    read_outcomes : callable
        Decodes the body of an answer, in the order of the items.
    free_request : callable
        Returns the bytes of a call that gives up results by their handles.
    """

    run_request: Callable[[str, Sequence[ItemRequest]], bytes]
    read_outcomes: Callable[[bytes], tuple[StageOutcome, ...]]
    free_request: Callable[[Sequence[str]], bytes]

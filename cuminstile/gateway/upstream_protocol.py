"""Define the interface to the header protocol, so that the gateway names no headers."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum

from ..estimates.report import LoadReport
from .model import PromptPart

RawHeaders = Sequence[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class CallFields:
    """What the headers of a caller's request contain.

    Parameters
    ----------
    attempt_id : str
        The caller's id of this attempt, empty if it sent none.
    deadline_ms : float or None
        How long the caller waits, from when it sent the request.
    parts : tuple of PromptPart
        Parts of the prompt in order; the last one belongs to this request only.
    item_counts : tuple of int
        Number of work items of each stage; a stage with 0 is skipped.
    item_key : str
        Input of the first stages.
    output_hint : int
        How many tokens of the answer the caller expects, 0 if it doesn't say.
    resumed : bool
        Whether the caller resumes a stream that broke off.
    repeated : str
        Name of a header that stands more than once and must not, empty if none does.
    """

    attempt_id: str
    deadline_ms: float | None = None
    key: str | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    output_hint: int = 0
    parts: tuple[PromptPart, ...] = ()
    item_counts: tuple[int, ...] = ()
    item_key: str = ""
    resumed: bool = False
    repeated: str = ""


@dataclass(frozen=True, slots=True)
class Dispatch:
    """What the gateway adds to the caller's request in the headers to an upstream.

    Parameters
    ----------
    upstream_id : str
        The only upstream that is allowed to run the request.
    left_ms : float
        Time left for the answer.
    last_event : str or None
        Id of the last event that the caller received, if a stream is resumed.
    """

    upstream_id: str
    left_ms: float
    organisation: str | None
    priority: int | None
    inputs: tuple[str, ...]
    last_event: str | None = None


@dataclass(frozen=True, slots=True)
class AnswerFields:
    """What the status and headers of an upstream's answer contain.

    Parameters
    ----------
    sealed : bool
        Whether the answer has the upstream's seal.
    not_run : bool
        Whether the upstream states that it has not run the request.
    load : LoadReport or None
        The load that the upstream reports, None if it reports none.
    leaving : bool
        Whether the upstream states that it is shutting down.
    closed_ms : float
        For how long the upstream wants no requests of this VM, 0 if it says nothing.
    misdirected_to : str
        Id of the upstream that states that the request is not meant for it.
    """

    attempt_id: str
    sealed: bool
    not_run: bool
    load: LoadReport | None
    leaving: bool = False
    closed_ms: float = 0.0
    misdirected_to: str = ""

    def states_not_run(self, upstream_id: str) -> bool:
        """Return whether it states that the request to an upstream has not run.

        Another upstream at the same address states this by refusing it as misdirected.
        """
        return self.not_run or self.misdirected_to not in ("", upstream_id)


@dataclass(frozen=True)
class UpstreamProtocol:
    """Functions that encode and decode the headers of requests and answers.

    Parameters
    ----------
    read_call : callable
        Decodes a caller's headers.
    forwarded_headers : callable
        Returns the headers of a request to an upstream.
    read_answer : callable
        Decodes status and headers of an upstream's answer.
    read_in_answers : frozenset of bytes
        Lower-case names of the headers that `read_answer` reads.
    """

    read_call: Callable[[RawHeaders], CallFields]
    forwarded_headers: Callable[[RawHeaders, Dispatch], list[tuple[bytes, bytes]]]
    read_answer: Callable[[int, RawHeaders], AnswerFields]
    read_in_answers: frozenset[bytes]


@dataclass(frozen=True, slots=True)
class ItemRequest:
    """One work item in a call to an upstream of a stage.

    Parameters
    ----------
    key : str or None
        Input of a first stage, None for later stages.
    inputs : tuple of str
        Handles of all results that are the input of a later stage.
    """

    request_id: str
    stage: int
    number: int
    left_ms: float
    key: str | None
    inputs: tuple[str, ...]


class StageFault(StrEnum):
    """Why a work item was not completed."""

    LATE = "late"
    INPUT_GONE = "input_gone"
    NO_MEMORY = "no_room"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class StageOutcome:
    """Handle of a result, or the reason why there is none."""

    handle: str | None
    fault: StageFault | None


@dataclass(frozen=True)
class StageProtocol:
    """Functions that encode and decode calls of staged work.

    Parameters
    ----------
    run_request : callable
        Returns the bytes of a call to run work items, from an upstream's id and the
        items.
    read_outcomes : callable
        Decodes the body of an answer into outcomes, in the order of the items.
    free_request : callable
        Returns the bytes of a call that deletes results by their handles.
    """

    run_request: Callable[[str, Sequence[ItemRequest]], bytes]
    read_outcomes: Callable[[bytes], tuple[StageOutcome, ...]]
    free_request: Callable[[Sequence[str]], bytes]

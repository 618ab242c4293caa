"""Define a call of one stage and its outcome."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

COLD = "cold"
EXCUSED_REASONS = ("connect", "refused", "busy", COLD, "version_missing")
TokenSink = Callable[[int, tuple[str, ...]], Awaitable[None]]


@dataclass(frozen=True)
class StageCall:
    """Hold what one stage has to do for one request.

    Parameters
    ----------
    version : str
        The upstream version to use; empty while none is chosen.
    deadline_ms : float
        Monotonic time of this VM by which the whole request must be answered.
    resume_at : int
        The index of the first token still wanted.
    idempotency_key : str
        Empty for a request without one.
    issued_at_ms : int
        When the caller issued its key, in ms since 1970 UTC.
    """

    request: str
    organisation: str
    pipeline: str
    step: str
    stage: str
    version: str
    input: Any
    stream: bool
    priority: int
    deadline_ms: float
    resume_at: int = 0
    idempotency_key: str = ""
    issued_at_ms: int = 0


@dataclass(frozen=True)
class StageOutcome:
    """Hold the output of one stage and where it ran.

    Parameters
    ----------
    elapsed_ms : float
        From the moment the stage could start to its output.
    """

    output: Any
    version: str
    upstream: str
    data_centre: str
    vm: str
    attempts: int
    elapsed_ms: float


@dataclass
class RunTrace:
    """Note what became of the attempts at one call.

    Parameters
    ----------
    maybe_ran : bool
        Whether a byte of a call that may not be repeated may have left.
    failures : int
        How many attempts failed with nothing to excuse the upstream's version.
    excused : bool
        Whether a cold start, or a process that is away or full, may be the reason
        for a failure or for a late answer.
    """

    maybe_ran: bool = False
    failures: int = 0
    excused: bool = False

    def note_failure(self, reason: str, state: str) -> None:
        """Note an attempt that an upstream in `state` failed for `reason`."""
        if state == COLD or reason in EXCUSED_REASONS:
            self.excused = True
        else:
            self.failures += 1

    def note_answer(self, state: str) -> None:
        """Note an answer of an upstream in `state`."""
        self.excused = self.excused or state == COLD


async def drop_tokens(index: int, tokens: tuple[str, ...]) -> None:
    """Take tokens that nobody waits for."""

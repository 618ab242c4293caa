"""Data classes for the call of one stage and its outcome."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

COLD = "cold"
BROKEN_REASONS = ("lost", "truncated")
EXCUSED_REASONS = ("lease", "connect", "refused", "busy", COLD, "version_missing")
TokenSink = Callable[[int, tuple[str, ...]], Awaitable[None]]


@dataclass(frozen=True)
class StageCall:
    """A call of one stage for one request.

    Parameters
    ----------
    version : str
        The upstream version to use; empty while none is chosen.
    deadline_ms : float
        Monotonic time of this VM by which the call must be answered.
    resume_at : int
        The index of the first token that is still needed.
    idempotency_key : str
        Empty for a request without one.
    issued_at_ms : int
        When the caller issued its key, in ms since 1970 UTC.
    avoid : tuple of str
        Upstreams on which this call has already failed.
    can_wait : bool
        Whether the call may wait for a slot; if not, it is refused without a free one.
    handed_over : bool
        Whether another data centre has forwarded the call to this one; it is then not
        forwarded to a third.
    reserve_ms : float
        How much earlier the call has to be answered, if other calls wait, so that the
        later steps are usually in time as well.
    is_probe : bool
        Whether the call is tried although it is estimated to be late.
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
    avoid: tuple[str, ...] = ()
    handed_over: bool = False
    can_wait: bool = True
    reserve_ms: float = 0.0
    is_probe: bool = False


@dataclass(frozen=True)
class StageOutcome:
    """Output of one stage and where it ran.

    Parameters
    ----------
    elapsed_ms : float
        Time from when the stage could start to its output.
    """

    output: Any
    version: str
    upstream: str
    data_centre: str
    vm: str
    attempts: int
    elapsed_ms: float


def no_send_check() -> None:
    """Allow a call to be sent; the default of `RunTrace.check_send`."""


@dataclass
class RunTrace:
    """Record of the attempts at one call.

    Parameters
    ----------
    maybe_ran : bool
        Whether a byte of a non-repeatable call may have been sent.
    failures : int
        The number of failed attempts that count against the upstream's version.
    check_send : callable
        Called right before the first byte is sent; raises if the call must not be sent
        any more.
    excused : bool
        Whether a cold start, or an unavailable or full process, may be the reason for a
        failure or a late answer.
    """

    maybe_ran: bool = False
    failures: int = 0
    excused: bool = False
    check_send: Callable[[], None] = no_send_check

    def record_failure(self, reason: str, was_cold: bool) -> None:
        """Record a failed attempt.

        A broken connection to an upstream that was cold is excused. If the upstream
        answered that the call failed, it has run it, so that counts against the
        version.

        Parameters
        ----------
        reason : str
            The reason of the failed attempt.
        was_cold : bool
            Whether the upstream was cold before the attempt.
        """
        if reason in EXCUSED_REASONS or (was_cold and reason in BROKEN_REASONS):
            self.excused = True
        else:
            self.failures += 1

    def record_answer(self, state: str) -> None:
        """Record an answer of an upstream that was in `state`."""
        self.excused = self.excused or state == COLD


async def drop_tokens(index: int, tokens: tuple[str, ...]) -> None:
    """Discard tokens; the sink for steps whose tokens are not streamed."""

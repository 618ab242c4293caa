"""Define a call of one stage and its outcome."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

COLD = "cold"
BROKEN_REASONS = ("lost", "truncated")
EXCUSED_REASONS = ("lease", "connect", "refused", "busy", COLD, "version_missing")
TokenSink = Callable[[int, tuple[str, ...]], Awaitable[None]]


@dataclass(frozen=True)
class StageCall:
    """Hold what one stage has to do for one request.

    Parameters
    ----------
    version : str
        The upstream version to use; empty while none is chosen.
    deadline_ms : float
        Monotonic time of this VM by which the call must be answered.
    resume_at : int
        The index of the first token still wanted.
    idempotency_key : str
        Empty for a request without one.
    issued_at_ms : int
        When the caller issued its key, in ms since 1970 UTC.
    avoid : tuple of str
        Upstreams that have failed this call already.
    may_wait : bool
        Whether the call may wait for a slot; else it is refused without a free one.
    handed_over : bool
        Whether another data centre has handed the call to this one, which then
        keeps it.
    reserve_ms : float
        How much earlier it has to be answered, where others wait, for the later steps
        to be in time as well.
    is_probe : bool
        Whether it is tried although the estimates speak against it.
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


def allow_send() -> None:
    """Let a call leave."""


@dataclass
class RunTrace:
    """Note what became of the attempts at one call.

    Parameters
    ----------
    maybe_ran : bool
        Whether a byte of a call that may not be repeated may have left.
    failures : int
        How many attempts failed with nothing to excuse the upstream's version.
    check_send : callable
        Called right before the first byte leaves; raises if it may not any more.
    excused : bool
        Whether a cold start, or a process that is away or full, may be the reason
        for a failure or for a late answer.
    """

    maybe_ran: bool = False
    failures: int = 0
    excused: bool = False
    check_send: Callable[[], None] = allow_send

    def record_failure(self, reason: str, was_cold: bool) -> None:
        """Note a failed attempt; `was_cold` tells how the upstream stood before.

        A cold upstream may break down; one that answers that a call failed has run
        it, and then it is the version that failed.
        """
        if reason in EXCUSED_REASONS or (was_cold and reason in BROKEN_REASONS):
            self.excused = True
        else:
            self.failures += 1

    def record_answer(self, state: str) -> None:
        """Note an answer of an upstream in `state`."""
        self.excused = self.excused or state == COLD


async def drop_tokens(index: int, tokens: tuple[str, ...]) -> None:
    """Take tokens that nobody waits for."""

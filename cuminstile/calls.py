"""Define a call of one stage and its outcome."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

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
    avoid : tuple of str
        Upstreams that have failed this call already.
    may_wait : bool
        Whether the call may wait for a slot; else it is refused without a free one.
    handed_over : bool
        Whether another data centre has handed the call to this one, which then
        keeps it.
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
    may_wait: bool = True


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
    """Note whether a byte of a call that may not be repeated may have left.

    Parameters
    ----------
    check_send : callable
        Called right before the first byte leaves; raises if it may not any more.
    """

    maybe_ran: bool = False
    check_send: Callable[[], None] = allow_send


async def drop_tokens(index: int, tokens: tuple[str, ...]) -> None:
    """Take tokens that nobody waits for."""

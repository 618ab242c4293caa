"""Types of a request that is sent to upstreams, and of the state of one send."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from ..clock import Clock
from ..shutdown.in_progress import RequestInProgress
from ..token_bucket import TokenBucket
from .chain import Result
from .event_stream import EVENTS_PER_S, MAX_EVENTS, AnswerProgress
from .http_server import CallerConnection, Request
from .model import Organisation, Route, Service
from .upstream_protocol import CallFields, RawHeaders
from .upstreams import UpstreamListAge, UpstreamState

LONG_RUN_MS = 1_000.0
"""After so long an upstream that sends an answer has survived its beginning."""
STREAM_BURST_BYTES = 1024 * 1024
STREAM_BYTES_PER_S = 1024 * 1024
"""Far more than the tokens of one answer; bounds what a stream costs the others."""


class Outcome(StrEnum):
    """How one send ended.

    `UNSENT`: no byte was sent. `NOT_RUN`: the request provably did not run.
    `INPUT_GONE`: it did not run, as an input was lost. `UNKNOWN`: it may have run.
    `FAILED`: the upstream returned a failure. `FORWARDED`: the answer was forwarded to
    the caller.
    """

    UNSENT = "unsent"
    NOT_RUN = "not_run"
    INPUT_GONE = "input_gone"
    UNKNOWN = "unknown"
    FAILED = "failed"
    FORWARDED = "passed_on"


@dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller with its route and times; times are monotonic ms.

    Parameters
    ----------
    target_at_ms : float
        Latency target: the answer has its full value until then.
    expires_at_ms : float
        When the wait ends, by the caller's deadline or the operator's limit.
    digest : bytes
        See `crash_state.digest_of`; empty for a request that is not guarded.
    part_names : tuple of bytes
        See `crash_state.part_names_of`.
    progress : RequestInProgress
        What the request waits for.
    """

    request: Request
    out: CallerConnection
    fields: CallFields
    route: Route
    service: Service
    organisation: Organisation | None
    priority: int
    target_at_ms: float
    expires_at_ms: float
    digest: bytes = b""
    part_names: tuple[bytes, ...] = ()
    progress: RequestInProgress = field(default_factory=RequestInProgress)


@dataclass(frozen=True, slots=True)
class Failure:
    """A failure that an upstream returned, forwarded if no send succeeds."""

    status: int
    headers: RawHeaders
    body: bytes


@dataclass
class Race:
    """Two sends of one request that are in progress, of which one answers the caller.

    Parameters
    ----------
    tasks : list of asyncio.Task
        The sends.
    winner : asyncio.Task or None
        The first one that had something for the caller.
    cancelled : bool
        Whether the other one was in progress then.
    """

    tasks: list[asyncio.Task[Send]] = field(default_factory=list)
    winner: asyncio.Task[Send] | None = None
    cancelled: bool = False

    def others_in_progress(self) -> int:
        """Return how many sends are in progress beside the one that calls this."""
        own = asyncio.current_task()
        return sum(task is not own and not task.done() for task in self.tasks)

    def win(self) -> None:
        """Let the send that calls this answer the caller, and cancel the other.

        Raises
        ------
        asyncio.CancelledError
            If the other one has won.
        """
        own = next(task for task in self.tasks if task is asyncio.current_task())
        if self.winner not in (None, own):
            raise asyncio.CancelledError
        self.winner = own
        for task in self.tasks:
            if task is not own and task.cancel():
                self.cancelled = True


@dataclass
class Send:
    """State of one send.

    Parameters
    ----------
    answer : AnswerProgress
        What was sent to the caller, in this send and in earlier ones.
    chosen_by : ListAge
        The list of upstreams from which the upstream was chosen.
    nth_request : int
        Which request of its connection this is, counted from 1.
    sent : bool
        Whether a byte of the request may have reached the upstream.
    sent_ms : float
        When the request was sent, in monotonic ms, 0 before.
    crashed : bool
        Whether the upstream ended the connection before the answer was complete.
    events_since_ms : float
        When the first bytes of the answer's body came, in monotonic ms, 0 for never.
    unframed : bool
        Whether the answer, without length and chunks, ended with its connection.
    event_tokens, byte_tokens : TokenBucket
        How many events and bytes of a stream may still come.
    events_counted : int
        Events of the answer that were taken from `event_tokens`.
    timeout : asyncio.Timeout or None
        When the send is cancelled; extended for a stream that has begun.
    race : Race or None
        What decides between this send and another one of the same request.
    """

    answer: AnswerProgress
    chosen_by: UpstreamListAge
    outcome: Outcome = Outcome.UNSENT
    failure: Failure | None = None
    detail: str = ""
    nth_request: int = 0
    sent: bool = False
    sent_ms: float = 0.0
    crashed: bool = False
    events_since_ms: float = 0.0
    unframed: bool = False
    event_tokens: TokenBucket = field(
        default_factory=lambda: TokenBucket(MAX_EVENTS, EVENTS_PER_S)
    )
    byte_tokens: TokenBucket = field(
        default_factory=lambda: TokenBucket(STREAM_BURST_BYTES, STREAM_BYTES_PER_S)
    )
    events_counted: int = 0
    timeout: asyncio.Timeout | None = None
    on_running: Callable[[], None] = field(default=lambda: None)
    race: Race | None = None

    @property
    def first_ms(self) -> float:
        """Return the time from the send to the answer's first bytes, 0 before them."""
        return max(0.0, self.events_since_ms - self.sent_ms)

    def runs_long(self, clock: Clock) -> bool:
        """Return whether the upstream has sent parts of its answer for a while."""
        since_ms = self.events_since_ms
        return since_ms > 0.0 and clock.now_ms() - since_ms >= LONG_RUN_MS


@dataclass
class Progress:
    """State of one request across its sends.

    Parameters
    ----------
    tried : set of str
        Upstreams that did not serve the request.
    sends, runs : int
        How often the request was sent, and how often it may have run.
    failure : Failure or None
        The last failure that an upstream returned.
    recomputed : bool
        Whether its stages were recomputed because a result was lost.
    answer : AnswerProgress
        What part of an answer was sent to the caller.
    detail : str
        How the last send ended.
    """

    results: tuple[Result, ...] = ()
    tried: set[str] = field(default_factory=set)
    sends: int = 0
    runs: int = 0
    failure: Failure | None = None
    recomputed: bool = False
    answer: AnswerProgress = field(default_factory=AnswerProgress)
    detail: str = ""


@dataclass(frozen=True, slots=True)
class SendEnd:
    """How a send of a request to an upstream ended, for `crash_guard.end_send`.

    Parameters
    ----------
    crashed : bool
        Whether the upstream ended the connection before the answer was complete.
    ran : bool
        Whether the upstream answered the request after it ran.
    trial : bool
        Whether the send was a trial, the only run of the request's names.
    ran_long : bool
        Whether the upstream had sent events for a while before it crashed.
    unframed : bool
        Whether the answer had neither a length nor chunks: its end may be a crash.
    took_ms : float
        Time from the send to its end.
    """

    call: Call
    state: UpstreamState
    crashed: bool = False
    ran: bool = False
    trial: bool = False
    ran_long: bool = False
    unframed: bool = False
    took_ms: float = 0.0

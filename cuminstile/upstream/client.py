"""Call one upstream over HTTP, and check that the answer belongs to the call."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Any

import httpcore
import orjson

from ..calls import RunTrace, StageCall, TokenSink
from ..const import CONNECT_TIMEOUT_MS, MAX_ANSWER_BYTES
from ..exceptions import CuminstileError, ErrorCode, RunStatus
from ..status_lines import holds_status_line
from ..strict_json import check_encodable
from .pools import JoinedAnswersError, UpstreamPool


@dataclass(frozen=True)
class UpstreamAnswer:
    """The complete answer of an upstream.

    Parameters
    ----------
    state : str
        `cold` or `warm`, as reported by the upstream.
    work_ms : float
        Duration of the work, as reported by the upstream.
    """

    incarnation: str
    state: str
    output: Any
    work_ms: float


class UpstreamError(Exception):
    """An upstream gave no good answer.

    Parameters
    ----------
    reason : str
        `connect`, `lease`, `busy`, `cold`, `version_missing`, `refused`, `failed`,
        `crossed`, `joined`, `truncated`, `lost`, `too large` or `malformed`.
    maybe_sent : bool
        Whether a byte of the call may have been sent, so that the call may have run.
    """

    def __init__(
        self, reason: str, maybe_sent: bool, state: str = "", incarnation: str = ""
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.maybe_sent = maybe_sent
        self.state = state
        self.incarnation = incarnation


@dataclass
class SendState:
    """Whether the first byte of a call may have been sent."""

    maybe_sent: bool = False


def body_of(call: StageCall, attempt: str, remaining_ms: float) -> bytes:
    """Return the JSON body of one call."""
    return orjson.dumps(
        {
            "attempt": attempt,
            "stage": call.stage,
            "version": call.version,
            "organisation": call.organisation,
            "input": call.input,
            "stream": call.stream,
            "priority": call.priority,
            "remaining_ms": remaining_ms,
            "resume_at": call.resume_at,
            "idempotency_key": call.idempotency_key or None,
        }
    )


async def call_upstream(
    pool: UpstreamPool,
    address: str,
    call: StageCall,
    attempt: str,
    remaining_ms: float,
    trace: RunTrace | None,
    on_tokens: TokenSink,
    check: Callable[[], None],
) -> UpstreamAnswer:
    """Send one call and return its complete answer.

    `trace` is set for a call that must not be repeated. `check` runs right before the
    first byte is sent, and stops the call by raising `UpstreamError`.

    Raises
    ------
    UpstreamError
        If the upstream gave no good answer.
    """
    sending = SendState()

    async def record_send(name: str, info: dict[str, Any]) -> None:
        if name.endswith("send_request_headers.started"):
            check()
            if trace is not None:
                trace.check_send()
            sending.maybe_sent = True
        if sending.maybe_sent and trace is not None:
            trace.maybe_ran = True

    try:
        async with pool.stream(
            "POST",
            address,
            "/run",
            headers=[("content-type", "application/json")],
            content=body_of(call, attempt, remaining_ms),
            extensions={
                "trace": record_send,
                "timeout": {"connect": CONNECT_TIMEOUT_MS / 1000.0},
            },
        ) as response:
            return await read_answer(response, call, attempt, on_tokens)
    except UpstreamError as error:
        if not error.maybe_sent and trace is not None:
            trace.maybe_ran = False
        raise
    except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
        raise UpstreamError("connect", sending.maybe_sent) from error
    except JoinedAnswersError as error:
        raise UpstreamError("joined", True) from error
    except (
        OSError,
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ) as error:
        raise UpstreamError("lost", sending.maybe_sent) from error


async def cancel_call(pool: UpstreamPool, address: str, attempt: str) -> None:
    """Ask an upstream to cancel a call; ignore connection errors."""
    try:
        await pool.request(
            "POST",
            address,
            "/cancel",
            headers=[("content-type", "application/json")],
            content=orjson.dumps({"attempt": attempt}),
            extensions={"timeout": {"connect": CONNECT_TIMEOUT_MS / 1000.0}},
        )
    except (
        OSError,
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ):
        return


async def read_answer(
    response: httpcore.Response, call: StageCall, attempt: str, on_tokens: TokenSink
) -> UpstreamAnswer:
    """Read the answer to one call, from a single body or a stream."""
    if response.status == 200 and call.stream:
        return await read_stream(response, call, attempt, on_tokens)
    body = await read_body(response)
    check_attempt(body, attempt)
    if response.status == 429:
        raise UpstreamError(
            str(body.get("code", "refused")),
            False,
            str(body.get("state", "")),
            str(body.get("incarnation", "")),
        )
    if response.status != 200:
        raise UpstreamError("failed", True)
    return answer_of(body)


async def read_body(response: httpcore.Response) -> dict[str, Any]:
    """Return the JSON object in a body of at most `MAX_ANSWER_BYTES`."""
    data = b""
    async for part in response.aiter_stream():
        data += part
        if len(data) > MAX_ANSWER_BYTES:
            raise UpstreamError("too large", True)
    return object_of(data)


def object_of(data: bytes | str) -> dict[str, Any]:
    """Return the JSON object in `data`."""
    try:
        body = orjson.loads(data)
    except ValueError as error:
        raise UpstreamError("malformed", True) from error
    if not isinstance(body, dict):
        raise UpstreamError("malformed", True)
    return body


def check_attempt(body: dict[str, Any], attempt: str) -> None:
    """Raise an error if a body answers another attempt."""
    if body.get("attempt") != attempt:
        raise UpstreamError("crossed", True)


def answer_of(body: dict[str, Any]) -> UpstreamAnswer:
    """Return the answer in a body whose attempt has been checked."""
    if "output" not in body:
        raise UpstreamError("malformed", True)
    try:
        check_encodable(body["output"])
    except ValueError as error:
        raise UpstreamError("malformed", True) from error
    work_ms = body.get("work_ms", 0.0)
    return UpstreamAnswer(
        str(body.get("incarnation", "")),
        str(body.get("state", "")),
        body["output"],
        float(work_ms) if isinstance(work_ms, int | float) else 0.0,
    )


async def read_stream(
    response: httpcore.Response, call: StageCall, attempt: str, on_tokens: TokenSink
) -> UpstreamAnswer:
    """Pass on the tokens of a stream, each once and in order; return the answer."""
    next_index = call.resume_at
    async for body in events_of(response):
        check_attempt(body, attempt)
        if body.get("done"):
            if body.get("count") != next_index:
                raise UpstreamError("truncated", True)
            return answer_of(body)
        index, tokens = tokens_of(body)
        if index > next_index:
            raise UpstreamError("truncated", True)
        fresh = tokens[next_index - index :]
        if fresh:
            await on_tokens(next_index, fresh)
            next_index += len(fresh)
    raise UpstreamError("truncated", True)


def tokens_of(body: dict[str, Any]) -> tuple[int, tuple[str, ...]]:
    """Return the index and the tokens of one event."""
    index = body.get("index")
    tokens = body.get("tokens")
    if not isinstance(index, int) or not isinstance(tokens, list):
        raise UpstreamError("malformed", True)
    return index, tuple(str(token) for token in tokens)


async def events_of(response: httpcore.Response) -> AsyncIterator[dict[str, Any]]:
    """Yield the JSON object of each server-sent event.

    Raises
    ------
    UpstreamError
        If an event is too large or malformed, or another answer begins in the body.
    """
    rest = b""
    async for part in response.aiter_stream():
        *lines, rest = (rest + part).split(b"\n")
        if len(rest) > MAX_ANSWER_BYTES:
            raise UpstreamError("too large", True)
        for line in lines:
            if line.startswith(b"data:"):
                yield object_of(line[5:])
            elif holds_status_line(line):
                raise UpstreamError("joined", True)


def upstream_failed_error(error: UpstreamError, ran: RunStatus) -> CuminstileError:
    """Return the error that a caller gets for a failed call of an upstream."""
    return CuminstileError(
        ErrorCode.UPSTREAM_FAILED, f"upstream call failed: {error.reason}", ran
    )

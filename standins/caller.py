"""Simulated caller that sends requests to VMs and checks the responses."""

import json
import time
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import anyio
import httpcore

from .calls import values_under
from .serving import HOST

CONNECT_LIMIT_MS = 500
# A caller waits longer than its deadline, so that late responses are recorded as late.
RESPONSE_GRACE_MS = 3_000
HTTP_OK = 200
NETWORK_ERRORS = (
    OSError,
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


class Result(StrEnum):
    """Result of a request, as its caller sees it.

    `WRONG` is a complete answer that belongs to another request or differs from the
    tokens of its stream; `LOST` is no response at all, or an incomplete one.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    LOST = "lost"
    WRONG = "wrong"


@dataclass(frozen=True)
class CallerRequest:
    """Request of a caller.

    Parameters
    ----------
    mark : str
        Unique text in the input, which the answer must contain.
    idempotency_key : str
        Empty for none.
    issued_at_ms : int
        When the key was issued, in ms since 1970 UTC.
    is_resend : bool
        Whether the key was sent before.
    """

    pipeline: str
    key: str
    mark: str
    deadline_ms: int
    stream: bool = False
    idempotency_key: str = ""
    issued_at_ms: int = 0
    is_resend: bool = False
    input: Mapping[str, Any] = field(default_factory=dict)


@dataclass(frozen=True)
class Reply:
    """Result of one request, with the response.

    Parameters
    ----------
    code, ran : str
        For a refusal, its error code, and `not_run` or `unknown`.
    latency_ms : float
        Time from sending the request to the end of the response.
    first_token_ms : float
        Time from sending the request to the first token; NaN without tokens.
    faults : tuple of str
        Everything that is wrong with the response.
    tokens : tuple of str
        Tokens of a stream, in order.
    """

    sent: CallerRequest
    vm: str
    result: Result
    code: str = ""
    ran: str = ""
    latency_ms: float = 0.0
    first_token_ms: float = float("nan")
    faults: tuple[str, ...] = ()
    tokens: tuple[str, ...] = ()
    body: Any = None

    @property
    def late(self) -> bool:
        """Return whether the response came after the deadline."""
        return self.latency_ms > self.sent.deadline_ms

    @property
    def good(self) -> bool:
        """Return whether the complete answer came before the deadline."""
        return self.result is Result.ANSWERED and not self.late


@dataclass
class StreamCheck:
    """Check that the tokens of a stream have no gaps or duplicates."""

    tokens: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)

    def add_event(self, index: int, tokens: list[str]) -> None:
        """Add the tokens of one event."""
        if index != len(self.tokens):
            self.faults.append(
                f"received token {index}, expected token {len(self.tokens)}"
            )
        self.tokens.extend(tokens)


def body_of(request: CallerRequest) -> bytes:
    """Return the HTTP body of a request."""
    body: dict[str, Any] = {
        "input": {"mark": request.mark, **request.input},
        "deadline_ms": request.deadline_ms,
        "stream": request.stream,
    }
    if request.idempotency_key:
        body["idempotency_key"] = request.idempotency_key
        body["issued_at_ms"] = request.issued_at_ms
        body["resend"] = request.is_resend
    return json.dumps(body).encode()


def faults_of(request: CallerRequest, body: Mapping[str, Any]) -> list[str]:
    """Return what is wrong with a complete answer."""
    marks = list(values_under(body.get("output"), "marks"))
    if marks != [[request.mark]]:
        return [f"answer has the marks {marks}, expected only {request.mark}"]
    return []


def is_connect_error(error: Exception) -> bool:
    """Return whether the connection failed, so that no request was sent."""
    return isinstance(
        error, httpcore.ConnectError | httpcore.ConnectTimeout | ConnectionRefusedError
    )


async def send(
    pool: httpcore.AsyncConnectionPool,
    vm: str,
    port: int,
    request: CallerRequest,
    scheme: str = "http",
) -> Reply:
    """Send one request to a VM and return its result.

    Raises
    ------
    ConnectionRefusedError
        If the connection failed, so that another VM can be tried.
    """
    started_ms = now_ms()
    limit_s = (request.deadline_ms + RESPONSE_GRACE_MS) / 1000.0
    try:
        with anyio.fail_after(limit_s):
            url = f"{scheme}://{HOST}:{port}/v1/pipelines/{request.pipeline}"
            reply = await exchange(pool, vm, url, request, started_ms)
    except (*NETWORK_ERRORS, TimeoutError) as error:
        if is_connect_error(error):
            raise ConnectionRefusedError(vm) from error
        fault = f"{type(error).__name__} {error}".strip()
        elapsed_ms = now_ms() - started_ms
        return Reply(
            request,
            vm,
            Result.LOST,
            latency_ms=elapsed_ms,
            faults=(fault,),
            ran="unknown",
        )
    return reply


async def exchange(
    pool: httpcore.AsyncConnectionPool,
    vm: str,
    url: str,
    request: CallerRequest,
    started_ms: float,
) -> Reply:
    """Send one request and read its response to the end."""
    headers = [("authorization", f"Bearer {request.key}")]
    timeout = {"timeout": {"connect": CONNECT_LIMIT_MS / 1000.0}}
    async with pool.stream(
        "POST", url, content=body_of(request), headers=headers, extensions=timeout
    ) as response:
        if request.stream and response.status == HTTP_OK:
            return await read_stream(response, vm, request, started_ms)
        body = json.loads(await response.aread())
    return parse_reply(request, vm, body, now_ms() - started_ms)


def parse_reply(request: CallerRequest, vm: str, body: Any, latency_ms: float) -> Reply:
    """Return the reply for the body of a complete answer or a refusal."""
    if "error" in body:
        error = body["error"]
        return Reply(
            request,
            vm,
            Result.REFUSED,
            error["code"],
            error["ran"],
            latency_ms,
            body=body,
        )
    faults = faults_of(request, body)
    result = Result.WRONG if faults else Result.ANSWERED
    return Reply(
        request, vm, result, latency_ms=latency_ms, faults=tuple(faults), body=body
    )


async def read_stream(
    response: httpcore.Response, vm: str, request: CallerRequest, started_ms: float
) -> Reply:
    """Read a stream up to its final event and return the reply."""
    check = StreamCheck()
    first_ms = float("nan")
    body: Any = None
    async for name, data in events_of(response):
        if name != "tokens":
            body = data
            break
        if not check.tokens:
            first_ms = now_ms() - started_ms
        check.add_event(data["index"], data["tokens"])
    elapsed_ms = now_ms() - started_ms
    tokens = tuple(check.tokens)
    if body is None:
        return Reply(
            request,
            vm,
            Result.LOST,
            "",
            "unknown",
            elapsed_ms,
            first_ms,
            ("the stream ended without a final event",),
            tokens,
        )
    reply = parse_reply(request, vm, body, elapsed_ms)
    faults = [*check.faults, *reply.faults]
    if reply.result is Result.ANSWERED and text_of(body) != " ".join(tokens):
        faults.append("the tokens differ from the text of the answer")
    wrong = bool(faults) and reply.result is Result.ANSWERED
    return Reply(
        request,
        vm,
        Result.WRONG if wrong else reply.result,
        reply.code,
        reply.ran,
        elapsed_ms,
        first_ms,
        tuple(faults),
        tokens,
        body,
    )


def text_of(body: Mapping[str, Any]) -> str:
    """Return the text of the complete answer of an engine."""
    return str(body["output"].get("text", ""))


async def events_of(response: httpcore.Response) -> AsyncIterator[tuple[str, Any]]:
    """Yield the name and data of each server-sent event."""
    buffer = b""
    async for chunk in response.aiter_stream():
        buffer += chunk
        while b"\n\n" in buffer:
            text, buffer = buffer.split(b"\n\n", 1)
            fields = dict(
                line.split(": ", 1) for line in text.decode().splitlines() if line
            )
            yield fields["event"], json.loads(fields["data"])


def now_ms() -> float:
    """Return the monotonic time in ms."""
    return time.monotonic() * 1000.0


def wall_ms() -> int:
    """Return the time of day in ms since 1970 UTC."""
    return int(time.time() * 1000)

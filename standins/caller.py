"""Call the VMs as a firm's programs do, and check each answer."""

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
# A caller waits a little longer than its deadline, so that lateness shows.
GRACE_MS = 3_000
HTTP_OK = 200
NETWORK_ERRORS = (
    OSError,
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


class Result(StrEnum):
    """Tell what became of a request, as its caller sees it.

    `WRONG` is a whole answer that is not the caller's own; `LOST` is no answer at
    all, or one that breaks off.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    LOST = "lost"
    WRONG = "wrong"


@dataclass(frozen=True)
class CallerRequest:
    """Hold one request of a caller.

    Parameters
    ----------
    mark : str
        Unique text in the input, which the answer has to bring back.
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
    """Record what became of one request.

    Parameters
    ----------
    code, ran : str
        Of a refusal: its code, and `not_run` or `unknown`.
    latency_ms : float
        From the first byte sent to the end of the answer.
    first_token_ms : float
        NaN for an answer without tokens.
    faults : tuple of str
        Each thing that is wrong with the answer.
    tokens : tuple of str
        The tokens of a stream, in order.
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
        """Return whether the deadline had passed."""
        return self.latency_ms > self.sent.deadline_ms

    @property
    def good(self) -> bool:
        """Return whether the whole answer came in time."""
        return self.result is Result.ANSWERED and not self.late


@dataclass
class StreamCheck:
    """Check that the tokens of a stream neither skip nor repeat."""

    tokens: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)

    def add_event(self, index: int, tokens: list[str]) -> None:
        """Take one event."""
        if index != len(self.tokens):
            self.faults.append(f"token {index} came where {len(self.tokens)} was due")
        self.tokens.extend(tokens)


def body_of(request: CallerRequest) -> bytes:
    """Return the body of a request."""
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
    """Return what is wrong with a whole answer."""
    marks = list(values_under(body.get("output"), "marks"))
    if marks != [[request.mark]]:
        return [f"marks {marks} came back for {request.mark}"]
    return []


def is_connect_error(error: Exception) -> bool:
    """Return whether a request never left for the VM."""
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
    """Send one request to a VM and record what becomes of it.

    Raises
    ------
    ConnectionRefusedError
        If no connection came about, so that another VM may be tried.
    """
    started_ms = now_ms()
    limit_s = (request.deadline_ms + GRACE_MS) / 1000.0
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
    """Send one request and read its answer to the end."""
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
    """Return the record of a whole answer or a refusal."""
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
    """Read a stream to its last event."""
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
            ("the stream broke off",),
            tokens,
        )
    reply = parse_reply(request, vm, body, elapsed_ms)
    faults = [*check.faults, *reply.faults]
    if reply.result is Result.ANSWERED and text_of(body) != " ".join(tokens):
        faults.append("the tokens are not those of the whole answer")
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
    """Return the text of the whole answer of an engine."""
    return str(body["output"].get("text", ""))


async def events_of(response: httpcore.Response) -> AsyncIterator[tuple[str, Any]]:
    """Yield the name and data of each server-sent event."""
    held = b""
    async for part in response.aiter_stream():
        held += part
        while b"\n\n" in held:
            text, held = held.split(b"\n\n", 1)
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

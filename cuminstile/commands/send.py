"""Send one request to a pipeline and yield its answer as it arrives."""

import json
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import httpcore

from .client import (
    HTTP_OK,
    Target,
    UnreachableError,
    UsageError,
    checked_body,
    error_from_body,
    open_call,
    read_answer,
)

ANSWER_MARGIN_MS = 5_000
DEFAULT_DEADLINE_MS = 600_000


@dataclass(frozen=True)
class Request:
    """One request to a pipeline.

    Parameters
    ----------
    deadline_ms : int or None
        The time for the complete answer; `None` for the pipeline's own deadline.
    idempotency_key : str or None
        Identifies the request; a retry of it has the same key.
    issued_at_ms : int or None
        When the key was issued, in ms since 1970 UTC.
    resend : bool
        Whether the key was sent before.
    """

    pipeline: str
    input: Any
    deadline_ms: int | None = None
    stream: bool = False
    idempotency_key: str | None = None
    issued_at_ms: int | None = None
    resend: bool = False

    def body(self) -> dict[str, Any]:
        """Return the body of the HTTP request."""
        fields = {
            "input": self.input,
            "deadline_ms": self.deadline_ms,
            "stream": self.stream,
            "idempotency_key": self.idempotency_key,
            "issued_at_ms": self.issued_at_ms,
            "resend": self.resend or None,
        }
        return {name: value for name, value in fields.items() if value is not None}


@dataclass(frozen=True)
class ReceivedEvent:
    """One event of an answer: any number of `tokens`, then `done`."""

    event: str
    data: Any


async def send(target: Target, request: Request) -> AsyncIterator[ReceivedEvent]:
    """Send a request once and yield the events of its answer.

    Another VM is tried only if the request cannot have reached a VM yet.

    Raises
    ------
    CuminstileError
        If the request is refused.
    UnreachableError
        If there is no complete answer.
    """
    for index, address in enumerate(target.addresses):
        try:
            async for received in send_to(target, address, request):
                yield received
            return
        except UnreachableError as error:
            if error.sent or index == len(target.addresses) - 1:
                raise


async def send_to(
    target: Target, address: str, request: Request
) -> AsyncIterator[ReceivedEvent]:
    """Send a request to one VM and yield the events of its answer.

    Raises
    ------
    CuminstileError
        If the request is refused.
    UnreachableError
        If there is no complete answer.
    """
    path = f"/v1/pipelines/{request.pipeline}"
    timeout_ms = (request.deadline_ms or DEFAULT_DEADLINE_MS) + ANSWER_MARGIN_MS
    async with open_call(
        target, address, "POST", path, request.body(), timeout_ms
    ) as response:
        if response.status != HTTP_OK or not is_stream(response):
            body = checked_body(await read_answer(address, response))
            yield ReceivedEvent("done", body)
            return
        async for received in read_stream(response):
            yield received
            if received.event == "done":
                return
    raise UnreachableError(address, "the stream ended early", sent=True)


def is_stream(response: httpcore.Response) -> bool:
    """Return whether a response is a stream of server-sent events."""
    headers = {name.lower(): value for name, value in response.headers}
    return headers.get(b"content-type", b"").startswith(b"text/event-stream")


async def read_stream(response: httpcore.Response) -> AsyncIterator[ReceivedEvent]:
    """Yield the server-sent events of a response.

    Raises
    ------
    CuminstileError
        If the stream has an `error` event.
    """
    event = ""
    remainder = b""
    async for chunk in response.aiter_stream():
        *lines, remainder = (remainder + chunk).split(b"\n")
        for line in lines:
            name, _, value = line.decode().rstrip("\r").partition(":")
            if name == "event":
                event = value.strip()
            elif name == "data":
                data = json.loads(value)
                if event == "error":
                    raise error_from_body(data)
                yield ReceivedEvent(event, data)


def read_input(text: str) -> Any:
    """Return the input from an option that is JSON or `@FILE`.

    Raises
    ------
    UsageError
        If the file cannot be read or the text is not JSON.
    """
    try:
        if text.startswith("@"):
            text = Path(text[1:]).read_text("utf-8")
        return json.loads(text)
    except (OSError, ValueError) as error:
        raise UsageError(f"--input: JSON or @FILE is expected: {error}") from error

"""Read and validate the JSON bodies of callers' and operators' requests."""

from typing import TypeVar

import anyio
from pydantic import TypeAdapter
from starlette.requests import ClientDisconnect, Request

from .exceptions import CuminstileError, ErrorCode, Finding
from .strict_json import loads
from .validation import validate

BODY_TIMEOUT_MS = 10_000
MAX_FIELDS = 16

T = TypeVar("T")


async def read_body(http: Request, max_bytes: int) -> bytes:
    """Return the body of a request.

    Raises
    ------
    CuminstileError
        With `BODY_TOO_LARGE`, with `BODY_TIMEOUT` if it is not complete in time, or
        with `MALFORMED_BODY` if the client disconnects.
    """
    try:
        with anyio.fail_after(BODY_TIMEOUT_MS / 1000.0):
            return await read_chunks(http, max_bytes)
    except TimeoutError as error:
        raise CuminstileError(
            ErrorCode.BODY_TIMEOUT,
            f"the request body was not complete within {BODY_TIMEOUT_MS} ms",
        ) from error
    except ClientDisconnect as error:
        raise CuminstileError(
            ErrorCode.MALFORMED_BODY,
            "the client disconnected before the request body was complete",
        ) from error


async def read_chunks(http: Request, max_bytes: int) -> bytes:
    """Return the joined chunks of a body; raises `BODY_TOO_LARGE` above `max_bytes`."""
    data = bytearray()
    async for chunk in http.stream():
        data += chunk
        if len(data) > max_bytes:
            raise CuminstileError(
                ErrorCode.BODY_TOO_LARGE,
                f"the request body is larger than {max_bytes} bytes",
            )
    return bytes(data)


def parse_body(adapter: TypeAdapter[T], data: bytes) -> T:
    """Return the decoded and validated body.

    Raises
    ------
    CuminstileError
        With `MALFORMED_BODY` and every finding.
    """
    try:
        raw = loads(data)
    except ValueError as error:
        raise malformed((Finding("", "", "json", str(error)),)) from error
    if isinstance(raw, dict) and len(raw) > MAX_FIELDS:
        message = f"the request body has more than {MAX_FIELDS} fields"
        raise malformed((Finding("", "", "too_many_fields", message),))
    checked = validate(adapter, raw)
    if checked.value is None:
        raise malformed(checked.findings)
    return checked.value


def malformed(findings: tuple[Finding, ...]) -> CuminstileError:
    """Return the error for an invalid body."""
    return CuminstileError(
        ErrorCode.MALFORMED_BODY, "the request body is invalid", findings=findings
    )

"""Read and check the JSON bodies of callers' and operators' requests."""

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
        With `BODY_TOO_LARGE`, or with `BODY_TIMEOUT` if its end doesn't come.
    """
    try:
        with anyio.fail_after(BODY_TIMEOUT_MS / 1000.0):
            return await read_parts(http, max_bytes)
    except TimeoutError as error:
        raise CuminstileError(
            ErrorCode.BODY_TIMEOUT, f"the body didn't come within {BODY_TIMEOUT_MS} ms"
        ) from error
    except ClientDisconnect as error:
        raise CuminstileError(
            ErrorCode.MALFORMED_BODY, "the body ended too early"
        ) from error


async def read_parts(http: Request, max_bytes: int) -> bytes:
    """Return the parts of a body, which may not be too large, as one."""
    data = bytearray()
    async for part in http.stream():
        data += part
        if len(data) > max_bytes:
            raise CuminstileError(
                ErrorCode.BODY_TOO_LARGE, f"a body has at most {max_bytes} bytes"
            )
    return bytes(data)


def parse_body(adapter: TypeAdapter[T], data: bytes) -> T:
    """Return the checked body.

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
        message = f"a body has at most {MAX_FIELDS} fields"
        raise malformed((Finding("", "", "too_many_fields", message),))
    checked = validate(adapter, raw)
    if checked.value is None:
        raise malformed(checked.findings)
    return checked.value


def malformed(findings: tuple[Finding, ...]) -> CuminstileError:
    """Return the error for a body that is not usable."""
    return CuminstileError(
        ErrorCode.MALFORMED_BODY, "the body is not usable", findings=findings
    )

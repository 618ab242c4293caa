"""HTTP client of the command-line tool for calls to VMs."""

import json
import os
import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import httpcore

from ..exceptions import CuminstileError, ErrorCode, Finding, RunStatus

CALL_TIMEOUT_MS = 10_000
CONNECT_TIMEOUT_MS = 2_000
HTTP_OK = 200


class UsageError(Exception):
    """A command was given an invalid argument or key."""


@dataclass(frozen=True)
class Target:
    """The VMs that a command calls, with the credentials for them.

    Parameters
    ----------
    addresses : tuple of str
        `host:port` of each VM.
    key : str
        The bearer token that is sent to them.
    authority : Path or None
        File with the certificate authority that signed their certificates; `None`
        for connections without TLS.
    """

    addresses: tuple[str, ...]
    key: str
    authority: Path | None = None


@dataclass(frozen=True)
class Answer:
    """Status and JSON body of the response to a call."""

    status: int
    body: Any


class UnreachableError(Exception):
    """A VM gave no complete response.

    Parameters
    ----------
    sent : bool
        Whether the request may have reached the VM.
    """

    def __init__(self, address: str, reason: str, sent: bool) -> None:
        super().__init__(f"no complete response from {address}: {reason}")
        self.address = address
        self.sent = sent


def make_target(
    vm: Any, key_file: str, key_variable: str, authority: str = ""
) -> Target:
    """Return the target that is given by the options of a command.

    Raises
    ------
    UsageError
        If an address or the key is missing or invalid.
    """
    texts = vm.split(",") if isinstance(vm, str) else [str(item) for item in vm]
    addresses = tuple(text.strip() for text in texts if text.strip())
    for address in addresses:
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            raise UsageError(f"--vm: {address!r} is not HOST:PORT")
    if not addresses:
        raise UsageError("--vm: at least one HOST:PORT is expected")
    key = read_key(key_file, key_variable)
    return Target(addresses, key, Path(authority) if authority else None)


def read_key(key_file: str, key_variable: str) -> str:
    """Return the key from a file if one is given, else from an environment variable.

    Raises
    ------
    UsageError
        If the file cannot be read, or the key is missing or not printable ASCII.
    """
    source = f"--key_file {key_file}" if key_file else key_variable
    try:
        text = Path(key_file).read_text("utf-8") if key_file else ""
    except (OSError, ValueError) as error:
        raise UsageError(f"{source}: {error}") from error
    key = text.strip() if key_file else os.environ.get(key_variable, "").strip()
    if not key:
        raise UsageError(f"no key in {source}; set {key_variable} or give --key_file")
    if not key.isascii() or not key.isprintable():
        raise UsageError(f"{source}: a key must be printable ASCII characters")
    return key


def tls_context(target: Target) -> ssl.SSLContext | None:
    """Return the TLS context of a target, or `None` if it does not use TLS.

    Raises
    ------
    UsageError
        If the file with the certificate authority cannot be used.
    """
    if target.authority is None:
        return None
    try:
        return ssl.create_default_context(cafile=str(target.authority))
    except (OSError, ssl.SSLError) as error:
        raise UsageError(f"--authority: {error}") from error


@asynccontextmanager
async def open_call(
    target: Target,
    address: str,
    method: str,
    path: str,
    body: Any = None,
    timeout_ms: float = CALL_TIMEOUT_MS,
) -> AsyncIterator[httpcore.Response]:
    """Send one request and yield its response before the body has been read.

    Raises
    ------
    UnreachableError
        If there is no response, or if it is cut off.
    """
    scheme = "https" if target.authority else "http"
    headers = [("authorization", f"Bearer {target.key}"), ("connection", "close")]
    if body is not None:
        headers.append(("content-type", "application/json"))
    timeouts = {"connect": CONNECT_TIMEOUT_MS / 1000.0, "read": timeout_ms / 1000.0}
    try:
        async with (
            httpcore.AsyncConnectionPool(ssl_context=tls_context(target)) as pool,
            pool.stream(
                method,
                f"{scheme}://{address}{path}",
                headers=headers,
                content=None if body is None else json.dumps(body).encode(),
                extensions={"timeout": timeouts},
            ) as response,
        ):
            yield response
    except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
        raise UnreachableError(address, describe_error(error), sent=False) from error
    except (httpcore.NetworkError, httpcore.TimeoutException) as error:
        raise UnreachableError(address, describe_error(error), sent=True) from error
    except httpcore.ProtocolError as error:
        raise UnreachableError(address, describe_error(error), sent=True) from error


def describe_error(error: Exception) -> str:
    """Return a short reason for a failed call."""
    return str(error) or type(error).__name__


async def call(
    target: Target,
    address: str,
    method: str,
    path: str,
    body: Any = None,
    timeout_ms: float = CALL_TIMEOUT_MS,
) -> Answer:
    """Send one request and return its complete response.

    Raises
    ------
    UnreachableError
        If there is no complete response, or if it is not JSON.
    """
    async with open_call(target, address, method, path, body, timeout_ms) as response:
        return await read_answer(address, response)


async def read_answer(address: str, response: httpcore.Response) -> Answer:
    """Read the JSON body of a response.

    Raises
    ------
    UnreachableError
        If the body is cut off or is not JSON.
    """
    data = await response.aread()
    try:
        return Answer(response.status, json.loads(data))
    except ValueError as error:
        raise UnreachableError(address, "the response is not JSON", True) from error


def checked_body(answer: Answer) -> Any:
    """Return the body of a successful response.

    Raises
    ------
    CuminstileError
        The error in the body if the status is not 200.
    """
    if answer.status == HTTP_OK:
        return answer.body
    raise error_from_body(answer.body)


def error_from_body(body: Any) -> CuminstileError:
    """Return the error that is described in the body of a response."""
    try:
        error = body["error"]
        return CuminstileError(
            ErrorCode(error["code"]),
            str(error["message"]),
            RunStatus(error["ran"]),
            tuple(Finding(**finding) for finding in error.get("findings", ())),
        )
    except (KeyError, TypeError, ValueError):
        text = json.dumps(body)[:200]
        return CuminstileError(ErrorCode.INTERNAL, f"unknown error response: {text}")


async def call_any(target: Target, path: str) -> Any:
    """Send a GET request to one VM after another and return the first response's body.

    Raises
    ------
    UnreachableError
        If no VM responds.
    CuminstileError
        If the first VM that responds returns an error.
    """
    last_error: UnreachableError | None = None
    for address in target.addresses:
        try:
            return checked_body(await call(target, address, "GET", path))
        except UnreachableError as error:
            last_error = error
    assert last_error is not None
    raise last_error

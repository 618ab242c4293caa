"""Call the VMs over HTTP on behalf of the command-line tool."""

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
    """Tell that a command was given something it can't use."""


@dataclass(frozen=True)
class Target:
    """Hold where a command's VMs are and how to speak to them.

    Parameters
    ----------
    addresses : tuple of str
        `host:port` of each VM.
    key : str
        The secret that is shown to them.
    authority : Path or None
        The certificate authority that signed their certificates; `None` for
        connections without TLS.
    """

    addresses: tuple[str, ...]
    key: str
    authority: Path | None = None


@dataclass(frozen=True)
class Answer:
    """Hold one answer to a call."""

    status: int
    body: Any


class UnreachableError(Exception):
    """Tell that a VM gave no answer.

    Parameters
    ----------
    sent : bool
        Whether the request may have reached the VM.
    """

    def __init__(self, address: str, reason: str, sent: bool) -> None:
        super().__init__(f"{address} gave no answer: {reason}")
        self.address = address
        self.sent = sent


def make_target(
    vm: Any, key_file: str, key_variable: str, authority: str = ""
) -> Target:
    """Return the target that the options of a command describe.

    Raises
    ------
    UsageError
        If an address or the key is missing or can't be used.
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
    """Return the key in a file, or else in an environment variable."""
    place = f"--key_file {key_file}" if key_file else key_variable
    try:
        text = Path(key_file).read_text("utf-8") if key_file else ""
    except (OSError, ValueError) as error:
        raise UsageError(f"{place}: {error}") from error
    key = text.strip() if key_file else os.environ.get(key_variable, "").strip()
    if not key:
        raise UsageError(f"no key in {place}; set {key_variable} or give --key_file")
    if not key.isascii() or not key.isprintable():
        raise UsageError(f"{place}: a key has printable ASCII characters only")
    return key


def tls_context(target: Target) -> ssl.SSLContext | None:
    """Return the TLS context of a target, if it uses TLS."""
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
    """Send one request and give its answer before the body has been read.

    Raises
    ------
    UnreachableError
        If there is no answer, or if it breaks off.
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
        raise UnreachableError(address, describe(error), sent=False) from error
    except (httpcore.NetworkError, httpcore.TimeoutException) as error:
        raise UnreachableError(address, describe(error), sent=True) from error
    except httpcore.ProtocolError as error:
        raise UnreachableError(address, describe(error), sent=True) from error


def describe(error: Exception) -> str:
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
    """Send one request and return its whole answer.

    Raises
    ------
    UnreachableError
        If there is no whole answer, or none in JSON.
    """
    async with open_call(target, address, method, path, body, timeout_ms) as response:
        return await read_answer(address, response)


async def read_answer(address: str, response: httpcore.Response) -> Answer:
    """Read the JSON body of an answer."""
    data = await response.aread()
    try:
        return Answer(response.status, json.loads(data))
    except ValueError as error:
        raise UnreachableError(address, "the answer is not JSON", True) from error


def checked(answer: Answer) -> Any:
    """Return the body of a good answer.

    Raises
    ------
    CuminstileError
        The refusal that the answer holds.
    """
    if answer.status == HTTP_OK:
        return answer.body
    raise refusal_of(answer.body)


def refusal_of(body: Any) -> CuminstileError:
    """Return the refusal in the body of an answer."""
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
        return CuminstileError(ErrorCode.INTERNAL, f"not understood: {text}")


async def call_any(target: Target, path: str) -> Any:
    """Return the body of the first good answer to a GET among the VMs.

    Raises
    ------
    UnreachableError
        If no VM answers.
    CuminstileError
        If the first VM that answers refuses.
    """
    last: UnreachableError | None = None
    for address in target.addresses:
        try:
            return checked(await call(target, address, "GET", path))
        except UnreachableError as error:
            last = error
    assert last is not None
    raise last

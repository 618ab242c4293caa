"""One request of a caller, what answers it, and what its head decides."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..upstream_protocol import RawHeaders

if TYPE_CHECKING:
    from .connection import CallerConnection


def stated_length(headers: RawHeaders) -> int | None:
    """Return the length of the body that the headers state, if they state one."""
    for name, value in headers:
        if name == b"content-length" and value.isdigit():
            return int(value)
    return None


def has_ambiguous_length(headers: RawHeaders) -> bool:
    """Return whether another reader of the headers may end the body elsewhere."""
    lengths = [value for name, value in headers if name == b"content-length"]
    codings = [value for name, value in headers if name == b"transfer-encoding"]
    if not codings:
        return len(lengths) > 1
    return bool(lengths) or [c.strip(b" \t").lower() for c in codings] != [b"chunked"]


@dataclass(frozen=True, slots=True)
class Request:
    """One complete request.

    Parameters
    ----------
    target : bytes
        Path and query as sent by the caller.
    headers : RawHeaders
        Headers in the caller's order, with names in lower case.
    arrived_ms : float
        Monotonic time of its first byte.
    """

    method: bytes
    target: bytes
    headers: RawHeaders
    body: bytes
    arrived_ms: float

    def get(self, name: bytes) -> bytes | None:
        """Return the first header with a lower-case name, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


Handler = Callable[[Request, "CallerConnection"], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class HeadVerdict:
    """What the head of a request is enough to decide.

    Parameters
    ----------
    owner : str
        Whose room the body takes.
    refuse : Handler or None
        Answers a request that is refused whatever its body is.
    """

    owner: str = ""
    refuse: Handler | None = None


HeadCheck = Callable[[Request, "CallerConnection"], HeadVerdict]


def accept_any(head: Request, out: CallerConnection) -> HeadVerdict:
    """Let each request send its body."""
    del head, out
    return HeadVerdict()


async def refuse_body(request: Request, out: CallerConnection) -> None:
    """Refuse a request for whose body there is no room."""
    del request
    await out.write_answer(503, ((b"Retry-After", b"1"),), b"")

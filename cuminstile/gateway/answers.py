"""Answers as they are received on a connection, and why none is."""

from __future__ import annotations

from dataclasses import dataclass

from .upstream_protocol import RawHeaders

HEAD_BUFFER_BYTES = 512
"""Size that counts towards the buffer for an unread head or end of an answer."""


class ConnectionLostError(Exception):
    """A connection could not be opened, broke, or carried invalid HTTP.

    Parameters
    ----------
    sent : bool
        Whether bytes of the request may have reached the peer.
    ended_by_peer : bool
        Whether the peer closed or reset the connection.
    """

    def __init__(self, message: str, sent: bool, ended_by_peer: bool = False) -> None:
        super().__init__(message)
        self.sent = sent
        self.ended_by_peer = ended_by_peer


class JoinedAnswersError(ConnectionLostError):
    """What was received as one answer is the start of one and another one."""

    def __init__(self, message: str) -> None:
        super().__init__(message, sent=True)


class NoListenerError(ConnectionLostError):
    """Nothing listens at the address: the process there has ended."""

    def __init__(self, message: str) -> None:
        super().__init__(message, sent=False)


class AnswerTooLargeError(ConnectionLostError):
    """An answer exceeded a size limit and its connection was closed."""

    def __init__(self, message: str) -> None:
        super().__init__(message, sent=True)


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer, with names in lower case.

    Parameters
    ----------
    length : int or None
        Size of the body in bytes, None if not stated.
    """

    status: int
    headers: RawHeaders
    length: int | None

    def get(self, name: bytes) -> bytes | None:
        """Return the first header with a lower-case name, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """Marker of the end of a complete answer.

    Parameters
    ----------
    may_run_on : bool
        Whether the body, of a stated length, may hold the start of another answer,
        which goes on behind that length.
    ends_in_head : bool
        Whether the body, of a stated length, ends behind the status line of another
        answer.
    """

    may_run_on: bool = False
    ends_in_head: bool = False


Incoming = AnswerHead | AnswerEnd | bytes


def buffered_size(item: Incoming) -> int:
    """Return the size in bytes that an unread item counts towards the buffer."""
    return len(item) if isinstance(item, bytes) else HEAD_BUFFER_BYTES

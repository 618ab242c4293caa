"""What has come of a request that isn't complete, and what is kept to be parsed."""

from __future__ import annotations

from dataclasses import dataclass, field

from ...memory.turns import FEW_PARTS, LONG_SLICE_BYTES, SLICE_BYTES

FRAMING_PER_BODY_BYTE = 16
"""Bytes of chunk headers that are accepted for each byte of a body, on average; the
smallest chunk needs five."""


@dataclass(slots=True)
class IncomingRequest:
    """The parts of a request that have come.

    Parameters
    ----------
    began_ms : float or None
        Monotonic time of its first byte, None if nothing has come.
    received_bytes : int
        Bytes parsed of it, with those around its body.
    body_bytes : int
        Bytes of its body so far, also of one that is dropped.
    trailer_bytes : int
        Bytes of the fields after its body.
    in_chunks : bool
        Whether its body comes in chunks.
    head_checked : bool
        Whether the head has been decided on before the body was whole.
    """

    began_ms: float | None = None
    url: bytes = b""
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    received_bytes: int = 0
    body_bytes: int = 0
    trailer_bytes: int = 0
    headers_done: bool = False
    in_chunks: bool = False
    head_checked: bool = False

    def most_bytes(self, max_header_bytes: int) -> int:
        """Return how many bytes may have come before it is complete."""
        if not self.headers_done:
            return max_header_bytes
        framing_limit = max_header_bytes + FRAMING_PER_BODY_BYTE * self.body_bytes
        return max_header_bytes + framing_limit + self.body_bytes

    def header_bytes(self) -> int:
        """Return the size of the headers as they were sent."""
        return sum(len(name) + len(value) + 4 for name, value in self.headers)

    def has_header(self, name: bytes) -> bool:
        """Return whether the head has a header with a lower-case name."""
        return any(key == name for key, _ in self.headers)


@dataclass(slots=True)
class Unparsed:
    """Bytes that have come and wait for their turn to be parsed.

    Parameters
    ----------
    parts : int
        Parts of a body in the slice parsed last.
    """

    data: bytes = b""
    begin: int = 0
    parts: int = FEW_PARTS + 1

    def __len__(self) -> int:
        return len(self.data) - self.begin

    def slice_bytes(self) -> int:
        """Return the size of the next slice: a long one if the chunks are large."""
        return SLICE_BYTES if self.parts > FEW_PARTS else LONG_SLICE_BYTES

    def take(self, size: int) -> memoryview:
        """Return the next bytes, `size` at most."""
        view = memoryview(self.data)[self.begin : self.begin + size]
        self.begin += size
        if self.begin >= len(self.data):
            self.clear()
        return view

    def take_all(self) -> bytes:
        """Return all bytes."""
        data = self.data[self.begin :]
        self.clear()
        return data

    def clear(self) -> None:
        """Drop all bytes."""
        self.data, self.begin = b"", 0

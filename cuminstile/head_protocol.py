"""HTTP protocol of the server for callers and operators: the head ends before the body.

uvicorn adds the fields after a body in chunks to the headers of the request.
"""

from __future__ import annotations

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol


class HeadProtocol(HttpToolsProtocol):
    """Protocol that drops trailers, so that the headers are those of the head."""

    headers_done = False

    def on_message_begin(self) -> None:
        """Start the head of a request."""
        self.headers_done = False
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header, unless the head is complete."""
        if not self.headers_done:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Start to serve the request; what comes now is no header."""
        self.headers_done = True
        super().on_headers_complete()

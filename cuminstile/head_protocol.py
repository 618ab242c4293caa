"""HTTP protocol of the server for callers and operators: a head is that of one request.

uvicorn adds the fields after a body in chunks to the headers of the request, and takes
the head of a torn request and that of the next one for one head.
"""

from __future__ import annotations

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from .request_bounds import holds_joined_head


class JoinedRequestsError(Exception):
    """A head may be put together from those of two requests; uvicorn answers 400."""


class HeadProtocol(HttpToolsProtocol):
    """Protocol that drops trailers, and refuses heads of two requests."""

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
        """Start to serve the request; what comes now is no header.

        Raises
        ------
        JoinedRequestsError
            If the head may be put together from those of two requests.
        """
        self.headers_done = True
        if holds_joined_head(self.headers):
            raise JoinedRequestsError
        super().on_headers_complete()

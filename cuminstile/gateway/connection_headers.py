"""Find the headers that concern one connection only."""

from __future__ import annotations

from .upstream_protocol import RawHeaders


def nominated_headers(headers: RawHeaders) -> set[bytes]:
    """Return the lower-case names that `Connection` lists, with its other options."""
    values = [value for name, value in headers if name == b"connection"]
    return {option.strip().lower() for value in values for option in value.split(b",")}

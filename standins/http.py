"""JSON over HTTP to the programs of a test arrangement."""

import json
import ssl
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import httpcore

from .serving import HOST

TIMEOUT_S = 10.0
HTTP_OK = 200


class ControlError(Exception):
    """A program rejected a control request."""


def make_pool(authority: Path | None = None) -> httpcore.AsyncConnectionPool:
    """Return a connection pool for many concurrent callers.

    With an authority, servers must present a certificate signed by it.
    """
    context = None
    if authority is not None:
        context = ssl.create_default_context(cafile=str(authority))
    return httpcore.AsyncConnectionPool(
        ssl_context=context,
        max_connections=None,
        max_keepalive_connections=256,
        keepalive_expiry=2.0,
    )


async def exchange_json(
    pool: httpcore.AsyncConnectionPool,
    method: str,
    port: int,
    path: str,
    body: Any = None,
    headers: Sequence[tuple[str, str]] = (),
) -> Any:
    """Send a JSON request to a program and return the JSON response.

    Raises
    ------
    ControlError
        If the response status is not 200; carries the response body.
    """
    response = await pool.request(
        method,
        f"http://{HOST}:{port}{path}",
        content=b"" if body is None else json.dumps(body).encode(),
        headers=[("content-type", "application/json"), *headers],
        extensions={"timeout": dict.fromkeys(("connect", "read", "pool"), TIMEOUT_S)},
    )
    if response.status != HTTP_OK:
        raise ControlError(response.content.decode("utf-8", "replace"))
    return json.loads(response.content)

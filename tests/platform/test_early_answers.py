"""Test cuminstile.platform as a program with upstreams that answer during an upload."""

from __future__ import annotations

import asyncio
import itertools
from typing import Any

import pytest

from standins.keyed_store import OPERATOR_TOPIC

from ..early_answers import UNREADABLE_STATUSES, UPLOAD, Ending, early, with_status
from ..gateway.servers import Session
from .own_upstreams import replace_upstreams, send
from .site import Site, make_manifest

pytestmark = [pytest.mark.anyio, pytest.mark.process]
TARGETS = ("/look/x", "/book/x", "/note/x")
PLAIN = b"HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nConnection: close\r\n\r\nhalf of it"
EVENTS = (
    b"HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n"
    b"Connection: close\r\n\r\nid: 0\ndata: one\n\nid: 1\nda"
)
WAYS = tuple(itertools.product(Ending, (0, 1_000, 500_000), (0.0, 0.3)))


class ChangingUpstream:
    """An upstream whose next session can be set."""

    next: Session

    async def session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection in the way that is set."""
        try:
            await self.next(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def prepare(site: Site, upstream: ChangingUpstream) -> None:
    """Let one upstream serve all routes, under many names, and allow long uploads."""
    manifest: dict[str, Any] = make_manifest(2)
    manifest["limits"]["max_body_bytes"] = 4_000_000
    await site.store.put_json(OPERATOR_TOPIC, "config", manifest)
    pairs = itertools.product(range(4), ("desk", "engines"))
    services = {f"{service}-r{number}": service for number, service in pairs}
    await replace_upstreams(site, upstream.session, services)
    await asyncio.sleep(1.5)


# Guards against the part of an answer that callers take for all of it.
@pytest.mark.parametrize("target", TARGETS)
async def test_early_answer_that_is_reset_does_not_look_complete(
    site: Site, target: str
) -> None:
    upstream = ChangingUpstream()
    await prepare(site, upstream)
    passed = []
    data = EVENTS if target == "/note/x" else PLAIN
    for number, (ending, read, pause_s) in enumerate(WAYS):
        upstream.next = early(data, ending, read, pause_s)
        answer = await send(site, target, number, UPLOAD)
        if answer is not None and answer.status < 300 and answer.complete:
            passed.append((ending, read, pause_s))
    assert passed == []


# Guards against passing on an answer whose status is none.
@pytest.mark.parametrize("target", TARGETS)
async def test_unreadable_status_is_not_passed_on(site: Site, target: str) -> None:
    upstream = ChangingUpstream()
    await prepare(site, upstream)
    statuses = {}
    for number, status in enumerate(UNREADABLE_STATUSES):
        upstream.next = early(with_status(status, b"body"), Ending.CLOSED, 100, 0.05)
        answer = await send(site, target, number, UPLOAD)
        if answer is not None:
            statuses[status] = answer.status
    assert {status for status in statuses.values() if status not in (502, 503)} == set()

"""Test cuminstile.platform as a program with upstreams whose status says "not run"."""

import asyncio
import itertools

import pytest

from standins.gateway_upstream import read_request

from .own_upstreams import replace_upstreams, send
from .site import Site

pytestmark = [pytest.mark.anyio, pytest.mark.process]
PROMISES = (408, 421, 429, 503)
SEAL = "Response-Seal: s\r\n"
FORMS = {
    "whole": SEAL + "Content-Length: 4\r\n\r\ngone",
    "retry-after": SEAL + "Retry-After: 0.1\r\nContent-Length: 0\r\n\r\n",
    "chunked": SEAL + "Transfer-Encoding: chunked\r\n\r\n4\r\ngone\r\n0\r\n\r\n",
    "ended by its connection": SEAL + "Connection: close\r\n\r\ngone",
    "cut": SEAL + "Content-Length: 40\r\n\r\ngone",
    "without seal": "Content-Length: 4\r\n\r\ngone",
}
TARGETS = {"/look/x": "desk", "/book/x": "desk", "/note/x": "engines"}


class RunningUpstream:
    """An upstream that runs each request, then answers it as it is told to.

    Parameters
    ----------
    ran : dict of str to int
        How often each attempt ran.
    """

    def __init__(self) -> None:
        self.status = 503
        self.form = "whole"
        self.ran: dict[str, int] = {}
        self.refuses = False

    async def session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        try:
            while True:
                received = await read_request(reader)
                attempt = received.headers.get("attempt-id", "")
                head = f"HTTP/1.1 {self.status} A\r\nAttempt-Id: {attempt}\r\n"
                if self.refuses:
                    head += "Not-Executed: 1\r\n"
                else:
                    self.ran[attempt] = self.ran.get(attempt, 0) + 1
                writer.write((head + FORMS[self.form]).encode())
                await writer.drain()
                if self.form in ("ended by its connection", "cut"):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def prepare(site: Site, upstream: RunningUpstream) -> None:
    """Let one upstream serve the services of all routes, under two names each."""
    pairs = itertools.product(range(2), ("desk", "engines"))
    services = {f"{service}-r{number}": service for number, service in pairs}
    await replace_upstreams(site, upstream.session, services)
    await asyncio.sleep(1.5)


# Guards against assuring a caller that its request never ran though it did, by passing
# on the status with which its upstream answered after the run.
async def test_status_of_a_run_is_no_promise_that_there_was_none(site: Site) -> None:
    upstream = RunningUpstream()
    await prepare(site, upstream)
    numbers = itertools.count()
    broken, twice = [], []
    for status, form, target in itertools.product(PROMISES, FORMS, TARGETS):
        upstream.status, upstream.form = status, form
        number = next(numbers)
        answer = await send(site, target, number)
        if answer is not None and answer.status in PROMISES:
            broken += [(status, form, target)] * (f"a{number}" in upstream.ran)
        if target != "/look/x" and upstream.ran.get(f"a{number}", 0) > 1:
            twice.append((status, form, target))
    assert upstream.ran
    assert broken == []
    assert [one for one in twice if one[2] == "/book/x"] == []


# Guards against losing a true promise, after which callers send their request again.
@pytest.mark.parametrize("status", [429, 503])
async def test_promise_of_an_upstream_that_did_not_run_is_kept(
    site: Site, status: int
) -> None:
    upstream = RunningUpstream()
    upstream.status, upstream.refuses = status, True
    await prepare(site, upstream)
    for number, target in enumerate(TARGETS):
        answer = await send(site, target, number)
        assert answer is not None
        assert answer.status == 503
    assert upstream.ran == {}

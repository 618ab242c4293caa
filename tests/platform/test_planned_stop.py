"""Test cuminstile.platform as a program that is stopped while requests keep coming."""

import asyncio
import itertools
import signal
from dataclasses import dataclass, field

import pytest

from .site import Site, draft_fields, fields, read_answer, render

pytestmark = [pytest.mark.anyio, pytest.mark.process]
CALLERS = 12
PAUSE_S = 0.1
WORK_S = 2.0
"""Work of the plain service for one request; the grace is 8 s."""
STOP_LIMIT_S = 9.0


@dataclass
class Calls:
    """Attempts and how each ended.

    Parameters
    ----------
    cut : list of str
        Attempts whose connection ended without a whole answer.
    """

    answered: list[str] = field(default_factory=list)
    cut: list[str] = field(default_factory=list)
    numbers: itertools.count = field(default_factory=itertools.count)


async def keep_calling(site: Site, target: str, calls: Calls) -> None:
    """Send one request after the other to the first VM until it takes no more.

    A connection is used until it ends, then a new one is opened.
    """
    host, port = site.vms[0].address.split(":")
    while True:
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return
        try:
            await use_connection(reader, writer, target, calls)
        finally:
            writer.close()


async def use_connection(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    target: str,
    calls: Calls,
) -> None:
    """Send requests on a connection until it ends or its last answer says so."""
    while True:
        attempt = f"a{next(calls.numbers)}"
        headers = draft_fields(attempt) if target == "/note/x" else fields(attempt)
        writer.write(render("POST", target, headers, b"body"))
        try:
            answer = await read_answer(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            calls.cut.append(attempt)
            return
        (calls.answered if answer.complete else calls.cut).append(attempt)
        if answer.headers.get("connection") == "close" or not answer.complete:
            return
        await asyncio.sleep(PAUSE_S)


# Guards against requests that come late in the grace of a planned stop, are passed on,
# and are cut at its end without an answer.
@pytest.mark.parametrize("site", [1, 3], indirect=True)
@pytest.mark.parametrize("target", ["/look/x", "/book/x", "/note/x"])
async def test_planned_stop_cuts_no_request_that_was_passed_on(
    site: Site, target: str
) -> None:
    for upstream in site.upstreams.values():
        if upstream.id.startswith("desk"):
            upstream.work_s = WORK_S
        elif upstream.id.startswith("engine"):
            upstream.work_s = WORK_S / upstream.events
    calls = Calls()
    callers = [
        asyncio.create_task(keep_calling(site, target, calls)) for _ in range(CALLERS)
    ]
    await asyncio.sleep(1.0)
    vm = site.vms[0]
    vm.process.send_signal(signal.SIGTERM)
    async with asyncio.timeout(STOP_LIMIT_S + WORK_S):
        await asyncio.gather(*callers)
    await asyncio.to_thread(vm.process.wait, STOP_LIMIT_S)
    ran = {attempt for upstream in site.upstreams.values() for attempt in upstream.ran}
    assert not ran.intersection(calls.cut)
    assert ran.intersection(calls.answered)
    assert vm.process.returncode == 0

"""Test cuminstile.platform as a program with what upstreams say of themselves."""

import asyncio
import itertools
import time

import pytest

from standins.gateway_upstream import GatewayUpstream

from .crash_site import headers_for
from .site import Answer, Site, call

pytestmark = [pytest.mark.anyio, pytest.mark.process]
VMS = 2
LOAD_S = 4.5
INTERVAL_S = 0.02
DRAIN_S = 2.0
CLOSED_S = 3.0
GRACE_S = 0.5
"""How long after a refusal more requests may still be on their way."""
MAX_SENDS_WHILE_CLOSED = 2
"""Requests that may reach a closed upstream from each VM."""
PATHS = [
    ("/look/x", "desk", "desk-1"),
    ("/book/x", "desk", "desk-1"),
    ("/note/x", "engines", "engine-1"),
    ("/note/x", "encode", "encode-1"),
]


@pytest.fixture
def vm_count() -> int:
    return VMS


async def load(site: Site, target: str) -> list[Answer]:
    """Send requests to both VMs for a while and return the answers."""
    tasks = []
    end = time.monotonic() + LOAD_S
    for number in itertools.count():
        if time.monotonic() > end:
            break
        headers = headers_for(target, f"a{number}")
        vm = site.vms[number % VMS]
        job = call(vm.address, "POST", target, headers, b"body %d" % number)
        tasks.append(asyncio.create_task(job))
        await asyncio.sleep(INTERVAL_S)
    return list(await asyncio.gather(*tasks))


async def count_from(upstream: GatewayUpstream, begin_s: float, end_s: float) -> int:
    """Return how many requests arrive in a span of time from now on."""
    await asyncio.sleep(begin_s)
    before = len(upstream.received)
    await asyncio.sleep(end_s - begin_s)
    return len(upstream.received) - before


# Guards against requests for an upstream that said in an answer that it leaves.
@pytest.mark.parametrize(("target", "service", "name"), PATHS)
async def test_upstream_that_says_it_leaves_gets_nothing_more(
    site: Site, target: str, service: str, name: str
) -> None:
    await site.add_upstream(f"{service}-extra", service)
    await asyncio.sleep(1.5)
    upstream = site.upstreams[name]
    upstream.leaving = True
    late = asyncio.create_task(count_from(upstream, DRAIN_S + 0.5, LOAD_S))
    answers = await load(site, target)
    assert await late == 0
    served = [answer for answer in answers if answer.status == 200]
    assert len(served) >= 0.98 * len(answers)


# Guards against requests for an upstream that refused one and stated for how long.
@pytest.mark.parametrize(("target", "service", "name"), PATHS)
async def test_closed_upstream_gets_nothing_until_its_time_has_passed(
    site: Site, target: str, service: str, name: str
) -> None:
    await site.add_upstream(f"{service}-extra", service)
    await asyncio.sleep(1.5)
    upstream = site.upstreams[name]
    upstream.closed_s = CLOSED_S
    first = len(upstream.received)
    running = asyncio.create_task(load(site, target))
    while len(upstream.received) == first:
        await asyncio.sleep(0.005)
    early = await count_from(upstream, GRACE_S, CLOSED_S - 0.2)
    answers = await running
    assert early <= MAX_SENDS_WHILE_CLOSED * VMS
    served = [answer for answer in answers if answer.status == 200]
    assert len(served) >= 0.98 * len(answers)


async def test_refusal_says_when_the_first_closed_upstream_opens(site: Site) -> None:
    for name in ("desk-1", "desk-2"):
        site.upstreams[name].closed_s = CLOSED_S
    for number in range(2):
        headers = headers_for("/look/x", f"a{number}")
        answer = await call(site.vms[0].address, "POST", "/look/x", headers, b"x")
        assert answer.status == 503
        retry_s = float(answer.headers["retry-after"])
        assert CLOSED_S - 0.5 < retry_s <= CLOSED_S
    assert len(site.upstreams["desk-1"].received) == 1

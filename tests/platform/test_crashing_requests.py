"""Test cuminstile.platform as a program with a request that crashes upstreams."""

import asyncio

import pytest

from .crash_site import CrashSite, served_share
from .site import Answer

pytestmark = [pytest.mark.anyio, pytest.mark.process]
UPSTREAMS = 6
SENDS = 22
INTERVAL_S = 0.4
CONTACT_S = 3.0
"""How long after the third crash the VMs may still send the request."""
MAX_LATE_SENDS = 3
MAX_CRASHES = 6
"""Three, and the three more that the users allow."""
SERVED_SHARE = 0.9
"""Share of the other requests to serve, with up to three of six upstreams away."""


async def send_both(
    crash_site: CrashSite, target: str, service: str
) -> tuple[list[Answer | None], float]:
    """Send the crashing request among others.

    Returns its answers, and the share of the others that were served.
    """
    await crash_site.fill(service, UPSTREAMS)
    await asyncio.sleep(2.0)
    done = asyncio.Event()
    others = asyncio.create_task(crash_site.send_others(target, done, 0.05))
    answers = await crash_site.send_poison(target, SENDS, INTERVAL_S)
    done.set()
    return answers, served_share(await others)


# Guards against sending a request on and on that crashes each upstream that runs it.
@pytest.mark.parametrize("crash_site", [1, 3], indirect=True)
@pytest.mark.parametrize(
    ("target", "service"),
    [("/look/x", "desk"), ("/book/x", "desk"), ("/note/x", "engines")],
)
async def test_request_that_crashes_upstreams_is_stopped(
    crash_site: CrashSite, target: str, service: str
) -> None:
    answers, served = await send_both(crash_site, target, service)
    assert crash_site.late_sends(CONTACT_S) <= MAX_LATE_SENDS
    assert len(crash_site.crashes) <= MAX_CRASHES
    assert served >= SERVED_SHARE
    assert {answer and answer.status for answer in answers} <= {500, 502, 503}


# Guards against running work items on and on that crash the upstreams of their stage.
@pytest.mark.parametrize("crash_site", [1, 3], indirect=True)
async def test_work_items_that_crash_upstreams_of_a_stage_are_stopped(
    crash_site: CrashSite,
) -> None:
    answers, served = await send_both(crash_site, "/note/x", "encode")
    assert crash_site.late_sends(CONTACT_S) <= MAX_LATE_SENDS
    assert 1 <= len(crash_site.crashes) <= MAX_CRASHES
    assert served >= SERVED_SHARE
    assert answers[-1] is not None
    assert answers[-1].status == 500


# Guards against resuming a stream on and on that crashes each upstream midway.
@pytest.mark.parametrize("crash_site", [1, 3], indirect=True)
@pytest.mark.parametrize("target", ["/note/x", "/draft/x"])
async def test_stream_that_crashes_upstreams_midway_is_stopped(
    crash_site: CrashSite, target: str
) -> None:
    crash_site.crash_after_events = 1
    answers, served = await send_both(crash_site, target, "engines")
    assert crash_site.late_sends(CONTACT_S) <= MAX_LATE_SENDS
    assert 1 <= len(crash_site.crashes) <= MAX_CRASHES
    assert served >= SERVED_SHARE
    assert answers[0] is not None
    assert not answers[0].complete
    assert answers[-1] is not None
    assert answers[-1].status == 500

"""Test cuminstile.platform as a program that ends while requests wait inside it."""

import asyncio
import signal
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from standins.keyed_store import OPERATOR_TOPIC, SERVER_TOPIC

from .site import (
    Answer,
    RunningVm,
    Site,
    draft_fields,
    fields,
    make_batch_spec,
    make_manifest,
    read_answer,
    render,
    running_site,
)

pytestmark = [pytest.mark.anyio, pytest.mark.process]
VMS = 3
GRACE_S = 5.0
"""From SIGTERM until the process is killed."""
SENT_S = (-1.0, -0.4, 0.2, 0.8, 1.4, 2.0, 2.5)
"""When requests are sent, from the SIGTERM of their VM on; idle connections are open so
long."""
GAP_S = 1.0
"""Between the SIGTERM of two VMs."""
STAGE_S = 3.0
"""Work of a stage; a request needs two of them one after the other."""
DEADLINE_MS = 20_000
PIECES_S = (0.0, 0.6)
"""When the chunks of a body are sent, from the head on."""
LATE_PIECES_S = (0.0, 1.0, 3.5)
NOT_RUN = frozenset({408, 429, 503})
"""Answers that promise that the request has not run and never will."""
UNKNOWN = frozenset({502, 504})
"""Answers that promise nothing."""


@dataclass
class Ends:
    """How the requests ended.

    Parameters
    ----------
    answered : dict of str to Answer
        The answers by attempt, whole ones and others.
    cut : list of str
        Attempts whose connection ended without an answer.
    """

    answered: dict[str, Answer] = field(default_factory=dict)
    cut: list[str] = field(default_factory=list)

    def broken(self) -> list[str]:
        """Return the attempts without a whole answer, with how they ended."""
        torn = [a for a, answer in self.answered.items() if not answer.complete]
        return [f"{a}: cut" for a in self.cut] + [f"{a}: torn" for a in torn]

    def untrue(self, ran: set[str]) -> list[str]:
        """Return the attempts whose answer does not fit what ran."""
        wrong = []
        for attempt, answer in self.answered.items():
            if answer.status in NOT_RUN and attempt in ran:
                wrong.append(f"{attempt}: {answer.status}, though it ran")
            if answer.status not in {200} | NOT_RUN | UNKNOWN:
                wrong.append(f"{attempt}: {answer.status}")
        return wrong


@pytest.fixture
async def slow_site(tmp_path: Path) -> AsyncIterator[Site]:
    """Run three VMs whose requests have time enough, and whose stages are slow."""
    async with running_site(tmp_path, VMS, GRACE_S) as site:
        manifest = make_manifest(2)
        for route in manifest["routes"]:
            route |= {"timeout_ms": DEADLINE_MS, "target_latency_ms": DEADLINE_MS}
        for service in manifest["services"]:
            if "pieces" in service:
                service["pieces"] = make_batch_spec() | {"call_ms": STAGE_S * 1000.0}
        for name in ("encode-1", "rank-1"):
            site.upstreams[name].work_s = STAGE_S
        await site.store.put_json(OPERATOR_TOPIC, "config", manifest)
        async with asyncio.timeout(5.0):
            while not all(map(has_new_manifest, site.vms)):
                await asyncio.sleep(0.1)
        yield site


def has_new_manifest(vm: RunningVm) -> bool:
    """Return whether a VM uses the second version of the manifest."""
    return any(event["version"] == 2 for event in vm.events("manifest_in_force"))


async def find_scheduler(site: Site) -> RunningVm:
    """Return the VM that schedules the stages of all; a request to each VM shows it."""
    for vm in site.vms:
        _, writer = await open_connection(vm)
        writer.write(render("POST", "/draft/x", headers_of("/draft/x", "first"), b"b"))
        async with asyncio.timeout(2.0):
            while not vm.events("chain_judged"):
                await asyncio.sleep(0.1)
        writer.close()
    (scheduler,) = [
        vm for vm in site.vms if vm.events("chain_judged")[0]["scheduler"] == "here"
    ]
    return scheduler


async def open_connection(
    vm: RunningVm,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, port = vm.address.split(":")
    return await asyncio.open_connection(host, int(port))


def headers_of(target: str, attempt: str) -> dict[str, str]:
    """Return the headers of a request that has time enough."""
    make = draft_fields if target == "/draft/x" else fields
    return make(attempt, **{"Deadline-Ms": str(DEADLINE_MS)})


async def send(
    vm: RunningVm,
    target: str,
    attempt: str,
    at_s: float,
    pieces_s: tuple[float, ...],
    ends: Ends,
) -> None:
    """Send a request on a connection that was used before, and note how it ends.

    Parameters
    ----------
    at_s : float
        When the head is sent, by the loop's time.
    pieces_s : tuple of float
        When the chunks of the body are sent, from then on; empty for a body at once.
    """
    reader, writer = await open_connection(vm)
    first = render("GET", "/look/first", fields(f"first-{attempt}"), b"")
    writer.write(first)
    assert (await read_answer(reader)).complete
    await asyncio.sleep(at_s - asyncio.get_running_loop().time())
    headers = headers_of(target, attempt)
    sending = asyncio.create_task(write_body(writer, target, headers, pieces_s))
    try:
        ends.answered[attempt] = await read_answer(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        ends.cut.append(attempt)
    finally:
        sending.cancel()
        writer.close()


async def write_body(
    writer: asyncio.StreamWriter,
    target: str,
    headers: dict[str, str],
    pieces_s: tuple[float, ...],
) -> None:
    """Write a request with its body at once or in chunks."""
    if not pieces_s:
        writer.write(render("POST", target, headers, b"body"))
        return
    chunked = headers | {"Transfer-Encoding": "chunked"}
    writer.write(render("POST", target, chunked, b""))
    began_s = 0.0
    for at_s in pieces_s:
        await asyncio.sleep(at_s - began_s)
        began_s = at_s
        writer.write(b"4\r\nbody\r\n")
    writer.write(b"0\r\n\r\n")


async def stop_while_requests_wait(
    stops: list[RunningVm],
    vm: RunningVm,
    target: str,
    bodies: tuple[tuple[float, ...], ...],
) -> Ends:
    """Send SIGTERM to VMs in turn, and requests to one of them around its own."""
    loop = asyncio.get_running_loop()
    began_s = loop.time() + 1.5
    own_s = began_s + GAP_S * (stops.index(vm) if vm in stops else 0)
    ends = Ends()
    async with asyncio.timeout(1.5 + GAP_S * VMS + 4 * GRACE_S):
        async with asyncio.TaskGroup() as tasks:
            for sent_s in SENT_S:
                for number, pieces_s in enumerate(bodies):
                    attempt = f"at-{sent_s:g}-{number}"
                    at_s = own_s + sent_s
                    job = send(vm, target, attempt, at_s, pieces_s, ends)
                    tasks.create_task(job)
            for number, stopped in enumerate(stops):
                at_s = began_s + GAP_S * number
                loop.call_at(at_s, stopped.process.send_signal, signal.SIGTERM)
    return ends


def check_ends(site: Site, ends: Ends, stops: list[RunningVm]) -> None:
    """Check that each request got one whole and true answer, and that VMs ended."""
    ran = {attempt for upstream in site.upstreams.values() for attempt in upstream.ran}
    assert not ends.broken()
    assert not ends.untrue(ran)
    for vm in stops:
        assert vm.process.wait(GRACE_S) == 0


# Guards against requests that wait for their stages as the process of their VM ends,
# and are cut without an answer.
@pytest.mark.parametrize(
    "order",
    ["own", "scheduler", "scheduler own", "own scheduler", "scheduler other own"],
)
async def test_requests_that_wait_for_stages_are_answered(
    slow_site: Site, order: str
) -> None:
    scheduler = await find_scheduler(slow_site)
    own, other = [vm for vm in slow_site.vms if vm is not scheduler]
    named = {"own": own, "scheduler": scheduler, "other": other}
    stops = [named[name] for name in order.split()]
    ends = await stop_while_requests_wait(stops, own, "/draft/x", ((), PIECES_S))
    check_ends(slow_site, ends, stops)


# Guards against the end of a process while bodies of requests still come: nothing else
# is in progress there.
@pytest.mark.parametrize("target", ["/look/x", "/book/x", "/draft/x"])
async def test_requests_whose_body_comes_late_are_answered(
    slow_site: Site, target: str
) -> None:
    own = slow_site.vms[1]
    for name in ("encode-1", "rank-1"):
        slow_site.upstreams[name].work_s = 0.005
    ends = await stop_while_requests_wait([own], own, target, (LATE_PIECES_S,))
    check_ends(slow_site, ends, [own])


# Guards against requests that are cut at the end of their VM as no upstream is there.
@pytest.mark.parametrize("target", ["/look/x", "/book/x"])
async def test_requests_without_free_upstream_are_answered(
    slow_site: Site, target: str
) -> None:
    own = slow_site.vms[1]
    loop = asyncio.get_running_loop()
    for name in ("desk-1", "desk-2"):
        remove = slow_site.store.put(SERVER_TOPIC, name, None)
        loop.call_later(0.3, asyncio.ensure_future, remove)
    ends = await stop_while_requests_wait([own], own, target, ((), PIECES_S))
    check_ends(slow_site, ends, [own])

"""Test cuminstile.platform as a program that gets signals around its planned stop."""

import asyncio
import json
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from .site import RunningVm, Site, call, draft_fields, fields

pytestmark = [pytest.mark.anyio, pytest.mark.process]
GRACE_S = 8.0
EVENTS, EVENT_S = 40, 0.05
"""Work of the engine for one stream."""
SHORT_GRACE_S = 2
"""Less than the time that a stream may take."""
LATER_S = 0.2


async def until(condition, timeout_s: float = 5.0) -> None:
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.02)


async def begin_stream(site: Site, events: int) -> asyncio.Task:
    """Begin a stream of some events at the first VM."""
    engine = site.upstreams["engine-1"]
    engine.events, engine.work_s = events, EVENT_S
    headers = draft_fields("a1")
    request = call(site.vms[0].address, "POST", "/draft/x", headers, b"p")
    task = asyncio.create_task(request)
    await until(lambda: engine.ran == ["a1"])
    return task


async def end_of(vm: RunningVm, limit_s: float = GRACE_S) -> int:
    """Return the exit status of a VM that ends in time."""
    return await asyncio.to_thread(vm.process.wait, limit_s)


async def set_grace(vm: RunningVm, grace_s: int) -> None:
    """Change the time from SIGTERM to the forced end in the settings of a VM."""
    settings = json.loads(vm.settings_file.read_text())
    settings["bounds"]["grace_s"] = grace_s
    vm.settings_file.write_text(json.dumps(settings))
    vm.process.send_signal(signal.SIGHUP)
    await until(lambda: vm.events("settings_read_again"))


# Guards against a second signal that ends the process before its requests are whole.
@pytest.mark.parametrize("again", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])
async def test_signal_during_a_planned_stop_cuts_no_request(
    site: Site, again: signal.Signals
) -> None:
    stream = await begin_stream(site, EVENTS)
    vm = site.vms[0]
    vm.process.send_signal(signal.SIGTERM)
    for _ in range(3):
        await asyncio.sleep(LATER_S)
        vm.process.send_signal(again)
    assert (await stream).complete
    assert await end_of(vm) == 0
    assert len(vm.events("vm_leaving")) == 1


# Guards against settings that shorten a stop which has begun, and cut its requests.
async def test_settings_read_during_a_planned_stop_do_not_shorten_it(
    site: Site,
) -> None:
    stream = await begin_stream(site, EVENTS)
    vm = site.vms[0]
    vm.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(LATER_S)
    await set_grace(vm, 1)
    assert (await stream).complete
    assert await end_of(vm) == 0


@pytest.fixture
async def without_manifest(tmp_path: Path) -> AsyncIterator[Site]:
    """Run a VM whose store refuses all calls, so that it has no manifest."""
    site = Site(tmp_path)
    try:
        await site.start(vms=0)
        await site.store.refuse_calls()
        vm = site.start_vm(0)
        await until(lambda: vm.events("vm_started"), 10.0)
        yield site
    finally:
        await site.stop()


# Guards against a VM without a manifest that doesn't end, or leaves callers waiting.
async def test_planned_stop_before_the_first_manifest_ends_in_order(
    without_manifest: Site,
) -> None:
    vm = without_manifest.vms[0]
    vm.process.send_signal(signal.SIGTERM)
    await until(lambda: vm.events("vm_leaving"))
    answer = await call(vm.address, "GET", "/look/x", fields("a1"))
    assert answer.status == 503
    assert await end_of(vm) == 0
    assert vm.events("vm_stopped")


# Guards against the last lines of a process, which are written after its last flush.
async def test_request_cut_at_the_end_is_in_the_log(site: Site) -> None:
    vm = site.vms[0]
    await set_grace(vm, SHORT_GRACE_S)
    stream = await begin_stream(site, 1_000)
    vm.process.send_signal(signal.SIGTERM)
    assert await end_of(vm) == 0
    assert not (await stream).complete
    ends = [*vm.events("request_cancelled"), *vm.events("stream_broken")]
    assert [line["request"] for line in ends] == ["a1"]

"""Test what VMs know of versions after restarts."""

from __future__ import annotations

import asyncio
import signal

import pytest

from standins.keyed_store import OPERATOR_TOPIC

from .site import RunningVm, Site, call, fields

pytestmark = [pytest.mark.anyio, pytest.mark.process]
VMS = 2
IN_FORCE_S = 2.0
REQUESTS = 8


@pytest.fixture
def vm_count() -> int:
    return VMS


async def order(site: Site, target: str) -> None:
    """Order to move the traffic of a service to a version, and wait."""
    value = {"service": "desk", "target": target, "duration_s": 12}
    await site.store.put_json(OPERATOR_TOPIC, "rollout/desk", value)
    await asyncio.sleep(IN_FORCE_S)


async def order_second_version(site: Site) -> None:
    """Order to move the traffic to a version that one of the upstreams has then."""
    await order(site, "v2")
    await site.register("desk-2", "desk", version="v2", seq=7)


async def ended(vm: RunningVm, how: signal.Signals) -> None:
    """Stop a VM and wait for its end."""
    vm.process.send_signal(how)
    await asyncio.to_thread(vm.process.wait)


async def start(site: Site, number: int) -> None:
    """Start a VM in the place of one that ended, and wait until it is ready."""
    site.start_vm(number)
    site.vms[number] = site.vms.pop()
    await site.wait_ready(site.vms[number])


async def restart(site: Site, which: str, how: signal.Signals) -> None:
    """Restart one VM, each in turn, or all at once; each is asked once it is ready."""
    numbers = range(1) if which == "one" else range(VMS)
    if which == "all":
        for number in numbers:
            await ended(site.vms[number], how)
    for number in numbers:
        if which != "all":
            await ended(site.vms[number], how)
        await start(site, number)
        await ask(site, number)


async def ask(site: Site, number: int) -> None:
    """Send a VM some requests; all of them must be served."""
    for request in range(REQUESTS):
        vm = site.vms[number]
        answer = await call(vm.address, "GET", "/look/x", fields(f"{number}{request}"))
        assert answer.status == 200


# Guards against a restart after which a VM sends to a version that an earlier order
# held back, or to all versions but the one in service.
@pytest.mark.parametrize("how", [signal.SIGTERM, signal.SIGKILL], ids=["term", "kill"])
@pytest.mark.parametrize("which", ["one", "each", "all"])
@pytest.mark.parametrize("second", ["v3", "v1"], ids=["second-order", "order-back"])
async def test_version_that_was_held_back_gets_nothing_after_a_restart(
    site: Site, second: str, which: str, how: signal.Signals
) -> None:
    await order_second_version(site)
    await order(site, second)
    await ask(site, 0)
    await restart(site, which, how)
    assert site.upstreams["desk-2"].ran == []
    assert len(site.upstreams["desk-1"].ran) >= REQUESTS


async def test_marks_that_the_store_lost_are_written_again(site: Site) -> None:
    """Guards against a return of the store before all VMs restart at once."""
    site.store.era = 1
    before = {"keyed.versions": 0}
    await order_second_version(site)
    await order(site, "v3")
    await site.store.return_from_copy(before)
    await asyncio.sleep(IN_FORCE_S)
    await restart(site, "all", signal.SIGKILL)
    assert site.upstreams["desk-2"].ran == []


async def test_vm_learns_from_others_while_the_store_turns_it_away(site: Site) -> None:
    await order_second_version(site)
    await order(site, "v3")
    site.store.affected_hosts.add(site.store_host(1))
    site.store.status = 503
    await ended(site.vms[1], signal.SIGTERM)
    await start(site, 1)
    await ask(site, 1)
    assert site.upstreams["desk-2"].ran == []


async def test_order_while_no_vm_runs_does_not_set_the_version_before_free(
    site: Site,
) -> None:
    await order_second_version(site)
    await asyncio.sleep(IN_FORCE_S)
    for vm in site.vms:
        await ended(vm, signal.SIGTERM)
    value = {"service": "desk", "target": "v3", "duration_s": 12}
    await site.store.put_json(OPERATOR_TOPIC, "rollout/desk", value)
    for number in range(VMS):
        await start(site, number)
        await ask(site, number)
    assert site.upstreams["desk-2"].ran == []


async def test_vm_serves_in_the_end_without_what_is_known_of_versions(
    site: Site,
) -> None:
    """Guards against VMs that never get ready as one topic of the store is down."""
    await order_second_version(site)
    await asyncio.sleep(IN_FORCE_S)
    site.store.refused_topics.add("keyed.versions")
    await restart(site, "all", signal.SIGKILL)
    assert site.upstreams["desk-2"].ran == []
    site.store.refused_topics.clear()
    await asyncio.sleep(2 * IN_FORCE_S)
    assert any(vm.events("versions_stored") for vm in site.vms)

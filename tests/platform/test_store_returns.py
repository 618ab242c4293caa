"""Test a VM whose store comes back from an older copy."""

from __future__ import annotations

import asyncio

import pytest

from standins.keyed_store import OPERATOR_TOPIC, SERVER_TOPIC

from .site import KEY, Site, call, fields, make_manifest

pytestmark = [pytest.mark.anyio, pytest.mark.process]
IN_FORCE_S = 2.0
"""How soon after its confirmation a record of the operator is in force."""
SETTLED_S = 3.0
"""Time after a return within which the fleet goes by the store again."""
COUNTED_S = 2.0
OTHER_KEY = "another"


@pytest.fixture
def vm_count() -> int:
    return 2


def manifest(version: int, *keys: str) -> dict:
    """Return a manifest with some keys."""
    organisations = [{"name": "o", "api_keys": list(keys), "priority": 1}]
    return make_manifest(version, tenants=organisations)


async def publish(site: Site, version: int, *keys: str) -> None:
    """Publish a manifest."""
    await site.store.put_json(OPERATOR_TOPIC, "config", manifest(version, *keys))


def ends(site: Site) -> dict[str, int]:
    """Return where the topics of the store end."""
    return {name: len(topic.records) for name, topic in site.store.topics.items()}


async def statuses(site: Site, target: str = "/book/x") -> list[int]:
    """Return the status of a request with the first key at each VM."""
    answers = [
        await call(vm.address, "POST", target, fields(f"k{number}"), b"x")
        for number, vm in enumerate(site.vms)
    ]
    return [answer.status for answer in answers]


async def calls_of_store(site: Site) -> int:
    """Return how many calls reach the store in a while."""
    before = site.store.calls
    await asyncio.sleep(COUNTED_S)
    return site.store.calls - before


# Guards against VMs that keep a revoked key for good, or call without a pause, once the
# store came back from a copy.
@pytest.mark.parametrize("returns", [1, 2])
@pytest.mark.parametrize("overtaken", [False, True], ids=["behind", "overtaken"])
async def test_key_is_revoked_after_the_store_came_back(
    site: Site, returns: int, overtaken: bool
) -> None:
    """The key goes below the old end; if overtaken, no read is ever behind the end."""
    store = site.store
    store.era = 1
    await publish(site, 2, KEY, OTHER_KEY)
    await asyncio.sleep(IN_FORCE_S)
    calm = await calls_of_store(site)
    for number in range(returns):
        before = ends(site)
        for version in (3, 4, 5):
            await publish(site, 10 * number + version, KEY, OTHER_KEY)
            await asyncio.sleep(0.2)
        assert await statuses(site) == [200, 200]
        if overtaken and number == returns - 1:
            del store.topic(OPERATOR_TOPIC).records[before[OPERATOR_TOPIC] :]
            store.era += 1
            await publish(site, 10 * number + 6, OTHER_KEY)
            for filler in range(6):
                await store.put_json(OPERATOR_TOPIC, f"note/{filler}", {})
        else:
            await store.return_from_copy(before)
            await publish(site, 10 * number + 5, KEY, OTHER_KEY)
    if not overtaken:
        await asyncio.sleep(SETTLED_S)
        assert await calls_of_store(site) <= 2 * calm
        await publish(site, 99, OTHER_KEY)
    await asyncio.sleep(IN_FORCE_S)
    assert await statuses(site) == [401, 401]
    assert all(vm.events("store_returned") for vm in site.vms)


async def test_what_ended_does_not_come_back_with_an_older_copy(site: Site) -> None:
    """Guards against sends to an upstream that left, or to a data centre taken out."""
    site.store.era = 1
    await site.register("desk-1", "desk", seq=2)
    await asyncio.sleep(IN_FORCE_S)
    before = ends(site)
    await site.register("desk-1", "desk", seq=3, state="draining")
    await asyncio.sleep(1.0)
    await site.store.put(SERVER_TOPIC, "desk-1", None)
    await site.store.put_json(OPERATOR_TOPIC, "evacuate/b", {})
    await site.register("desk-2", "desk", seq=2, zone="a")
    await asyncio.sleep(IN_FORCE_S)
    site.upstreams["desk-1"].ran.clear()
    await site.store.return_from_copy(before)
    await site.register("desk-2", "desk", seq=3, zone="a")
    for _ in range(8):
        assert await statuses(site) == [200, 200]
        await asyncio.sleep(0.2)
    assert site.upstreams["desk-1"].ran == []
    taken_out = site.vms[0].events("data_centres_taken_out")
    assert [event["data_centres"] for event in taken_out] == ["b"]


async def test_vm_that_starts_while_the_others_know_the_era_before(site: Site) -> None:
    """Guards against a VM that takes an old offset over and reads on from there."""
    site.store.era = 1
    before = ends(site)
    for version in (2, 3, 4):
        await publish(site, version, KEY, OTHER_KEY)
    await asyncio.sleep(IN_FORCE_S)
    for number in range(2):
        site.store.affected_hosts.add(site.store_host(number))
    site.store.status = 503
    await site.store.return_from_copy(before)
    await publish(site, 4, KEY, OTHER_KEY)
    await site.wait_ready(site.start_vm(2))
    await publish(site, 5, OTHER_KEY)
    await asyncio.sleep(IN_FORCE_S)
    assert await statuses(site) == [401, 401, 401]


async def test_evacuation_that_is_not_written_again_ends(site: Site) -> None:
    """Guards against one that holds for as long as a call waits for a record."""
    site.store.era = 1
    before = ends(site)
    await site.store.put_json(OPERATOR_TOPIC, "evacuate/b", {})
    await asyncio.sleep(IN_FORCE_S)
    await site.store.return_from_copy(before)
    await asyncio.sleep(1.0)
    taken_out = [vm.events("data_centres_taken_out") for vm in site.vms]
    assert [[e["data_centres"] for e in events] for events in taken_out] == [["b"]] * 2
    await asyncio.sleep(2.0)
    taken_out = [vm.events("data_centres_taken_out") for vm in site.vms]
    assert [[e["data_centres"] for e in events] for events in taken_out] == [
        ["b", ""]
    ] * 2

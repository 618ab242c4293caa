"""Test cuminstile.platform as a program with keys that are taken away."""

import asyncio
import signal
from typing import Any

import pytest

from standins.keyed_store import OPERATOR_TOPIC

from .site import KEY, Site, call, fields, make_manifest, make_route

pytestmark = [pytest.mark.anyio, pytest.mark.process]
VMS = 2
IN_FORCE_S = 2.0
"""How soon after its confirmation a manifest is in force."""
KEYS = [KEY, "never-held", None]


@pytest.fixture
def vm_count() -> int:
    return VMS


async def publish(site: Site, version: int, **changes: Any) -> None:
    """Publish a manifest with a public route, and wait until it is in force."""
    manifest = make_manifest(version)
    manifest["routes"].append(make_route("open", "safe", "desk", public=True))
    manifest |= changes
    await site.store.put_json(OPERATOR_TOPIC, "config", manifest)
    await asyncio.sleep(IN_FORCE_S)


async def statuses(site: Site, target: str) -> list[list[int]]:
    """Return the status of a request with each key at each VM."""
    found = []
    for number, vm in enumerate(site.vms):
        row = []
        for key in KEYS:
            headers = fields(f"k{number}")
            del headers["Authorization"]
            if key is not None:
                headers["Authorization"] = f"Bearer {key}"
            answer = await call(vm.address, "POST", target, headers, b"x")
            row.append(answer.status)
        found.append(row)
    return found


def ran(site: Site) -> int:
    """Return how many requests ran."""
    return sum(len(upstream.ran) for upstream in site.upstreams.values())


# Guards against running requests with dropped, unknown and missing keys once no key is
# left, at VMs that know a version before and at one that has just started.
@pytest.mark.parametrize(
    "tenants",
    [
        pytest.param([], id="no-organisation"),
        pytest.param([{"name": "o", "api_keys": []}], id="one-without-keys"),
        pytest.param(
            [{"name": name, "api_keys": []} for name in ("o", "p")],
            id="two-without-keys",
        ),
    ],
)
async def test_no_request_runs_once_the_last_key_is_gone(
    site: Site, tenants: list
) -> None:
    await publish(site, 2)
    assert await statuses(site, "/book/x") == [[200, 401, 401]] * VMS
    before = ran(site)
    await publish(site, 3, tenants=tenants)
    assert await statuses(site, "/book/x") == [[401, 401, 401]] * VMS
    await publish(site, 7, tenants=tenants)
    started = site.start_vm(VMS)
    await site.wait_ready(started)
    assert await statuses(site, "/book/x") == [[401, 401, 401]] * (VMS + 1)
    assert ran(site) == before
    assert await statuses(site, "/open/x") == [[200, 200, 200]] * (VMS + 1)
    await publish(site, 9)
    assert await statuses(site, "/book/x") == [[200, 401, 401]] * (VMS + 1)


def held_by(*keys: object) -> list[dict[str, Any]]:
    """Return the organisations of a manifest, one with some keys."""
    return [{"name": "o", "api_keys": list(keys)}]


# Guards against keys that stay in force, and routes that open, as a rule vanishes.
@pytest.mark.parametrize(
    ("tenants", "expected"),
    [
        pytest.param(None, [401, 401, 401], id="null"),
        pytest.param([{"name": "o"}], [401, 401, 401], id="keys-absent"),
        pytest.param(
            [{"name": "o", "api_keys": None}], [401, 401, 401], id="keys-null"
        ),
        pytest.param(held_by("another"), [401, 401, 401], id="another-key"),
        pytest.param(
            [*held_by("another"), {"name": "p", "api_keys": [KEY]}],
            [200, 401, 401],
            id="key-moved",
        ),
        pytest.param(held_by("", KEY), [200, 401, 401], id="empty-key-refused"),
        pytest.param("o", [200, 401, 401], id="unknown-form-refused"),
    ],
)
async def test_rule_that_vanishes_closes_and_broken_record_changes_nothing(
    site: Site, tenants: object, expected: list[int]
) -> None:
    await publish(site, 2)
    assert await statuses(site, "/book/x") == [[200, 401, 401]] * VMS
    await publish(site, 3, tenants=tenants)
    assert await statuses(site, "/book/x") == [expected] * VMS
    assert await statuses(site, "/open/x") == [[200, 200, 200]] * VMS


async def test_keys_taken_away_one_by_one_come_back(site: Site) -> None:
    names = ("o", "p", "q")
    held = {name: [f"key-of-{name}"] for name in names}
    held["o"].append(KEY)
    for version in range(2, 5):
        held[names[version - 2]] = []
        tenants = [{"name": name, "api_keys": held[name]} for name in names]
        await publish(site, version, tenants=tenants)
        assert await statuses(site, "/book/x") == [[401, 401, 401]] * VMS
    held["q"] = [KEY]
    tenants = [{"name": name, "api_keys": held[name]} for name in names]
    await publish(site, 5, tenants=tenants)
    assert await statuses(site, "/book/x") == [[200, 401, 401]] * VMS


async def test_vm_that_was_frozen_knows_no_key_that_went_meanwhile(site: Site) -> None:
    frozen = site.vms[1]
    frozen.process.send_signal(signal.SIGSTOP)
    await publish(site, 2, tenants=[])
    frozen.process.send_signal(signal.SIGCONT)
    await asyncio.sleep(IN_FORCE_S)
    assert await statuses(site, "/book/x") == [[401, 401, 401]] * VMS


async def test_vm_turned_away_by_the_store_knows_no_key_that_went(site: Site) -> None:
    site.store.affected_hosts = {site.store_host(1)}
    site.store.status = 503
    await publish(site, 2, tenants=[])
    assert await statuses(site, "/book/x") == [[401, 401, 401]] * VMS


async def test_older_version_after_a_newer_one_opens_nothing(site: Site) -> None:
    await publish(site, 7, tenants=[])
    await publish(site, 6)
    assert await statuses(site, "/book/x") == [[401, 401, 401]] * VMS


async def test_route_made_public_and_back_asks_for_a_key_again(site: Site) -> None:
    public = [make_route("book", "unsafe", "desk", public=True)]
    await publish(site, 2, routes=public)
    assert await statuses(site, "/book/x") == [[200, 200, 200]] * VMS
    await publish(site, 3)
    assert await statuses(site, "/book/x") == [[200, 401, 401]] * VMS

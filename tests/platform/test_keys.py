"""Test cuminstile.platform as a program with keys that are taken away."""

import asyncio
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

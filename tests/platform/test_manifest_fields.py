"""Test cuminstile.platform.records: absent, empty and mistyped fields of manifests."""

import copy
from typing import Any

import orjson
import pytest

from cuminstile.gateway.model import Manifest, ScalingSpec
from cuminstile.gateway.routing import find_organisation, needs_key
from cuminstile.platform.records import InvalidRecordError, decode_manifest

from .site import KEY, make_manifest

ABSENT = object()
ODD_VALUES = [None, [], {}, "", "x", 0, 1.5, True, [None], ["x"], [{}]]


def decode(manifest: dict[str, Any]) -> Manifest | None:
    """Return a manifest, None if it is refused."""
    try:
        return decode_manifest(orjson.dumps(manifest))
    except InvalidRecordError:
        return None


def with_tenants(value: Any) -> dict[str, Any]:
    manifest = make_manifest()
    manifest["tenants"] = value
    return manifest


def tenant(**changes: Any) -> dict[str, Any]:
    return {"name": "o", "api_keys": ["k"], "priority": 1, **changes}


def paths_of(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the paths of all fields of a record, lists and objects included."""
    found = [path] if path else []
    if isinstance(value, dict):
        for name, one in value.items():
            found += paths_of(one, (*path, name))
    elif isinstance(value, list):
        for number, one in enumerate(value):
            found += paths_of(one, (*path, number))
    return found


def changed(path: tuple[Any, ...], value: Any) -> dict[str, Any]:
    """Return a manifest with one field set or left out."""
    manifest = copy.deepcopy(make_manifest())
    parent: Any = manifest
    for step in path[:-1]:
        parent = parent[step]
    if value is ABSENT:
        del parent[path[-1]]
    else:
        parent[path[-1]] = value
    return manifest


# Guards against opening all routes as the last key is taken away.
@pytest.mark.parametrize(
    "tenants",
    [
        [],
        [tenant(api_keys=[])],
        [tenant(api_keys=[]), tenant(name="p", api_keys=[])],
        None,
        [tenant(api_keys=None)],
        [{"name": "o"}],
    ],
)
def test_manifest_without_any_key_lets_nobody_through(tenants: list | None) -> None:
    manifest = decode(with_tenants(tenants))
    assert manifest is not None
    assert all(needs_key(manifest, route) for route in manifest.routes)
    assert find_organisation(manifest, KEY) is None
    assert find_organisation(manifest, "") is None


def test_bounds_of_the_number_of_upstreams_are_read_where_there_are_any() -> None:
    services = decode_manifest(orjson.dumps(make_manifest())).services
    assert services["engines"].scaling == ScalingSpec(1, 4, 8_000.0)
    assert services["desk"].scaling is None


@pytest.mark.parametrize(
    "bounds",
    [
        {"min": 5, "max": 4, "boot_s": 8.0},
        {"min": -1, "max": 4, "boot_s": 8.0},
        {"min": 1, "max": 4, "boot_s": -1.0},
        {"min": 1, "max": 4, "boot_s": 1e308},
        {"min": 1.5, "max": 4, "boot_s": 8.0},
        {"min": 1, "boot_s": 8.0},
        [1, 4],
    ],
    ids=str,
)
def test_bounds_that_no_number_can_keep_are_refused(bounds: Any) -> None:
    assert decode(changed(("services", 1, "autoscale"), bounds)) is None


def test_manifest_without_tenants_asks_for_no_key() -> None:
    manifest = make_manifest()
    del manifest["tenants"]
    decoded = decode(manifest)
    assert decoded is not None
    assert not any(needs_key(decoded, route) for route in decoded.routes)


@pytest.mark.parametrize(
    "tenants",
    [
        "",
        {},
        0,
        ["x"],
        [{}],
        [tenant(api_keys="abc")],
        [tenant(api_keys=[""])],
        [tenant(api_keys=[1])],
        [tenant(name="")],
        [tenant(name="a\r\nTenant: b")],
        [tenant(priority="1")],
    ],
)
def test_mistyped_tenants_are_refused(tenants: Any) -> None:
    assert decode(with_tenants(tenants)) is None


# Guards against a value of another type that opens a route, or fails with the first
# request instead of being refused.
@pytest.mark.parametrize("path", paths_of(make_manifest()), ids=str)
def test_odd_field_is_refused_or_opens_nothing(path: tuple[Any, ...]) -> None:
    for value in [ABSENT, *ODD_VALUES]:
        manifest = decode(changed(path, value))
        if manifest is None:
            continue
        if path[0] == "tenants" and value is ABSENT and len(path) == 1:
            continue
        opened = [route for route in manifest.routes if not needs_key(manifest, route)]
        allowed = path[-1] == "public" and value is True
        assert opened == [] or allowed, (path, value)
        for organisation in (manifest.organisations or {}).values():
            assert isinstance(organisation.name, str)
            assert organisation.priority is None or isinstance(
                organisation.priority, int
            )
        assert find_organisation(manifest, "") is None

"""Test cuminstile.platform.settings."""

from pathlib import Path
from typing import Any

import orjson
import pytest

from cuminstile.clock import Clock
from cuminstile.exceptions import CuminstileError, ErrorCode
from cuminstile.gateway.routing import needs_key
from cuminstile.platform.program import make_gateway
from cuminstile.platform.records import decode_manifest
from cuminstile.platform.settings import decode_settings

from .site import make_manifest

PATH = Path("settings.json")


def fields(**changes: Any) -> dict[str, Any]:
    """Return the platform's settings of one VM."""
    return {
        "node": "front-a-1",
        "ip": "10.1.0.41",
        "zone": "a",
        "listen": {"front": "10.1.0.41:8625", "readiness": "10.1.0.41:8621"},
        "port_range": [7740, 7755],
        "platform": {
            "address": "10.200.1.7:8624",
            "writes_per_s": 400,
            "reads_per_s": 2000,
        },
        "bounds": {"drain_ms": 2000, "grace_s": 8, "config_ms": 2000},
        "seeds": ["10.1.0.41:8628", "10.2.0.25:8628"],
        **changes,
    }


def test_strength_of_the_vm_is_its_share_of_a_faster_core() -> None:
    limits = {"cpu_share": 0.717, "cores": 3, "link_mbps": 100.0, "memory_mb": 552}
    gateway = decode_settings(PATH, fields(limits=limits)).gateway
    assert gateway.cores == pytest.approx(2.151)
    assert gateway.link_mbps == 100.0


def test_limits_are_optional() -> None:
    assert decode_settings(PATH, fields()).gateway.cores == 1.0


def test_keys_are_required_where_the_contract_for_them_is_in_use() -> None:
    settings = decode_settings(PATH, fields(contracts=["base", "tenants"]))
    assert settings.gateway.keys_required
    assert not decode_settings(PATH, fields()).gateway.keys_required


# Guards against a version that lists no organisations and so opens all routes.
def test_manifest_without_organisations_opens_nothing_where_keys_are_required() -> None:
    settings = decode_settings(PATH, fields(contracts=["tenants"]))
    vm = make_gateway(settings, Clock())
    raw = make_manifest()
    del raw["tenants"]
    assert vm.apply_manifest(decode_manifest(orjson.dumps(raw)), "store")
    assert vm.manifest is not None
    assert all(needs_key(vm.manifest, route) for route in vm.manifest.routes)


def test_own_address_is_no_seed_and_ports_are_those_between_vms() -> None:
    assert decode_settings(PATH, fields()).gateway.seeds == ("10.2.0.25:7740",)


def test_every_wrong_field_is_named() -> None:
    wrong = fields(zone=5, limits={"cores": "many"})
    with pytest.raises(CuminstileError) as error:
        decode_settings(PATH, wrong)
    assert error.value.code is ErrorCode.BAD_SETTINGS
    assert "zone" in error.value.message
    assert "limits.cores" in error.value.message

"""Test cuminstile.platform.reloading: a settings file that changes."""

from dataclasses import fields, replace
from typing import Any

import pytest

from cuminstile.clock import VirtualClock
from cuminstile.gateway.state import GatewaySettings
from cuminstile.platform.reloading import APPLIED, ChangedSettings, apply_settings
from cuminstile.platform.settings import PlatformSettings

from ..gateway.test_state import make_vm

STORE = "10.200.1.7:8624"
NAMES = [item.name for item in fields(GatewaySettings)]


def changed(value: Any) -> Any:
    """Return another value of the same type."""
    if isinstance(value, tuple):
        return (*value, "10.9.9.9:7000")
    return value + type(value)(1) if not isinstance(value, str) else value + "1"


@pytest.mark.parametrize("name", NAMES)
def test_each_setting_is_applied_or_needs_a_restart(name: str) -> None:
    """Guards against a changed setting that neither holds nor is named."""
    vm = make_vm(VirtualClock())
    before = getattr(vm.settings, name)
    read = replace(vm.settings, **{name: changed(before)})
    names = apply_settings(vm, STORE, PlatformSettings(read, STORE))
    if name in APPLIED:
        assert names == ChangedSettings((name,), ())
        assert getattr(vm.settings, name) == changed(before)
    else:
        assert names == ChangedSettings((), (name,))
        assert getattr(vm.settings, name) == before


def test_changed_retry_budget_holds_at_once() -> None:
    vm = make_vm(VirtualClock())
    read = replace(vm.settings, retry_ratio=0.5, retry_slack=10.0)
    apply_settings(vm, STORE, PlatformSettings(read, STORE))
    assert (vm.retries.ratio, vm.retries.slack) == (0.5, 10.0)


def test_another_store_needs_a_restart() -> None:
    vm = make_vm(VirtualClock())
    names = apply_settings(vm, STORE, PlatformSettings(vm.settings, "10.1.1.1:1"))
    assert names == ChangedSettings((), ("store_address",))


def test_unchanged_settings_change_nothing() -> None:
    vm = make_vm(VirtualClock())
    names = apply_settings(vm, STORE, PlatformSettings(vm.settings, STORE))
    assert names == ChangedSettings((), ())

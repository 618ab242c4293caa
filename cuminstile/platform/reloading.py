"""Apply a settings file that changed while the VM runs."""

from __future__ import annotations

from dataclasses import dataclass, fields, replace

from ..gateway.state import Gateway, GatewaySettings
from .settings import PlatformSettings

APPLIED = frozenset(
    (
        "seeds",
        "shutdown_ms",
        "manifest_ms",
        "retry_ratio",
        "retry_slack",
        "hedge_share",
        "hedge_busy_share",
    )
)
"""Settings that a running VM takes over. The others concern its listeners, its identity
towards other VMs, or windows that are in use."""
STORE_ADDRESS = "store_address"


@dataclass(frozen=True)
class ChangedSettings:
    """Names of changed settings: those that hold now, and those after a restart."""

    applied: tuple[str, ...]
    restart: tuple[str, ...]


def apply_settings(
    vm: Gateway, store_address: str, settings: PlatformSettings
) -> ChangedSettings:
    """Apply what a running VM can take over; return the names of all that changed.

    Parameters
    ----------
    store_address : str
        `host:port` of the store that the VM uses.
    """
    changed = changed_names(vm.settings, settings.gateway)
    applied = tuple(name for name in changed if name in APPLIED)
    restart = tuple(name for name in changed if name not in APPLIED)
    if settings.store_address != store_address:
        restart = (*restart, STORE_ADDRESS)
    values = {name: getattr(settings.gateway, name) for name in applied}
    vm.settings = replace(vm.settings, **values)
    vm.retries.ratio = vm.settings.retry_ratio
    vm.retries.slack = vm.settings.retry_slack
    vm.hedging.limits = vm.hedge_limits()
    return ChangedSettings(applied, restart)


def changed_names(old: GatewaySettings, new: GatewaySettings) -> tuple[str, ...]:
    """Return the names of the settings that differ."""
    return tuple(
        item.name
        for item in fields(GatewaySettings)
        if getattr(old, item.name) != getattr(new, item.name)
    )

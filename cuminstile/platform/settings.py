"""Read the platform's settings file, a JSON file rendered from the deploy template."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from ..duties.desk import DutySettings
from ..duties.types import ORDERS_DUTY, USAGE_DUTY
from ..exceptions import CuminstileError, ErrorCode, Finding
from ..gateway.state import GatewaySettings
from ..typed_data import InvalidDataError, check_data_class

RESERVED_FDS = 200
"""Descriptors of `max_fds` that are no sockets."""
DUTY_NAMES = {"usage_report": USAGE_DUTY, "autoscaler": ORDERS_DUTY}
"""The duties by the platform's names."""
PLATFORM_FIELDS = "fields"
"""Field of a settings file that holds the platform's own, beside the operator's."""
KEYS_CONTRACT = "tenants"
"""Contract under which callers have keys."""


@dataclass(frozen=True)
class ListenFields:
    """`listen`: addresses as `host:port`; `front` serves callers."""

    front: str
    readiness: str


@dataclass(frozen=True)
class StoreFields:
    """`platform`: the store's address and its rate limits for all VMs together."""

    address: str
    writes_per_s: float
    reads_per_s: float


@dataclass(frozen=True)
class BoundFields:
    """`bounds`: the guaranteed limits that the gateway uses."""

    drain_ms: float
    grace_s: float
    config_ms: float
    retry_budget_ratio: float = 0.0
    retry_window_s: float = 10.0
    retry_slack: float = 0.0
    lease_ms: float = 3_000.0
    usage_window_s: float = 5.0
    usage_late_s: float = 10.0


@dataclass(frozen=True)
class CloudFields:
    """`cloud`: the address of the calls that are duties, and their limit for all VMs.

    `duties` names those that there are, in the platform's words.
    """

    address: str = ""
    duties: tuple[str, ...] = ()
    duty_per_s: float = 50.0


@dataclass(frozen=True)
class MachineFields:
    """`limits`: the processor as `cpu_share` of a core `cores` times as fast; link.

    `memory_mb` is the memory of the process, `max_fds` its descriptors, of which
    `RESERVED_FDS` are for files.
    """

    cpu_share: float = 1.0
    cores: float = 1.0
    link_mbps: float = 1_000.0
    memory_mb: float = 1_000.0
    max_fds: int = 65_536


@dataclass(frozen=True)
class HedgingFields:
    """`hedging`: limits for second sends; see `HedgeLimits`."""

    share: float = 0.0
    busy_share: float = 0.5


@dataclass(frozen=True)
class SettingsFields:
    """The settings file; `zone` is a data centre, `node` the VM's name.

    `port_range` holds the first and the last of the ports that are free for traffic
    between VMs, the same on all VMs. `seeds` lists other VMs; the ports in it are other
    ones and not used. `contracts` names the parts of the platform that are in use.
    """

    node: str
    ip: str
    zone: str
    listen: ListenFields
    port_range: tuple[int, int]
    platform: StoreFields
    bounds: BoundFields
    seeds: tuple[str, ...] = ()
    limits: MachineFields = MachineFields()
    cloud: CloudFields = CloudFields()
    contracts: tuple[str, ...] = ()
    hedging: HedgingFields = HedgingFields()


@dataclass(frozen=True)
class PlatformSettings:
    """Settings of the gateway and the address of the store.

    Parameters
    ----------
    store_address : str
        `host:port`.
    duties_address : str
        `host:port` of the platform's calls that are duties of one VM at a time.
    duties : DutySettings or None
        None where the platform has no such calls.
    """

    gateway: GatewaySettings
    store_address: str
    duties_address: str = ""
    duties: DutySettings | None = None


def load_platform_settings(path: Path) -> PlatformSettings:
    """Return the settings in a file.

    Raises
    ------
    CuminstileError
        With `BAD_SETTINGS` and a finding for each missing or invalid field.
    """
    try:
        raw = orjson.loads(path.read_bytes())
    except (OSError, orjson.JSONDecodeError) as error:
        raise bad_file(
            path, [Finding(str(path), "", "unreadable", str(error))]
        ) from error
    return decode_settings(path, raw)


def decode_settings(path: Path, raw: Any) -> PlatformSettings:
    """Return the settings in a decoded file; raises like `load_platform_settings`."""
    if not isinstance(raw, dict):
        raise bad_file(path, [Finding(str(path), "", "invalid", "must be an object")])
    if isinstance(raw.get(PLATFORM_FIELDS), dict):
        raw = {**raw[PLATFORM_FIELDS], **raw}
    try:
        fields = check_data_class(SettingsFields)(raw)
    except InvalidDataError as error:
        findings = [
            Finding(str(path), problem.location, "invalid", problem.text)
            for problem in error.problems
        ]
        raise bad_file(path, findings) from error
    return settings_of(fields)


def bad_file(path: Path, findings: list[Finding]) -> CuminstileError:
    """Return the error for an invalid settings file."""
    return CuminstileError(
        ErrorCode.BAD_SETTINGS,
        f"invalid settings file {path}: " + "; ".join(map(str, findings)),
        findings=tuple(findings),
    )


def settings_of(fields: SettingsFields) -> PlatformSettings:
    """Return the settings of this package for the platform's fields."""
    peer_port = fields.port_range[0]
    own_peer = f"{fields.ip}:{peer_port}"
    seeds = (f"{seed.rpartition(':')[0]}:{peer_port}" for seed in fields.seeds)
    gateway = GatewaySettings(
        name=fields.node,
        data_centre=fields.zone,
        caller_address=fields.listen.front,
        readiness_address=fields.listen.readiness,
        peer_address=own_peer,
        metrics_address=f"{fields.ip}:{fields.port_range[1]}",
        seeds=tuple(seed for seed in seeds if seed != own_peer),
        shutdown_ms=fields.bounds.grace_s * 1000.0,
        manifest_ms=fields.bounds.config_ms,
        retry_ratio=fields.bounds.retry_budget_ratio,
        retry_slack=fields.bounds.retry_slack,
        retry_window_ms=fields.bounds.retry_window_s * 1000.0,
        cores=fields.limits.cpu_share * fields.limits.cores,
        link_mbps=fields.limits.link_mbps,
        memory_mb=fields.limits.memory_mb,
        max_sockets=max(0, fields.limits.max_fds - RESERVED_FDS),
        keys_required=KEYS_CONTRACT in fields.contracts,
        hedge_share=fields.hedging.share,
        hedge_busy_share=fields.hedging.busy_share,
    )
    address = fields.cloud.address
    return PlatformSettings(
        gateway, fields.platform.address, address, duties_of(fields)
    )


def duties_of(fields: SettingsFields) -> DutySettings | None:
    """Return the settings of the duties, None where there are none."""
    names = tuple(DUTY_NAMES[one] for one in fields.cloud.duties if one in DUTY_NAMES)
    if not names or not fields.cloud.address:
        return None
    return DutySettings(
        names,
        fields.bounds.lease_ms,
        fields.cloud.duty_per_s,
        round(fields.bounds.usage_window_s * 1000.0),
        fields.bounds.usage_late_s * 1000.0,
    )

"""Test arrangement: the operators' objects, the VMs and how all programs behave."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from cuminstile.objects.collection import ObjectSet, index_objects
from cuminstile.objects.files import load_directory
from cuminstile.objects.model import (
    AnyObject,
    DataCentre,
    Role,
    Upstream,
    UpstreamVersion,
)
from cuminstile.objects.parse import parse

OPERATOR_KEY = "operators-key-for-tests"
VM_KEY = "vms-key-for-tests"
MODULES = {
    Role.ENGINE: "standins.engine",
    Role.POOL: "standins.pool",
    Role.SERVICE: "standins.service",
}


@dataclass(frozen=True)
class VmPlan:
    """VM to start, and its data centre."""

    name: str
    data_centre: str


@dataclass(frozen=True)
class Arrangement:
    """Configuration of all programs that a fleet starts.

    Parameters
    ----------
    objects : tuple
        The operators' objects; the fleet sets the addresses of the upstreams.
    vms : tuple of VmPlan
        The VMs to start.
    linked : bool
        Whether paths between data centres, to the platform and to the upstreams pass
        through a relay that can cut them.
    platform : mapping
        Initial control values of the platform.
    controls : mapping of str to mapping
        Initial control values of upstreams, by upstream, stage or role.
    settings : mapping
        Settings of every VM that override or extend the default ones.
    tls : Path or None
        Directory with `authority.pem`, and `NAME.pem` and `NAME.key` for each VM; None
        disables TLS.
    """

    objects: tuple[AnyObject, ...]
    vms: tuple[VmPlan, ...]
    linked: bool = False
    platform: Mapping[str, Any] = field(default_factory=dict)
    controls: Mapping[str, Mapping[str, Any]] = field(default_factory=dict)
    settings: Mapping[str, Any] = field(default_factory=dict)
    tls: Path | None = None

    @property
    def authority(self) -> Path | None:
        """Return the file of the certificate authority, or None without TLS."""
        return self.tls / "authority.pem" if self.tls else None


def load_objects(directory: Path) -> tuple[AnyObject, ...]:
    """Return the objects in a directory of JSON files.

    Raises
    ------
    ValueError
        If there are findings; carries all of them.
    """
    loaded = load_directory(directory)
    parsed = parse(loaded.raws)
    findings = (*loaded.findings, *parsed.findings)
    if findings:
        raise ValueError("\n".join(str(finding) for finding in findings))
    return tuple(placed.item for placed in parsed.objects)


def objects_in_data_centres(
    objects: Iterable[AnyObject], data_centres: set[str]
) -> list[AnyObject]:
    """Return the objects without those of other data centres.

    Versions that no remaining upstream serves are removed as well.
    """
    kept = [
        item
        for item in objects
        if not (isinstance(item, DataCentre) and item.name not in data_centres)
        and not (isinstance(item, Upstream) and item.data_centre not in data_centres)
    ]
    served = {
        name for item in kept if isinstance(item, Upstream) for name in item.versions
    }
    return [
        item
        for item in kept
        if not isinstance(item, UpstreamVersion) or item.name in served
    ]


def plan_vms(counts: Mapping[str, int]) -> tuple[VmPlan, ...]:
    """Return the given number of VMs for each data centre, named after it."""
    return tuple(
        VmPlan(f"{data_centre}-{number}", data_centre)
        for data_centre, count in counts.items()
        for number in range(1, count + 1)
    )


def role_of(objects: ObjectSet, upstream: Upstream) -> Role:
    """Return the role of an upstream, which selects the program that simulates it."""
    return objects.stages[stage_of(objects, upstream)].role


def stage_of(objects: ObjectSet, upstream: Upstream) -> str:
    """Return the stage of the first version that an upstream serves."""
    return objects.versions[upstream.versions[0]].stage


def controls_of(arrangement: Arrangement, upstream: Upstream) -> dict[str, Any]:
    """Return the initial control values of an upstream."""
    objects = index_objects(arrangement.objects)
    stage = stage_of(objects, upstream)
    values: dict[str, Any] = {
        "capacity": upstream.capacity,
        "cold_capacity": upstream.cold_capacity,
        "checks_fencing": upstream.checks_fencing,
        "versions": list(upstream.versions),
    }
    for name in (role_of(objects, upstream).value, stage, upstream.name):
        values |= arrangement.controls.get(name, {})
    return values


def with_address(item: AnyObject, ports: Mapping[str, int], host: str) -> AnyObject:
    """Return an upstream with its address set; other objects stay unchanged."""
    if not isinstance(item, Upstream):
        return item
    return replace(item, address=f"{host}:{ports[item.name]}")


def caller_key(organisation: str) -> str:
    """Return the API key of the callers of an example organisation."""
    return f"{organisation}-example-key"

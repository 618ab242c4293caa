"""Start the processes of a test arrangement, and stop all of them in any case."""

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio

from cuminstile.objects.collection import index_objects

from .arrangement import (
    MODULES,
    OPERATOR_KEY,
    VM_KEY,
    Arrangement,
    VmPlan,
    controls_of,
    role_of,
    with_address,
)
from .fleet import (
    LINK,
    PLATFORM,
    UPSTREAMS,
    Fleet,
    VmPorts,
    path_name,
    wait_until_healthy,
)
from .http import make_pool
from .processes import Program, wait_until_ready
from .serving import HOST


@asynccontextmanager
async def running(arrangement: Arrangement, folder: Path) -> AsyncIterator[Fleet]:
    """Run an arrangement until the block ends, normally or with an exception.

    Raises
    ------
    NotReadyError
        If a program does not become ready.
    """
    folder.mkdir(parents=True, exist_ok=True)
    fleet = Fleet(arrangement, folder, pool=make_pool(arrangement.authority))
    try:
        await start_platform(fleet)
        await start_upstreams(fleet)
        await start_vms(fleet)
        yield fleet
    finally:
        fleet.programs.end_all()
        with anyio.CancelScope(shield=True):
            await fleet.pool.aclose()


async def start_platform(fleet: Fleet) -> None:
    """Start the platform and, if the arrangement is linked, the relay."""
    fleet.platform_port = fleet.ports.acquire()
    control = json.dumps(dict(fleet.arrangement.platform))
    port = str(fleet.platform_port)
    platform = fleet.launch(
        PLATFORM, "-m", "standins.platform", "--port", port, "--control", control
    )
    if fleet.arrangement.linked:
        fleet.link_port = fleet.ports.acquire()
        port = str(fleet.link_port)
        await wait_until_ready(
            fleet.launch(LINK, "-m", "standins.link", "--port", port)
        )
    await wait_until_ready(platform)


async def add_relay(fleet: Fleet, path: str, port: int) -> int:
    """Open a relay to a port and return the port of the relay."""
    body = {"path": path, "to": f"{HOST}:{port}", "port": fleet.ports.acquire()}
    answer = await fleet.exchange_json("POST", fleet.link_port, "/relays", body)
    return int(answer["port"])


async def start_upstreams(fleet: Fleet) -> None:
    """Start the program of each upstream and set its address in the objects."""
    objects = index_objects(fleet.arrangement.objects)
    programs: list[Program] = []
    reachable_ports: dict[str, int] = {}
    for name, upstream in objects.upstreams.items():
        port = fleet.upstream_ports[name] = reachable_ports[name] = (
            fleet.ports.acquire()
        )
        control = json.dumps(controls_of(fleet.arrangement, upstream))
        module = MODULES[role_of(objects, upstream)]
        runs = str(fleet.folder / f"{name}.runs")
        flags = ("--port", str(port), "--control", control)
        more = ("--name", name, "--runs", runs)
        programs.append(fleet.launch(name, "-m", module, *flags, *more))
        if fleet.arrangement.linked:
            path = f"{upstream.data_centre}:{UPSTREAMS}"
            reachable_ports[name] = await add_relay(fleet, path, port)
    for program in programs:
        await wait_until_ready(program)
    fleet.objects = tuple(
        with_address(item, reachable_ports, HOST) for item in fleet.arrangement.objects
    )
    fleet.write_objects()


async def start_vms(fleet: Fleet) -> None:
    """Set the platform's list of VMs and start all VMs."""
    for plan in fleet.arrangement.vms:
        ports = (fleet.ports.acquire(), fleet.ports.acquire(), fleet.ports.acquire())
        fleet.vms[plan.name] = VmPorts(*ports)
    centres = sorted({plan.data_centre for plan in fleet.arrangement.vms})
    platforms = dict.fromkeys(centres, fleet.platform_port)
    if fleet.arrangement.linked:
        fleet.seen_addresses = {
            centre: await addresses_seen_from(fleet, centre) for centre in centres
        }
        for centre in centres:
            path = f"{centre}:{PLATFORM}"
            platforms[centre] = await add_relay(fleet, path, fleet.platform_port)
    await list_vms(fleet)
    for plan in fleet.arrangement.vms:
        settings = write_settings(fleet, plan, platforms[plan.data_centre])
        flags = ("--settings", str(settings))
        fleet.launch(plan.name, "-m", "cuminstile.daemon", *flags)
    for name in fleet.vms:
        await wait_until_healthy(fleet, name)


async def addresses_seen_from(fleet: Fleet, centre: str) -> dict[str, str]:
    """Return the address of each VM as seen from a data centre."""
    seen_addresses: dict[str, str] = {}
    for plan in fleet.arrangement.vms:
        port = fleet.vms[plan.name].vm
        if plan.data_centre != centre:
            port = await add_relay(fleet, path_name(centre, plan.data_centre), port)
        seen_addresses[plan.name] = f"{HOST}:{port}"
    return seen_addresses


async def list_vms(
    fleet: Fleet,
    leaving: frozenset[str] = frozenset(),
    gone: frozenset[str] = frozenset(),
) -> None:
    """Set the platform's list of VMs, without those that are gone."""
    rows = [
        {
            "name": plan.name,
            "data_centre": plan.data_centre,
            "address": f"{HOST}:{fleet.vms[plan.name].vm}",
            "state": "leaving" if plan.name in leaving else "live",
        }
        for plan in fleet.arrangement.vms
        if plan.name not in gone
    ]
    await fleet.control(PLATFORM, vms=rows, seen_addresses=fleet.seen_addresses)


def tls_settings(arrangement: Arrangement, plan: VmPlan) -> dict[str, Any]:
    """Return the TLS settings of a VM."""
    folder = arrangement.tls
    if folder is None:
        return {}
    return {
        "tls": {
            "certificate": str(folder / f"{plan.name}.pem"),
            "key": str(folder / f"{plan.name}.key"),
            "authority": str(arrangement.authority),
        }
    }


def write_settings(fleet: Fleet, plan: VmPlan, platform_port: int) -> Path:
    """Write the settings of a VM and return the file."""
    ports = fleet.vms[plan.name]
    seen_addresses = fleet.seen_addresses.get(plan.data_centre, {})
    peers = [
        {
            "name": other.name,
            "data_centre": other.data_centre,
            "address": seen_addresses.get(
                other.name, f"{HOST}:{fleet.vms[other.name].vm}"
            ),
        }
        for other in fleet.arrangement.vms
        if other != plan
    ]
    settings = {
        "name": plan.name,
        "data_centre": plan.data_centre,
        "host": HOST,
        "caller_port": ports.caller,
        "operator_port": ports.operator,
        "vm_port": ports.vm,
        "platform": f"{HOST}:{platform_port}",
        "platform_key": plan.data_centre,
        "operator_keys": [OPERATOR_KEY],
        "vm_keys": [VM_KEY],
        "peers": peers,
        "log_file": str(fleet.folder / f"{plan.name}.log"),
        **tls_settings(fleet.arrangement, plan),
        **fleet.arrangement.settings,
    }
    path = fleet.folder / f"{plan.name}.json"
    path.write_text(json.dumps(settings, indent=2) + "\n")
    return path

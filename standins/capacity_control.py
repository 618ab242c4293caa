"""Measure the cost of idle VMs: heartbeats, polling and digests."""

import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

import anyio

from cuminstile.daemon import BACKGROUND_TASKS, make_vm
from cuminstile.objects.collection import index_objects
from cuminstile.objects.model import (
    AnyObject,
    DataCentre,
    Role,
    Stage,
    Upstream,
    UpstreamVersion,
)
from cuminstile.records.config_record import make_record
from cuminstile.records.configuration import Configuration
from cuminstile.records.follow import follow_configuration, follow_vm_list
from cuminstile.records.renewal import renew_configuration
from cuminstile.runtime import Vm
from cuminstile.settings import Settings
from cuminstile.supervision import supervise

from .processes import Ports, Program, Programs, wait_until_ready
from .slopes import Point, Slope, fit

SETTLE_S = 8.0
MEASURE_S = 10.0
FRAME_OVERHEAD_BYTES = 6 + 66
PLATFORM_TASKS = (follow_configuration, renew_configuration, follow_vm_list)


@dataclass(frozen=True)
class Cost:
    """Mean resource use of one idle VM over all VMs of a run.

    Parameters
    ----------
    cores : float
        CPU time per second.
    bytes_per_s : float
        Sent to other VMs, including the headers of websocket, TCP, IP and Ethernet.
    """

    cores: float
    bytes_per_s: float


async def idle_cost(vm_count: int, upstream_count: int, address: str) -> Cost:
    """Run VMs of one data centre in this process and measure the mean cost of a VM."""
    ports = Ports()
    vms = [idle_vm(f"vm-{number:03}", ports) for number in range(vm_count)]
    objects = upstreams_at(address, upstream_count)
    for vm in vms:
        set_configuration(vm, upstreams_at(address, 0))
        for other in vms:
            vm.members.add(other.settings.name, "a", other.own_address)
    async with anyio.create_task_group() as tasks:
        for vm in vms:
            for task in BACKGROUND_TASKS:
                if task not in PLATFORM_TASKS:
                    tasks.start_soon(supervise, vm, task)
        # All VMs share one core here, so they connect to each other before the
        # upstreams are configured.
        await anyio.sleep(SETTLE_S)
        for vm in vms:
            set_configuration(vm, objects)
        await anyio.sleep(SETTLE_S)
        cpu, sent = time.process_time(), bytes_sent(vms)
        await anyio.sleep(MEASURE_S)
        cpu, sent = time.process_time() - cpu, bytes_sent(vms) - sent
        tasks.cancel_scope.cancel()
    return Cost(cpu / MEASURE_S / vm_count, sent / MEASURE_S / vm_count)


def idle_vm(name: str, ports: Ports) -> Vm:
    """Return a VM whose background tasks have not been started."""
    return make_vm(
        Settings(
            name=name,
            data_centre="a",
            host="127.0.0.1",
            caller_port=ports.acquire(),
            operator_port=ports.acquire(),
            vm_port=ports.acquire(),
            platform="127.0.0.1:1",
            operator_keys=("operators-key-for-tests",),
            vm_keys=("vms-key-for-tests",),
        )
    )


def set_configuration(vm: Vm, objects: tuple[AnyObject, ...]) -> None:
    """Put objects in force on a VM directly, without the configuration log."""
    record = make_record(-1, "capacity", objects)
    vm.configuration.current = Configuration(0, index_objects(objects), record)


def upstreams_at(address: str, count: int) -> tuple[AnyObject, ...]:
    """Return the objects of upstreams that all have the address of one program."""
    objects: list[AnyObject] = [
        DataCentre("data_centre", "a", "r"),
        Stage("stage", "encode", Role.POOL),
        UpstreamVersion("upstream_version", "encode-1", "encode"),
    ]
    for number in range(count):
        name = f"runner-{number:04}"
        objects.append(Upstream("upstream", name, "a", address, ("encode-1",)))
    return tuple(objects)


def bytes_sent(vms: Sequence[Vm]) -> int:
    """Return all bytes that the VMs have sent over their open sessions."""
    sessions = [session for vm in vms for session in vm.sessions.by_name.values()]
    return sum(
        session.sent_bytes + FRAME_OVERHEAD_BYTES * session.sent_messages
        for session in sessions
    )


async def control_slopes(quick: bool) -> list[Slope]:
    """Measure a VM's control cost by number of peers and by number of upstreams."""
    peer_counts = (2, 20) if quick else (2, 5, 10, 20)
    upstream_counts = (0, 120) if quick else (0, 30, 60, 120)
    with TemporaryDirectory(prefix="cuminstile-capacity-") as folder:
        programs = Programs()
        try:
            address = await start_pool(programs, Path(folder))
            by_peers = [(n - 1, await idle_cost(n, 0, address)) for n in peer_counts]
            by_upstreams = [
                (n, await idle_cost(20, n, address)) for n in upstream_counts
            ]
        finally:
            programs.end_all()
    return [
        fit_costs(by_peers, "control without upstreams", "peer VMs", "cores"),
        fit_costs(by_peers, "control without upstreams", "peer VMs", "bytes/s"),
        fit_costs(by_upstreams, "control of 20 VMs", "upstreams", "cores"),
        fit_costs(by_upstreams, "control of 20 VMs", "upstreams", "bytes/s"),
    ]


def fit_costs(
    costs: Sequence[tuple[int, Cost]], what: str, x_unit: str, y_unit: str
) -> Slope:
    """Fit a line to the cores or the bytes per second of the costs."""
    name = "cores" if y_unit == "cores" else "bytes_per_s"
    points = [Point(float(x), getattr(cost, name)) for x, cost in costs]
    return fit(what, x_unit, y_unit, points)


async def start_pool(programs: Programs, folder: Path) -> str:
    """Start the program that serves as every upstream and return its address."""
    port = Ports().acquire()
    control = '{"warm_after_runs": 0, "capacity": 8, "versions": ["encode-1"]}'
    arguments = ("-m", "standins.pool", "--port", str(port), "--name", "runner")
    program = Program("pool", (*arguments, "--control", control), folder / "pool.out")
    programs.add(program).start({})
    await wait_until_ready(program)
    return f"127.0.0.1:{port}"

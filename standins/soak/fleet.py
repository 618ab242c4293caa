"""The processes, upstreams, links and callers of one soak."""

from __future__ import annotations

import asyncio
import itertools
import json
import math
import os
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import uvicorn

from ..keyed_store import OPERATOR_TOPIC, SERVER_TOPIC, KeyedStoreServer
from ..relay import Link
from .drawing import STAGE_WEIGHTS, WEIGHTS, make_draw
from .manifest import DATA_CENTRES, make_manifest, make_settings
from .messages import read_head
from .observations import MemoryUsed, Record, VmEnded
from .upstream import SoakUpstream

ROOT = Path(__file__).parent.parent.parent
START_TIMEOUT_S = 30.0
RETURN_S = 0.5
"""Time until an upstream that a request has ended is back."""
MEMORY_STEP_MB = 5.0
"""Memory is written down again when it has grown by so much."""
FIRST_PORT = 2_000
"""Below the kernel's ephemeral ports, so that no outgoing connection uses one."""
PORTS_PER_FLEET = 40
CLOSE_S = 0.2
"""Time for the handlers of closed connections to end."""
UPSTREAMS = {
    "desk-1": "desk",
    "desk-2": "desk",
    "engine-1": "engines",
    "engine-2": "engines",
    "encode-1": "encode",
    "rank-1": "rank",
}
LARGE_UPSTREAMS = {
    **UPSTREAMS,
    "desk-3": "desk",
    "engine-3": "engines",
    "encode-2": "encode",
    "rank-2": "rank",
}
numbers = itertools.count()


def own_network() -> str:
    """Return the first three octets of loopback addresses of this process alone."""
    pid = os.getpid()
    return f"127.{1 + pid % 250}.{pid // 250 % 250}"


@dataclass
class SoakVm:
    """One VM: its process, and the links from callers and to the store.

    Parameters
    ----------
    is_stopping : bool
        Whether the soak itself ends the process at the moment.
    noted_mb : float
        Memory of the process that was written down last, MB.
    """

    name: str
    settings_file: Path
    log_file: Path
    readiness: str
    callers: Link
    store: Link
    process: subprocess.Popen[bytes] | None = None
    is_stopping: bool = False
    noted_mb: float = 0.0

    def start(self, program: Path) -> None:
        """Start the process with the code in the folder `program`."""
        with self.log_file.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "cuminstile.platform"],
                cwd=program,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={
                    **os.environ,
                    "PYTHONPATH": str(program),
                    "CUMINSTILE_SETTINGS": str(self.settings_file),
                },
            )
        self.is_stopping = False
        self.noted_mb = 0.0

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


@dataclass
class Fleet:
    """All that one soak started.

    Parameters
    ----------
    program : Path
        Folder of the code that the VMs run.
    without : frozenset of str
        Ways to answer that upstreams leave out.
    ends_s : float
        Time of the record at which callers end.
    poisoned : bool
        Whether requests come that end upstreams.
    ordered : int
        How many versions were ordered.
    store_returns : bool
        Whether the store is about to come back from a copy.
    stops : bool
        Whether VMs are stopped in series, and requests wait for a slow stage.
    """

    folder: Path
    record: Record
    rng: Random
    program: Path = ROOT
    large: bool = False
    without: frozenset[str] = frozenset()
    stops: bool = False
    network: str = field(default_factory=own_network)
    port: int = field(
        default_factory=lambda: FIRST_PORT + PORTS_PER_FLEET * (next(numbers) % 20)
    )
    store: KeyedStoreServer = field(default_factory=KeyedStoreServer)
    vms: list[SoakVm] = field(default_factory=list)
    upstreams: dict[str, SoakUpstream] = field(default_factory=dict)
    upstream_links: dict[str, Link] = field(default_factory=dict)
    runs: itertools.count[int] = field(default_factory=lambda: itertools.count(1))
    version: int = 1
    ends_s: float = math.inf
    poisoned: bool = False
    ordered: int = 0
    store_returns: bool = False
    returning: set[asyncio.Task[None]] = field(default_factory=set)
    web: uvicorn.Server | None = None
    web_task: asyncio.Task[None] | None = None

    @property
    def links(self) -> list[Link]:
        """Return all links."""
        links = list(self.upstream_links.values())
        return links + [link for vm in self.vms for link in (vm.callers, vm.store)]

    @property
    def vm_count(self) -> int:
        """Return how many VMs run."""
        if self.large:
            return 4
        return 3 if self.stops else 2

    async def start(self) -> None:
        """Start store, upstreams and VMs, and wait until all VMs are ready."""
        store_host = f"{self.network}.200"
        sockets = [socket.create_server((store_host, self.port))]
        self.web = uvicorn.Server(
            uvicorn.Config(self.store.app(), log_level="critical", lifespan="off")
        )
        self.web_task = asyncio.create_task(self.web.serve(sockets))
        await self.store.put_json(OPERATOR_TOPIC, "config", make_manifest())
        upstreams = LARGE_UPSTREAMS if self.large else UPSTREAMS
        if self.stops:
            upstreams = {**upstreams, "scan-1": "scan"}
        for name, service in upstreams.items():
            await self.add_upstream(name, service)
        for number in range(self.vm_count):
            await self.add_vm(number, f"{store_host}:{self.port}")
        for vm in self.vms:
            await wait_ready(vm)

    async def add_upstream(self, place: str, service: str, version: str = "v1") -> None:
        """Start an upstream behind a link and write its record."""
        link = Link(place, "")
        await link.start(f"{self.network}.220")
        self.upstream_links[place] = link
        await self.start_upstream(place, place, service, version)

    async def start_upstream(
        self, place: str, name: str, service: str, version: str = "v1"
    ) -> None:
        """Start an upstream process at the address of a place."""
        link = self.upstream_links[place]
        upstream = SoakUpstream(
            name,
            service,
            self.record,
            Random(f"{self.rng.random()} {name}"),
            make_draw(WEIGHTS, self.without),
            make_draw(STAGE_WEIGHTS, self.without),
            self.runs,
            lambda: self.on_crash(place),
            born=time.time_ns() // 1_000_000,
            shown_address=link.address,
        )
        await upstream.start(f"{self.network}.221")
        link.target = upstream.address
        await link.accept()
        self.upstreams[place] = upstream
        await self.register(place, version=version)

    async def register(
        self, place: str, state: str = "ready", version: str = "v1"
    ) -> None:
        """Write the record of the upstream at a place."""
        upstream = self.upstreams[place]
        zone = DATA_CENTRES[list(self.upstream_links).index(place) % 2]
        record = {
            "service": upstream.service,
            "address": upstream.shown_address,
            "zone": zone,
            "version": version,
            "slots": 16,
            "state": state,
            "cold_remaining_ms": 0,
            "seq": 1,
            "born": upstream.born,
        }
        await self.store.put_json(SERVER_TOPIC, upstream.id, record)

    def on_crash(self, place: str) -> None:
        """End the upstream at a place; it comes back under a new id."""
        task = asyncio.create_task(self.replace_crashed(place))
        self.returning.add(task)
        task.add_done_callback(self.returning.discard)

    async def replace_crashed(self, place: str) -> None:
        """End the upstream at a place and start another one after a while."""
        before = self.upstreams[place]
        if before.server is None:
            return
        await self.stop_upstream(place, listed=True)
        await asyncio.sleep(RETURN_S)
        if self.upstreams[place] is before:
            name = f"{place}-{self.rng.randrange(2**32):x}"
            await self.start_upstream(place, name, before.service)
        await self.store.put(SERVER_TOPIC, before.id, None)

    async def stop_upstream(self, place: str, listed: bool) -> None:
        """End the upstream at a place; its record stays if `listed`."""
        upstream = self.upstreams[place]
        upstream.stop()
        self.upstream_links[place].refuse()
        self.upstream_links[place].reset()
        if not listed:
            await self.store.put(SERVER_TOPIC, upstream.id, None)

    async def add_vm(self, number: int, store: str) -> None:
        """Start a VM with links of its own."""
        store_link = Link(f"vm-{number}-store", store)
        await store_link.start(f"{self.network}.{210 + number}")
        settings = make_settings(number, self.network, self.port, store_link.address)
        settings_file = self.folder / f"vm-{number}.json"
        settings_file.write_text(json.dumps(settings))
        callers = Link(f"vm-{number}-callers", settings["listen"]["front"])
        await callers.start(f"{self.network}.{210 + number}")
        vm = SoakVm(
            f"vm-{number}",
            settings_file,
            self.folder / f"vm-{number}.log",
            settings["listen"]["readiness"],
            callers,
            store_link,
        )
        self.vms.append(vm)
        vm.start(self.program)

    def note_ended(self) -> None:
        """Write down the VMs whose processes ended by themselves; start them again."""
        for vm in self.vms:
            if vm.is_stopping or vm.process is None or vm.process.poll() is None:
                continue
            code = vm.process.returncode
            self.record.add(VmEnded(self.record.now_s(), vm.name, code))
            vm.start(self.program)

    def note_memory(self) -> None:
        """Write down which processes of VMs have used more memory than before."""
        for vm in self.vms:
            if vm.process is None:
                continue
            most_mb = read_most_memory_mb(vm.process.pid)
            if most_mb >= vm.noted_mb + MEMORY_STEP_MB:
                vm.noted_mb = most_mb
                now_s, pid = self.record.now_s(), vm.process.pid
                self.record.add(MemoryUsed(now_s, vm.name, pid, most_mb))

    async def stop(self) -> None:
        """Stop all that was started."""
        for task in list(self.returning):
            task.cancel()
        for vm in self.vms:
            vm.is_stopping = True
            vm.send_signal(signal.SIGKILL)
            if vm.process is not None:
                vm.process.wait()
        for upstream in self.upstreams.values():
            upstream.stop()
        for link in self.links:
            link.stop()
        if self.web is not None and self.web_task is not None:
            self.web.should_exit = True
            self.web.force_exit = True
            await self.web_task
        await asyncio.sleep(CLOSE_S)


def read_most_memory_mb(pid: int) -> float:
    """Return the most memory that a process has used, in MB; 0 if it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0.0
    kilobytes = [int(line.split()[1]) for line in lines if line.startswith("VmHWM:")]
    return sum(kilobytes) / 1_000.0


async def wait_ready(vm: SoakVm) -> None:
    """Wait until a VM reports that it is ready.

    Raises
    ------
    TimeoutError
        If it does not in time.
    """
    end_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < end_s:
        try:
            if await is_ready(vm.readiness):
                return
        except (OSError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.1)
    raise TimeoutError(f"{vm.name} is not ready after {START_TIMEOUT_S:g} s")


async def is_ready(address: str) -> bool:
    """Return whether the VM at an address reports that it is ready."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: vm\r\n\r\n")
        first, _ = await read_head(reader)
    finally:
        writer.close()
    return first.split(" ")[1] == "200"

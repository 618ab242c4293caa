"""Running processes of a test arrangement, and operations on them."""

import json
import os
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import httpcore

from cuminstile.objects.model import OBJECT, AnyObject

from .arrangement import Arrangement
from .http import exchange_json, make_pool
from .processes import NotReadyError, Ports, Program, Programs, wait_until_ready
from .serving import HOST

ROOT = Path(__file__).parent.parent
PLATFORM = "platform"
LINK = "link"
POLL_INTERVAL_MS = 50
READY_LIMIT_MS = 15_000
UPSTREAMS = "upstreams"


@dataclass(frozen=True)
class VmPorts:
    """TCP ports of a VM."""

    caller: int
    operator: int
    vm: int


@dataclass
class Fleet:
    """Running test arrangement.

    Parameters
    ----------
    folder : Path
        Directory of settings, logs, outputs and objects.
    objects : tuple
        The operators' objects with the actual addresses of the upstreams.
    upstream_ports : dict of str to int
        Port on which each upstream itself listens, not that of a relay.
    seen_addresses : dict
        For each data centre, the address at which it reaches each VM; empty unless the
        arrangement is linked.
    """

    arrangement: Arrangement
    folder: Path
    objects: tuple[AnyObject, ...] = ()
    programs: Programs = field(default_factory=Programs)
    ports: Ports = field(default_factory=Ports)
    platform_port: int = 0
    link_port: int = 0
    upstream_ports: dict[str, int] = field(default_factory=dict)
    vms: dict[str, VmPorts] = field(default_factory=dict)
    seen_addresses: dict[str, dict[str, str]] = field(default_factory=dict)
    pool: httpcore.AsyncConnectionPool = field(default_factory=make_pool)

    @property
    def scheme(self) -> str:
        """Return the scheme of the VMs' ports for callers and operators."""
        return "https" if self.arrangement.tls else "http"

    @property
    def objects_folder(self) -> Path:
        """Return the directory of objects that an operator publishes."""
        return self.folder / "objects"

    def logs(self) -> list[Path]:
        """Return the log file of each VM."""
        return [self.folder / f"{name}.log" for name in self.vms]

    def environment(self) -> dict[str, str]:
        """Return the environment variables of the programs."""
        return {**os.environ, "PYTHONPATH": str(ROOT), "PYTHONUNBUFFERED": "1"}

    def launch(self, name: str, *arguments: str) -> Program:
        """Start a program for the first time."""
        output = self.folder / f"{name}.out"
        program = self.programs.add(Program(name, arguments, output))
        program.start(self.environment())
        return program

    async def exchange_json(
        self, method: str, port: int, path: str, body: Any = None
    ) -> Any:
        """Send a JSON request to one of the programs and return the JSON response."""
        return await exchange_json(self.pool, method, port, path, body)

    async def control(self, name: str, **values: Any) -> Any:
        """Change control values of the platform or of an upstream."""
        port = self.upstream_ports.get(name, self.platform_port)
        return await self.exchange_json("POST", port, "/control", values)

    async def set_path(self, path: str, state: str, delay_ms: float = 0.0) -> None:
        """Cut, close, delay or open a path: `A:B`, `A:platform` or `A:upstreams`."""
        body = {"path": path, "state": state, "delay_ms": delay_ms}
        await self.exchange_json("POST", self.link_port, "/paths", body)

    async def restart(self, name: str) -> None:
        """Restart a program that has exited, and wait until it is ready."""
        program = self.programs.by_name[name]
        program.start(self.environment())
        if name in self.vms:
            await wait_until_healthy(self, name)
        else:
            await wait_until_ready(program)

    def write_objects(self) -> None:
        """Write the objects, one file for each kind, and remove earlier files."""
        self.objects_folder.mkdir(exist_ok=True)
        for old in self.objects_folder.glob("*.json"):
            old.unlink()
        kinds: dict[str, list[Any]] = {}
        for item in self.objects:
            row = OBJECT.dump_python(item, mode="json")
            kinds.setdefault(item.kind, []).append(row)
        for kind, rows in kinds.items():
            path = self.objects_folder / f"{kind}.json"
            path.write_text(json.dumps(rows, indent=2) + "\n")


def path_name(one: str, other: str) -> str:
    """Return the name of the path between two data centres."""
    return ":".join(sorted((one, other)))


async def is_good(fleet: Fleet, name: str, path: str) -> bool:
    """Return whether a VM responds with 200 to a path of its caller port."""
    url = f"{fleet.scheme}://{HOST}:{fleet.vms[name].caller}{path}"
    timeout = {"timeout": {"connect": 0.5, "read": 0.5}}
    try:
        response = await fleet.pool.request("GET", url, extensions=timeout)
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
        return False
    return response.status == 200


async def wait_until_healthy(fleet: Fleet, name: str, path: str = "/healthz") -> None:
    """Wait until a VM responds with 200 to a path.

    Raises
    ------
    NotReadyError
        If it exits, or does not respond with 200 in time.
    """
    program = fleet.programs.by_name[name]
    with anyio.move_on_after(READY_LIMIT_MS / 1000.0):
        while program.is_running():
            if await is_good(fleet, name, path):
                return
            await anyio.sleep(POLL_INTERVAL_MS / 1000.0)
    raise NotReadyError(f"{name} did not become ready: {program.read_output()[-2000:]}")

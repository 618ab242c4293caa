"""Stand-ins for the platform's store, for runners and for consumers.

They use the standard library alone, and loopback addresses. Each runner follows
PROTOCOL.md unless a case gives it another behaviour.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a case."""
START_TIMEOUT_S = 30.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class SetupError(Exception):
    """The case could not run."""


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.began = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the time since the start."""
        self.file.write(f"{time.monotonic() - self.began:8.3f}  {text}\n")
        self.file.flush()


@dataclass
class Message:
    """The head and body of a request or an answer."""

    first: str
    headers: dict[str, str]
    body: bytes = b""
    complete: bool = True

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first.split(" ")[1])

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.first.split(" ")[1]


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Return the head of the next message."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return Message(first, {name.lower(): value.strip() for name, _, value in pairs})


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Return the next message; `complete` is false if its body broke off."""
    message = await read_head(reader)
    headers = message.headers
    try:
        if headers.get("transfer-encoding") == "chunked":
            while size := int((await reader.readline()).strip(), 16):
                message.body += (await reader.readexactly(size + 2))[:size]
            await reader.readline()
        elif "content-length" in headers:
            message.body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        message.complete = False
    return message


def render(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[None]]


@dataclass
class HttpServer:
    """A server whose handler writes the answer to each request itself."""

    handler: Handler
    host: str
    port: int = 0
    server: asyncio.Server | None = None

    async def start(self) -> str:
        """Listen and return `host:port`."""
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.address

    @property
    def address(self) -> str:
        """Return `host:port`."""
        return f"{self.host}:{self.port}"

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one channel in order."""
        try:
            while True:
                message = await read_message(reader)
                if not message.complete:
                    break
                await self.handler(message, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


@dataclass
class Store:
    """The platform's store with its keyed topics."""

    host: str
    port: int = 0
    logs: dict[str, list[tuple[str, bytes]]] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    http: HttpServer | None = None

    async def start(self) -> str:
        """Listen and return `host:port`."""
        self.http = HttpServer(self.answer, self.host, self.port)
        return await self.http.start()

    def put(self, topic: str, key: str, value: Any) -> None:
        """Append one record; without a value the key is dropped."""
        data = b"" if value is None else json.dumps(value).encode()
        self.logs.setdefault(topic, []).append((key, data))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Answer one call."""
        parts = urlsplit(message.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        log = self.logs.setdefault(query.get("topic", ""), [])
        if parts.path == "/api/log-newest":
            body = newest(log)
        elif parts.path == "/api/log-read":
            start = int(query["from"])
            deadline = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            while len(log) <= start and time.monotonic() < deadline:
                try:
                    left = deadline - time.monotonic()
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    break
            body = len(log).to_bytes(8, "big") + bytes(8)
            body += b"".join(encode(key, value) for key, value in log[start:])
        else:
            writer.write(render("HTTP/1.1 404 Not Found", {}))
            return
        writer.write(render("HTTP/1.1 200 OK", {}, body))


def newest(log: list[tuple[str, bytes]]) -> bytes:
    """Return the answer to a call for the newest record of each key."""
    items: dict[str, dict[str, Any]] = {}
    for offset, (key, value) in enumerate(log):
        if not value:
            items.pop(key, None)
            continue
        text = base64.b64encode(value).decode()
        items[key] = {"key": key, "value": text, "offset": offset}
    page = {"items": list(items.values()), "has_more": False, "end": len(log)}
    return json.dumps(page).encode()


def encode(key: str, value: bytes) -> bytes:
    """Return one record of a keyed topic."""
    content = bytes([len(key)]) + key.encode() + value
    return len(content).to_bytes(4, "big") + content


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route of a manifest."""
    return {
        "name": name,
        "host": "shop.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 6000,
        "target_latency_ms": 1900,
        "priority": 1,
        "max_attempts": 1,
        "public": True,
        **more,
    }


def service(name: str, **more: Any) -> dict[str, Any]:
    """Return a service of a manifest."""
    return {
        "name": name,
        "health_check": "/healthz",
        "max_connections": 500,
        "cold_start_s": 0.0,
        "cold_per_s": 0.0,
        **more,
    }


def pieces(batch: int, call_ms: float, item_ms: float) -> dict[str, Any]:
    """Return what a manifest says of a service used by a stage."""
    return {
        "slots": 1,
        "queue": 2,
        "batch": batch,
        "call_ms": call_ms,
        "item_ms": item_ms,
        "headroom_mb": 18.0,
        "handle_s": 4.0,
        "link_mbps": 10000,
    }


def manifest(
    routes: list[dict[str, Any]], services: list[dict[str, Any]], version: int = 1
) -> dict[str, Any]:
    """Return a manifest."""
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 5000,
        "idle_timeout_ms": 15000,
    }
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
        "tenants": [],
    }


@dataclass
class Vm:
    """One process of the system."""

    name: str
    host: str
    front: str
    readiness: str
    settings: Path
    log: Path
    process: subprocess.Popen[bytes] | None = None


@dataclass
class Deployment:
    """Store, runners and VMs of one case."""

    record: Record
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp()))
    vms: list[Vm] = field(default_factory=list)
    network: str = ""
    base: int = 0
    store: Store | None = None
    seq: int = 0

    def __post_init__(self) -> None:
        """Choose loopback addresses and a range of ports that are free."""
        pid = os.getpid()
        self.network = f"127.{2 + pid % 250}.{1 + pid // 250 % 250}"
        for base in range(21000, 29000, 40):
            if all(self.is_free(base + n) for n in (0, 1, 2, 10, 25)):
                self.base = base
                return
        raise SetupError("no free ports")

    def is_free(self, port: int) -> bool:
        """Return whether a port is free on the first addresses."""
        for number in (1, 2, 3, 200):
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((f"{self.network}.{number}", port))
                except OSError:
                    return False
        return True

    async def start_store(self, value: dict[str, Any]) -> Store:
        """Start the store with a manifest."""
        self.store = Store(f"{self.network}.200", self.base)
        await self.store.start()
        self.store.put("keyed.op", "config", value)
        return self.store

    def register(self, name: str, service_name: str, address: str, **more: Any) -> None:
        """Write the entry of a runner."""
        assert self.store is not None
        self.seq += 1
        entry = {
            "service": service_name,
            "address": address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": self.seq,
            "born": 1_700_000_000_000,
            **more,
        }
        self.store.put("keyed.servers", name, entry)
        self.record.write(f"store: servers/{name} {json.dumps(entry)}")

    def add_vm(self, grace_s: int = 8) -> Vm:
        """Write the settings of a VM and start it."""
        number = len(self.vms) + 1
        host = f"{self.network}.{number}"
        control = self.base + 3
        settings = {
            "node": f"front-a-{number}",
            "role": "gateway",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": host,
            "zone": "zone-a",
            "region": "region-a",
            "zones": {"zone-a": "region-a"},
            "listen": {
                "front": f"{host}:{self.base + 1}",
                "readiness": f"{host}:{self.base + 2}",
                "control": f"{host}:{control}",
            },
            "port_range": [self.base + 10, self.base + 25],
            "seeds": [f"{self.network}.{n}:{control}" for n in (1, 2)],
            "bootstrap": True,
            "limits": {"cpu_share": 0.537, "cores": 2, "link_mbps": 1000.0},
            "heartbeat_ms": 1200,
            "bounds": {
                "contact_ms": 3000,
                "drain_ms": 2000,
                "grace_s": grace_s,
                "loss_slack_ms": 200,
                "config_ms": 2000,
                "retry_budget_ratio": 0.2,
                "retry_window_s": 10,
                "retry_slack": 58,
            },
            "platform": {
                "address": f"{self.network}.200:{self.base}",
                "form": "log",
                "writes_per_s": 400,
                "reads_per_s": 2000,
            },
        }
        path = self.folder / f"vm-{number}.json"
        path.write_text(json.dumps(settings))
        listen = settings["listen"]
        assert isinstance(listen, dict)
        vm = Vm(
            f"front-a-{number}",
            host,
            listen["front"],
            listen["readiness"],
            path,
            self.folder / f"vm-{number}.log",
        )
        self.vms.append(vm)
        self.start_process(vm)
        return vm

    def start_process(self, vm: Vm) -> None:
        """Start the program of the deploy file with a VM's settings."""
        environment = {
            **os.environ,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CUMINSTILE_SETTINGS": str(vm.settings),
        }
        with vm.log.open("ab") as log:
            vm.process = subprocess.Popen(
                [sys.executable, "-m", "cuminstile.platform"],
                cwd=ROOT,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )
        self.record.write(f"{vm.name}: started")

    async def wait_ready(self) -> None:
        """Wait until all VMs answer their readiness checks with 200."""
        deadline = time.monotonic() + START_TIMEOUT_S
        for vm in self.vms:
            while True:
                if time.monotonic() > deadline:
                    raise SetupError(f"{vm.name} is not ready")
                try:
                    answer = await ask(vm.readiness, "GET", "/api/readyz", {})
                    if answer.status == 200:
                        break
                except (OSError, asyncio.IncompleteReadError):
                    pass
                await asyncio.sleep(0.1)
            self.record.write(f"{vm.name}: ready")

    def send_signal(self, vm: Vm, number: signal.Signals) -> None:
        """Send a signal to the process of a VM."""
        assert vm.process is not None
        self.record.write(f"{vm.name}: {number.name}")
        vm.process.send_signal(number)

    def events(self, vm: Vm, name: str) -> list[dict[str, Any]]:
        """Return the events of one name in the log of a VM."""
        lines = vm.log.read_text(errors="replace").splitlines()
        found = (json.loads(line) for line in lines if line.startswith("{"))
        return [event for event in found if event.get("event") == name]

    def stop(self) -> None:
        """End all processes, and remove the folder."""
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
            if vm.process is not None:
                vm.process.wait()
        if os.environ.get("KEEP_LOGS"):
            for vm in self.vms:
                shutil.copy(vm.log, os.environ["KEEP_LOGS"])
        shutil.rmtree(self.folder, ignore_errors=True)


async def ask(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
) -> Message:
    """Send one request on a new channel and return its answer."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(
            render(
                f"{method} {target} HTTP/1.1", {"Host": "shop.example", **headers}, body
            )
        )
        return await read_message(reader)
    finally:
        writer.close()


def run_case(main: Callable[[Deployment, Record], Awaitable[bool]], path: str) -> None:
    """Run a case; its function returns whether the rule held."""

    async def run() -> int:
        record = Record(Path(path).resolve().parent)
        record.write(f"TROUBLE={int(TROUBLE)}")
        try:
            deployment = Deployment(record)
        except SetupError as error:
            record.write(f"not run: {error}")
            return NOT_RUN
        try:
            async with asyncio.timeout(110):
                held = await main(deployment, record)
        except (SetupError, TimeoutError) as error:
            record.write(f"not run: {error!r}")
            return NOT_RUN
        finally:
            deployment.stop()
        record.write("the rule held" if held else "THE RULE WAS BROKEN")
        return HELD if held else BROKEN

    sys.exit(asyncio.run(run()))

"""Stand-ins of the platform for the cases of this review: store, runners, VMs, clients.

They follow the users' pages, use the standard library alone, and run in one process.
The VMs are the project's own program, started as `deploy/system.toml` says.
"""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KEY = "9dnn2ctnfzs989anu6ws"
TENANT = "bozi300"
HOST = "pule25.example"
START_S = 20.0
HEARTBEAT_S = 1.2
BROKEN, HELD, NOT_RUN = 1, 0, 2
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_ms": 2000,
    "regression_slack_ms": 250,
    "outer_ms": 5000,
    "strict_revoke": False,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 52,
    "expose_share": 0.1,
    "expose_slack": 50,
    "rollback_ms": 5000,
    "cold_over": 1.5,
    "cold_slack": 5,
    "evacuate_ms": 5000,
    "recover_s": 12,
    "pass_ms": 120,
    "again_s": 7.6,
}
MACHINE = {
    "cpu_share": 0.537,
    "cores": 2,
    "memory_mb": 300,
    "max_fds": 4200,
    "link_mbps": 1000.0,
    "disk_mb": 0,
}
CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "engine",
    "stream",
    "tenants",
    "places",
    "rollout",
    "platform",
    "stages",
]


class Record:
    """What was sent, answered and run, one line an event, in `record.txt`."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.start = time.monotonic()

    def line(self, what: str, **values: object) -> None:
        """Write an event with the seconds since the start."""
        text = " ".join(f"{name}={value}" for name, value in values.items())
        now_s = time.monotonic() - self.start
        print(f"{now_s:8.3f} {what} {text}", file=self.file, flush=True)

    def say(self, text: str) -> None:
        """Write a line to the record and to the standard output."""
        self.line(text)
        print(text, flush=True)


@dataclass
class HttpMessage:
    """A request or an answer, with header names in lower case."""

    first: str
    headers: dict[str, str]
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> HttpMessage:
    """Read the head of a message."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines if line)
    return HttpMessage(first, {n.lower(): v.strip() for n, v in pairs})


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read the body of a message that has a length or chunks."""
    if headers.get("transfer-encoding") != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b"\r\n")
    return body


def answer_bytes(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} Answer"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


@dataclass
class Topic:
    """A partition of the store's log, with the time of each record."""

    records: list[bytes] = field(default_factory=list)
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)


def keyed(key: str, value: bytes) -> bytes:
    """Return the content of a record of a keyed topic."""
    return bytes([len(key.encode())]) + key.encode() + value


class Store:
    """The platform's store as far as the system uses it; it never fails."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.topics: dict[str, Topic] = {}

    async def serve(self, host: str, port: int) -> asyncio.Server:
        """Listen on an address."""
        return await asyncio.start_server(self.connection, host, port)

    def topic(self, name: str) -> Topic:
        """Return a topic, which is created on first use."""
        return self.topics.setdefault(name, Topic())

    async def put(self, topic: str, key: str, value: object | None) -> None:
        """Append the record of a key as the operator or a runner does."""
        raw = b"" if value is None else json.dumps(value).encode()
        await self.append(topic, [keyed(key, raw)])

    async def append(self, name: str, contents: Iterable[bytes]) -> tuple[int, int]:
        """Append records; return the offset of the first one, and the end."""
        topic = self.topic(name)
        async with topic.changed:
            first = len(topic.records)
            topic.records += contents
            topic.changed.notify_all()
            return first, len(topic.records)

    async def connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of one connection."""
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                message = await read_head(reader)
                body = await read_body(reader, message.headers)
                status, kind, content = await self.answer(message.first, body)
                head = {"Content-Type": kind, "Store-Era": "1"}
                writer.write(answer_bytes(status, head, content))
                await writer.drain()
        writer.close()

    async def answer(self, first: str, body: bytes) -> tuple[int, str, bytes]:
        """Return status, type and body of the answer to a call."""
        _, target, _ = first.split(" ")
        path, _, query = target.partition("?")
        fields = dict(part.split("=", 1) for part in query.split("&") if part)
        topic = self.topic(fields.get("topic", ""))
        await asyncio.sleep(0.004)
        if path == "/api/log-newest":
            return 200, "application/json", json.dumps(newest(topic)).encode()
        if path == "/api/log-read":
            status, content = await self.read(topic, fields)
            return status, "application/octet-stream", content
        if path == "/api/log-append":
            at = int(fields.get("at", len(topic.records)))
            if at != len(topic.records):
                end = json.dumps({"end": len(topic.records)}).encode()
                return 412, "application/json", end
            first_offset, end_offset = await self.append(
                fields["topic"], split_records(body)
            )
            content = json.dumps({"offset": first_offset, "end": end_offset}).encode()
            return 200, "application/json", content
        return 404, "application/json", b"{}"

    async def read(self, topic: Topic, fields: dict[str, str]) -> tuple[int, bytes]:
        """Return the records from an offset on, after a wait for the first one."""
        start = int(fields["from"])
        if start > len(topic.records):
            return 410, json.dumps({"first": 0}).encode()
        with suppress(TimeoutError):
            async with asyncio.timeout(int(fields.get("wait_ms", "0")) / 1000.0):
                async with topic.changed:
                    await topic.changed.wait_for(lambda: len(topic.records) > start)
        body = struct.pack(">QQ", len(topic.records), 0)
        for content in topic.records[start:]:
            body += struct.pack(">I", len(content)) + content
        return 200, body


def newest(topic: Topic) -> dict[str, object]:
    """Return the newest record of each key."""
    values: dict[str, dict[str, object]] = {}
    for offset, content in enumerate(topic.records):
        size = content[0]
        key, value = content[1 : 1 + size].decode(), content[1 + size :]
        values.pop(key, None)
        if value:
            text = base64.b64encode(value).decode()
            values[key] = {"key": key, "value": text, "offset": offset}
    items = list(values.values())
    return {"items": items, "has_more": False, "end": len(topic.records)}


def split_records(body: bytes) -> list[bytes]:
    """Return the contents of framed records."""
    contents = []
    while body:
        size = int.from_bytes(body[:4], "big")
        contents.append(body[4 : 4 + size])
        body = body[4 + size :]
    return contents


@dataclass(frozen=True)
class Arrival:
    """A request that reached a runner, at a monotonic time in seconds."""

    at_s: float
    attempt: str
    runner: str
    outcome: str


@dataclass
class Runner:
    """A runner of a plain service, or an engine that answers with a stream.

    Parameters
    ----------
    work_s : float
        How long a request runs, or the pause between the events of a stream.
    events : int
        Events of a stream; 0 for a plain answer.
    cold_until_s : float
        Until when it is cold, in monotonic seconds.
    cold_most : float
        It crashes while it is cold if more requests come in one second.
    overloaded : bool
        Whether it has crashed so.
    """

    name: str
    service: str
    store: Store
    record: Record
    zone: str = "a"
    slots: int = 8
    queue: int = 16
    work_s: float = 0.01
    events: int = 0
    cold_until_s: float = 0.0
    cold_most: float = float("inf")
    overloaded: bool = False
    state: str = "ready"
    seq: int = 0
    address: str = ""
    running: int = 0
    waiting: int = 0
    arrivals: list[Arrival] = field(default_factory=list)
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    server: asyncio.Server | None = None
    places: asyncio.Semaphore = field(init=False)
    beats: asyncio.Task[None] | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.places = asyncio.Semaphore(self.slots)

    async def start(self, host: str, port: int = 0) -> None:
        """Listen on a port, a free one at first, and register in the store."""
        self.server = await asyncio.start_server(self.connection, host, port)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        await self.beat()
        self.beats = asyncio.create_task(self.run_beats())

    async def beat(self) -> None:
        """Write this runner's entry in the store."""
        self.seq += 1
        cold_ms = max(0.0, self.cold_until_s - time.monotonic()) * 1000.0
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": round(cold_ms),
            "seq": self.seq,
            "born": self.born,
        }
        await self.store.put("keyed.servers", self.name, entry)

    async def run_beats(self) -> None:
        """Write the entry in the usual interval, without end."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.beat()

    def crash(self) -> None:
        """End the process: reset all channels, listen and beat no more."""
        assert self.server is not None
        self.server.close()
        if self.beats is not None:
            self.beats.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record.line("runner crashed", name=self.name)

    async def restart(self, cold_s: float) -> None:
        """Start again under the same id and address, as a new process that is cold."""
        self.born = int(time.time() * 1000)
        self.seq = self.running = self.waiting = 0
        self.places = asyncio.Semaphore(self.slots)
        self.cold_until_s = time.monotonic() + cold_s
        host, _, port = self.address.partition(":")
        self.record.line("runner restarted", name=self.name)
        await self.start(host, int(port))

    async def lapse(self) -> None:
        """Have the store remove the entry after three beats of silence."""
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.store.put("keyed.servers", self.name, None)

    def load(self) -> str:
        """Return the load as the runner tells it."""
        return f"{self.running},{self.waiting},{self.slots}"

    def arrive(self, attempt: str, outcome: str) -> None:
        """Note that a request has come."""
        now_s = time.monotonic()
        self.arrivals.append(Arrival(now_s, attempt, self.name, outcome))
        self.record.line(f"runner {self.name}", attempt=attempt, outcome=outcome)
        if now_s < self.cold_until_s and not self.overloaded:
            lately = sum(one.at_s > now_s - 1.0 for one in self.arrivals[-200:])
            if lately > self.cold_most:
                self.overloaded = True
                self.crash()
                self.beats = asyncio.create_task(self.lapse())

    async def connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        self.writers.add(writer)
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                message = await read_head(reader)
                message.body = await read_body(reader, message.headers)
                await self.answer(message, writer)
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def answer(self, message: HttpMessage, writer: asyncio.StreamWriter) -> None:
        """Answer one request, or refuse it without running it."""
        headers = message.headers
        attempt = headers.get("attempt-id", "")
        told = {"Attempt-Id": attempt, "Instance-Load": self.load()}
        if headers.get("expect-instance", self.name) != self.name:
            told = {"Instance-Id": self.name, **told}
            writer.write(answer_bytes(421, told))
            return
        refusal = self.refusal(message)
        if refusal:
            self.arrive(attempt, f"rejected-{refusal}")
            told["Not-Executed"] = "1"
            writer.write(answer_bytes(refusal, told))
            return
        self.waiting += 1
        async with self.places:
            self.waiting -= 1
            self.running += 1
            try:
                self.arrive(attempt, "run")
                await self.run(message, attempt, writer)
            finally:
                self.running -= 1

    def refusal(self, message: HttpMessage) -> int:
        """Return the status with which a request is rejected unrun, 0 for none."""
        del message
        return 503 if self.waiting >= self.queue else 0

    async def run(
        self, message: HttpMessage, attempt: str, writer: asyncio.StreamWriter
    ) -> None:
        """Run one request and write its answer."""
        del message
        seal = {"Attempt-Id": attempt, "Response-Seal": f"3e1b.{attempt}"}
        seal["Instance-Load"] = self.load()
        if not self.events:
            await asyncio.sleep(self.work_s)
            writer.write(answer_bytes(200, seal, f"answer to {attempt}".encode()))
            return
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in seal.items()]
        lines.append("Transfer-Encoding: chunked")
        await asyncio.sleep(self.work_s)
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(1, self.events + 1):
            event = f"id: {number}\ndata: {attempt}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.work_s)
        writer.write(b"0\r\n\r\n")


@dataclass
class Vm:
    """One process of the project's program; None while it is down."""

    number: int
    zone: str
    host: str
    settings: Path
    log: Path
    process: subprocess.Popen[bytes] | None = None
    in_rotation: bool = False
    misses: int = 0


@dataclass
class Outcome:
    """What a client saw of one request; status 0 for a channel without an answer."""

    attempt: str
    sent_s: float
    status: int
    body: bytes = b""
    whole: bool = False
    took_s: float = 0.0


@dataclass
class Site:
    """A small installation on loopback addresses."""

    record: Record
    folder: Path
    vm_count: int
    zones: tuple[str, ...] = ("a", "b", "c")
    seeds: tuple[int, ...] = (0, 1, 2)
    vms: list[Vm] = field(default_factory=list)
    runners: list[Runner] = field(default_factory=list)
    outcomes: list[Outcome] = field(default_factory=list)
    attempts: itertools.count[int] = field(default_factory=itertools.count)
    tasks: set[asyncio.Task[object]] = field(default_factory=set)
    random: random.Random = field(default_factory=lambda: random.Random(7))
    machine: dict[str, float] = field(default_factory=lambda: dict(MACHINE))
    keeps_logs: bool = True
    port: int = 0
    network: str = ""

    def __post_init__(self) -> None:
        self.store = Store(self.record)
        self.network = f"127.{10 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
        self.port = free_ports(self.network, self.vm_count)

    async def start(self, manifest: dict[str, object]) -> None:
        """Start the store, and write the manifest."""
        await self.store.serve(f"{self.network}.250", self.port)
        await self.store.put("keyed.op", "config", manifest)

    async def add_runner(self, runner: Runner) -> Runner:
        """Start a runner."""
        self.runners.append(runner)
        await runner.start(f"{self.network}.251")
        self.record.line("runner added", name=runner.name, address=runner.address)
        return runner

    def control(self, number: int) -> str:
        """Return the address of a VM for `control`, as `seeds` names it."""
        return f"{self.network}.{number + 1}:{self.port + 3}"

    def start_vm(self, number: int) -> Vm:
        """Start a VM, or start it again."""
        if number < len(self.vms):
            vm = self.vms[number]
        else:
            zone = self.zones[number % len(self.zones)]
            host = f"{self.network}.{number + 1}"
            settings = self.folder / f"vm-{number}.json"
            settings.write_text(json.dumps(self.settings(number, zone, host)))
            vm = Vm(number, zone, host, settings, self.folder / f"vm-{number}.log")
            self.vms.append(vm)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        (role,) = deploy["roles"].values()
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["CUMINSTILE_SETTINGS"] = str(vm.settings)
        target = vm.log if self.keeps_logs else Path(os.devnull)
        with target.open("ab") as log:
            vm.process = subprocess.Popen(
                role["run"].split(" "),
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )
        self.record.line("vm started", number=number, pid=vm.process.pid)
        return vm

    def rewrite_settings(self, numbers: Iterable[int], seeds: tuple[int, ...]) -> None:
        """Name other seeds in the settings files of some VMs, without a signal."""
        self.seeds = seeds
        for number in numbers:
            vm = self.vms[number]
            new = vm.settings.with_suffix(".new")
            new.write_text(json.dumps(self.settings(number, vm.zone, vm.host)))
            new.replace(vm.settings)
        self.record.line("settings changed", seeds=seeds)

    def settings(self, number: int, zone: str, host: str) -> dict[str, object]:
        """Return the settings file of a VM, as the deploy template renders it."""
        fields = {
            "node": f"front-{zone}-{number}",
            "role": "gateway",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": host,
            "zone": zone,
            "region": "r",
            "zones": dict.fromkeys(self.zones, "r"),
            "listen": {
                "front": f"{host}:{self.port + 1}",
                "readiness": f"{host}:{self.port + 2}",
                "control": f"{host}:{self.port + 3}",
            },
            "port_range": [self.port + 4, self.port + 5],
            "seeds": [self.control(seed) for seed in self.seeds],
            "bootstrap": False,
            "loss_counts": False,
            "limits": self.machine,
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "contracts": CONTRACTS,
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": f"{self.network}.250:{self.port}",
                "form": "log",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "parts": 12,
                "append_ms": 2.0,
                "record_bytes": 262144,
                "call_bytes": 2097152,
                "keep_s": 300,
                "part_mb": 200,
                "ttl_min_ms": 1000,
            },
        }
        return {"hedging": {"share": 0.0, "busy_share": 0.5}, "fields": fields}

    def kill(self, number: int) -> None:
        """End a VM's process at once."""
        vm = self.vms[number]
        assert vm.process is not None
        vm.process.send_signal(signal.SIGKILL)
        vm.process.wait()
        vm.process = None
        vm.in_rotation = False
        self.record.line("vm killed", number=number)

    async def run_memory_limit(self, on_kill: Callable[[Vm, int], None]) -> None:
        """Kill each process that exceeds the memory of its machine; start it again."""
        while True:
            await asyncio.sleep(0.1)
            for vm in self.vms:
                used_mb = 0 if vm.process is None else resident_mb(vm.process.pid)
                if used_mb > self.machine["memory_mb"]:
                    self.kill(vm.number)
                    on_kill(vm, used_mb)
                    await asyncio.sleep(0.3)
                    self.start_vm(vm.number)

    async def run_balancer(self) -> None:
        """Ask each VM once a second whether it is ready; two misses take it out."""
        while True:
            await asyncio.gather(*(self.check(vm) for vm in self.vms))
            await asyncio.sleep(1.0)

    async def check(self, vm: Vm) -> None:
        """Ask one VM whether it is ready."""
        ok = False
        with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(0.9):
                answer = await call(vm.host, self.port + 2, "GET", "/api/readyz", {})
                ok = answer.status == 200
        vm.misses = 0 if ok else vm.misses + 1
        if ok != vm.in_rotation and (ok or vm.misses >= 2):
            vm.in_rotation = ok
            self.record.line("rotation", vm=vm.number, ready=ok)

    async def wait_ready(self, numbers: Iterable[int]) -> None:
        """Wait until some VMs are in rotation."""
        end_s = time.monotonic() + START_S
        while not all(self.vms[number].in_rotation for number in numbers):
            if time.monotonic() > end_s:
                raise TimeoutError("the VMs did not become ready")
            await asyncio.sleep(0.05)

    def spawn(self, job: Awaitable[object]) -> asyncio.Task[object]:
        """Run a job in the background."""
        task: asyncio.Task[object] = asyncio.ensure_future(job)  # type: ignore
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def request(
        self,
        vm: Vm,
        method: str,
        path: str,
        timeout_s: float = 3.0,
        body: bytes = b"",
        **more: str,
    ) -> Outcome:
        """Send one request of a client on a channel of its own."""
        attempt = f"{next(self.attempts):016x}"
        headers = {
            "Host": HOST,
            "Attempt-Id": attempt,
            "Deadline-Ms": str(round(timeout_s * 1000)),
            "Authorization": f"Bearer {KEY}",
            **{name.replace("_", "-"): value for name, value in more.items()},
        }
        outcome = Outcome(attempt, time.monotonic(), 0)
        shown = {n: v[:40] for n, v in more.items()}
        self.record.line("sent", attempt=attempt, vm=vm.number, path=path, **shown)
        with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(timeout_s + 0.2):
                answer = await call(vm.host, self.port + 1, method, path, headers, body)
                outcome.status, outcome.body = answer.status, answer.body
                outcome.whole = answer.whole
        outcome.took_s = time.monotonic() - outcome.sent_s
        self.outcomes.append(outcome)
        took_ms = round(outcome.took_s * 1000)
        self.record.line(
            "answered",
            attempt=attempt,
            vm=vm.number,
            status=outcome.status,
            whole=outcome.whole,
            took_ms=took_ms,
        )
        return outcome

    async def run_traffic(self, per_s: float, send: Callable[[Vm], None]) -> None:
        """Send requests at a rate, each to one of the VMs in rotation."""
        next_s = time.monotonic()
        while True:
            next_s += self.random.expovariate(per_s)
            await asyncio.sleep(max(0.0, next_s - time.monotonic()))
            ready = [vm for vm in self.vms if vm.in_rotation]
            if ready:
                send(self.random.choice(ready))

    async def end(self) -> None:
        """End all that was started."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        for task in list(self.tasks):
            task.cancel()
        for runner in self.runners:
            if runner.beats is not None:
                runner.beats.cancel()
        for vm in self.vms:
            if vm.process is not None:
                vm.process.kill()
                vm.process.wait()


@dataclass
class Answer:
    """An answer to a client; `whole` if it was received to its end."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


async def call(
    host: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
) -> Answer:
    """Send one request on a new channel and return its answer."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(request_bytes(method, path, headers, body))
        return await read_answer(reader)
    finally:
        writer.transport.abort()


def request_bytes(
    method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Return the next answer of a channel, which may be incomplete."""
    head = await read_head(reader)
    status = int(head.first.split(" ")[1])
    try:
        body, whole = await read_body(reader, head.headers), True
    except (asyncio.IncompleteReadError, ValueError):
        body, whole = b"", False
    return Answer(status, head.headers, body, whole)


def resident_mb(pid: int) -> int:
    """Return the memory of a process in MB, 0 if it has ended."""
    with suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) // 1024
    return 0


def free_ports(network: str, vms: int) -> int:
    """Return the first of six ports that are free on all addresses of a site."""
    hosts = [f"{network}.{number + 1}" for number in range(vms)]
    hosts += [f"{network}.250"]
    for first in range(7_700, 9_700, 10):
        if all(is_free(host, first + n) for host in hosts for n in range(6)):
            return first
    raise OSError("no free ports")


def is_free(host: str, port: int) -> bool:
    """Return whether a TCP port can be bound."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True


def make_route(name: str, kind: str, service: str, **fields: object) -> dict:
    """Return a route of the manifest."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 400,
        "priority": 2,
        "service": service,
        "max_attempts": 2 if kind == "safe" else 1,
        "public": False,
        **fields,
    }


def make_service(name: str, **fields: object) -> dict:
    """Return a service of the manifest."""
    return {
        "name": name,
        "health_check": "/healthz",
        "max_connections": 96,
        "cold_start_s": 3.0,
        "cold_per_s": 22.0,
        **fields,
    }


def make_manifest(
    routes: list[dict], services: list[dict], version: int = 1
) -> dict[str, object]:
    """Return a manifest with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


def most_in_a_second(runner: Runner, since_s: float) -> int:
    """Return the most requests that reached a cold runner in any one second."""
    times = [
        a.at_s for a in runner.arrivals if since_s <= a.at_s <= runner.cold_until_s
    ]
    return max((sum(s <= t < s + 1.0 for t in times) for s in times), default=0)


def lost_at(runner: Runner, outcomes: Iterable[Outcome]) -> int:
    """Return how many requests that a runner began on ended without a success."""
    begun = {one.attempt for one in runner.arrivals if one.outcome == "run"}
    return sum(one.attempt in begun and one.status != 200 for one in outcomes)


def has_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    case: Path, vm_count: int, play: Callable[[Site], Awaitable[bool]]
) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if not run."""
    record = Record(case)
    with tempfile.TemporaryDirectory() as folder:

        async def main() -> int:
            site = Site(record, Path(folder), vm_count)
            try:
                async with asyncio.timeout(110.0):
                    return BROKEN if await play(site) else HELD
            except (OSError, TimeoutError) as error:
                record.say(f"the case could not run: {error!r}")
                return NOT_RUN
            finally:
                await site.end()

        code = asyncio.run(main())
    record.say(f"trouble={has_trouble()} exit={code}")
    sys.exit(code)

"""A pool of model runners restarts twice; a kind of request is refused from then on."""

from __future__ import annotations

import asyncio
import socket
import struct
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    TROUBLE,
    Deployment,
    HttpServer,
    Message,
    Record,
    ask,
    manifest,
    read_message,
    render,
    route,
    run_case,
    service,
)

VMS = 3
MODEL_RUNNERS = 5
PLAIN_RUNNERS = 3
CONTACT_S = 3.0
CRASHES_AT_S = (1.5, 5.1)
DOWN_S = 2.0
SILENCE_S = 3.6
"""Three ping intervals, after which an entry is removed."""
LENGTH_S = 36.0
PAUSE_S = 0.1
FIRST_EVENT_S = 1.2
EVENT_GAP_S = 0.1
EVENTS = 8
SHARED_PART = "5e"
KINDS = ("report", "lookup")


@dataclass
class ModelRunner:
    """A sound model runner, apart from its crashes; each start has its own id."""

    place: str
    host: str
    deployment: Deployment
    record: Record
    starts: int = 0
    server: asyncio.Server | None = None
    channels: set[asyncio.StreamWriter] = field(default_factory=set)

    @property
    def name(self) -> str:
        """Return the id of the newest start."""
        return f"{self.place}-{self.starts}"

    async def start(self) -> None:
        """Listen and write the entry."""
        self.starts += 1
        self.server = await asyncio.start_server(self.serve, self.host, 0)
        port = self.server.sockets[0].getsockname()[1]
        born = int(time.time() * 1000)
        self.deployment.register(
            self.name, "keepers-llm", f"{self.host}:{port}", slots=128, born=born
        )

    def crash(self) -> None:
        """Stop listening and reset all channels."""
        assert self.server is not None
        self.server.close()
        for writer in list(self.channels):
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        store = self.deployment.store
        assert store is not None
        loop = asyncio.get_running_loop()
        loop.call_later(SILENCE_S, store.put, "keyed.servers", self.name, None)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one channel in order."""
        self.channels.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if not message.complete:
                    break
                await self.answer(message.headers["attempt-id"], writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    async def answer(self, attempt: str, writer: asyncio.StreamWriter) -> None:
        """Stream the events of one answer."""
        self.record.write(f"{self.name}: runs {attempt}")
        await asyncio.sleep(FIRST_EVENT_S)
        head = (
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n"
            f"Response-Seal: seal-{attempt}\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        for number in range(1, EVENTS + 1):
            event = b"id: %d\ndata: x\n\n" % number
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def look_up(message: Message, writer: asyncio.StreamWriter) -> None:
    """Answer a request of the plain service."""
    await asyncio.sleep(0.03)
    attempt = message.headers["attempt-id"]
    head = {"Attempt-Id": attempt, "Response-Seal": f"seal-{attempt}"}
    writer.write(render("HTTP/1.1 200 OK", head, b"rental"))


@dataclass
class Consumers:
    """Requests by kind, and how they ended."""

    deployment: Deployment
    record: Record
    asked: dict[str, int] = field(default_factory=dict)
    served: dict[str, int] = field(default_factory=dict)

    async def ask(self, kind: str, number: int) -> None:
        """Send one request; a refusal is followed by one retry."""
        self.asked[kind] = self.asked.get(kind, 0) + 1
        for retry in range(2):
            attempt = f"{kind}-{number:04x}-{retry}"
            headers = {"Attempt-Id": attempt, "Deadline-Ms": "6000"}
            if kind == "report":
                headers |= {
                    "Model": "m",
                    "Token-Count": "760,60",
                    "Prompt-Prefix": f"{SHARED_PART}:600,"
                    f"{number % 50 + 256:x}:100,{number + 65536:x}:60",
                }
            vm = self.deployment.vms[(number + retry) % VMS]
            body = f"request {number}".encode()
            answer = await ask(vm.front, "POST", f"/{kind}/x", headers, body)
            text = answer.body[:160].decode() if answer.status != 200 else ""
            cut = "" if answer.complete else ", broken off"
            self.record.write(
                f"consumer: {attempt} at {vm.name} is answered {answer.status}{cut}"
                f" {text}"
            )
            if answer.status == 200 and answer.complete:
                self.served[kind] = self.served.get(kind, 0) + 1
            if answer.status not in (429, 503):
                return
            await asyncio.sleep(min(1.0, float(answer.headers["retry-after"])))


async def crash_pool(runners: list[ModelRunner], record: Record, began: float) -> None:
    """Crash all model runners at the given times; they are back after a while."""
    for at_s in CRASHES_AT_S:
        await asyncio.sleep(max(0.0, began + at_s - time.monotonic()))
        record.write("all model runners crash")
        for runner in runners:
            runner.crash()
        await asyncio.sleep(DOWN_S)
        for runner in runners:
            await runner.start()
        record.write("all model runners are back")


async def main(deployment: Deployment, record: Record) -> bool:
    """Return whether each kind of request is served a quarter as often as all."""
    await deployment.start_store(
        manifest(
            [
                route("report", "streaming", "keepers-llm", gap_aim_ms=300),
                route("lookup", "safe", "rentals", max_attempts=2),
            ],
            [
                service("keepers-llm", engine={"slots": 128, "kv_capacity": 467411}),
                service("rentals", max_connections=52),
            ],
        )
    )
    runners = []
    for number in range(MODEL_RUNNERS):
        host = f"{deployment.network}.{201 + number}"
        runner = ModelRunner(f"llm-{number}", host, deployment, record)
        await runner.start()
        runners.append(runner)
    for number in range(PLAIN_RUNNERS):
        server = HttpServer(look_up, f"{deployment.network}.{211 + number}")
        deployment.register(f"rentals-{number}", "rentals", await server.start())
    for _ in range(VMS):
        deployment.add_vm()
    await deployment.wait_ready()
    await asyncio.sleep(CONTACT_S)
    consumers = Consumers(deployment, record)
    began = time.monotonic()
    async with asyncio.TaskGroup() as tasks:
        if TROUBLE:
            tasks.create_task(crash_pool(runners, record, began))
        for number in range(int(LENGTH_S / PAUSE_S)):
            for kind in KINDS:
                tasks.create_task(consumers.ask(kind, number))
            await asyncio.sleep(PAUSE_S)
    for vm in deployment.vms:
        for event in deployment.events(vm, "request_quarantined"):
            names = ("part", "crashes", "unrelated")
            record.write(f"{vm.name} logs: { ({name: event[name] for name in names}) }")
    asked, served = consumers.asked, consumers.served
    record.write(f"asked: {asked}")
    record.write(f"served: {served}")
    share = sum(served.values()) / sum(asked.values())
    return all(served.get(kind, 0) / asked[kind] >= share / 4 for kind in KINDS)


if __name__ == "__main__":
    run_case(main, __file__)

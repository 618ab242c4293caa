"""A runner fails bookings that it has run; consumers are told that they never ran."""

from __future__ import annotations

import asyncio
import sys
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
    render,
    route,
    run_case,
    service,
)

RUNNERS = 7
FAILS_TWO_IN = 5
"""The faulty runner fails two of five requests: x = 0.4."""
WORK_S = 0.03
REQUESTS = 140
AT_ONCE = 7


@dataclass
class Desk:
    """A runner; one is faulty and fails some requests after it has run them."""

    name: str
    record: Record
    ran: dict[str, str]
    faulty: bool
    runs: int = 0

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Run one request, then answer it."""
        attempt = message.headers.get("attempt-id", "")
        self.runs += 1
        self.ran[attempt] = self.name
        fails = self.faulty and self.runs % FAILS_TWO_IN in (1, 3)
        await asyncio.sleep(WORK_S)
        head = {
            "Attempt-Id": attempt,
            "Response-Seal": f"seal-{attempt}",
            "Instance-Load": "0,0,6",
        }
        if fails:
            self.record.write(f"{self.name}: ran {attempt} and answers 503")
            writer.write(render("HTTP/1.1 503 Service Unavailable", head, b"failed"))
            return
        self.record.write(f"{self.name}: ran {attempt} and answers 200")
        writer.write(render("HTTP/1.1 200 OK", head, b"placement booked"))


@dataclass
class Outcome:
    """Attempts that ran and that the consumer was told have not run."""

    refused: list[str] = field(default_factory=list)


async def book(front: str, attempt: str, ran: dict[str, str], found: Outcome) -> None:
    """Send one booking."""
    headers = {"Attempt-Id": attempt, "Deadline-Ms": "1500"}
    answer = await ask(front, "POST", "/book/x", headers, b"body")
    if answer.status in (408, 421, 429, 503) and attempt in ran:
        found.refused.append(f"{attempt}: {answer.status}, run by {ran[attempt]}")


async def main(deployment: Deployment, record: Record) -> bool:
    """Return whether no booking that ran is answered as one that never did."""
    await deployment.start_store(
        manifest(
            [route("book", "unsafe", "rentals", timeout_ms=800, target_latency_ms=150)],
            [service("rentals", max_connections=52)],
        )
    )
    ran: dict[str, str] = {}
    for number in range(RUNNERS):
        desk = Desk(f"rentals-{number}", record, ran, TROUBLE and number == 0)
        server = HttpServer(desk.answer, f"{deployment.network}.{201 + number}")
        deployment.register(desk.name, "rentals", await server.start(), slots=6)
    vm = deployment.add_vm()
    await deployment.wait_ready()
    found = Outcome()
    for start in range(0, REQUESTS, AT_ONCE):
        numbers = range(start, start + AT_ONCE)
        await asyncio.gather(
            *(book(vm.front, f"b{number:015x}", ran, found) for number in numbers)
        )
    for line in found.refused:
        record.write(f"consumer: {line}")
    record.write(f"{len(ran)} bookings ran, {len(found.refused)} were refused so")
    return not found.refused


if __name__ == "__main__":
    run_case(main, __file__)

"""The operator takes away the last keys; from then on every request is let through."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

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

TENANTS = ("hotels", "schools", "keepers")
UNKNOWN_KEY = "key-of-nobody"
CONTACT_S = 3.0
CONFIG_S = 2.0
REVOKE_GAP_S = 0.4
VMS = 2


@dataclass
class Desk:
    """The plain service; it notes what it runs."""

    record: Record
    ran: dict[str, str | None] = field(default_factory=dict)

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Run one request."""
        attempt = message.headers.get("attempt-id", "")
        tenant = message.headers.get("tenant")
        self.ran[attempt] = tenant
        self.record.write(f"runner: runs {attempt} for tenant {tenant}")
        head = {"Attempt-Id": attempt, "Response-Seal": f"seal-{attempt}"}
        writer.write(render("HTTP/1.1 200 OK", head, b"placement booked"))


def make_manifest(version: int, keys: dict[str, list[str]]) -> dict[str, Any]:
    """Return a manifest with the keys of each tenant."""
    value = manifest(
        [route("book", "unsafe", "rentals", timeout_ms=800, public=False)],
        [service("rentals", max_connections=52)],
        version,
    )
    value["tenants"] = [
        {"name": name, "api_keys": keys[name], "priority": 1} for name in TENANTS
    ]
    return value


async def send_all(
    deployment: Deployment, desk: Desk, keys: dict[str, str | None], when: str
) -> list[str]:
    """Send a request with each key to each VM; return the attempts that ran."""
    attempts = []
    for vm in deployment.vms:
        for owner, key in keys.items():
            attempt = f"{when}-{owner}-{vm.name}"
            headers = {"Attempt-Id": attempt, "Deadline-Ms": "1500"}
            if key is not None:
                headers["Authorization"] = f"Bearer {key}"
            answer = await ask(vm.front, "POST", "/book/x", headers, b"body")
            desk.record.write(
                f"consumer: {attempt} with key {key} is answered {answer.status}"
            )
            attempts.append(attempt)
    return [attempt for attempt in attempts if attempt in desk.ran]


async def main(deployment: Deployment, record: Record) -> bool:
    """Return whether no request runs with a key that no manifest in force holds."""
    desk = Desk(record)
    keys = {name: [f"key-of-{name}"] for name in TENANTS}
    store = await deployment.start_store(make_manifest(1, keys))
    server = HttpServer(desk.answer, f"{deployment.network}.201")
    deployment.register("rentals-1", "rentals", await server.start(), slots=6)
    for _ in range(VMS):
        deployment.add_vm()
    await deployment.wait_ready()
    await asyncio.sleep(CONTACT_S)
    known: dict[str, str | None] = {name: keys[name][0] for name in TENANTS}
    nobody: dict[str, str | None] = {"stranger": UNKNOWN_KEY, "keyless": None}
    ran = await send_all(deployment, desk, known, "before")
    if len(ran) != VMS * len(TENANTS):
        record.write("requests with keys in force did not run")
        return False
    broken = await send_all(deployment, desk, nobody, "before")
    revoked: dict[str, str | None] = {}
    if TROUBLE:
        for number, name in enumerate(TENANTS):
            keys[name] = []
            store.put("keyed.op", "config", make_manifest(2 + 3 * number, keys))
            record.write(f"operator: takes away the key of {name}; confirmed")
            await asyncio.sleep(REVOKE_GAP_S)
        revoked = known
    await asyncio.sleep(CONFIG_S + 1.0)
    broken += await send_all(deployment, desk, {**revoked, **nobody}, "after")
    for vm in deployment.vms:
        for event in deployment.events(vm, "manifest_in_force"):
            version, count = event["version"], event["organisations"]
            record.write(f"{vm.name}: manifest {version} in force, {count} tenants")
    record.write(f"requests that ran without a key of a manifest in force: {broken}")
    return not broken


if __name__ == "__main__":
    run_case(main, __file__)

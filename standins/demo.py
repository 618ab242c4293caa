"""Demo: start all programs, publish, send, book twice, and kill a VM under load."""

import json
import os
import shlex
import signal
import sys
import tempfile
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import anyio
import fire

from cuminstile.objects.collection import index_objects

from .arrangement import (
    OPERATOR_KEY,
    Arrangement,
    caller_key,
    load_objects,
    objects_in_data_centres,
    plan_vms,
)
from .balancer import Balancer
from .caller import Result, wall_ms
from .fleet import ROOT, Fleet, wait_until_healthy
from .load import LoadProfile, LoadRecord, RequestKind, run_load
from .serving import HOST
from .startup import running

FIRM = "falrendszer"
ORGANISATION = "kozpont"
VM_COUNTS = {"budapest": 2, "budaors": 1}
BOOKING_KEY = "demo-booking-1"
LOAD_MS = 3_000
KILL_AFTER_MS = 1_000
LOAD_PER_S = 10.0
TIMELINE_LINES = 40
WARM = {"warm_after_runs": 0}
CONTROLS = {"engine": {**WARM, "token_ms": 8}, "pool": WARM, "service": WARM}


def arrange() -> Arrangement:
    """Return the arrangement of the demo: two data centres of the example."""
    objects = load_objects(ROOT / "examples" / FIRM)
    return Arrangement(
        objects=tuple(objects_in_data_centres(objects, set(VM_COUNTS))),
        vms=plan_vms(VM_COUNTS),
        controls=CONTROLS,
        settings={"shutdown_linger_ms": 500},
    )


def heading(text: str) -> None:
    """Print the heading of a section."""
    print(f"\n== {text}", flush=True)


async def tool(*arguments: str, quiet: bool = False) -> str:
    """Run the command-line tool as an operator would and return its output."""
    environment = {
        **os.environ,
        "PYTHONPATH": str(ROOT),
        "CUMINSTILE_OPERATOR_KEY": OPERATOR_KEY,
        "CUMINSTILE_CALLER_KEY": caller_key(ORGANISATION),
    }
    print(f"$ cuminstile {shlex.join(arguments)}", flush=True)
    command = [sys.executable, "-m", "cuminstile.cli", *arguments]
    ended = await anyio.run_process(command, check=False, env=environment)
    text = ended.stdout.decode()
    if not quiet:
        print(text + ended.stderr.decode(), end="", flush=True)
    return text


def callers(fleet: Fleet, *names: str) -> str:
    """Return the flag value with the caller ports of the named VMs, by default all."""
    chosen = names or tuple(fleet.vms)
    return ",".join(f"{HOST}:{fleet.vms[name].caller}" for name in chosen)


def operators(fleet: Fleet) -> str:
    """Return the flag value with the operator ports of all running VMs."""
    return ",".join(
        f"{HOST}:{ports.operator}"
        for name, ports in fleet.vms.items()
        if fleet.programs.by_name[name].is_running()
    )


async def publish(fleet: Fleet) -> None:
    """Publish the objects and wait until every VM is ready."""
    folder = str(fleet.objects_folder)
    authority = fleet.arrangement.authority
    flags = ("--authority", str(authority)) if authority else ()
    await tool("check", folder)
    await tool("publish", folder, "--vm", operators(fleet), *flags)
    for name in fleet.vms:
        await wait_until_healthy(fleet, name, "/readyz")


async def stream(fleet: Fleet) -> bool:
    """Send a streaming request through four stages and print the cost of each."""
    question = {"prompt": "Draft a hire contract for 40 panels.", "mark": "demo"}
    flags = ("--input", json.dumps(question), "--stream", "--json")
    text = await tool(
        "send", "hire-contract", "--vm", callers(fleet), *flags, quiet=True
    )
    rows = [json.loads(line) for line in text.splitlines() if line.startswith("{")]
    tokens = [word for row in rows for word in row["data"].get("tokens", ())]
    print(" ".join(tokens))
    if not rows or "steps" not in rows[-1]["data"]:
        print(f"incomplete response: {text}")
        return False
    show_cost(rows[-1]["data"])
    return True


def show_cost(answer: Mapping[str, Any]) -> None:
    """Print the time and attempts of each stage, and where it ran."""
    print(f"{'stage':10} {'ms':>8} {'attempts':>8}  upstream, data centre, VM")
    for step in answer["steps"]:
        where = f"{step['upstream']}, {step['data_centre']}, {step['vm']}"
        cost = f"{step['stage']:10} {step['elapsed_ms']:8.1f} {step['attempts']:8}"
        print(f"{cost}  {where}")


async def book_twice(fleet: Fleet) -> bool:
    """Send one booking twice, through two VMs, and check that it ran once."""
    issued = str(wall_ms())
    first, *_, last = fleet.vms
    flags = ("--idempotency_key", BOOKING_KEY, "--issued_at_ms", issued)
    booking = json.dumps({"panels": 40, "mark": "demo-booking"})
    for vm, more in ((first, ()), (last, ("--resend",))):
        sent = ("--vm", callers(fleet, vm), "--input", booking, *flags, *more)
        await tool("send", "panel-booking", *sent)
    runs = 0
    for name in index_objects(fleet.objects).upstreams:
        response = await fleet.exchange_json("GET", fleet.upstream_ports[name], "/runs")
        runs += sum(run["idempotency_key"] == BOOKING_KEY for run in response["runs"])
    print(f"The services ran the booking {runs} time(s); expected: 1")
    return runs == 1


async def lose_vm(fleet: Fleet) -> bool:
    """Kill a VM under load and check that the others continue to serve."""
    kinds = (
        RequestKind("hire-contract", 4_000, stream=True),
        RequestKind("stock-lookup", 1_000),
    )
    load = LoadProfile(kinds, ((ORGANISATION, 1.0),), LOAD_PER_S, LOAD_MS, seed=1)
    balancer = Balancer(fleet)
    record = LoadRecord()
    victim = list(fleet.vms)[1]
    async with anyio.create_task_group() as tasks:
        await balancer.check()
        tasks.start_soon(balancer.run_check_loop)
        async with anyio.create_task_group() as sending:
            sending.start_soon(run_load, load, balancer.send, record)
            await anyio.sleep(KILL_AFTER_MS / 1000.0)
            fleet.programs.by_name[victim].kill()
            killed = len(record.replies)
            print(f"killed {victim} with SIGKILL after {killed} requests")
        tasks.cancel_scope.cancel()
    answered = [reply.result is Result.ANSWERED for reply in record.replies]
    later = answered[killed:]
    print(f"before: {sum(answered[:killed])} of {killed} answered")
    print(f"after:  {sum(later)} of {len(later)} answered by the others")
    return all(later)


async def show(folder: Path) -> bool:
    """Run the demo and return whether all checks passed."""
    heading("Starting the platform, two data centres with three VMs, and upstreams")
    async with running(arrange(), folder) as fleet:
        names = sorted(fleet.programs.by_name)
        print(f"{len(names)} processes: {', '.join(names)}")
        heading("Publishing the objects")
        await publish(fleet)
        heading("A streaming request through four stages")
        good = [await stream(fleet)]
        heading("One booking, sent twice under the same key")
        good.append(await book_twice(fleet))
        heading("Status")
        await tool("status", "--vm", operators(fleet))
        heading("Killing a VM under load")
        good.append(await lose_vm(fleet))
        heading(f"Timeline (the last {TIMELINE_LINES} events)")
        logs = [str(path) for path in fleet.logs()]
        text = await tool("timeline", *logs, quiet=True)
        print("\n".join(text.splitlines()[-TIMELINE_LINES:]))
    left = [name for name in names if fleet.programs.by_name[name].is_running()]
    heading(
        f"Stopped all {len(names)} processes" if not left else f"Still running: {left}"
    )
    return all(good) and not left


def main() -> None:
    """Run the demo; the exit status is 0 if all checks passed."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    with tempfile.TemporaryDirectory(prefix="cuminstile-demo-") as folder:
        good = anyio.run(show, Path(folder))
    print("The demo passed." if good else "The demo failed.")
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    fire.Fire(main)

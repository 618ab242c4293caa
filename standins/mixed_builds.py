"""Check that two builds work together: on one log, with the same settings, as peers.

`python -m standins.mixed_builds OLD` takes the folder of a checkout of the older build
and prints one line per check; the exit status is 0 if all of them pass. The older
build writes the log first. Then all VMs except one are restarted with this build and
the same settings.
"""

import json
import os
import shlex
import sys
import tempfile
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import anyio
import fire

from cuminstile.objects.collection import index_objects
from cuminstile.objects.model import Organisation

from .arrangement import (
    OPERATOR_KEY,
    Arrangement,
    caller_key,
    load_objects,
    objects_in_data_centres,
    plan_vms,
)
from .caller import wall_ms
from .fleet import ROOT, Fleet, wait_until_healthy
from .processes import Program
from .serving import HOST
from .startup import running

FIRM = "falrendszer"
ORGANISATION = "kozpont"
VM_COUNTS = {"budapest": 2, "budaors": 2}
OLD_BUILD_VM = "budapest-1"
"""The VM that keeps running the older build."""
REQUESTS = 5
SHUTDOWN_TIMEOUT_S = 10.0
WARM = {"warm_after_runs": 0}
CONTROLS = {"engine": {**WARM, "token_ms": 8}, "pool": WARM, "service": WARM}
REFUSED_EVENTS = (
    "peer_message_refused",
    "peer_refused",
    "config_record_refused",
    "claim_record_refused",
    "move_verdict_refused",
    "order_record_refused",
    "settings_refused",
    "internal_error",
)


@dataclass
class Report:
    """Results of the checks.

    Parameters
    ----------
    failed : list of str
        The checks that failed.
    """

    failed: list[str] = field(default_factory=list)

    def check(self, text: str, good: bool, detail: object = "") -> None:
        """Print the result of a check and record it if it failed."""
        print(f"{'ok  ' if good else 'FAIL'} {text} {detail}".rstrip(), flush=True)
        if not good:
            self.failed.append(text)


def arrange() -> Arrangement:
    """Return an arrangement of four VMs in two data centres."""
    objects = load_objects(ROOT / "examples" / FIRM)
    return Arrangement(
        objects=tuple(objects_in_data_centres(objects, set(VM_COUNTS))),
        vms=plan_vms(VM_COUNTS),
        controls=CONTROLS,
        settings={"shutdown_linger_ms": 500},
    )


def environment_of(root: Path) -> dict[str, str]:
    """Return the environment that runs the build of a checkout.

    Without `PYTHONSAFEPATH` the current folder would take precedence over the checkout.
    """
    return {
        **os.environ,
        "PYTHONPATH": str(root),
        "PYTHONSAFEPATH": "1",
        "PYTHONUNBUFFERED": "1",
        "CUMINSTILE_OPERATOR_KEY": OPERATOR_KEY,
        "CUMINSTILE_CALLER_KEY": caller_key(ORGANISATION),
    }


async def tool(root: Path, *arguments: str) -> tuple[int, str]:
    """Run the command-line tool of a build and return its status and output."""
    command = [sys.executable, "-m", "cuminstile.cli", *arguments]
    ended = await anyio.run_process(command, check=False, env=environment_of(root))
    text = (ended.stdout + ended.stderr).decode()
    if ended.returncode:
        print(f"$ cuminstile {shlex.join(arguments)}\n{text}", flush=True)
    return ended.returncode, text


async def restart_with(fleet: Fleet, names: Iterable[str], root: Path) -> None:
    """Shut down VMs and start them again with the build of a checkout."""
    programs: list[tuple[str, Program]] = []
    for name in names:
        program = fleet.programs.by_name[name]
        program.terminate()
        programs.append((name, program))
    for _, program in programs:
        await anyio.to_thread.run_sync(program.wait, SHUTDOWN_TIMEOUT_S)
        program.start(environment_of(root))
    for name, _ in programs:
        await wait_until_healthy(fleet, name)


def operator_port(fleet: Fleet, name: str) -> str:
    """Return the address of a VM's operator port."""
    return f"{HOST}:{fleet.vms[name].operator}"


def caller_port(fleet: Fleet, name: str) -> str:
    """Return the address of a VM's caller port."""
    return f"{HOST}:{fleet.vms[name].caller}"


async def publish(fleet: Fleet, report: Report, root: Path, vm: str) -> None:
    """Publish the objects through one VM and wait until they are in force."""
    folder = str(fleet.objects_folder)
    status, text = await tool(root, "publish", folder, "--vm", operator_port(fleet, vm))
    for name in fleet.vms:
        await wait_until_healthy(fleet, name, "/readyz")
    last = text.strip().splitlines()[-1] if text.strip() else ""
    report.check(f"published through {vm}, in force on every VM:", status == 0, last)


def change_weights(fleet: Fleet, weight: int) -> None:
    """Set the weight of every organisation, so that the objects make a new version."""
    fleet.objects = tuple(
        replace(item, weight=weight) if isinstance(item, Organisation) else item
        for item in fleet.objects
    )
    fleet.write_objects()


async def send(root: Path, fleet: Fleet, vm: str, *flags: str) -> bool:
    """Send one request through a VM and return whether it was answered."""
    status, _ = await tool(root, "send", *flags, "--vm", caller_port(fleet, vm))
    return status == 0


async def check_requests(fleet: Fleet, report: Report, root: Path, vm: str) -> None:
    """Send requests of two pipelines through one VM and check that all are answered."""
    good = 0
    for number in range(REQUESTS):
        draft = json.dumps(
            {"prompt": f"Draft contract {number}.", "mark": f"m{number}"}
        )
        good += await send(root, fleet, vm, "hire-contract", "--input", draft)
        stock = json.dumps({"mark": f"s{number}"})
        good += await send(root, fleet, vm, "stock-lookup", "--input", stock)
    report.check(f"answered through {vm}:", good == 2 * REQUESTS, good)


async def book(
    fleet: Fleet, report: Report, root: Path, vm: str, key: str, issued: str, *more: str
) -> None:
    """Send a booking with an idempotency key through one VM."""
    flags = ("--idempotency_key", key, "--issued_at_ms", issued, *more)
    booking = json.dumps({"panels": 40, "mark": "booking"})
    good = await send(root, fleet, vm, "panel-booking", "--input", booking, *flags)
    report.check(f"booking {key} answered through {vm}{' again' * bool(more)}", good)


async def check_runs(fleet: Fleet, report: Report, keys: Sequence[str]) -> None:
    """Check that the upstreams ran each key exactly once."""
    counts = dict.fromkeys(keys, 0)
    for name in index_objects(fleet.objects).upstreams:
        run_report = await fleet.exchange_json(
            "GET", fleet.upstream_ports[name], "/runs"
        )
        for run in run_report["runs"]:
            if run["idempotency_key"] in counts:
                counts[run["idempotency_key"]] += 1
    report.check("each booking ran once:", set(counts.values()) == {1}, counts)


async def versions(fleet: Fleet, root: Path) -> Mapping[str, int]:
    """Return the version in force on each VM."""
    in_force: dict[str, int] = {}
    for name in fleet.vms:
        vm = operator_port(fleet, name)
        _, text = await tool(root, "status", "--vm", vm, "--json")
        body: dict[str, Any] = json.loads(text[text.index("{") :])
        in_force[name] = body.get("data", body)["version"]
    return in_force


def refused_events(fleet: Fleet) -> dict[str, int]:
    """Count the events in the logs that report a refusal or an internal error."""
    counts: dict[str, int] = {}
    for path in fleet.logs():
        for line in path.read_text("utf-8").splitlines():
            event = json.loads(line).get("event")
            if event in REFUSED_EVENTS:
                key = f"{path.stem} {event}"
                counts[key] = counts.get(key, 0) + 1
    return counts


async def run_checks(old: Path, folder: Path) -> Report:
    """Run all checks on a fleet whose VMs run both builds."""
    report = Report()
    async with running(arrange(), folder) as fleet:
        names = tuple(fleet.vms)
        new_vm, other_vm = names[1], names[-1]
        started = wall_ms()
        issued = str(started)

        print("== All VMs run the older build", flush=True)
        await restart_with(fleet, names, old)
        await publish(fleet, report, old, names[0])
        await check_requests(fleet, report, old, other_vm)
        await book(fleet, report, old, new_vm, "old-key", issued)

        print(
            f"== {OLD_BUILD_VM} keeps the older build, the others run this one",
            flush=True,
        )
        await restart_with(
            fleet, [name for name in names if name != OLD_BUILD_VM], ROOT
        )
        for name in names:
            await wait_until_healthy(fleet, name, "/readyz")
        in_force = await versions(fleet, ROOT)
        report.check(
            "one version in force:", len(set(in_force.values())) == 1, in_force
        )
        await book(fleet, report, ROOT, new_vm, "old-key", issued, "--resend")
        await book(fleet, report, ROOT, OLD_BUILD_VM, "old-key", issued, "--resend")
        await check_requests(fleet, report, ROOT, OLD_BUILD_VM)
        await check_requests(fleet, report, ROOT, new_vm)
        await check_requests(fleet, report, old, other_vm)

        change_weights(fleet, 2)
        await publish(fleet, report, ROOT, new_vm)
        change_weights(fleet, 3)
        await publish(fleet, report, old, OLD_BUILD_VM)
        now = str(wall_ms())
        await book(fleet, report, ROOT, new_vm, "new-key", now)
        await book(fleet, report, old, OLD_BUILD_VM, "new-key", now, "--resend")
        await book(fleet, report, old, OLD_BUILD_VM, "mixed-key", now)
        await book(fleet, report, ROOT, other_vm, "mixed-key", now, "--resend")
        await check_runs(fleet, report, ("old-key", "new-key", "mixed-key"))
        for root, vm in ((old, new_vm), (ROOT, OLD_BUILD_VM)):
            _, text = await tool(root, "status", "--vm", operator_port(fleet, vm))
            report.check(f"status of {vm}:", text.startswith("ok"), text.split("\n")[0])
        in_force = await versions(fleet, old)
        report.check(
            "one version in force:", len(set(in_force.values())) == 1, in_force
        )

        print("== The older build reads the log that this one wrote", flush=True)
        await restart_with(fleet, [new_vm], old)
        await wait_until_healthy(fleet, new_vm, "/readyz")
        await book(fleet, report, old, new_vm, "new-key", now, "--resend")
        await check_requests(fleet, report, old, new_vm)
        refused = refused_events(fleet)
        report.check("nothing refused in the logs:", not refused, refused or "")
    return report


def main(old: str) -> None:
    """Check this build against the checkout of an older one."""
    with tempfile.TemporaryDirectory(prefix="cuminstile-mixed-") as folder:
        report = anyio.run(run_checks, Path(old).resolve(), Path(folder))
    print("All checks passed." if not report.failed else f"Failed: {report.failed}")
    sys.exit(1 if report.failed else 0)


if __name__ == "__main__":
    fire.Fire(main)

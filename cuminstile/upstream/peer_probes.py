"""Probe silent VMs of this data centre, to find out whether they can still act.

The port of a dead process refuses connections. That of a frozen process accepts them,
but sends nothing. A VM that answers is running, and an unreachable one may be running.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

import anyio

from ..vm.membership import Member
from .peers import FROZEN_AFTER_MS, known_here

if TYPE_CHECKING:
    from ..runtime import Vm

SILENT_AFTER_MS = 1_200
PROBE_INTERVAL_MS = 300
PROBE_TIMEOUT_MS = 400
PROBE_MAX_DELAY_MS = 100
PROBE_VALID_MS = 1_000
PROBE_BYTES = b"GET / HTTP/1.1\r\nhost: probe\r\n\r\n"


class ProbeResult(Enum):
    """Result of a connection to the port of another VM."""

    ANSWERS = "answers"
    UNRESPONSIVE = "mute"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"


ProbeVm = Callable[["Vm", Member], Awaitable[ProbeResult]]


@dataclass(frozen=True)
class Probe:
    """The result of a probe, and when the probe began."""

    result: ProbeResult
    at_ms: float


async def probe_vm(vm: Vm, member: Member) -> ProbeResult:
    """Connect to a VM's port for other VMs, and return whether anything answers."""
    host, _, port = member.address.rpartition(":")
    result = ProbeResult.UNREACHABLE
    with anyio.move_on_after(PROBE_TIMEOUT_MS / 1000.0):
        try:
            async with await anyio.connect_tcp(host, int(port)) as stream:
                result = ProbeResult.UNRESPONSIVE
                await stream.send(PROBE_BYTES)
                await stream.receive()
                return ProbeResult.ANSWERS
        except (ConnectionRefusedError, anyio.EndOfStream, anyio.BrokenResourceError):
            # Nothing listens, or a relay accepted the connection for a VM that is down.
            return ProbeResult.REFUSED
        except OSError as error:
            refused = isinstance(error.__cause__, ConnectionRefusedError)
            return ProbeResult.REFUSED if refused else ProbeResult.UNREACHABLE
    return result


@dataclass
class Probes:
    """The latest probe of each silent VM.

    Parameters
    ----------
    running : set of str
        Names of the VMs that are being probed now.
    send : ProbeVm
        Probes one VM.
    """

    by_name: dict[str, Probe] = field(default_factory=dict)
    running: set[str] = field(default_factory=set)
    send: ProbeVm = probe_vm


async def run_probing_loop(vm: Vm) -> None:
    """Probe each silent VM of this data centre regularly until cancelled."""
    probes = vm.leases.probes
    probes.running.clear()
    async with anyio.create_task_group() as tasks:
        while True:
            for name in sorted(silent_here(vm) - probes.running):
                probes.running.add(name)
                tasks.start_soon(probe_once, vm, vm.members.by_name[name])
            await vm.clock.sleep_ms(PROBE_INTERVAL_MS)


def silent_here(vm: Vm) -> frozenset[str]:
    """Return the known VMs of this data centre that have missed a heartbeat."""
    limit_ms = vm.clock.now_ms() - SILENT_AFTER_MS
    members = vm.members.by_name
    others = known_here(vm) & members.keys()
    return frozenset(name for name in others if members[name].last_seen_ms < limit_ms)


async def probe_once(vm: Vm, member: Member) -> None:
    """Probe one VM, and record the result unless it came late.

    A late result is more likely due to delays of this VM than of the other VM.
    """
    probes = vm.leases.probes
    started_ms = vm.clock.now_ms()
    try:
        result = await probes.send(vm, member)
    finally:
        probes.running.discard(member.name)
    if vm.clock.now_ms() - started_ms <= PROBE_TIMEOUT_MS + PROBE_MAX_DELAY_MS:
        probes.by_name[member.name] = Probe(result, started_ms)


def recent_result(vm: Vm, name: str, now_ms: float) -> ProbeResult | None:
    """Return the result of the latest probe of a VM, or None if it is outdated."""
    probe = vm.leases.probes.by_name.get(name)
    if probe is None or now_ms - probe.at_ms > PROBE_VALID_MS:
        return None
    return probe.result


def is_dead(vm: Vm, name: str, now_ms: float) -> bool:
    """Return whether the latest probe found that a VM of this data centre is dead."""
    return recent_result(vm, name, now_ms) is ProbeResult.REFUSED


def cannot_act(vm: Vm, name: str, started_ms: float, now_ms: float) -> bool:
    """Return whether another VM is dead, or has been frozen beyond its last lease.

    A dead VM that restarts abstains for longer than a probe is valid. A frozen VM
    checks its lease before it sends.

    Parameters
    ----------
    started_ms : float
        Since when this VM has been receiving without a pause.
    """
    if is_dead(vm, name, now_ms):
        return True
    member = vm.members.by_name.get(name)
    if (
        recent_result(vm, name, now_ms) is not ProbeResult.UNRESPONSIVE
        or member is None
    ):
        return False
    return now_ms - max(member.last_seen_ms, started_ms) >= FROZEN_AFTER_MS

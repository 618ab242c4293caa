"""Find out whether a VM of the own data centre that is not heard can still act.

A process that has died refuses connections, and one that is frozen takes them without
a word. A VM that answers runs, and one that cannot be reached may run.
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
PROBE_LATE_MS = 100
PROBE_VALID_MS = 1_000
PROBE_BYTES = b"GET / HTTP/1.1\r\nhost: probe\r\n\r\n"


class ProbeResult(Enum):
    """Tell what became of a connection to another VM."""

    ANSWERS = "answers"
    UNRESPONSIVE = "mute"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"


ProbeVm = Callable[["Vm", Member], Awaitable[ProbeResult]]


@dataclass(frozen=True)
class Probe:
    """Hold what was found at a VM, and when that probe began."""

    reach: ProbeResult
    at_ms: float


async def probe_vm(vm: Vm, member: Member) -> ProbeResult:
    """Connect to a VM's port for other VMs and see whether anything answers."""
    host, _, port = member.address.rpartition(":")
    reach = ProbeResult.UNREACHABLE
    with anyio.move_on_after(PROBE_TIMEOUT_MS / 1000.0):
        try:
            async with await anyio.connect_tcp(host, int(port)) as stream:
                reach = ProbeResult.UNRESPONSIVE
                await stream.send(PROBE_BYTES)
                await stream.receive()
                return ProbeResult.ANSWERS
        except (ConnectionRefusedError, anyio.EndOfStream, anyio.BrokenResourceError):
            # Nothing listens, or a relay stands before a VM that is not there.
            return ProbeResult.REFUSED
        except OSError as error:
            refused = isinstance(error.__cause__, ConnectionRefusedError)
            return ProbeResult.REFUSED if refused else ProbeResult.UNREACHABLE
    return reach


@dataclass
class Probes:
    """Hold the latest probe of each VM that was not heard.

    Parameters
    ----------
    running : set of str
        The VMs that are being probed now.
    send : ProbeVm
        Probes one VM.
    """

    by_name: dict[str, Probe] = field(default_factory=dict)
    running: set[str] = field(default_factory=set)
    send: ProbeVm = probe_vm


async def run_probing_loop(vm: Vm) -> None:
    """Probe each VM of the data centre that is known but not heard, for ever."""
    probes = vm.leases.probes
    probes.running.clear()
    async with anyio.create_task_group() as tasks:
        while True:
            for name in sorted(silent_here(vm) - probes.running):
                probes.running.add(name)
                tasks.start_soon(probe_once, vm, vm.members.by_name[name])
            await vm.clock.sleep_ms(PROBE_INTERVAL_MS)


def silent_here(vm: Vm) -> frozenset[str]:
    """Return the known VMs of the data centre that have missed a heartbeat."""
    limit_ms = vm.clock.now_ms() - SILENT_AFTER_MS
    members = vm.members.by_name
    others = known_here(vm) & members.keys()
    return frozenset(name for name in others if members[name].last_seen_ms < limit_ms)


async def probe_once(vm: Vm, member: Member) -> None:
    """Probe one VM; a result that came late tells more of this VM than of that one."""
    probes = vm.leases.probes
    started_ms = vm.clock.now_ms()
    try:
        reach = await probes.send(vm, member)
    finally:
        probes.running.discard(member.name)
    if vm.clock.now_ms() - started_ms <= PROBE_TIMEOUT_MS + PROBE_LATE_MS:
        probes.by_name[member.name] = Probe(reach, started_ms)


def found(vm: Vm, name: str, now_ms: float) -> ProbeResult | None:
    """Return what the latest probe of a VM met, unless that was too long ago."""
    probe = vm.leases.probes.by_name.get(name)
    if probe is None or now_ms - probe.at_ms > PROBE_VALID_MS:
        return None
    return probe.reach


def is_dead(vm: Vm, name: str, now_ms: float) -> bool:
    """Return whether nothing listened lately where a VM of this data centre was."""
    return found(vm, name, now_ms) is ProbeResult.REFUSED


def cannot_act(vm: Vm, name: str, started_ms: float, now_ms: float) -> bool:
    """Return whether another VM is dead, or frozen until after its last lease.

    A dead one that is started again abstains for longer than a probe counts, and a
    frozen one checks its lease before it sends.

    Parameters
    ----------
    started_ms : float
        Since when this VM listens without a pause.
    """
    if is_dead(vm, name, now_ms):
        return True
    member = vm.members.by_name.get(name)
    if found(vm, name, now_ms) is not ProbeResult.UNRESPONSIVE or member is None:
        return False
    return now_ms - max(member.last_seen_ms, started_ms) >= FROZEN_AFTER_MS

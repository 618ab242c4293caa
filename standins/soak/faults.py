"""Faults of a soak from outside; each is one function of the fleet."""

from __future__ import annotations

import asyncio
import itertools
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

from ..keyed_store import OPERATOR_TOPIC, SERVER_TOPIC
from ..relay import Link
from .callers import Caller
from .fleet import Fleet, SoakVm
from .manifest import DATA_CENTRES, DRAIN_MS, POISON, make_manifest
from .observations import Drained, KeysChanged, Signalled

STOP_S = 8.0
"""The time that the program has to stop, as in its settings."""
POISON_S = 12.0
"""How long poisoned requests come at most."""
POISON_PAUSE_S = 0.2
LEAVING_S = DRAIN_MS / 1000.0 + 1.5
"""How long an upstream that leaves serves on."""
CALM_S = 18.0
"""Without new faults at the end of a soak of twice as long or more."""
CALM_SHARE = 0.3
"""Share of the seeds that have planned work alone."""
Fault = Callable[[Fleet, Random], Awaitable[None]]


@dataclass(frozen=True)
class Planned:
    """A fault that begins at `at_s` and draws all else from `seed`."""

    at_s: float
    fault: str
    seed: int


async def restart(fleet: Fleet, vm: SoakVm, number: signal.Signals) -> None:
    """End the process of a VM with a signal and start it anew."""
    if vm.is_stopping or vm.process is None:
        return
    vm.is_stopping = True
    fleet.record.add(Signalled(fleet.record.now_s(), vm.name, number.name))
    vm.send_signal(number)
    for _ in range(int(STOP_S * 20)):
        if vm.process.poll() is not None:
            break
        await asyncio.sleep(0.05)
    vm.send_signal(signal.SIGKILL)
    vm.process.wait()
    vm.start(fleet.program)


async def stop_vm(fleet: Fleet, rng: Random) -> None:
    """Stop a VM in order and start it anew."""
    await restart(fleet, rng.choice(fleet.vms), signal.SIGTERM)


async def kill_vm(fleet: Fleet, rng: Random) -> None:
    """Kill a VM and start it anew."""
    await restart(fleet, rng.choice(fleet.vms), signal.SIGKILL)


async def freeze_vm(fleet: Fleet, rng: Random) -> None:
    """Let a VM stand still for a while."""
    vm = rng.choice(fleet.vms)
    vm.send_signal(signal.SIGSTOP)
    await asyncio.sleep(rng.choice((0.05, 0.3, 1.5)))
    vm.send_signal(signal.SIGCONT)


async def delay_link(fleet: Fleet, rng: Random) -> None:
    """Delay the bytes of a link."""
    link = rng.choice(fleet.links)
    link.delay_s = rng.choice((0.01, 0.05, 0.2))
    await asyncio.sleep(rng.uniform(0.5, 2.0))
    link.delay_s = 0.0


async def reset_link(fleet: Fleet, rng: Random) -> None:
    """Reset all connections of a link."""
    rng.choice(fleet.links).reset()


async def cut_link(fleet: Fleet, rng: Random) -> None:
    """Hold back the bytes of a link in one direction."""
    link: Link = rng.choice(fleet.links)
    passing = link.passing[rng.choice(("forth", "back"))]
    passing.clear()
    await asyncio.sleep(rng.choice((0.05, 0.3, 1.0)))
    passing.set()


async def delay_store(fleet: Fleet, rng: Random) -> None:
    """Let the store's answers come late at one VM."""
    link = rng.choice(fleet.vms).store
    link.delay_s = rng.choice((0.2, 0.8))
    await asyncio.sleep(2.0)
    link.delay_s = 0.0


async def refuse_store_calls(fleet: Fleet, rng: Random) -> None:
    """Let the store refuse the calls of one VM, or of all, for a while."""
    host = rng.choice(fleet.vms).store.address.partition(":")[0]
    fleet.store.affected_hosts = {host} if rng.random() < 0.5 else set()
    await fleet.store.refuse_calls(rng.choice((429, 503)))
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    fleet.store.status = None


async def silence_store(fleet: Fleet, rng: Random) -> None:
    """Let the store leave all calls unanswered for a while."""
    await fleet.store.stop_answering()
    await asyncio.sleep(rng.uniform(0.5, 2.0))
    fleet.store.silent = False


async def restart_upstream(fleet: Fleet, rng: Random) -> None:
    """Let a new process of the same service take over an upstream's address."""
    place = rng.choice(list(fleet.upstreams))
    before = fleet.upstreams[place]
    await fleet.stop_upstream(place, listed=rng.random() < 0.3)
    await asyncio.sleep(rng.choice((0.0, 0.2, 1.0)))
    name = f"{place}-{rng.randint(0, 2**32):x}"
    await fleet.start_upstream(place, name, before.service)
    await fleet.store.put(SERVER_TOPIC, before.id, None)


async def swap_upstreams(fleet: Fleet, rng: Random) -> None:
    """Let two upstreams of different services come back at each other's address."""
    places = rng.sample(list(fleet.upstreams), 2)
    services = [fleet.upstreams[place].service for place in places]
    for place in places:
        await fleet.stop_upstream(place, listed=False)
    await asyncio.sleep(2.0)
    for place, service in zip(places, reversed(services), strict=True):
        name = f"{place}-{rng.randint(0, 2**32):x}"
        await fleet.start_upstream(place, name, service)


async def drain_upstream(fleet: Fleet, rng: Random) -> None:
    """Let an upstream that leaves be listed so, end, and come back with a new id."""
    place = rng.choice(list(fleet.upstreams))
    before = fleet.upstreams[place]
    await fleet.register(place, state="draining")
    fleet.record.add(Drained(fleet.record.now_s(), before.id))
    await asyncio.sleep(LEAVING_S)
    if fleet.upstreams[place] is not before:
        return
    await fleet.stop_upstream(place, listed=False)
    name = f"{place}-{rng.randint(0, 2**32):x}"
    await fleet.start_upstream(place, name, before.service)


async def poison_engines(fleet: Fleet, rng: Random) -> None:
    """Send requests with a part that ends each engine which runs it; one at a time."""
    if fleet.poisoned:
        return
    fleet.poisoned = True
    part = f"{POISON}{rng.randrange(2**32):08x}"
    ends_s = min(fleet.ends_s, fleet.record.now_s() + POISON_S)
    for number in itertools.count():
        if fleet.record.now_s() > ends_s:
            break
        vm = rng.choice(fleet.vms)
        name = f"{part}{number:02x}"
        caller = Caller(name, vm.name, vm.callers.address, fleet.record, rng)
        await caller.send_poison(part)
        await asyncio.sleep(POISON_PAUSE_S)
    fleet.poisoned = False


async def put_manifest(fleet: Fleet, keys_are_valid: bool) -> None:
    """Put the manifest of the fleet's version in force, with or without keys."""
    manifest = {**make_manifest(), "version": fleet.version}
    if not keys_are_valid:
        manifest["tenants"] = []
    await fleet.store.put_json(OPERATOR_TOPIC, "config", manifest)
    fleet.record.add(KeysChanged(fleet.record.now_s(), keys_are_valid))


async def change_manifest(fleet: Fleet, rng: Random) -> None:
    """Put a new version of the manifest in force."""
    fleet.version += rng.randint(1, 5)
    await put_manifest(fleet, keys_are_valid=True)


async def withdraw_keys(fleet: Fleet, rng: Random) -> None:
    """Let no key be valid for a while."""
    fleet.version += 1
    await put_manifest(fleet, keys_are_valid=False)
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    await change_manifest(fleet, rng)


async def evacuate(fleet: Fleet, rng: Random) -> None:
    """Ask for a while that the upstreams of a data centre get no requests."""
    key = f"evacuate/{rng.choice(DATA_CENTRES)}"
    await fleet.store.put_json(OPERATOR_TOPIC, key, {})
    await asyncio.sleep(rng.uniform(1.0, 3.0))
    await fleet.store.put(OPERATOR_TOPIC, key, None)


FAULTS: dict[str, Fault] = {
    function.__name__: function
    for function in (
        stop_vm,
        kill_vm,
        freeze_vm,
        delay_link,
        reset_link,
        cut_link,
        delay_store,
        refuse_store_calls,
        silence_store,
        restart_upstream,
        swap_upstreams,
        drain_upstream,
        poison_engines,
        change_manifest,
        withdraw_keys,
        evacuate,
    )
}


RESTARTS = frozenset({"restart_all", "restart_each"})
TROUBLES = frozenset(
    {
        "stop_vm",
        "kill_vm",
        "freeze_vm",
        "delay_link",
        "reset_link",
        "cut_link",
        "delay_store",
        "refuse_store_calls",
        "silence_store",
        "stop_series",
        "return_store",
        *RESTARTS,
    }
)
"""Faults in which VMs are late; the others are planned work."""


def faulty_seconds(seconds: float) -> float:
    """Return until when faults begin: a long soak ends with a calm time."""
    return seconds - CALM_S if seconds >= 2 * CALM_S else seconds


def make_schedule(
    rng: Random, seconds: float, without: frozenset[str] = frozenset()
) -> list[Planned]:
    """Return the faults of a soak in the sequence of their time.

    Faults that `without` names are left out; the others stay as they are.
    """
    is_calm = rng.random() < CALM_SHARE
    known = [name for name in FAULTS if not (is_calm and name in TROUBLES)]
    names = rng.sample(known, rng.randint(3, len(known)))
    seconds = faulty_seconds(seconds)
    count = max(1, int(seconds / rng.choice((1.0, 2.0, 4.0))))
    times = sorted(rng.uniform(0.5, seconds) for _ in range(count))
    planned = [
        Planned(round(at_s, 3), rng.choice(names), rng.randrange(2**32))
        for at_s in times
    ]
    return [fault for fault in planned if fault.fault not in without]

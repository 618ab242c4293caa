"""One soak: faults and callers of a seed, until its time is over."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random

from .callers import Caller
from .checks import Finding, find
from .drills import AFTER_DRILLS, DRILLS, add_drills, has_drills
from .faults import FAULTS, Planned, faulty_seconds, make_schedule
from .fleet import ROOT, Fleet
from .observations import Disturbed, Record
from .slow_callers import call_slowly
from .stops import STOPS, add_series, has_stops

CALLERS_PER_VM = 8
SLOW_CALLERS_PER_VM = 6
SETTLE_S = 4.0
"""Longer than the deadline of each request; then nothing may run any more."""


@dataclass(frozen=True)
class Outcome:
    """What one soak found, with the number of requests that were sent and answered."""

    seed: int
    seconds: float
    sent: int
    received: int
    succeeded: int
    runs: int
    findings: list[Finding]
    record: Record


def cancel_on_signals() -> None:
    """Let SIGINT and SIGTERM cancel the current task, which ends its processes then."""
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)


async def soak(
    seed: int,
    seconds: float,
    folder: Path,
    large: bool = False,
    program: Path = ROOT,
    without: frozenset[str] = frozenset(),
    stops: bool | None = None,
    drills: bool | None = None,
) -> Outcome:
    """Run the program under the faults of a seed, and judge what was seen.

    Parameters
    ----------
    seconds : float
        How long callers send requests, s.
    folder : Path
        Takes the schedule, the observations and the logs.
    program : Path
        Folder of the code that the VMs run.
    without : frozenset of str
        Names of faults, ways to answer and habits of callers that are left out.
    stops : bool or None
        Whether VMs are stopped in series, beside planned work alone; None: as is the
        seed's.
    drills : bool or None
        Whether there are drills; None: as is the seed's.
    """
    folder.mkdir(parents=True, exist_ok=True)
    rng = Random(seed)
    stops = has_stops(seed) if stops is None else stops
    schedule = make_schedule(rng, seconds, without)
    if stops:
        schedule = add_series(schedule, seed, faulty_seconds(seconds))
    if has_drills(seed, seconds) if drills is None else drills:
        schedule = add_drills(schedule, seed, faulty_seconds(seconds), without)
    plan = [asdict(planned) for planned in schedule]
    (folder / "schedule.json").write_text(json.dumps(plan, indent=1))
    with (folder / "observations.jsonl").open("w") as file:
        record = Record(file)
        fleet = Fleet(folder, record, rng, program, large, without, stops)
        try:
            await fleet.start()
            record.began_s = time.monotonic()
            fleet.ends_s = seconds
            await disturb(fleet, seed, schedule, seconds)
        finally:
            await fleet.stop()
    return judge(seed, seconds, record)


async def disturb(
    fleet: Fleet, seed: int, schedule: list[Planned], seconds: float
) -> None:
    """Let callers send requests while the faults of the schedule come and go."""
    watching = asyncio.create_task(watch(fleet))
    try:
        async with asyncio.TaskGroup() as tasks:
            for planned in schedule:
                tasks.create_task(apply(fleet, planned))
            for number, caller in enumerate(make_callers(fleet, seed)):
                tasks.create_task(caller.run(seconds), name=f"caller {number}")
            for caller in make_slow_callers(fleet, seed):
                tasks.create_task(call_slowly(caller, seconds))
        await asyncio.sleep(SETTLE_S)
    finally:
        watching.cancel()


def make_callers(fleet: Fleet, seed: int) -> list[Caller]:
    """Return the callers of all VMs."""
    return make_numbered(fleet, seed, range(CALLERS_PER_VM))


def make_slow_callers(fleet: Fleet, seed: int) -> list[Caller]:
    """Return the callers whose bodies come slowly, if VMs are stopped in series."""
    if not fleet.stops:
        return []
    first = CALLERS_PER_VM
    return make_numbered(fleet, seed, range(first, first + SLOW_CALLERS_PER_VM))


def make_numbered(fleet: Fleet, seed: int, numbers: range) -> list[Caller]:
    """Return callers of each VM with some numbers."""
    callers = []
    for vm in fleet.vms:
        for number in numbers:
            name = f"{seed:04x}{vm.name[3:]:0>2}{number:02x}"
            rng = Random(f"{seed} {name}")
            callers.append(
                Caller(
                    name, vm.name, vm.callers.address, fleet.record, rng, fleet.without
                )
            )
    return callers


async def apply(fleet: Fleet, planned: Planned) -> None:
    """Wait for the time of a fault and apply it."""
    await asyncio.sleep(planned.at_s)
    record = fleet.record
    record.add(Disturbed(record.now_s(), planned.fault, str(planned.seed)))
    await {**FAULTS, **STOPS, **DRILLS, **AFTER_DRILLS}[planned.fault](
        fleet, Random(planned.seed)
    )


async def watch(fleet: Fleet) -> None:
    """Note which processes end by themselves and what memory they use."""
    while True:
        fleet.note_ended()
        fleet.note_memory()
        await asyncio.sleep(0.1)


def judge(seed: int, seconds: float, record: Record) -> Outcome:
    """Return the outcome of a soak."""
    succeeded = sum(200 <= received.status < 300 for received in record.received)
    return Outcome(
        seed,
        seconds,
        len(record.sent),
        len(record.received),
        succeeded,
        len(record.runs),
        find(record),
        record,
    )

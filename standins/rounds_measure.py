"""Send bookings to real processes under mixed faults, in seeded rounds."""

import random
import sys
import tempfile
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path

import anyio
import fire

from cuminstile.objects.collection import index_objects

from .arrangement import Arrangement, caller_key, plan_vms
from .caller import CallerRequest, Reply, Result, now_ms, send, wall_ms
from .claims_measure import BOOKING
from .claims_measure import arrange as arrange_bookings
from .demo import publish
from .fleet import Fleet
from .rounds_faults import FAULTS, Faults, end_faults, inject
from .rounds_judge import NOT_RUN, BookingRun, SendAttempt, Verdict, judge, read_runs
from .startup import running

CENTRES = ("budapest", "budaors")
VM_COUNTS = dict.fromkeys(CENTRES, 2)
ORGANISATIONS = ("kozpont", "budapest-franchise")
BOOKING_STAGE = "booking"
KEY_COUNT = 6
MAX_ATTEMPTS = 4
FAULTS_PER_ROUND = 3
ROUND_MS = 2_500.0
FINAL_DEADLINE_MS = 4_000
DEADLINES_MS = (300, 1_000, 2_500)
WORK_MS = (5.0, 150.0, 1_000.0)


@dataclass
class Round:
    """State of one round.

    Parameters
    ----------
    number : int
        Number of the round, which is also its seed.
    busy : dict of (tuple of str) to set of str
        The VMs at which an attempt of each booking is in progress. Further attempts go
        to other VMs, so that VM and time of a request identify its attempt.
    """

    number: int
    fleet: Fleet
    rng: random.Random
    attempts: list[SendAttempt] = field(default_factory=list)
    busy: dict[tuple[str, str], set[str]] = field(default_factory=dict)


@dataclass
class Totals:
    """Totals over all rounds."""

    rounds: int = 0
    faults: Counter[str] = field(default_factory=Counter)
    results: Counter[str] = field(default_factory=Counter)
    findings: Counter[str] = field(default_factory=Counter)
    runs: int = 0

    def add(self, current: Round, verdict: Verdict, faults: list[str]) -> None:
        """Add one round."""
        self.rounds += 1
        self.faults.update(faults)
        self.results.update(kind_of(item.reply) for item in current.attempts)
        counts = {kind: len(found) for kind, found in vars(verdict).items()}
        self.findings.update(counts)

    def is_good(self) -> bool:
        """Return whether there are no findings."""
        return not self.findings.total()


def kind_of(reply: Reply) -> str:
    """Return the result of an attempt as the report counts it."""
    if reply.result is Result.REFUSED:
        return f"{reply.code} ({reply.ran})"
    return str(reply.result)


def arrange() -> Arrangement:
    """Return two data centres with two VMs and one booking service each."""
    return replace(
        arrange_bookings(0.0),
        vms=plan_vms(VM_COUNTS),
        linked=True,
        platform={"vm_lag_ms": 2_000},
    )


async def book(current: Round, request: CallerRequest, organisation: str) -> None:
    """Send a booking as a caller does, and resend it to other VMs until it is answered.

    The caller waits for the reply, or resends while the last attempt is in progress.
    """
    booking = (organisation, request.idempotency_key)
    await anyio.sleep(current.rng.uniform(0.0, ROUND_MS) / 1000.0)
    request = replace(request, issued_at_ms=wall_ms())
    async with anyio.create_task_group() as tasks:
        for number in range(MAX_ATTEMPTS):
            deadline_ms = current.rng.choice(DEADLINES_MS)
            sent = replace(request, deadline_ms=deadline_ms, is_resend=number > 0)
            if current.rng.random() < 0.4:
                await send_once(current, sent, booking)
            else:
                tasks.start_soon(send_once, current, sent, booking)
            await anyio.sleep(current.rng.uniform(10.0, 1_500.0) / 1000.0)
            if is_answered(current, booking):
                break


def is_answered(current: Round, booking: tuple[str, str]) -> bool:
    """Return whether an attempt of a booking was answered."""
    return any(
        item.booking == booking and item.reply.result is Result.ANSWERED
        for item in current.attempts
    )


@contextmanager
def busy_vm(current: Round, booking: tuple[str, str]) -> Iterator[str]:
    """Choose a VM with no attempt of the booking in progress and mark it busy."""
    busy = current.busy.setdefault(booking, set())
    free = [name for name in current.fleet.vms if name not in busy]
    name = current.rng.choice(free)
    busy.add(name)
    try:
        yield name
    finally:
        busy.discard(name)


async def send_once(
    current: Round,
    request: CallerRequest,
    booking: tuple[str, str],
    is_last: bool = False,
) -> None:
    """Send a booking to a VM and record the reply."""
    with busy_vm(current, booking) as vm:
        sent_ms = wall_ms()
        port = current.fleet.vms[vm].caller
        try:
            reply = await send(current.fleet.pool, vm, port, request)
        except ConnectionRefusedError:
            reply = Reply(request, vm, Result.LOST, ran=NOT_RUN)
    current.attempts.append(
        SendAttempt(booking, vm, sent_ms, wall_ms(), reply, is_last)
    )


def asks_of(current: Round) -> Iterator[tuple[CallerRequest, str]]:
    """Yield the bookings of a round; half of the keys are used by two organisations."""
    for number in range(KEY_COUNT):
        key = f"round-{current.number}-{number}"
        for organisation in ORGANISATIONS[: 1 + number % 2]:
            mark = f"{organisation}/{key}"
            yield (
                CallerRequest(
                    pipeline=BOOKING.pipeline,
                    key=caller_key(organisation),
                    mark=mark,
                    deadline_ms=BOOKING.deadline_ms,
                    idempotency_key=key,
                ),
                organisation,
            )


async def send_last(current: Round) -> None:
    """Send every booking once more, after all faults have ended."""
    firsts = {item.booking: item.reply.sent for item in reversed(current.attempts)}
    async with anyio.create_task_group() as tasks:
        for booking, request in firsts.items():
            again = replace(request, deadline_ms=FINAL_DEADLINE_MS, is_resend=True)
            tasks.start_soon(send_once, current, again, booking, True)


async def run_round(fleet: Fleet, number: int) -> tuple[Round, list[str]]:
    """Run one round; return it with the names of its faults."""
    rng = random.Random(number)
    current = Round(number, fleet, rng)
    faults = Faults(fleet, rng, CENTRES)
    names = rng.choices(list(FAULTS), k=FAULTS_PER_ROUND)
    await set_services(current)
    async with anyio.create_task_group() as tasks:
        for request, organisation in asks_of(current):
            tasks.start_soon(book, current, request, organisation)
        for name in names:
            after_ms = rng.uniform(0.0, ROUND_MS)
            tasks.start_soon(inject, faults, name, after_ms)
    await end_faults(faults)
    await send_last(current)
    return current, names


async def set_services(current: Round) -> None:
    """Set work time and fraction of dropped calls of the booking services."""
    work_ms = current.rng.choice(WORK_MS)
    drop_fraction = current.rng.choice((0.0, 0.1))
    for service in booking_services(current.fleet):
        await current.fleet.control(
            service, work_ms=work_ms, drop_fraction=drop_fraction
        )


def booking_services(fleet: Fleet) -> list[str]:
    """Return the upstreams that run bookings."""
    objects = index_objects(fleet.objects)
    versions = {
        item.name for item in objects.versions.values() if item.stage == BOOKING_STAGE
    }
    return [
        name
        for name, upstream in objects.upstreams.items()
        if versions & set(upstream.versions)
    ]


async def runs_so_far(fleet: Fleet) -> list[BookingRun]:
    """Return all runs of bookings that the services recorded so far."""
    runs: list[BookingRun] = []
    for service in booking_services(fleet):
        report = await fleet.exchange_json(
            "GET", fleet.upstream_ports[service], "/runs"
        )
        runs += read_runs(service, report["runs"])
    return runs


async def measure(folder: Path, rounds: int, seed: int) -> Totals:
    """Start a fleet and run the rounds on it, each with its own seed."""
    totals = Totals()
    async with running(arrange(), folder) as fleet:
        await publish(fleet)
        for number in range(seed, seed + rounds):
            started_ms = now_ms()
            current, names = await run_round(fleet, number)
            runs = await runs_so_far(fleet)
            verdict = judge(current.attempts, runs, fleet.logs())
            totals.add(current, verdict, names)
            totals.runs = len(runs)
            elapsed_s = (now_ms() - started_ms) / 1000.0
            print(f"seed {number}: {elapsed_s:.1f} s, {', '.join(names)}", flush=True)
            for text in verdict.findings():
                print(f"  {text}", flush=True)
    return totals


def show(totals: Totals) -> None:
    """Print the totals."""
    sent = totals.results.total()
    answered = totals.results[Result.ANSWERED]
    refused = sent - answered - totals.results[Result.LOST]
    print(f"rounds {totals.rounds}, runs {totals.runs}, attempts {sent}:")
    print(f"  answered {answered}, refused {refused}, the others without a reply")
    print("faults: " + listed(totals.faults))
    print("results: " + listed(totals.results))
    print(listed(totals.findings))


def listed(counts: Counter[str]) -> str:
    """Return counts as text, the largest first."""
    return ", ".join(f"{name} {count}" for name, count in counts.most_common())


def main(rounds: int = 10, seed: int = 0, folder: str = "") -> None:
    """Run rounds of bookings; exit status 0 if there are no findings.

    Parameters
    ----------
    rounds : int
        Number of rounds; each has several faults while bookings are sent.
    seed : int
        Seed of the first round; each further round adds one.
    folder : str
        Folder for logs and settings; empty for a temporary one.
    """
    with tempfile.TemporaryDirectory(prefix="cuminstile-rounds-") as temporary:
        totals = anyio.run(measure, Path(folder or temporary), rounds, seed)
    show(totals)
    sys.exit(0 if totals.is_good() else 1)


if __name__ == "__main__":
    fire.Fire(main)

"""Measure bookings under mixed faults of real processes, in seeded rounds."""

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
from .rounds_faults import FAULTS, Faults, cause, end_all
from .rounds_judge import NOT_RUN, BookingRun, Sending, Verdict, judge, read_runs
from .startup import running

CENTRES = ("budapest", "budaors")
VM_COUNTS = dict.fromkeys(CENTRES, 2)
ORGANISATIONS = ("kozpont", "budapest-franchise")
BOOKING_STAGE = "booking"
KEYS = 6
SENDINGS = 4
FAULTS_OF_A_ROUND = 3
ROUND_MS = 2_500.0
LAST_DEADLINE_MS = 4_000
DEADLINES_MS = (300, 1_000, 2_500)
WORK_MS = (5.0, 150.0, 1_000.0)


@dataclass
class Round:
    """Hold one round while it runs.

    Parameters
    ----------
    busy : dict of (tuple of str) to set of str
        The VMs that a sending of a booking is under way at; a further one goes
        elsewhere, so that a request's VM and time tell which sending it is.
    """

    number: int
    fleet: Fleet
    rng: random.Random
    sendings: list[Sending] = field(default_factory=list)
    busy: dict[tuple[str, str], set[str]] = field(default_factory=dict)


@dataclass
class Totals:
    """Add up the rounds."""

    rounds: int = 0
    faults: Counter[str] = field(default_factory=Counter)
    results: Counter[str] = field(default_factory=Counter)
    findings: Counter[str] = field(default_factory=Counter)
    runs: int = 0

    def add(self, made: Round, verdict: Verdict, faults: list[str]) -> None:
        """Add one round."""
        self.rounds += 1
        self.faults.update(faults)
        self.results.update(kind_of(item.reply) for item in made.sendings)
        counts = {kind: len(found) for kind, found in vars(verdict).items()}
        self.findings.update(counts)

    def is_good(self) -> bool:
        """Return whether nothing was found."""
        return not self.findings.total()


def kind_of(reply: Reply) -> str:
    """Return what became of a sending, in the words of the report."""
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


async def book(made: Round, request: CallerRequest, organisation: str) -> None:
    """Be a caller: send a booking, and again elsewhere until it is answered.

    The caller waits for an answer, or sends again while the last sending still runs.
    """
    booking = (organisation, request.idempotency_key)
    await anyio.sleep(made.rng.uniform(0.0, ROUND_MS) / 1000.0)
    request = replace(request, issued_at_ms=wall_ms())
    async with anyio.create_task_group() as tasks:
        for number in range(SENDINGS):
            deadline_ms = made.rng.choice(DEADLINES_MS)
            sent = replace(request, deadline_ms=deadline_ms, is_resend=number > 0)
            if made.rng.random() < 0.4:
                await send_once(made, sent, booking)
            else:
                tasks.start_soon(send_once, made, sent, booking)
            await anyio.sleep(made.rng.uniform(10.0, 1_500.0) / 1000.0)
            if is_answered(made, booking):
                break


def is_answered(made: Round, booking: tuple[str, str]) -> bool:
    """Return whether a sending of a booking was answered."""
    return any(
        item.booking == booking and item.reply.result is Result.ANSWERED
        for item in made.sendings
    )


@contextmanager
def busy_vm(made: Round, booking: tuple[str, str]) -> Iterator[str]:
    """Choose a VM that handles no sending of a booking at present."""
    busy = made.busy.setdefault(booking, set())
    free = [name for name in made.fleet.vms if name not in busy]
    name = made.rng.choice(free)
    busy.add(name)
    try:
        yield name
    finally:
        busy.discard(name)


async def send_once(
    made: Round, request: CallerRequest, booking: tuple[str, str], is_last: bool = False
) -> None:
    """Send a booking to a VM and note what comes back."""
    with busy_vm(made, booking) as vm:
        sent_ms = wall_ms()
        port = made.fleet.vms[vm].caller
        try:
            reply = await send(made.fleet.pool, vm, port, request)
        except ConnectionRefusedError:
            reply = Reply(request, vm, Result.LOST, ran=NOT_RUN)
    made.sendings.append(Sending(booking, vm, sent_ms, wall_ms(), reply, is_last))


def asks_of(made: Round) -> Iterator[tuple[CallerRequest, str]]:
    """Yield the bookings of a round; half of the keys are used by two organisations."""
    for number in range(KEYS):
        key = f"round-{made.number}-{number}"
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


async def send_last(made: Round) -> None:
    """Send every booking once more, now that nothing is wrong any more."""
    firsts = {item.booking: item.reply.sent for item in reversed(made.sendings)}
    async with anyio.create_task_group() as tasks:
        for booking, request in firsts.items():
            again = replace(request, deadline_ms=LAST_DEADLINE_MS, is_resend=True)
            tasks.start_soon(send_once, made, again, booking, True)


async def run_round(fleet: Fleet, number: int) -> tuple[Round, list[str]]:
    """Run one round and return it with the faults that it had."""
    rng = random.Random(number)
    made = Round(number, fleet, rng)
    faults = Faults(fleet, rng, CENTRES)
    names = rng.choices(list(FAULTS), k=FAULTS_OF_A_ROUND)
    await set_services(made)
    async with anyio.create_task_group() as tasks:
        for request, organisation in asks_of(made):
            tasks.start_soon(book, made, request, organisation)
        for name in names:
            after_ms = rng.uniform(0.0, ROUND_MS)
            tasks.start_soon(cause, faults, name, after_ms)
    await end_all(faults)
    await send_last(made)
    return made, names


async def set_services(made: Round) -> None:
    """Give the booking services of a round their work time and faults."""
    work_ms = made.rng.choice(WORK_MS)
    drop_fraction = made.rng.choice((0.0, 0.1))
    for service in booking_services(made.fleet):
        await made.fleet.control(service, work_ms=work_ms, drop_fraction=drop_fraction)


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
    """Return every run of a booking, as the services recorded them."""
    runs: list[BookingRun] = []
    for service in booking_services(fleet):
        told = await fleet.exchange_json("GET", fleet.upstream_ports[service], "/runs")
        runs += read_runs(service, told["runs"])
    return runs


async def measure(folder: Path, rounds: int, seed: int) -> Totals:
    """Start a fleet once and run the rounds on it, each with a seed of its own."""
    totals = Totals()
    async with running(arrange(), folder) as fleet:
        await publish(fleet)
        for number in range(seed, seed + rounds):
            began_ms = now_ms()
            made, names = await run_round(fleet, number)
            runs = await runs_so_far(fleet)
            verdict = judge(made.sendings, runs, fleet.logs())
            totals.add(made, verdict, names)
            totals.runs = len(runs)
            elapsed_s = (now_ms() - began_ms) / 1000.0
            print(f"seed {number}: {elapsed_s:.1f} s, {', '.join(names)}", flush=True)
            for text in verdict.findings():
                print(f"  {text}", flush=True)
    return totals


def show(totals: Totals) -> None:
    """Print what the rounds gave."""
    sent = totals.results.total()
    answered = totals.results[Result.ANSWERED]
    refused = sent - answered - totals.results[Result.LOST]
    print(f"rounds {totals.rounds}, runs {totals.runs}, sendings {sent}:")
    print(f"  answered {answered}, refused {refused}, rest without an answer")
    print("faults: " + listed(totals.faults))
    print("results: " + listed(totals.results))
    print(listed(totals.findings))


def listed(counts: Counter[str]) -> str:
    """Return counts, the largest first."""
    return ", ".join(f"{name} {count}" for name, count in counts.most_common())


def main(rounds: int = 10, seed: int = 0, folder: str = "") -> None:
    """Run rounds of bookings; status 0 if nothing was wrong.

    Parameters
    ----------
    rounds : int
        How many; each causes several faults while bookings are sent.
    seed : int
        Of the first round; each further one has the next.
    folder : str
        Where logs and settings are kept; empty for a folder that is removed.
    """
    with tempfile.TemporaryDirectory(prefix="cuminstile-rounds-") as made:
        totals = anyio.run(measure, Path(folder or made), rounds, seed)
    show(totals)
    sys.exit(0 if totals.is_good() else 1)


if __name__ == "__main__":
    fire.Fire(main)

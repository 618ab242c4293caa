"""Measure the cost of claims: latency added to bookings, and appends per second."""

import json
import statistics
import tempfile
from collections.abc import Sequence
from dataclasses import asdict, dataclass, replace
from pathlib import Path

import anyio
import fire

from cuminstile.const import CLAIM_PARTITIONS
from cuminstile.objects.model import (
    AnyObject,
    Pipeline,
    Stage,
    Upstream,
    UpstreamVersion,
)
from cuminstile.records.claim_records import stream_of
from cuminstile.records.client import PlatformClient, make_platform_client

from .arrangement import Arrangement, load_objects, objects_in_data_centres, plan_vms
from .balancer import Balancer
from .caller import Result, now_ms
from .demo import publish
from .fleet import ROOT, Fleet
from .load import LoadProfile, LoadRecord, RequestKind, run_load
from .serving import HOST
from .startup import running

RATES_PER_S = (10.0, 100.0, 400.0)
DURATION_MS = 8_000.0
DEADLINE_MS = 4_000
CAPACITY = 2_000
VM_COUNTS = {"budapest": 3, "budaors": 3}
STAGES = ("stock", "booking")
LOOKUP = RequestKind("stock-lookup", DEADLINE_MS)
BOOKING = RequestKind("panel-booking", DEADLINE_MS, unrepeatable=True)
SERVICE = {"work_ms": 5.0, "warm_after_runs": 0, "queue": CAPACITY}
READ_BATCH_RECORDS = 500


@dataclass(frozen=True)
class Row:
    """Results at one request rate.

    Parameters
    ----------
    lookup_p50_ms, lookup_p95_ms : float
        Latency of a repeatable call to a service with the same work time.
    booking_p50_ms, booking_p95_ms : float
        Latency of a call that is claimed first.
    answered : float
        The share of bookings answered, 0 to 1.
    appends_per_s : float
        Appends to all `claims` streams together.
    """

    rate_per_s: float
    sent: int
    answered: float
    lookup_p50_ms: float
    lookup_p95_ms: float
    booking_p50_ms: float
    booking_p95_ms: float
    appends_per_s: float
    bytes_per_booking: float


def arrange(append_delay_ms: float) -> Arrangement:
    """Return two data centres that serve only bookings and look-ups."""
    every = load_objects(ROOT / "examples" / "falrendszer")
    needed = [
        item
        for item in objects_in_data_centres(every, set(VM_COUNTS))
        if is_needed(item)
    ]
    return Arrangement(
        objects=tuple(with_room(item) for item in needed),
        vms=plan_vms(VM_COUNTS),
        controls={"service": {**SERVICE, "capacity": CAPACITY}},
        platform={"append_delay_ms": append_delay_ms},
        settings={"shutdown_linger_ms": 0},
    )


def is_needed(item: AnyObject) -> bool:
    """Return whether an object is needed for the two stages."""
    if isinstance(item, Stage):
        return item.name in STAGES
    if isinstance(item, Pipeline):
        return all(step.stage in STAGES for step in item.steps)
    if isinstance(item, UpstreamVersion):
        return item.stage in STAGES
    if isinstance(item, Upstream):
        return any(name.startswith(STAGES) for name in item.versions)
    return True


def with_room(item: AnyObject) -> AnyObject:
    """Raise an upstream's capacity above every rate, so that only claims are measured.

    Other objects are returned unchanged.
    """
    if not isinstance(item, Upstream):
        return item
    return replace(item, capacity=CAPACITY, cold_capacity=CAPACITY)


async def run_at(
    fleet: Fleet, kind: RequestKind, rate_per_s: float, seed: int
) -> LoadRecord:
    """Send one kind of request at one rate and return the record of the load."""
    name = f"{kind.pipeline}-{rate_per_s:.0f}"
    organisations = (("kozpont", 1.0),)
    load = LoadProfile((kind,), organisations, rate_per_s, DURATION_MS, seed, name=name)
    balancer = Balancer(fleet)
    await balancer.check()
    record = LoadRecord()
    await run_load(load, balancer.send, record)
    return record


async def measure_rate(
    fleet: Fleet, platform: PlatformClient, rate_per_s: float, seed: int
) -> Row:
    """Measure look-ups, then bookings, at one rate."""
    lookups = await run_at(fleet, LOOKUP, rate_per_s, seed)
    before = await count_appends(platform)
    started_ms = now_ms()
    bookings = await run_at(fleet, BOOKING, rate_per_s, seed)
    elapsed_s = (now_ms() - started_ms) / 1000.0
    after = await count_appends(platform)
    appends = after[0] - before[0]
    size = after[1] - before[1]
    lookup_ms = latencies_ms(lookups)
    booking_ms = latencies_ms(bookings)
    sent = len(bookings.replies)
    return Row(
        rate_per_s,
        sent,
        round(len(booking_ms) / sent, 4),
        round(quantile(lookup_ms, 0.5), 1),
        round(quantile(lookup_ms, 0.95), 1),
        round(quantile(booking_ms, 0.5), 1),
        round(quantile(booking_ms, 0.95), 1),
        round(appends / elapsed_s, 1),
        round(size / sent, 1),
    )


def latencies_ms(record: LoadRecord) -> list[float]:
    """Return the latencies of the answered requests, in ms."""
    return [
        reply.latency_ms for reply in record.replies if reply.result is Result.ANSWERED
    ]


def quantile(values: Sequence[float], share: float) -> float:
    """Return a quantile of the values; NaN if there are none."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


async def count_appends(platform: PlatformClient) -> tuple[int, int]:
    """Return the number of records on all `claims` streams, and their payload bytes."""
    count = size = 0
    for number in range(CLAIM_PARTITIONS):
        offset = 0
        while True:
            batch = await platform.read(stream_of(number), offset, READ_BATCH_RECORDS)
            if not batch.records:
                break
            offset = batch.next_offset
            size += sum(len(record.payload) for record in batch.records)
        count += offset
    return count, size


async def measure(folder: Path, append_delay_ms: float, seed: int) -> list[Row]:
    """Start the system and measure every rate."""
    async with running(arrange(append_delay_ms), folder) as fleet:
        await publish(fleet)
        platform = make_platform_client(f"{HOST}:{fleet.platform_port}", "")
        await run_at(fleet, BOOKING, RATES_PER_S[0], seed - 1)
        return [await measure_rate(fleet, platform, rate, seed) for rate in RATES_PER_S]


def show(rows: Sequence[Row]) -> None:
    """Print the table and the line fitted to appends over bookings."""
    print(
        "bookings/s   sent answered | look-up p50   p95 | booking p50   p95 |"
        " added p50   p95 | appends/s bytes/booking"
    )
    for row in rows:
        print(
            f"{row.rate_per_s:10.0f} {row.sent:6} {row.answered:8.2%} |"
            f" {row.lookup_p50_ms:11.1f} {row.lookup_p95_ms:5.1f} |"
            f" {row.booking_p50_ms:11.1f} {row.booking_p95_ms:5.1f} |"
            f" {row.booking_p50_ms - row.lookup_p50_ms:9.1f}"
            f" {row.booking_p95_ms - row.lookup_p95_ms:5.1f} |"
            f" {row.appends_per_s:9.1f} {row.bytes_per_booking:13.1f}"
        )
    rates = [row.rate_per_s for row in rows]
    fit = statistics.linear_regression(rates, [row.appends_per_s for row in rows])
    print(f"appends/s = {fit.intercept:.1f} + {fit.slope:.3f} x bookings/s")


def main(append_delay_ms: float = 0.0, seed: int = 1, output: str = "") -> None:
    """Measure the cost of claims on this machine.

    Parameters
    ----------
    append_delay_ms : float
        Delay of the platform before an append takes effect.
    seed : int
        Seed of the arrivals.
    output : str
        JSON file for the figures; empty for none.
    """
    with tempfile.TemporaryDirectory(prefix="cuminstile-claims-") as folder:
        rows = anyio.run(measure, Path(folder), append_delay_ms, seed)
    show(rows)
    if output:
        data = json.dumps([asdict(row) for row in rows], indent=2)
        Path(output).write_text(data + "\n")


if __name__ == "__main__":
    fire.Fire(main)

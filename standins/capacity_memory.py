"""Measure the memory that a VM uses for its configuration and its events."""

import gc
import hashlib
import tracemalloc

import eliot

from cuminstile.clock import Clock
from cuminstile.const import EVENT_RING_SIZE
from cuminstile.events import Event, Journal
from cuminstile.objects.collection import ObjectSet, index_objects
from cuminstile.objects.model import (
    AnyObject,
    DataCentre,
    Organisation,
    Pipeline,
    Role,
    Stage,
    Step,
    Upstream,
    UpstreamVersion,
)
from cuminstile.records.config_record import OBJECTS, make_record, read_objects
from cuminstile.upstream.table import UpstreamTable

from .slopes import Point, Slope, fit

# Without a destination the logging library would buffer the events itself.
eliot.add_destinations(lambda message: None)

BYTES_PER_MB = 1024.0 * 1024.0
STAGES = tuple(f"stage-{number}" for number in range(20))


def organisations(count: int) -> tuple[AnyObject, ...]:
    """Return `count` organisations with one key each."""
    digests = (hashlib.sha256(str(number).encode()) for number in range(count))
    return tuple(
        Organisation("organisation", f"org-{number:04}", (digest.hexdigest(),))
        for number, digest in enumerate(digests)
    )


def upstreams(count: int) -> tuple[AnyObject, ...]:
    """Return `count` upstreams spread over 16 data centres and 20 stages."""
    centres = [DataCentre("data_centre", f"dc-{n:02}", "r") for n in range(16)]
    stages = [Stage("stage", name, Role.POOL) for name in STAGES]
    versions = [UpstreamVersion("upstream_version", f"{s}-1", s) for s in STAGES]
    runners = [
        Upstream(
            "upstream",
            f"runner-{number:04}",
            f"dc-{number % 16:02}",
            f"10.0.{number // 256}.{number % 256}:8000",
            (f"{STAGES[number % 20]}-1",),
        )
        for number in range(count)
    ]
    return (*centres, *stages, *versions, *runners)


def pipelines(count: int) -> tuple[AnyObject, ...]:
    """Return `count` pipelines of five steps."""
    return tuple(
        Pipeline(
            "pipeline",
            f"pipeline-{number}",
            tuple(Step(f"step-{k}", STAGES[(number + k) % 20]) for k in range(5)),
        )
        for number in range(count)
    )


def configuration_mb(objects: tuple[AnyObject, ...], with_state: bool) -> float:
    """Return the memory of a configuration in force, including its record, in MB.

    Parameters
    ----------
    with_state : bool
        Whether to include the state that a VM keeps for each upstream of its data
        centre.
    """
    raw = OBJECTS.dump_python(objects, mode="json")
    gc.collect()
    tracemalloc.start()
    record = make_record(-1, "capacity", OBJECTS.validate_python(raw))
    items = read_objects(record, None)
    index = index_objects(items)
    table = make_upstream_table(index) if with_state else None
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del record, items, index, table
    return size / BYTES_PER_MB


def events_mb(count: int) -> float:
    """Return the memory of events kept for the time line, in MB."""
    gc.collect()
    tracemalloc.start()
    journal = Journal("vm", Clock())
    for number in range(count):
        journal.record(
            Event.STAGE_ANSWERED,
            request=f"{number:016x}",
            step="generate",
            upstream="engine-a-budapest",
        )
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del journal
    return size / BYTES_PER_MB


def make_upstream_table(index: ObjectSet) -> UpstreamTable:
    """Return a table that contains the state of every upstream."""
    table = UpstreamTable()
    for item in index.upstreams.values():
        table.state_of(item)
    return table


def memory_slopes(quick: bool) -> list[Slope]:
    """Measure memory by number of configured objects and by number of events."""
    steps = (1.0,) if quick else (0.25, 0.5, 1.0)
    lines = []
    for what, make, max_count, with_state in (
        ("organisations", organisations, 5_100, False),
        ("upstreams of all data centres", upstreams, 1_900, False),
        ("upstreams, with state", upstreams, 120, True),
        ("pipelines", pipelines, 35, False),
    ):
        counts = [0, *(int(max_count * step) for step in steps)]
        points = [
            Point(float(n), configuration_mb(make(n), with_state)) for n in counts
        ]
        lines.append(fit(f"memory of {what}", "objects", "MB", points))
    events = [Point(float(n), events_mb(n)) for n in (0, 5_000, EVENT_RING_SIZE)]
    lines.append(fit("memory of the time line", "events", "MB", events))
    return lines

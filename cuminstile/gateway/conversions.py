"""Convert staged work between the scheduler's types and the messages between VMs.

Times are monotonic ms of this VM in the scheduler's types, and ms from now in messages.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..eras.position import Position
from ..rollouts.marks import VersionMark
from .chain import ChainSpec, ChainStage, CompletedItem, Result
from .handover import StoredResultLoad, WorkerLoad
from .messages import (
    CompletedItemEntry,
    MarkEntry,
    RecordEntry,
    ResultEntry,
    RunChain,
    StageWork,
    StoredResultEntry,
    WorkerLoadEntry,
)
from .topics import KeyedRecord


def records_to_entries(records: Iterable[KeyedRecord]) -> tuple[RecordEntry, ...]:
    """Return the message form of records of the store."""
    return tuple(RecordEntry(r.key, r.value, r.offset) for r in records)


def records_from_entries(entries: Iterable[RecordEntry]) -> tuple[KeyedRecord, ...]:
    """Return the records of the store in a message."""
    return tuple(KeyedRecord(r.key, r.value, r.offset) for r in entries)


def marks_to_entries(marks: Iterable[VersionMark]) -> tuple[MarkEntry, ...]:
    """Return the message form of marks of versions."""
    return tuple(
        MarkEntry(m.service, m.version, m.since.era, m.since.offset, m.in_service)
        for m in marks
    )


def marks_from_entries(entries: Iterable[MarkEntry]) -> tuple[VersionMark, ...]:
    """Return the marks of versions in a message."""
    return tuple(
        VersionMark(e.service, e.version, Position(e.era, e.offset), e.in_service)
        for e in entries
    )


def result_to_entry(result: Result) -> ResultEntry:
    """Return a result as an entry of a message."""
    return ResultEntry(
        result.handle, result.upstream_id, result.size, result.data_centre
    )


def completed_to_entry(item: CompletedItem, now_ms: float) -> CompletedItemEntry:
    """Return a completed work item as an entry of a message."""
    left_ms = item.expires_ms - now_ms
    return CompletedItemEntry(
        item.stage, item.number, result_to_entry(item.result), item.freed, left_ms
    )


def completed_from_entry(item: CompletedItemEntry, now_ms: float) -> CompletedItem:
    """Return another VM's completed work item, with times of this VM's clock."""
    return CompletedItem(
        item.stage,
        item.number,
        result_from_entry(item.result),
        item.freed,
        now_ms + item.left_ms,
    )


def load_to_entry(load: WorkerLoad) -> WorkerLoadEntry:
    """Return the load of an upstream as an entry of a message."""
    stored = tuple(StoredResultEntry(h.handle, h.size, h.left_ms) for h in load.stored)
    return WorkerLoadEntry(
        load.upstream_id, load.service, load.busy_ms, load.slowness, stored
    )


def load_from_entry(worker: WorkerLoadEntry) -> WorkerLoad:
    """Return the load of an upstream from an entry of a message."""
    stored = tuple(StoredResultLoad(h.handle, h.size, h.left_ms) for h in worker.stored)
    return WorkerLoad(
        worker.upstream_id, worker.service, worker.busy_ms, worker.slowness, stored
    )


def result_from_entry(result: ResultEntry) -> Result:
    """Return a result from an entry of a message."""
    return Result(result.handle, result.upstream_id, result.size, result.data_centre)


def spec_from_message(message: RunChain, chain_id: str, now_ms: float) -> ChainSpec:
    """Return the chain that another VM requests, with times of this VM's clock."""
    return ChainSpec(
        id=chain_id,
        request_id=message.request_id,
        key=message.key,
        priority=message.priority,
        data_centre=message.data_centre,
        target_at_ms=now_ms + message.target_left_ms,
        expires_at_ms=now_ms + message.left_ms,
        engine_ms=message.engine_ms,
        stages=tuple(
            ChainStage(s.number, s.service, tuple(s.after), s.count, s.result_bytes)
            for s in message.stages
        ),
        completed=tuple(
            completed_from_entry(item, now_ms) for item in message.completed
        ),
        digest=message.digest,
    )


def message_from_spec(
    spec: ChainSpec, call: int, again: bool, now_ms: float, named: bool = False
) -> RunChain:
    """Return the message that requests a chain from another VM."""
    return RunChain(
        call,
        spec.request_id,
        spec.key,
        spec.priority,
        spec.data_centre,
        spec.target_at_ms - now_ms,
        spec.expires_at_ms - now_ms,
        spec.engine_ms,
        tuple(
            StageWork(s.number, s.service, s.after, s.count, s.result_bytes)
            for s in spec.stages
        ),
        again,
        tuple(completed_to_entry(item, now_ms) for item in spec.completed),
        spec.digest,
        named,
    )

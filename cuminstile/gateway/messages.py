"""Define what VMs say to each other: staged work, the store's records, liveness."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field
from pydantic.dataclasses import dataclass

from ..wire import Message, make_codec

Finite = Annotated[float, Field(allow_inf_nan=False)]


@dataclass(frozen=True)
class TopicEnd(Message):
    """Tell up to which offset the sender knows a topic of the store."""

    name: str
    end: int


@dataclass(frozen=True)
class Heartbeat(Message):
    """Tell that the sender lives; sent as one datagram.

    Parameters
    ----------
    started_ms : int
        Start of the process in ms since 1970 UTC; the oldest VM schedules.
    leaving : bool
        Whether it is shutting down and takes no new duties.
    topics : tuple of TopicEnd
        How far the sender has read the store.
    known : tuple of str
        Addresses of some other VMs that the sender has heard of.
    """

    name: str
    address: str
    zone: str
    incarnation: str
    started_ms: int
    leaving: bool
    topics: tuple[TopicEnd, ...]
    known: tuple[str, ...]


@dataclass(frozen=True)
class StageWork(Message):
    """Describe one stage of a request; see `chain.ChainStage`."""

    number: int
    service: str
    after: tuple[int, ...]
    count: int
    result_bytes: int


@dataclass(frozen=True)
class ResultEntry(Message):
    """Name one result; see `chain.Result`."""

    handle: str
    upstream_id: str
    size: int
    zone: str


@dataclass(frozen=True)
class CompletedItemEntry(Message):
    """Name a piece that is made; see `chain.MadePiece`."""

    stage: int
    number: int
    result: ResultEntry
    freed: bool
    left_ms: Finite


@dataclass(frozen=True)
class RunChain(Message):
    """Ask the scheduler for the results of all stages of a request.

    Parameters
    ----------
    call : int
        Tells apart the calls of one session.
    target_left_ms, left_ms : float
        Time left to the full worth, and to the deadline.
    again : bool
        Whether another scheduler had admitted it before.
    made : tuple of MadeTold
        What that one had made before it handed the work over.
    """

    call: int
    request_id: str
    key: str
    priority: int
    zone: str
    target_left_ms: Finite
    left_ms: Finite
    engine_ms: Finite
    stages: tuple[StageWork, ...]
    again: bool
    completed: tuple[CompletedItemEntry, ...]


@dataclass(frozen=True)
class ChainAdmitted(Message):
    """Tell that the work of a call has been taken on."""

    call: int
    forecast_ms: Finite


@dataclass(frozen=True)
class ChainMoved(Message):
    """Tell that another scheduler has to go on with the work of a call."""

    call: int
    completed: tuple[CompletedItemEntry, ...]


@dataclass(frozen=True)
class ChainDone(Message):
    """Give the results that the request needs."""

    call: int
    results: tuple[ResultEntry, ...]


@dataclass(frozen=True)
class ChainRefused(Message):
    """Tell that the work of a call is not done, and when to come back."""

    call: int
    reason: str
    retry_after_ms: Finite


@dataclass(frozen=True)
class ChainCancel(Message):
    """Tell that nobody waits for the results of a call any more."""

    call: int


@dataclass(frozen=True)
class FreeResults(Message):
    """Tell that results have been used."""

    results: tuple[ResultEntry, ...]


@dataclass(frozen=True)
class StoredResultEntry(Message):
    """Tell of a result at an upstream; see `handover.HeldLoad`."""

    handle: str
    size: int
    left_ms: Finite


@dataclass(frozen=True)
class WorkerLoadEntry(Message):
    """Tell what an upstream holds and does; see `handover.WorkerLoad`."""

    upstream_id: str
    service: str
    busy_ms: Finite
    slowness: Finite
    stored: tuple[StoredResultEntry, ...]


@dataclass(frozen=True)
class WorkerLoads(Message):
    """Tell the next scheduler what the upstreams of stages hold and do."""

    name: str
    workers: tuple[WorkerLoadEntry, ...]


@dataclass(frozen=True)
class TopicRequest(Message):
    """Ask for the records of a topic behind an offset, -1 for all.

    Parameters
    ----------
    call : int
        Tells apart the calls of one session.
    """

    call: int
    name: str
    end: int


@dataclass(frozen=True)
class RecordEntry(Message):
    """Give one record of the store; see `topics.KeyedRecord`."""

    key: str
    value: bytes | None
    offset: int


@dataclass(frozen=True)
class TopicResponse(Message):
    """Give records of a topic; see `topics.TopicNews`.

    Parameters
    ----------
    back_age_ms : float
        Time since the store came back from its last outage, 0 for none.
    back_end : int
        The topic's end at that time.
    """

    call: int
    records: tuple[RecordEntry, ...]
    end: int
    whole: bool
    age_ms: Finite
    back_age_ms: Finite
    back_end: int


CODEC = make_codec(
    (
        (1, Heartbeat),
        (10, RunChain),
        (11, ChainAdmitted),
        (12, ChainDone),
        (13, ChainRefused),
        (14, ChainCancel),
        (15, FreeResults),
        (16, ChainMoved),
        (17, WorkerLoads),
        (20, TopicRequest),
        (21, TopicResponse),
    )
)

"""Define the messages between VMs: heartbeats, staged work, records of the store."""

from __future__ import annotations

from dataclasses import dataclass

from ..duties.messages import DutyBeat, DutyReport
from ..estimates.sharing import Speed
from ..message_codec import bad_message, make_data_codec
from ..rollouts.marks import NOT_STORED


@dataclass(frozen=True)
class Message:
    """Base class of messages; fields are sent as an array in their order."""


@dataclass(frozen=True)
class TopicEnd(Message):
    """Position up to which the sender has read a topic of the store.

    Parameters
    ----------
    era : int
        See `Position`; 0 from a build that doesn't tell.
    """

    name: str
    end: int
    era: int = 0


@dataclass(frozen=True)
class MarkEntry(Message):
    """Whether a version of a service gets traffic; see `marks.VersionMark`."""

    service: str
    version: str
    era: int
    offset: int
    in_service: bool


@dataclass(frozen=True)
class Heartbeat(Message):
    """Report that the sender is alive; sent as one datagram.

    Parameters
    ----------
    duty_order : int
        VMs with lower numbers take on duties first; see `duties`.
    leaving : bool
        Whether the sender is shutting down and takes on no new duties.
    topics : tuple of TopicEnd
        How far the sender has read each topic of the store.
    known : tuple of str
        Addresses of other VMs that the sender has received heartbeats from.
    schedules, ends_at_ms : bool, int
        See `scheduler_role.Member`; False and 0 from a build that has neither.
    scheduler : str
        Address of the VM that the sender has chosen as the scheduler, empty from a
        build that doesn't tell.
    can_schedule : bool
        Whether the sender knows the routes and upstreams.
    marks : tuple of MarkEntry
        What the sender knows of versions; see `rollouts.marks`.
    marks_known, marks_era : bool, int
        `VersionMarks.known` and `VersionMarks.stored_era` of the sender.
    """

    name: str
    address: str
    data_centre: str
    incarnation: str
    duty_order: int
    leaving: bool
    topics: tuple[TopicEnd, ...]
    known: tuple[str, ...]
    schedules: bool = False
    ends_at_ms: int = 0
    scheduler: str = ""
    can_schedule: bool = True
    marks: tuple[MarkEntry, ...] = ()
    marks_known: bool = False
    marks_era: int = NOT_STORED


@dataclass(frozen=True)
class StageWork(Message):
    """One stage of a request; see `chain.ChainStage`."""

    number: int
    service: str
    after: tuple[int, ...]
    count: int
    result_bytes: int


@dataclass(frozen=True)
class ResultEntry(Message):
    """One result; see `chain.Result`."""

    handle: str
    upstream_id: str
    size: int
    data_centre: str


@dataclass(frozen=True)
class CompletedItemEntry(Message):
    """A completed work item; see `chain.CompletedItem`."""

    stage: int
    number: int
    result: ResultEntry
    freed: bool
    left_ms: float


@dataclass(frozen=True)
class RunChain(Message):
    """Ask the scheduler for the results of all stages of a request.

    Parameters
    ----------
    call : int
        Number of the call, unique within one session.
    target_left_ms, left_ms : float
        Time left until the latency target and until the deadline.
    again : bool
        Whether a scheduler has admitted the request before.
    completed : tuple of CompletedItemEntry
        Work items that the previous scheduler completed before it handed the request
        over.
    digest : bytes
        See `crash_state.digest_of`; empty from a build that has none.
    named : bool
        Whether the previous scheduler named the receiver as the next one.
    """

    call: int
    request_id: str
    key: str
    priority: int
    data_centre: str
    target_left_ms: float
    left_ms: float
    engine_ms: float
    stages: tuple[StageWork, ...]
    again: bool
    completed: tuple[CompletedItemEntry, ...]
    digest: bytes = b""
    named: bool = False


@dataclass(frozen=True)
class ChainAdmitted(Message):
    """Report that the scheduler has admitted a call."""

    call: int
    forecast_ms: float


@dataclass(frozen=True)
class ChainMoved(Message):
    """Report that another scheduler has to continue the work of a call.

    Parameters
    ----------
    successor : str
        Its address, empty if the sender knows none.
    """

    call: int
    completed: tuple[CompletedItemEntry, ...]
    successor: str = ""


@dataclass(frozen=True)
class ChainDone(Message):
    """Return the results that the request needs."""

    call: int
    results: tuple[ResultEntry, ...]


@dataclass(frozen=True)
class ChainRefused(Message):
    """Report that a call is refused, and when to retry."""

    call: int
    reason: str
    retry_after_ms: float


@dataclass(frozen=True)
class ChainCancel(Message):
    """Cancel a call: nobody waits for its results any more."""

    call: int


@dataclass(frozen=True)
class FreeResults(Message):
    """Report that results have been used and can be deleted at their upstreams."""

    results: tuple[ResultEntry, ...]


@dataclass(frozen=True)
class StoredResultEntry(Message):
    """A result stored at an upstream; see `handover.StoredResultLoad`."""

    handle: str
    size: int
    left_ms: float


@dataclass(frozen=True)
class WorkerLoadEntry(Message):
    """Stored results and load of an upstream; see `handover.WorkerLoad`."""

    upstream_id: str
    service: str
    busy_ms: float
    slowness: float
    stored: tuple[StoredResultEntry, ...]


@dataclass(frozen=True)
class WorkerLoads(Message):
    """Send the next scheduler the load and stored results of the stages' upstreams.

    Parameters
    ----------
    hands_over : bool
        Whether the receiver schedules from now on; False if it was told before.
    """

    name: str
    workers: tuple[WorkerLoadEntry, ...]
    hands_over: bool = False


@dataclass(frozen=True)
class TopicRequest(Message):
    """Request the records of a topic after a position, offset -1 for all.

    Parameters
    ----------
    call : int
        Number of the call, unique within one session.
    """

    call: int
    name: str
    end: int
    era: int = 0


@dataclass(frozen=True)
class RecordEntry(Message):
    """One record of the store; see `topics.KeyedRecord`."""

    key: str
    value: bytes | None
    offset: int


@dataclass(frozen=True)
class TopicResponse(Message):
    """Return records of a topic; see `topics.TopicDelta`.

    Parameters
    ----------
    back_age_ms : float
        Time since the store recovered from its last outage, 0 for none.
    back_end : int
        The topic's end at that time.
    era : int
        The era of all offsets.
    """

    call: int
    records: tuple[RecordEntry, ...]
    end: int
    whole: bool
    age_ms: float
    back_age_ms: float
    back_end: int
    era: int = 0


@dataclass(frozen=True)
class TopicUpdate(Message):
    """Report a read of the store to another VM; sent as one datagram.

    Parameters
    ----------
    address : str
        The sender.
    start : int
        A receiver that knows the topic up to this offset needs `records` alone; one
        that knows less requests the rest.
    records : tuple of RecordEntry
        The changes from `start` to `end`; see `topics.TopicDelta` for the other fields.
    era : int
        The era of all offsets.
    """

    name: str
    address: str
    start: int
    records: tuple[RecordEntry, ...]
    end: int
    age_ms: float
    back_age_ms: float
    back_end: int
    era: int = 0


@dataclass(frozen=True)
class CrashEntry(Message):
    """A crash of an upstream process, and the time since then.

    Parameters
    ----------
    on_trial : bool
        Whether it proves something, see `crash_blame.Suspect.proofs`.
    """

    process: str
    age_ms: float
    on_trial: bool = False


@dataclass(frozen=True)
class SuspectEntry(Message):
    """What is known of a request, or a part of prompts, that may crash upstreams.

    See `crash_blame.Suspect`; times are in ms from now, negative if they are past.

    Parameters
    ----------
    fingerprint : bytes
        The name of the request or part.
    cleared_age_ms : float
        Time since it was cleared, negative if it was not.
    trial_by : str
        Address of the VM that holds the trial, empty for the sender.
    blamed_age_ms : float
        Time since it was quarantined first, negative for never.
    """

    fingerprint: bytes
    service: str
    crashes: tuple[CrashEntry, ...]
    trial_crashes: int
    trial_left_ms: float
    quarantine_left_ms: float
    quarantines: int
    left_ms: float
    cleared_age_ms: float
    is_part: bool = False
    ran_well: bool = False
    trial_by: str = ""
    blamed_age_ms: float = -1.0
    doubt: float = 0.0


@dataclass(frozen=True)
class SuspectUpdate(Message):
    """Report requests and parts that may crash upstreams; sent as one datagram.

    Parameters
    ----------
    address : str
        The sender.
    survivors : tuple of str
        Upstream processes that turned out to be alive after a supposed crash.
    """

    address: str
    entries: tuple[SuspectEntry, ...]
    survivors: tuple[str, ...]


@dataclass(frozen=True)
class SpeedSamples(Message):
    """Report to a hub how long work takes at upstreams; sent as one datagram.

    Parameters
    ----------
    address : str
        The sender.
    """

    address: str
    entries: tuple[Speed, ...]


@dataclass(frozen=True)
class SpeedTable(Message):
    """Tell the VMs of a data centre how fast upstreams are; sent as one datagram.

    Parameters
    ----------
    address : str
        The sender, a hub.
    """

    address: str
    entries: tuple[Speed, ...]


CODEC = make_data_codec(
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
        (22, TopicUpdate),
        (23, SuspectUpdate),
        (30, DutyReport),
        (31, DutyBeat),
        (40, SpeedSamples),
        (41, SpeedTable),
    )
)
REPLIES = (ChainAdmitted, ChainDone, ChainMoved, ChainRefused, TopicResponse)
"""The messages with which another VM answers on a session that this VM opened."""


def call_of(message: Message) -> int:
    """Return the number of the call that a reply is about.

    Raises
    ------
    CuminstileError
        With `BAD_MESSAGE` if the message is no reply.
    """
    if not isinstance(message, REPLIES):
        raise bad_message(f"{type(message).__name__} is no reply")
    return message.call

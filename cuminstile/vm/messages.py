"""Messages between VMs."""

from typing import Annotated, Any

from pydantic import Field
from pydantic.dataclasses import dataclass

from ..exceptions import ErrorCode, RunStatus
from ..wire import Message, make_codec

Finite = Annotated[float, Field(allow_inf_nan=False)]


@dataclass(frozen=True)
class Challenge(Message):
    """First message of a session: the accepting VM requests a proof over `nonce`."""

    nonce: str


@dataclass(frozen=True)
class Hello(Message):
    """Identity and proof of the connecting VM, with a nonce for the other's proof.

    Parameters
    ----------
    address, operator_address : str
        `host:port` of its ports for other VMs and for operators; the latter is
        empty if unknown.
    """

    name: str
    data_centre: str
    incarnation: str
    address: str
    nonce: str
    proof: str
    operator_address: str = ""


@dataclass(frozen=True)
class Welcome(Message):
    """Identity and proof of the accepting VM."""

    name: str
    data_centre: str
    incarnation: str
    proof: str
    operator_address: str = ""


@dataclass(frozen=True)
class Heartbeat(Message):
    """Sign of life of the sender, with its configuration version.

    Parameters
    ----------
    wall_ms, count : int
        The sender's hybrid clock stamp, to order events.
    config_version : int
        Version in force at the sender; -1 for none.
    leaving : bool
        Whether the sender is shutting down.
    """

    wall_ms: int
    count: int
    config_version: int
    leaving: bool


@dataclass(frozen=True)
class RunStage(Message):
    """Request to run one stage on the receiver.

    Parameters
    ----------
    call : int
        Call number, unique within one session and one direction.
    version : str
        The upstream version to use; empty leaves the choice to the receiver.
    remaining_ms : float
        Time left until the caller's deadline.
    issued_at_ms : int
        When the caller issued its idempotency key, in ms since 1970 UTC.
    can_wait : bool
        Whether the call may queue for a slot; otherwise it is refused if none is free.
    avoid : tuple of str
        Upstreams that have already failed this call.
    """

    call: int
    request: str
    organisation: str
    pipeline: str
    step: str
    stage: str
    version: str
    input: Any
    stream: bool
    priority: int
    remaining_ms: Finite
    resume_at: int
    idempotency_key: str
    issued_at_ms: int
    avoid: tuple[str, ...] = ()
    can_wait: bool = True


@dataclass(frozen=True)
class StageTokens(Message):
    """Tokens of a streaming stage; `index` is the position of the first one."""

    call: int
    index: int
    tokens: tuple[str, ...]


@dataclass(frozen=True)
class StageDone(Message):
    """Complete output of a stage, and where it ran.

    `failures` and `excused` are those of `RunTrace`.
    """

    call: int
    output: Any
    version: str
    upstream: str
    data_centre: str
    vm: str
    attempts: int
    elapsed_ms: Finite
    failures: int = 0
    excused: bool = False


@dataclass(frozen=True)
class StageRefused(Message):
    """Refusal: a stage gave no output; `failures`, `excused` as in `RunTrace`."""

    call: int
    code: ErrorCode
    message: str
    ran: RunStatus
    failures: int = 0
    excused: bool = False


@dataclass(frozen=True)
class StageCancel(Message):
    """Cancellation of a stage whose output is no longer needed."""

    call: int


@dataclass(frozen=True)
class ConfigRequest(Message):
    """Request for the last accepted configuration if it is newer than `version`."""

    version: int


@dataclass(frozen=True)
class ConfigResponse(Message):
    """A configuration record and its version."""

    version: int
    payload: bytes


@dataclass(frozen=True)
class ClaimOutcomeRequest(Message):
    """Request for the outcome of a claim; its claimant responds once the run ended."""

    call: int
    claim: bytes


@dataclass(frozen=True)
class ClaimOutcomeResponse(Message):
    """Outcome of a claim; empty if the claimant has none."""

    call: int
    outcome: bytes


@dataclass(frozen=True)
class LoadEntry(Message):
    """Load and condition of one upstream, as the sender knows them.

    Parameters
    ----------
    upstream, incarnation : int
        Compact numbers of the upstream's name and of its incarnation.
    condition : int
        A `Condition`.
    in_flight, capacity : int
        As reported by the upstream.
    age_ds : int
        Age of the observation, in tenths of a second.
    """

    upstream: int
    incarnation: int
    condition: int
    in_flight: int
    capacity: int
    age_ds: int


@dataclass(frozen=True)
class LoadDigest(Message):
    """Changes in load or condition of upstreams of the data centre."""

    entries: tuple[LoadEntry, ...]


@dataclass(frozen=True)
class LeaseRequest(Message):
    """Request for leases: to be the only VM that calls some cold upstreams.

    Parameters
    ----------
    number : int
        Number of the sender's round of requests.
    upstreams : tuple of int
        Compact numbers of the upstreams' names.
    """

    number: int
    upstreams: tuple[int, ...]


@dataclass(frozen=True)
class LeaseResponse(Message):
    """Response to one round of lease requests.

    Parameters
    ----------
    number : int
        The number of the round.
    abstains : bool
        Whether the sender started too recently to grant anything.
    granted : tuple of int
        The upstreams that the sender promises to leave to the requesting VM.
    """

    number: int
    abstains: bool
    granted: tuple[int, ...]


@dataclass(frozen=True)
class LeaseRelease(Message):
    """Release of leases before they expire."""

    upstreams: tuple[int, ...]


@dataclass(frozen=True)
class CrashNotice(Message):
    """Number of upstream crashes caused by a request; 0 clears the suspicion."""

    fingerprint: bytes
    crashes: int


@dataclass(frozen=True)
class RouteEvidence(Message):
    """The sender's counts for one pipeline of a traffic move.

    Parameters
    ----------
    move, route : int
        The numbers of the move and of the pipeline.
    log_bets : tuple of int
        Sums of the sequential test's log bets, in hundredths of a nat.
    late_above_ms : int
        Duration above which a call is late; 0 if unknown.
    """

    move: int
    route: int
    new_good: int
    new_failed: int
    new_late: int
    old_good: int
    old_failed: int
    old_late: int
    log_bets: tuple[int, ...]
    late_above_ms: int


@dataclass(frozen=True)
class MoveEvidence(Message):
    """Evidence about traffic moves, the most changed entries first."""

    entries: tuple[RouteEvidence, ...]


@dataclass(frozen=True)
class MoveStep(Message):
    """The step of a traffic move at the sender, and whether it is rolled back."""

    move: int
    step: int
    taken_back: bool
    reason: str


@dataclass(frozen=True)
class MoveVerdict(Message):
    """The verdict on a traffic move: the encoded record of the log."""

    payload: bytes


CODEC = make_codec(
    (
        (1, Challenge),
        (2, Hello),
        (3, Welcome),
        (10, Heartbeat),
        (20, RunStage),
        (21, StageTokens),
        (22, StageDone),
        (23, StageRefused),
        (24, StageCancel),
        (30, ConfigRequest),
        (31, ConfigResponse),
        (40, ClaimOutcomeRequest),
        (41, ClaimOutcomeResponse),
        (50, LoadDigest),
        (51, LeaseRequest),
        (52, LeaseResponse),
        (53, LeaseRelease),
        (54, CrashNotice),
        (60, MoveEvidence),
        (61, MoveStep),
        (62, MoveVerdict),
    )
)

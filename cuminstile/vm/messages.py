"""Define what VMs say to each other."""

from typing import Annotated, Any

from pydantic import Field
from pydantic.dataclasses import dataclass

from ..exceptions import ErrorCode, RunStatus
from ..wire import Message, make_codec

Finite = Annotated[float, Field(allow_inf_nan=False)]


@dataclass(frozen=True)
class Challenge(Message):
    """Open a session: the accepting VM asks for a proof over `nonce`."""

    nonce: str


@dataclass(frozen=True)
class Hello(Message):
    """Introduce the connecting VM, prove its key and ask for a proof in turn.

    Parameters
    ----------
    address, operator_address : str
        `host:port` of its ports for other VMs and for operators; the latter is
        empty if it isn't known.
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
    """Introduce the accepting VM and prove its key."""

    name: str
    data_centre: str
    incarnation: str
    proof: str
    operator_address: str = ""


@dataclass(frozen=True)
class Heartbeat(Message):
    """Tell that the sender lives, and what it has in force.

    Parameters
    ----------
    wall_ms, count : int
        The sender's stamp, to order events.
    config_version : int
        -1 for none.
    leaving : bool
        Whether the sender is shutting down.
    """

    wall_ms: int
    count: int
    config_version: int
    leaving: bool


@dataclass(frozen=True)
class RunStage(Message):
    """Ask another VM to run one stage.

    Parameters
    ----------
    call : int
        Tells apart the calls of one session and one direction.
    version : str
        The upstream version to use; empty leaves the choice to the receiver.
    remaining_ms : float
        What is left of the caller's deadline.
    issued_at_ms : int
        When the caller issued its idempotency key, in ms since 1970 UTC.
    may_wait : bool
        Whether the call may wait for a slot; else it is refused without a free one.
    avoid : tuple of str
        Upstreams that have failed this call already.
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
    """Give tokens of a streaming stage; `index` is that of the first."""

    call: int
    index: int
    tokens: tuple[str, ...]


@dataclass(frozen=True)
class StageDone(Message):
    """Give the whole output of a stage and where it ran."""

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
    """Tell that a stage gave no output; `failures` and `excused` as in a `RunTrace`."""

    call: int
    code: ErrorCode
    message: str
    ran: RunStatus
    failures: int = 0
    excused: bool = False


@dataclass(frozen=True)
class StageCancel(Message):
    """Tell that nobody waits for a stage any more."""

    call: int


@dataclass(frozen=True)
class ConfigRequest(Message):
    """Ask for the configuration in force if it is newer than `version`."""

    version: int


@dataclass(frozen=True)
class ConfigResponse(Message):
    """Give a configuration record and the version it has."""

    version: int
    payload: bytes


@dataclass(frozen=True)
class ClaimOutcomeRequest(Message):
    """Ask a claimant how the run of its claim ended; it answers when it has."""

    call: int
    claim: bytes


@dataclass(frozen=True)
class ClaimOutcomeResponse(Message):
    """Give the outcome of a claim; empty if the claimant holds none."""

    call: int
    outcome: bytes


@dataclass(frozen=True)
class LoadEntry(Message):
    """Tell what the sender knows about one upstream.

    Parameters
    ----------
    upstream, incarnation : int
        Compact numbers of the upstream's name and of its incarnation.
    condition : int
        A `Condition`.
    in_flight, capacity : int
        As the upstream reported them.
    age_ds : int
        How old the evidence is, in tenths of a second.
    """

    upstream: int
    incarnation: int
    condition: int
    in_flight: int
    capacity: int
    age_ds: int


@dataclass(frozen=True)
class LoadDigest(Message):
    """Pass on what has changed about some upstreams of the data centre."""

    entries: tuple[LoadEntry, ...]


@dataclass(frozen=True)
class LeaseRequest(Message):
    """Ask to be the only VM that calls some cold upstreams.

    Parameters
    ----------
    number : int
        Tells apart the rounds of the sender.
    upstreams : tuple of int
        Compact numbers of the upstreams' names.
    """

    number: int
    upstreams: tuple[int, ...]


@dataclass(frozen=True)
class LeaseResponse(Message):
    """Answer one round of a VM that asks for leases.

    Parameters
    ----------
    abstains : bool
        Whether the sender is too young to promise anything.
    granted : tuple of int
        The upstreams that the sender promises to leave to the asking VM.
    """

    number: int
    abstains: bool
    granted: tuple[int, ...]


@dataclass(frozen=True)
class LeaseRelease(Message):
    """Give back leases before they end."""

    upstreams: tuple[int, ...]


@dataclass(frozen=True)
class CrashNotice(Message):
    """Tell how often a request has crashed an upstream; 0 clears the suspicion."""

    fingerprint: bytes
    crashes: int


@dataclass(frozen=True)
class RouteEvidence(Message):
    """Give what the sender has counted for one pipeline of a traffic move.

    Parameters
    ----------
    move, route : int
        The numbers of the move and of the pipeline.
    log_bets : tuple of int
        The sums of the test's log bets, in hundredths of a nat.
    late_above_ms : int
        Above which duration a call is late, 0 if not known.
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
    """Give evidence about traffic moves, what has changed most first."""

    entries: tuple[RouteEvidence, ...]


@dataclass(frozen=True)
class MoveStep(Message):
    """Tell how far a traffic move has come at the sender, and if it is taken back."""

    move: int
    step: int
    taken_back: bool
    reason: str


@dataclass(frozen=True)
class MoveVerdict(Message):
    """Give the verdict on a traffic move as its record stands in the log."""

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

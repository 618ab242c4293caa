"""Define what VMs say to each other."""

from typing import Any

from pydantic.dataclasses import dataclass

from ..exceptions import ErrorCode, Ran
from ..wire import Message, make_codec


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
    """Ask a VM of another data centre to run one stage.

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
    remaining_ms: float
    resume_at: int
    idempotency_key: str
    issued_at_ms: int


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
    elapsed_ms: float
    failures: int = 0
    excused: bool = False


@dataclass(frozen=True)
class StageRefused(Message):
    """Tell that a stage gave no output; `failures` and `excused` as in a `RunTrace`."""

    call: int
    code: ErrorCode
    message: str
    ran: Ran
    failures: int = 0
    excused: bool = False


@dataclass(frozen=True)
class StageCancel(Message):
    """Tell that nobody waits for a stage any more."""

    call: int


@dataclass(frozen=True)
class ConfigAsk(Message):
    """Ask for the configuration in force if it is newer than `version`."""

    version: int


@dataclass(frozen=True)
class ConfigGive(Message):
    """Give a configuration record and the version it has."""

    version: int
    payload: bytes


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
        (30, ConfigAsk),
        (31, ConfigGive),
        (60, MoveEvidence),
        (61, MoveStep),
        (62, MoveVerdict),
    )
)

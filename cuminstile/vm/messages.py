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


@dataclass(frozen=True)
class StageRefused(Message):
    """Tell that a stage gave no output."""

    call: int
    code: ErrorCode
    message: str
    ran: Ran


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
class ClaimAsk(Message):
    """Ask a claimant how the run of its claim ended; it answers when it has."""

    call: int
    claim: bytes


@dataclass(frozen=True)
class ClaimTell(Message):
    """Give the outcome of a claim; empty if the claimant holds none."""

    call: int
    outcome: bytes


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
        (40, ClaimAsk),
        (41, ClaimTell),
    )
)

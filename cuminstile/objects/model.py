"""Data classes of the objects that operators publish."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated, Literal

from pydantic import ConfigDict, Field, TypeAdapter, with_config

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
STRICT = ConfigDict(extra="forbid")


class DataCentreState(StrEnum):
    """Whether operators let a data centre receive new work."""

    IN = "in"
    OUT = "out"


class Role(StrEnum):
    """The kind of upstream that serves a stage."""

    ENGINE = "engine"
    POOL = "pool"
    SERVICE = "service"


@with_config(STRICT)
@dataclass(frozen=True)
class DataCentre:
    """A data centre, and whether it may receive new work."""

    kind: Literal["data_centre"]
    name: Name
    region: Name
    state: DataCentreState = DataCentreState.IN


@with_config(STRICT)
@dataclass(frozen=True)
class Stage:
    """A stage, which the steps of pipelines call.

    A stage that is not `repeatable` runs at most once for an idempotency key.
    A stage that `streams` returns tokens while it runs.
    """

    kind: Literal["stage"]
    name: Name
    role: Role
    repeatable: bool = True
    streams: bool = False


@with_config(STRICT)
@dataclass(frozen=True)
class UpstreamVersion:
    """A version of the software that serves a stage, with its weights if any."""

    kind: Literal["upstream_version"]
    name: Name
    stage: Name
    weights: str = ""


@with_config(STRICT)
@dataclass(frozen=True)
class Upstream:
    """A back end.

    Parameters
    ----------
    address : str
        `host:port`, where the host is an IP address.
    versions : tuple of str
        The upstream versions that it serves.
    capacity : int
        Calls in flight that it supports when warm.
    cold_capacity : int
        Calls in flight that it supports when cold.
    checks_fencing : bool
        Whether it refuses an order with an old fencing number.
    """

    kind: Literal["upstream"]
    name: Name
    data_centre: Name
    address: Annotated[str, Field(pattern=r"^[0-9a-f.:\[\]]+:\d{1,5}$")]
    versions: Annotated[tuple[Name, ...], Field(min_length=1)]
    capacity: Annotated[int, Field(ge=1, le=10_000)] = 8
    cold_capacity: Annotated[int, Field(ge=1, le=10_000)] = 1
    checks_fencing: bool = False


@with_config(STRICT)
@dataclass(frozen=True)
class Step:
    """A step of a pipeline; it runs after the steps that it needs."""

    name: Name
    stage: Name
    needs: tuple[Name, ...] = ()


@with_config(STRICT)
@dataclass(frozen=True)
class Pipeline:
    """A pipeline; its answer is the output of its last step.

    Parameters
    ----------
    deadline_ms : int
        Time from a request's arrival to its complete answer, unless the request sets
        its own.
    """

    kind: Literal["pipeline"]
    name: Name
    steps: Annotated[tuple[Step, ...], Field(min_length=1, max_length=16)]
    deadline_ms: Annotated[int, Field(ge=1, le=3_600_000)] = 4_000


@with_config(STRICT)
@dataclass(frozen=True)
class Organisation:
    """A customer.

    Parameters
    ----------
    key_digests : tuple of str
        SHA-256 in hexadecimal of each API key that its callers may use.
    weight : int
        Weight of its fair share of a busy system, relative to other organisations.
    """

    kind: Literal["organisation"]
    name: Name
    key_digests: Annotated[
        tuple[Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")], ...],
        Field(min_length=1, max_length=4),
    ]
    weight: Annotated[int, Field(ge=1, le=1_000)] = 1


@with_config(STRICT)
@dataclass(frozen=True)
class TrafficMove:
    """An order to move a stage's traffic from one version to another.

    Parameters
    ----------
    start_at_ms, finish_by_ms : int
        Wall-clock times in ms since 1970 UTC.
    """

    kind: Literal["traffic_move"]
    name: Name
    stage: Name
    from_version: Name
    to_version: Name
    start_at_ms: Annotated[int, Field(ge=0)]
    finish_by_ms: Annotated[int, Field(ge=0)]


AnyObject = Annotated[
    DataCentre
    | Stage
    | UpstreamVersion
    | Upstream
    | Pipeline
    | Organisation
    | TrafficMove,
    Field(discriminator="kind"),
]
OBJECT: TypeAdapter[AnyObject] = TypeAdapter(AnyObject)

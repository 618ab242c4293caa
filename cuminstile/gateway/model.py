"""Define what the gateway serves: routes, services, upstreams, organisations."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import StrEnum

DEFAULT_PRIORITY = 5


class RouteKind(StrEnum):
    """Tell what may be repeated on a route.

    `IDEMPOTENT` requests may run more than once, `ONCE` requests may not, and a
    `STREAM` is an event stream that runs once unless its route is resumable.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class StageSpec:
    """Describe one stage that runs before a request.

    Parameters
    ----------
    service : str
        The service whose upstreams make the pieces.
    after : tuple of int
        Numbers of the stages whose results are the inputs of this one.
    result_bytes : int
        Approximate size of the result of one piece.
    """

    service: str
    after: tuple[int, ...]
    result_bytes: int


@dataclass(frozen=True, slots=True)
class Target:
    """Name a service that a route sends to, with its share of the traffic."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Hold one route; times in ms, priority 0 is the most urgent.

    Parameters
    ----------
    patience_ms : float
        How long a caller waits for the first event of a stream, and for the next one.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_ms: float
    target_ms: float
    priority: int
    targets: tuple[Target, ...]
    max_attempts: int
    stages: tuple[StageSpec, ...] = ()
    public: bool = False
    sticky: bool = False
    resumable: bool = False
    gap_ms: float = 0.0
    event_timeout_ms: float = math.inf

    @property
    def repeatable(self) -> bool:
        """Tell whether a request may run a second time."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable


@dataclass(frozen=True, slots=True)
class BatchSpec:
    """Describe an upstream that makes pieces in batches; all per upstream.

    Parameters
    ----------
    slots, queue : int
        Calls that run, and that may wait, at the same time.
    batch : int
        Pieces in one call at most.
    call_ms, item_ms : float
        Time of a call, and of each of its pieces in addition.
    room_bytes : int
        Memory for results.
    keep_ms : float
        How long a result is kept after its call unless it is freed.
    """

    slots: int
    queue: int
    batch: int
    call_ms: float
    item_ms: float
    memory_bytes: int
    result_ttl_ms: float


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Describe an engine: requests at once, and memory in tokens."""

    slots: int
    kv_tokens: int


@dataclass(frozen=True, slots=True)
class Service:
    """Hold one service and what each of its upstreams bears."""

    name: str
    max_connections: int
    cold_start_ms: float = 0.0
    cold_per_s: float = 0.0
    engine: EngineSpec | None = None
    batch: BatchSpec | None = None


@dataclass(frozen=True, slots=True)
class Limits:
    """Bound what a caller may send and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@dataclass(frozen=True, slots=True)
class Organisation:
    """Hold one organisation; its priority goes before that of the route."""

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class Manifest:
    """Hold one whole published version."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits
    organisations: dict[str, Organisation] = field(default_factory=dict)
    """Organisations by API key; empty where callers need no key."""


@dataclass(frozen=True, slots=True)
class Upstream:
    """Describe one upstream as discovery last told it.

    Parameters
    ----------
    born_ms : int
        Start of the process, in ms since 1970 UTC; tells two lives of one id apart.
    leaving : bool
        Whether it has announced that it leaves.
    cold_ms : float
        How long it stays cold from the moment of the record.
    """

    id: str
    service: str
    address: str
    zone: str
    version: str
    slots: int
    leaving: bool
    cold_ms: float
    born_ms: int


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Name one part of a prompt and its length in tokens."""

    id: str
    tokens: int

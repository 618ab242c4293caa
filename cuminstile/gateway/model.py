"""Model of what the gateway serves: routes, services, upstreams, organisations."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum

DEFAULT_PRIORITY = 5


class RouteKind(StrEnum):
    """Whether requests on a route can be repeated.

    `IDEMPOTENT` requests may run more than once, `ONCE` requests may not, and a
    `STREAM` is an event stream that runs once unless its route is resumable.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class StageSpec:
    """One stage that runs before a request.

    Parameters
    ----------
    service : str
        The service whose upstreams run the work items.
    after : tuple of int
        Numbers of the stages whose results are the inputs of this one.
    result_bytes : int
        Approximate size of the result of one work item.
    """

    service: str
    after: tuple[int, ...]
    result_bytes: int


@dataclass(frozen=True, slots=True)
class Target:
    """A service that a route sends to, with its share of the traffic."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route; times in ms, priority 0 is the most urgent.

    Parameters
    ----------
    event_timeout_ms : float
        How long a caller waits for the first event of a stream, and for each next one.
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
        """Return whether a request can run a second time."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable


@dataclass(frozen=True, slots=True)
class BatchSpec:
    """Capacity of one upstream that runs work items in batches.

    Parameters
    ----------
    slots, queue : int
        Maximum number of running calls, and of waiting calls.
    batch : int
        Maximum number of items in one call.
    call_ms, item_ms : float
        Fixed time of a call, and additional time for each of its items.
    memory_bytes : int
        Memory for results.
    result_ttl_ms : float
        How long a result is stored after its call unless it is freed.
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
    """Capacity of an engine: concurrent requests, and memory in tokens."""

    slots: int
    kv_tokens: int


@dataclass(frozen=True, slots=True)
class ScalingSpec:
    """Bounds of how many upstreams of a service are ordered in each data centre.

    Parameters
    ----------
    least, most : int
        Bounds of the number.
    start_ms : float
        Time from an order until a new upstream serves.
    """

    least: int
    most: int
    start_ms: float


@dataclass(frozen=True, slots=True)
class Service:
    """One service and the capacity of each of its upstreams.

    Parameters
    ----------
    scaling : ScalingSpec or None
        None if the number of its upstreams is not ordered.
    """

    name: str
    max_connections: int
    cold_start_ms: float = 0.0
    cold_per_s: float = 0.0
    engine: EngineSpec | None = None
    batch: BatchSpec | None = None
    scaling: ScalingSpec | None = None


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits for the size and the duration of what a caller sends."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@dataclass(frozen=True, slots=True)
class Organisation:
    """One organisation; its priority takes precedence over that of the route."""

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class Manifest:
    """One published version of the manifest."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits
    organisations: dict[str, Organisation] | None = None
    """Organisations by API key, which may be empty; None where callers need no key."""

    def organisation_names(self) -> set[str]:
        """Return the names of the organisations that hold a key."""
        return {one.name for one in (self.organisations or {}).values()}


@dataclass(frozen=True, slots=True)
class Upstream:
    """One upstream as last reported by discovery.

    Parameters
    ----------
    leaving : bool
        Whether it has announced that it leaves.
    cold_ms : float
        How long it stays cold, counted from the record.
    started_ms : int
        Start of the process, in ms since 1970 UTC; distinguishes restarts of one id.
    """

    id: str
    service: str
    address: str
    data_centre: str
    version: str
    slots: int
    leaving: bool
    cold_ms: float
    started_ms: int


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt and its length in tokens."""

    id: str
    tokens: int

"""State of one VM."""

from __future__ import annotations

import random
import secrets
import ssl
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from .calls import RunTrace, StageCall, StageOutcome, TokenSink
from .claim_state import Claims
from .clock import Clock
from .crash_suspects import CrashTable
from .events import Journal
from .exceptions import CuminstileError, ErrorCode
from .metrics import Metrics, make_metrics
from .objects.collection import ObjectSet
from .records.client import PlatformClient
from .records.configuration import ConfigurationState, InForce
from .settings import Settings
from .shutdown.end_scopes import EndScopes
from .shutdown.in_progress import RequestsInProgress
from .shutdown.schedule import ShutdownTimes
from .spilling import SpillState
from .stage_times import StageTimes
from .traffic_state import Traffic
from .upstream.leases import Leases
from .upstream.load import LoadExchange
from .upstream.orders import Orders
from .upstream.pools import UpstreamPool
from .upstream.retries import RetryBudget
from .upstream.table import UpstreamTable
from .upstream.waiting import WaitQueues
from .vm.membership import Members
from .vm.sessions import Session, Sessions
from .wire import Message

Handler = Callable[["Vm", Session, Any], Awaitable[None]]
StageRunner = Callable[
    ["Vm", StageCall, RunTrace, TokenSink, bool], Awaitable[StageOutcome]
]


@dataclass
class Activity:
    """Counts of work in progress, which a graceful shutdown waits for.

    Parameters
    ----------
    claims : int
        Claims of this VM whose outcome or void is not recorded in the log yet.
    """

    requests: int = 0
    forwarded: int = 0
    claims: int = 0

    def total(self) -> int:
        """Return the number of requests, forwarded calls and claims in progress."""
        return self.requests + self.forwarded + self.claims


@dataclass
class Vm:
    """State of one VM; each attribute holds the state of one component.

    Parameters
    ----------
    run_stage : StageRunner
        Runs one stage on this VM or, if its last argument allows it, on another one.
    handlers : dict of type to Handler
        The handler for each type of message from another VM.
    incarnation : str
        Random id of this start, so that others can detect a restart or a replacement.
    in_progress : RequestsInProgress
        The callers' requests that have no complete answer yet.
    end_scopes : EndScopes
        The work that is cut short, and answered, before this VM ends.
    leaving : bool
        Whether a graceful shutdown has begun.
    shutdown : ShutdownTimes or None
        The times of the graceful shutdown; None before it.
    closing : bool
        Whether new work is rejected, also from other VMs.
    platform_unavailable_since_ms : float or None
        Monotonic time in ms since which the platform has not answered, None if it does.
    """

    settings: Settings
    clock: Clock
    journal: Journal
    platform: PlatformClient
    run_stage: StageRunner
    handlers: dict[type[Message], Handler]
    members: Members
    random: random.Random = field(default_factory=random.Random)
    incarnation: str = field(default_factory=lambda: secrets.token_hex(6))
    configuration: ConfigurationState = field(default_factory=ConfigurationState)
    in_force: InForce = field(default_factory=InForce)
    sessions: Sessions = field(default_factory=Sessions)
    upstreams: UpstreamTable = field(default_factory=UpstreamTable)
    load: LoadExchange = field(default_factory=LoadExchange)
    leases: Leases = field(default_factory=Leases)
    orders: Orders = field(default_factory=Orders)
    retries: RetryBudget = field(default_factory=RetryBudget)
    crashes: CrashTable = field(default_factory=CrashTable)
    wait_queue: WaitQueues = field(default_factory=WaitQueues)
    upstream_pool: UpstreamPool = field(default_factory=UpstreamPool)
    claims: Claims = field(default_factory=Claims)
    spilling: SpillState = field(default_factory=SpillState)
    stage_times: StageTimes = field(default_factory=StageTimes)
    traffic: Traffic = field(default_factory=Traffic)
    activity: Activity = field(default_factory=Activity)
    in_progress: RequestsInProgress = field(default_factory=RequestsInProgress)
    end_scopes: EndScopes = field(default_factory=EndScopes)
    metrics: Metrics = field(default_factory=make_metrics)
    server_tls: ssl.SSLContext | None = None
    client_tls: ssl.SSLContext | None = None
    leaving: bool = False
    closing: bool = False
    shutdown: ShutdownTimes | None = None
    platform_unavailable_since_ms: float | None = None

    @property
    def objects(self) -> ObjectSet:
        """Return the objects in force.

        Raises
        ------
        CuminstileError
            With `NO_CONFIGURATION` while there are none.
        """
        if self.configuration.current is None:
            raise CuminstileError(
                ErrorCode.NO_CONFIGURATION, "no configuration is in force yet"
            )
        return self.configuration.current.objects

    @property
    def own_address(self) -> str:
        """Return `host:port` at which other VMs reach this VM."""
        return f"{self.settings.host}:{self.settings.vm_port}"

    @property
    def own_operator_address(self) -> str:
        """Return `host:port` at which operators reach this VM."""
        return f"{self.settings.host}:{self.settings.operator_port}"

"""State of one VM that serves opaque requests."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field, replace

from ..clock import Clock
from ..duties.desk import DutyDesk
from ..eras.store_era import StoreEra
from ..estimates.sharing import SpeedSharing
from ..events import Event, Journal
from ..hedging.limits import HedgeLimits, Hedging
from ..rollouts.marks import VersionMarks
from ..scaling.demand import LocalDemand
from ..shutdown.answer_times import AnswerTimes
from ..shutdown.in_progress import RequestsInProgress
from ..shutdown.schedule import ShutdownTimes
from ..shutdown.scheduler_role import SchedulerRole
from .connection_pool import ConnectionPool
from .conversions import marks_to_entries
from .crash_state import CrashGuard
from .duties import duty_order
from .gateway_metrics import GatewayMetrics
from .membership import Membership
from .messages import Heartbeat, TopicEnd
from .model import Limits, Manifest, Upstream
from .peer_sessions import PeerSessions
from .readers import ReaderRole, reader_role
from .retry_budget import RetryBudget
from .routing import RouteIndex, make_index
from .staging import Scheduler
from .topics import TopicState
from .upstream_protocol import UpstreamProtocol
from .upstreams import UpstreamTable, process_of

OUTAGE_GRACE_MS = 2_500.0
"""How long after an outage of the store an upstream is kept that was missing from the
store's first answer: a live upstream's record is back within two seconds."""
REMOVED_GRACE_MS = 1_200.0
"""How long an upstream is kept that goes missing later in that time: it may be leaving,
and a leaving one must get no more requests after two seconds."""


MAX_KNOWN = 40
"""Addresses of other VMs in a heartbeat; those of a few hubs cover a large fleet."""


@dataclass(frozen=True)
class GatewaySettings:
    """Settings of a VM that serves opaque requests.

    Parameters
    ----------
    caller_address, readiness_address, peer_address : str
        `host:port` for callers, for readiness checks, for other VMs.
    metrics_address : str
        `host:port` for the metrics collector.
    seeds : tuple of str
        `host:port` of some other VMs, which may be gone.
    shutdown_ms : float
        Time from SIGTERM to the forced end of the process.
    cores, link_mbps : float
        Processor and network link of the VM.
    memory_mb : float
        Memory of the VM.
    max_sockets : int
        Sockets that the process may have open.
    keys_required : bool
        Whether callers need keys whatever a manifest says: one that lists no
        organisations lets nobody in on closed routes.
    hedge_share, hedge_busy_share : float
        Limits for second sends; see `HedgeLimits`.
    """

    name: str
    data_centre: str
    caller_address: str
    readiness_address: str
    peer_address: str
    metrics_address: str
    seeds: tuple[str, ...]
    shutdown_ms: float
    manifest_ms: float
    retry_ratio: float
    retry_slack: float
    retry_window_ms: float
    cores: float = 1.0
    link_mbps: float = 1_000.0
    memory_mb: float = 1_000.0
    max_sockets: int = 65_536
    keys_required: bool = False
    hedge_share: float = 0.0
    hedge_busy_share: float = 0.5


@dataclass(frozen=True)
class FollowedTopic:
    """A topic of the store, how it is read and how its changes are applied.

    Parameters
    ----------
    apply_changes : callable
        Applies the keys that changed, possibly none, given with their source.
    wait_ms : callable
        Returns how long the next call waits for a record, 0 for no waiting.
    pause_ms : callable
        Returns the pause before the next call.
    lag_ms : float
        How long the store may take to return what another VM knows.
    always_read : callable
        Returns whether a VM with a given role reads whatever the others pass on.
    max_age_ms : callable
        Returns the age at which the first of the other VMs reads the topic itself.
    """

    state: TopicState
    apply_changes: Callable[[set[str], str], None]
    wait_ms: Callable[[], float]
    pause_ms: Callable[[], float]
    lag_ms: float
    always_read: Callable[[ReaderRole], bool]
    max_age_ms: Callable[[], float]


@dataclass
class Gateway:
    """State of one VM and its components.

    Parameters
    ----------
    index : RouteIndex or None
        The manifest in force, None before the first one.
    topics : dict of str to FollowedTopic
        The topics of the store, by name.
    store_era : StoreEra
        The newest era of the store.
    rollouts : VersionMarks
        Which versions get traffic, from the orders to move it.
    wanted_records : dict of str to str
        By topic, the address of a VM that knows changes which are missing here.
    send_datagram : callable
        Sends bytes to the `host:port` of another VM; they may be lost.
    duties : DutyDesk or None
        The duties of one VM at a time, None where there are none.
    speeds : SpeedSharing
        What this VM told others of the speeds of upstreams.
    in_progress : RequestsInProgress
        What each accepted request waits for.
    shutdown : ShutdownTimes or None
        Times of the planned stop, None before SIGTERM.
    role : SchedulerRole
        Whether this VM keeps scheduling while it shuts down.
    answer_times : AnswerTimes
        How long the answers of each route usually take.
    """

    settings: GatewaySettings
    clock: Clock
    journal: Journal
    metrics: GatewayMetrics
    protocol: UpstreamProtocol
    scheduler: Scheduler
    membership: Membership
    retries: RetryBudget
    sessions: PeerSessions
    incarnation: str
    started_ms: int
    table: UpstreamTable = field(default_factory=UpstreamTable)
    crash_guard: CrashGuard = field(default_factory=CrashGuard)
    hedging: Hedging = field(default_factory=Hedging)
    pool: ConnectionPool = field(default_factory=lambda: ConnectionPool({}))
    demand: LocalDemand = field(default_factory=LocalDemand)
    index: RouteIndex | None = None
    topics: dict[str, FollowedTopic] = field(default_factory=dict)
    store_era: StoreEra = field(default_factory=StoreEra)
    rollouts: VersionMarks = field(default_factory=VersionMarks)
    wanted_records: dict[str, str] = field(default_factory=dict)
    send_datagram: Callable[[str, bytes], None] = field(default=lambda *_: None)
    duties: DutyDesk | None = None
    random: random.Random = field(default_factory=random.Random)
    speeds: SpeedSharing = field(default_factory=SpeedSharing)
    upstreams_known: bool = False
    missing_since_ms: dict[str, float] = field(default_factory=dict)
    requests: int = 0
    in_progress: RequestsInProgress = field(default_factory=RequestsInProgress)
    leaving: bool = False
    shutdown: ShutdownTimes | None = None
    role: SchedulerRole = field(default_factory=SchedulerRole)
    answer_times: AnswerTimes = field(default_factory=AnswerTimes)

    @property
    def manifest(self) -> Manifest | None:
        """Return the manifest in force, if there is one."""
        return None if self.index is None else self.index.manifest

    @property
    def limits(self) -> Limits:
        """Return the limits for callers."""
        return Limits() if self.index is None else self.index.manifest.limits

    @property
    def can_schedule(self) -> bool:
        """Return whether this VM knows the routes and upstreams."""
        return self.index is not None and self.upstreams_known

    @property
    def ready(self) -> bool:
        """Return whether this VM accepts new connections of callers."""
        return self.can_schedule and not self.leaving

    def own_heartbeat(self) -> Heartbeat:
        """Return this VM's heartbeat."""
        topics = (topic.state for topic in self.topics.values())
        known = self.membership.remembered(self.clock.now_ms())
        some = self.random.sample(known, min(len(known), MAX_KNOWN))
        return Heartbeat(
            self.settings.name,
            self.settings.peer_address,
            self.settings.data_centre,
            self.incarnation,
            duty_order(self.started_ms, self.settings.cores, self.settings.link_mbps),
            self.leaving,
            tuple(
                TopicEnd(topic.name, topic.end.offset, topic.end.era)
                for topic in topics
            ),
            tuple(some),
            self.role.keeps,
            self.role.ends_at_ms,
            can_schedule=self.can_schedule,
        )

    def heartbeat_message(self) -> Heartbeat:
        """Return this VM's heartbeat with the scheduler that it has chosen."""
        own = self.own_heartbeat()
        chosen = self.membership.scheduler(own, self.clock.now_ms())
        return replace(
            own,
            scheduler=chosen.address,
            marks=marks_to_entries(self.rollouts.all()),
            marks_known=self.rollouts.known,
            marks_era=self.rollouts.stored_era,
        )

    def reader_role(self) -> ReaderRole:
        """Return this VM's role in following the store."""
        live = self.membership.live(self.clock.now_ms())
        return reader_role(self.own_heartbeat(), live)

    def hedge_limits(self) -> HedgeLimits:
        """Return the limits in force for second sends."""
        return HedgeLimits(self.settings.hedge_share, self.settings.hedge_busy_share)

    def vm_count(self) -> int:
        """Return how many VMs share the common limits."""
        return self.membership.fleet_size()

    def live_vms(self) -> int:
        """Return the number of live VMs, including this one."""
        return 1 + len(self.membership.live(self.clock.now_ms()))

    def apply_manifest(self, manifest: Manifest, source: str) -> bool:
        """Apply a manifest if it is newer; return whether it was."""
        if self.manifest is not None and manifest.version <= self.manifest.version:
            return False
        if self.settings.keys_required and manifest.organisations is None:
            manifest = replace(manifest, organisations={})
        self.index = make_index(manifest)
        self.scheduler.configure(manifest, self.table)
        self.journal.record(
            Event.MANIFEST_IN_FORCE,
            version=manifest.version,
            source=source,
            routes=len(manifest.routes),
            organisations=len(manifest.organisation_names()),
        )
        return True

    def apply_upstreams(
        self,
        upstreams: dict[str, Upstream],
        back_ms: float,
        expired: Collection[str] = (),
    ) -> None:
        """Apply the discovered upstreams.

        Parameters
        ----------
        back_ms : float
            Since when the store answers without interruption, in monotonic ms.
            Upstreams that went missing in an outage are kept for a while after it.
        expired : collection of str
            Upstreams that were missing from the store's first answer.
        """
        now_ms = self.clock.now_ms()
        unconfirmed = {
            name: state.info
            for name, state in self.table.states.items()
            if name not in upstreams
            and self.can_reappear(name, back_ms, expired, now_ms)
        }
        for name in list(self.missing_since_ms):
            if name in upstreams or name not in unconfirmed:
                del self.missing_since_ms[name]
        kept = {**upstreams, **unconfirmed}
        before = {name: state.info for name, state in self.table.states.items()}
        for name in self.table.replace(kept.values(), unconfirmed, now_ms):
            self.pool.drop(name)
            self.journal.record(
                Event.UPSTREAM_GONE,
                upstream=name,
                list_version=self.table.version.offset,
            )
        for name, info in kept.items():
            if before.get(name) != info:
                self.journal.record(
                    Event.UPSTREAM_CHANGED,
                    upstream=name,
                    service=info.service,
                    zone=info.data_centre,
                    address=info.address,
                    version=info.version,
                    leaving=info.leaving,
                    cold_ms=info.cold_ms,
                    list_version=self.table.version.offset,
                )
        self.record_ends(before, now_ms)
        self.upstreams_known = True
        if self.manifest is not None:
            self.scheduler.configure(self.manifest, self.table)

    def record_ends(self, before: dict[str, Upstream], now_ms: float) -> None:
        """Record which upstream processes ended without having announced it."""
        for name, info in before.items():
            state = self.table.states.get(name)
            process = process_of(name, info.started_ms)
            if state is not None and state.info.started_ms == info.started_ms:
                continue
            if not info.leaving and process not in self.table.left:
                self.crash_guard.table.record_ended(info.service, process, now_ms)

    def can_reappear(
        self, name: str, back_ms: float, expired: Collection[str], now_ms: float
    ) -> bool:
        """Return whether a missing upstream may only have expired in an outage."""
        if self.table.states[name].info.leaving:
            return False
        since_ms = self.missing_since_ms.setdefault(name, now_ms)
        if name in expired:
            return now_ms - back_ms < OUTAGE_GRACE_MS
        return (
            since_ms - back_ms < OUTAGE_GRACE_MS
            and now_ms - since_ms < REMOVED_GRACE_MS
        )

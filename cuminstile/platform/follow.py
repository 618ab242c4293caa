"""Put what the store's records say in force on a VM."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..events import Event
from ..gateway.following import follow_topic, shared_interval_ms
from ..gateway.model import Upstream
from ..gateway.state import OUTAGE_GRACE_MS, FollowedTopic, Gateway
from ..gateway.topics import TopicState, expired_keys
from .records import (
    EVACUATION_PREFIX,
    MANIFEST_KEY,
    ROLLOUT_PREFIX,
    RecordRefusedError,
    decode_manifest,
    decode_move_target,
    decode_upstream,
)
from .store import StoreClient

OPERATOR_TOPIC = "keyed.op"
UPSTREAM_TOPIC = "keyed.servers"
OPERATOR_WAIT_MS = 1_000.0
"""How long one reading of a VM that is alone waits for the operator, who writes seldom:
a silent connection is noticed this much later than by a call that doesn't wait."""
OPERATOR_WAIT_MAX_MS = 20_000.0
"""The longest such wait, of which the store bears half as much again."""
OPERATOR_LAG_MS = 400.0
"""How long the store may take to tell a VM of the operator what another one knows."""
UPSTREAM_POLL_MS = 500.0
"""Pause between readings of upstreams, whose heartbeats never pause, by a VM alone: a
quarter of the time in which a leaving one must get nothing more."""
UPSTREAM_POLL_MAX_MS = 1_000.0
"""The longest such pause: half of that time."""
UPSTREAM_LAG_MS = 1_300.0
"""How long the store may take to tell a VM of upstreams what another one knows: one
pause, and a slow answer."""


@dataclass
class Follower:
    """Hold what was read of the store, and what it was decoded to.

    Parameters
    ----------
    decoded : dict of str to tuple
        Record and upstream by id; None for a record that can't be read.
    """

    vm: Gateway
    store: StoreClient
    operator: TopicState = field(default_factory=lambda: TopicState(OPERATOR_TOPIC))
    upstreams: TopicState = field(default_factory=lambda: TopicState(UPSTREAM_TOPIC))
    decoded: dict[str, tuple[bytes, Upstream | None]] = field(default_factory=dict)
    shown: dict[str, Upstream] | None = None

    def __post_init__(self) -> None:
        """Give the VM the topics, so that it can share them with others."""
        self.vm.topics = {
            OPERATOR_TOPIC: FollowedTopic(
                self.operator,
                self.take_operator,
                wait_ms=self.operator_wait_ms,
                pause_ms=lambda: 0.0,
                lag_ms=OPERATOR_LAG_MS,
            ),
            UPSTREAM_TOPIC: FollowedTopic(
                self.upstreams,
                self.apply_upstreams,
                wait_ms=lambda: 0.0,
                pause_ms=self.upstream_pause_ms,
                lag_ms=UPSTREAM_LAG_MS,
            ),
        }

    def operator_wait_ms(self) -> float:
        """Return how long the next reading waits for the operator."""
        vms = self.vm.live_vms()
        return shared_interval_ms(OPERATOR_WAIT_MS, OPERATOR_WAIT_MAX_MS, vms)

    def upstream_pause_ms(self) -> float:
        """Return the pause before the next reading of upstreams."""
        vms = self.vm.live_vms()
        return shared_interval_ms(UPSTREAM_POLL_MS, UPSTREAM_POLL_MAX_MS, vms)

    async def follow_operator(self) -> None:
        """Follow manifest and orders without end."""
        await follow_topic(self.vm.topics[OPERATOR_TOPIC], self.store, self.vm)

    async def follow_upstreams(self) -> None:
        """Follow the upstreams without end."""
        await follow_topic(self.vm.topics[UPSTREAM_TOPIC], self.store, self.vm)

    def take_operator(self, keys: set[str], source: str) -> None:
        """Put a changed manifest and changed orders in force."""
        if not keys:
            return
        payload = self.operator.values.get(MANIFEST_KEY)
        if MANIFEST_KEY in keys and payload is not None:
            self.apply_manifest(payload, source)
        changed = self.take_zones()
        changed |= self.take_moves()
        if changed and self.vm.manifest is not None:
            self.vm.scheduler.configure(self.vm.manifest, self.vm.table)

    def take_zones(self) -> bool:
        """Take over which data centres are taken out; return whether that changed."""
        zones = frozenset(
            key.removeprefix(EVACUATION_PREFIX)
            for key in self.operator.values
            if key.startswith(EVACUATION_PREFIX)
        )
        if zones == self.vm.table.taken_out:
            return False
        self.vm.table.taken_out = zones
        self.vm.journal.record(
            Event.DATA_CENTRES_TAKEN_OUT, data_centres=",".join(sorted(zones))
        )
        return True

    def take_moves(self) -> bool:
        """Hold back versions to which traffic is to move; return whether that changed.

        Nobody judges versions on this platform yet, and an unjudged one may be bad.
        """
        held: dict[str, str] = {}
        for key, payload in self.operator.values.items():
            if not key.startswith(ROLLOUT_PREFIX):
                continue
            try:
                held[key.removeprefix(ROLLOUT_PREFIX)] = decode_move_target(payload)
            except RecordRefusedError as error:
                self.vm.journal.record(
                    Event.CONFIG_RECORD_REFUSED, source=key, error=str(error)
                )
        if held == self.vm.table.held_back:
            return False
        self.vm.table.held_back = held
        versions = ",".join(f"{name}={version}" for name, version in held.items())
        self.vm.journal.record(Event.VERSIONS_HELD_BACK, versions=versions)
        return True

    def apply_manifest(self, payload: bytes, source: str) -> None:
        """Put a manifest in force; one that can't be read changes nothing."""
        try:
            manifest = decode_manifest(payload)
        except RecordRefusedError as error:
            self.vm.journal.record(
                Event.CONFIG_RECORD_REFUSED, source=source, error=str(error)
            )
            return
        self.vm.apply_manifest(manifest, source)

    def apply_upstreams(self, keys: set[str], source: str) -> None:
        """Take over changed upstreams; one that can't be read is none to use."""
        state = self.upstreams
        self.vm.table.confirm(state.end, state.confirmed_ms or 0.0)
        for key in keys:
            self.decode(key)
        upstreams = {
            name: upstream
            for name, (_, upstream) in self.decoded.items()
            if upstream is not None
        }
        back_ms = state.outage.back_ms
        waiting = self.vm.clock.now_ms() - back_ms < 2 * OUTAGE_GRACE_MS
        if upstreams == self.shown and not waiting:
            return
        self.shown = upstreams
        self.vm.apply_upstreams(upstreams, back_ms, expired_keys(state))

    def decode(self, key: str) -> None:
        """Decode the record of one upstream."""
        payload = self.upstreams.values.get(key)
        if payload is None:
            self.decoded.pop(key, None)
            return
        known = self.decoded.get(key)
        if known is not None and known[0] == payload:
            return
        try:
            self.decoded[key] = (payload, decode_upstream(key, payload))
        except RecordRefusedError as error:
            self.decoded[key] = (payload, None)
            self.vm.journal.record(
                Event.UPSTREAM_RECORD_REFUSED, upstream=key, error=str(error)
            )

"""Apply the store's records to a VM."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..eras.position import Position
from ..events import Event
from ..gateway.following import (
    follow_topic,
    shared_interval_ms,
    staggered_wait_ms,
)
from ..gateway.model import Upstream
from ..gateway.readers import ReaderRole
from ..gateway.state import OUTAGE_GRACE_MS, FollowedTopic, Gateway
from ..gateway.topics import TopicState, expired_keys
from .records import (
    EVACUATION_PREFIX,
    MANIFEST_KEY,
    ROLLOUT_PREFIX,
    InvalidRecordError,
    decode_manifest,
    decode_move_target,
    decode_upstream,
    manifest_order,
    without_sequence,
    writing_order,
)
from .store import StoreClient

OPERATOR_TOPIC = "keyed.op"
UPSTREAM_TOPIC = "keyed.servers"
OPERATOR_WAIT_MS = 1_000.0
"""Long-poll time of a read of the operator's topic by a single VM. The operator writes
rarely. A connection that stopped answering is noticed this much later than by a call
that doesn't wait."""
OPERATOR_WAIT_MAX_MS = 20_000.0
"""Longest such wait; the store supports up to one and a half times as much."""
OPERATOR_LAG_MS = 400.0
"""How long the store may take to deliver an operator's record that another VM has."""
UPSTREAM_POLL_MS = 500.0
"""Pause between reads of the upstreams' topic by a single VM. Upstreams write
heartbeats all the time. The pause is a quarter of the time after which a leaving
upstream must get no more requests."""
UPSTREAM_POLL_MAX_MS = 1_000.0
"""Longest such pause: half of that time."""
UPSTREAM_LAG_MS = 1_300.0
"""How long the store may take to deliver an upstream's record that another VM has: one
pause and one slow answer."""

OPERATOR_STANDBY_MS = 1_400.0
"""Age at which a VM that others pass records on to reads the operator's topic itself:
more than the time between two readers' answers. With the steps between the VMs and one
call it is less than the time after which a record must be in force."""
UPSTREAM_STANDBY_MS = 1_400.0
"""Age at which such a VM reads the upstreams' topic itself. With the steps between the
VMs it is less than the time after which a leaving upstream must get no more requests.
"""


def follows_operator(role: ReaderRole) -> bool:
    """Return whether a VM always follows the operator's topic.

    One VM of each data centre does, as calls that wait for a record cost little.
    """
    return role.is_reader or role.is_first_in_data_centre


@dataclass(frozen=True, slots=True)
class MoveOrder:
    """An order to move the traffic of a service to a version.

    Parameters
    ----------
    position : Position
        Where it lies in the store.
    """

    target: str
    position: Position


@dataclass
class Follower:
    """State read from the store, and its decoded form.

    Parameters
    ----------
    decoded : dict of str to tuple
        Record and decoded upstream by upstream id; the upstream is None if its record
        is invalid.
    orders : dict of str to MoveOrder
        By service, the last order to move its traffic.
    manifest_source : str
        Who gave the manifest that is not applied yet, empty if there is none.
    applied : dict of str to Upstream or None
        The upstreams that the VM was given last, None before the first time.
    """

    vm: Gateway
    store: StoreClient
    operator: TopicState = field(
        default_factory=lambda: TopicState(OPERATOR_TOPIC, order=manifest_order)
    )
    upstreams: TopicState = field(
        default_factory=lambda: TopicState(
            UPSTREAM_TOPIC, canonical=without_sequence, order=writing_order
        )
    )
    decoded: dict[str, tuple[bytes, Upstream | None]] = field(default_factory=dict)
    orders: dict[str, MoveOrder] = field(default_factory=dict)
    manifest_source: str = ""
    applied: dict[str, Upstream] | None = None

    def __post_init__(self) -> None:
        """Register the topics with the VM, so that it can share them with other VMs."""
        self.vm.rollouts.on_change = self.apply_known
        self.vm.topics = {
            OPERATOR_TOPIC: FollowedTopic(
                self.operator,
                self.apply_operator_records,
                wait_ms=self.operator_wait_ms,
                pause_ms=lambda: 0.0,
                lag_ms=OPERATOR_LAG_MS,
                always_read=follows_operator,
                max_age_ms=lambda: OPERATOR_STANDBY_MS,
            ),
            UPSTREAM_TOPIC: FollowedTopic(
                self.upstreams,
                self.apply_upstreams,
                wait_ms=lambda: 0.0,
                pause_ms=self.upstream_pause_ms,
                lag_ms=UPSTREAM_LAG_MS,
                always_read=lambda role: role.is_reader,
                max_age_ms=lambda: UPSTREAM_STANDBY_MS,
            ),
        }

    def operator_wait_ms(self) -> float:
        """Return the long-poll time of the next read of the operator's topic.

        A VM that reads because others have passed nothing on asks at once, so that it
        can tell the rest.
        """
        role = self.vm.reader_role()
        if not follows_operator(role):
            return 0.0
        readers = max(role.readers, role.data_centres)
        wait_ms = staggered_wait_ms(
            role, readers, OPERATOR_WAIT_MS, self.operator.waited_in_full
        )
        return min(OPERATOR_WAIT_MAX_MS, wait_ms)

    def upstream_pause_ms(self) -> float:
        """Return the pause before the next read of the upstreams' topic."""
        readers = self.vm.reader_role().readers
        return shared_interval_ms(UPSTREAM_POLL_MS, UPSTREAM_POLL_MAX_MS, readers)

    async def follow_operator(self) -> None:
        """Follow the manifest and the operator's orders forever."""
        await follow_topic(self.vm.topics[OPERATOR_TOPIC], self.store, self.vm)

    async def follow_upstreams(self) -> None:
        """Follow the upstreams forever."""
        await follow_topic(self.vm.topics[UPSTREAM_TOPIC], self.store, self.vm)

    def apply_operator_records(self, keys: set[str], source: str) -> None:
        """Apply a changed manifest and changed orders."""
        if not keys:
            return
        if MANIFEST_KEY in keys:
            self.manifest_source = source
        if any(key.startswith(ROLLOUT_PREFIX) for key in keys):
            self.orders = self.move_orders()
        self.apply_known()

    def apply_known(self) -> None:
        """Apply what is known of the operator, once that is enough to serve by."""
        if self.awaits_marks():
            return
        changed = self.apply_evacuations()
        changed |= self.apply_move_orders()
        payload = self.operator.values.get(MANIFEST_KEY)
        if self.manifest_source and payload is not None:
            self.apply_manifest(payload, self.manifest_source)
        self.manifest_source = ""
        if changed and self.vm.manifest is not None:
            self.vm.scheduler.configure(self.vm.manifest, self.vm.table)

    def awaits_marks(self) -> bool:
        """Return whether this VM starts and waits for what is known of versions.

        Until it knows which ones earlier orders held back, it serves nobody.
        """
        marks = self.vm.rollouts
        serves = marks.known or marks.is_waived or self.vm.manifest is not None
        return bool(self.orders) and not serves

    def apply_evacuations(self) -> bool:
        """Update which data centres are taken out; return whether that changed.

        An order that the store lost at its return holds until the operator had time to
        write it again.
        """
        data_centres = frozenset(
            key.removeprefix(EVACUATION_PREFIX)
            for key in (*self.operator.values, *self.operator.lost)
            if key.startswith(EVACUATION_PREFIX)
        )
        if data_centres == self.vm.table.taken_out:
            return False
        self.vm.table.taken_out = data_centres
        self.vm.journal.record(
            Event.DATA_CENTRES_TAKEN_OUT, data_centres=",".join(sorted(data_centres))
        )
        return True

    def apply_move_orders(self) -> bool:
        """Hold back versions that traffic is to move to; return whether that changed.

        New versions are not evaluated on this platform yet, and one that was not
        evaluated may be bad.
        """
        now_ms = self.vm.clock.now_ms()
        for service, order in self.orders.items():
            if self.vm.upstreams_known:
                listed = self.vm.table.versions(service)
                self.vm.rollouts.apply_order(
                    service, order.target, order.position, listed, now_ms
                )
        held_back = self.vm.rollouts.held_back()
        if held_back == self.vm.table.held_back:
            return False
        self.vm.table.held_back = held_back
        versions = ",".join(
            f"{service}={version}"
            for service, held in held_back.items()
            for version in sorted(held)
        )
        self.vm.journal.record(Event.VERSIONS_HELD_BACK, versions=versions)
        return True

    def move_orders(self) -> dict[str, MoveOrder]:
        """Return the newest order of each service to move its traffic."""
        orders: dict[str, MoveOrder] = {}
        for key, payload in self.operator.values.items():
            if not key.startswith(ROLLOUT_PREFIX):
                continue
            try:
                target = decode_move_target(payload)
            except InvalidRecordError as error:
                self.vm.journal.record(
                    Event.CONFIG_RECORD_REFUSED, source=key, error=str(error)
                )
                continue
            position = self.operator.end.at(self.operator.offsets[key])
            orders[key.removeprefix(ROLLOUT_PREFIX)] = MoveOrder(target, position)
        return orders

    def apply_manifest(self, payload: bytes, source: str) -> None:
        """Apply a manifest; an invalid one is logged and ignored."""
        try:
            manifest = decode_manifest(payload)
        except InvalidRecordError as error:
            self.vm.journal.record(
                Event.CONFIG_RECORD_REFUSED, source=source, error=str(error)
            )
            return
        self.vm.apply_manifest(manifest, source)

    def apply_upstreams(self, keys: set[str], source: str) -> None:
        """Apply changed upstreams; one with an invalid record is not used."""
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
        if upstreams == self.applied and not waiting:
            return
        self.applied = upstreams
        self.vm.apply_upstreams(upstreams, back_ms, expired_keys(state))
        self.apply_known()

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
        except InvalidRecordError as error:
            self.decoded[key] = (payload, None)
            self.vm.journal.record(
                Event.UPSTREAM_RECORD_REFUSED, upstream=key, error=str(error)
            )

"""Many VMs that follow one store, on a virtual clock and without a network."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any

import anyio

from cuminstile.clock import VirtualClock
from cuminstile.eras.position import Position
from cuminstile.gateway.crash_sharing import on_suspect_update, send_suspects
from cuminstile.gateway.following import StoreCallError, follow_topic
from cuminstile.gateway.hubs import heartbeat_targets
from cuminstile.gateway.messages import (
    CODEC,
    SuspectUpdate,
    TopicRequest,
    TopicResponse,
    TopicUpdate,
)
from cuminstile.gateway.peer_sessions import SessionLostError
from cuminstile.gateway.sharing import answer_topic_request, run_topic_sync_loop
from cuminstile.gateway.state import FollowedTopic, Gateway
from cuminstile.gateway.topics import KeyedRecord, TopicPage, TopicState
from cuminstile.gateway.updates import on_update

from .test_state import make_vm

TOPIC = "upstreams"
POLL_MS = 1_000.0
MAX_AGE_MS = 1_400.0
HEARTBEAT_MS = 1_000.0


@dataclass
class CountedStore:
    """Store that counts the calls and refuses those of some VMs.

    Parameters
    ----------
    refused : set of str
        Names of the VMs that it turns away.
    era : int
        The era that its answers name, 0 for none.
    """

    records: list[KeyedRecord] = field(default_factory=list)
    refused: set[str] = field(default_factory=set)
    calls: list[str] = field(default_factory=list)
    era: int = 0

    def put(self, key: str, value: bytes | None) -> None:
        """Append a record."""
        self.records.append(KeyedRecord(key, value, len(self.records)))

    def page(self, name: str, start: int) -> TopicPage:
        """Return the records from an offset on to one VM."""
        self.calls.append(name)
        if name in self.refused:
            raise StoreCallError("refused", calls_before=1)
        return TopicPage(
            tuple(self.records[max(0, start) :]), Position(self.era, len(self.records))
        )


@dataclass
class StoreOfVm:
    """The store as one VM calls it."""

    store: CountedStore
    name: str

    async def newest(self, topic: str) -> TopicPage:
        """Return all records."""
        del topic
        return self.store.page(self.name, 0)

    async def read(self, topic: str, start: Position, wait_ms: float) -> TopicPage:
        """Return the records from a position on."""
        del topic, wait_ms
        return self.store.page(self.name, start.offset)


@dataclass
class FakeSession:
    """Session that answers a request for records at once."""

    peer: Gateway
    answer: TopicResponse | None = None

    def begin_call(self) -> int:
        """Return the number of the only call."""
        return 0

    def send(self, message: TopicRequest) -> None:
        """Answer the request."""
        state = self.peer.topics[message.name].state
        now_ms = self.peer.clock.now_ms()
        self.answer = answer_topic_request(state, message, now_ms)

    async def reply(self, call: int) -> TopicResponse | None:
        """Return the answer."""
        del call
        return self.answer

    def end_call(self, call: int) -> None:
        """Do nothing."""


@dataclass
class FakeSessions:
    """Sessions with all live VMs of a fleet."""

    fleet: Fleet

    async def get_session(self, address: str) -> FakeSession:
        """Return a session with a VM."""
        peer = self.fleet.vms.get(address)
        if peer is None or address in self.fleet.dead:
            raise SessionLostError(address)
        return FakeSession(peer)


@dataclass
class Fleet:
    """VMs by address.

    Parameters
    ----------
    dead : set of str
        Addresses of VMs that neither send nor receive.
    cut_off : str
        A data centre without a path to the other VMs.
    lost : set of int
        Numbers of the datagrams that are lost.
    """

    clock: VirtualClock
    store: CountedStore
    vms: dict[str, Gateway] = field(default_factory=dict)
    dead: set[str] = field(default_factory=set)
    cut_off: str = ""
    lost: set[int] = field(default_factory=set)
    datagrams: int = 0
    heartbeats: int = 0

    @property
    def seeds(self) -> list[str]:
        """Return the addresses that each VM knows at its start."""
        return list(self.vms)[:3]

    def add(self, number: int, data_centre: str) -> Gateway:
        """Add a VM; those with lower numbers started earlier."""
        vm = make_vm(self.clock)
        address = f"10.0.{number // 200}.{number % 200 + 1}:7000"
        vm.settings = replace(
            vm.settings,
            name=f"vm-{number}",
            data_centre=data_centre,
            peer_address=address,
            seeds=("10.9.9.9:7000",),
        )
        vm.membership.own_address = address
        vm.started_ms = number
        vm.random.seed(number)
        vm.send_datagram = self.deliver
        sessions: Any = FakeSessions(self)
        vm.sessions = sessions
        state = TopicState(TOPIC, canonical=lambda value: value.partition(b"#")[0])
        vm.topics = {
            TOPIC: FollowedTopic(
                state,
                lambda keys, source: None,
                wait_ms=lambda: 0.0,
                pause_ms=lambda: POLL_MS,
                lag_ms=POLL_MS,
                always_read=lambda role: role.is_reader,
                max_age_ms=lambda: MAX_AGE_MS,
            )
        }
        self.vms[address] = vm
        return vm

    def deliver(self, address: str, data: bytes) -> None:
        """Deliver a datagram to a live VM, unless its number is in `lost`."""
        self.datagrams += 1
        message = CODEC.decode(data)
        if address in self.dead or self.datagrams in self.lost:
            return
        assert isinstance(message, TopicUpdate | SuspectUpdate)
        if message.address in self.dead or not self.path(message.address, address):
            return
        if isinstance(message, SuspectUpdate):
            on_suspect_update(self.vms[address], message)
        else:
            on_update(self.vms[address], message)

    def path(self, one: str, other: str) -> bool:
        """Return whether two VMs reach each other."""
        pair = (self.vms[one], self.vms[other])
        cut = [vm.settings.data_centre == self.cut_off for vm in pair]
        return cut[0] == cut[1]

    def exchange_heartbeats(self) -> None:
        """Deliver a heartbeat of each live VM to those to which it sends one."""
        for address, vm in self.vms.items():
            if address not in self.dead:
                self.send_heartbeat(vm)

    def send_heartbeat(self, vm: Gateway) -> None:
        """Deliver one heartbeat; VMs that hear a VM for the first time answer it."""
        now_ms = self.clock.now_ms()
        own = vm.own_heartbeat()
        vm.membership.add_peers(self.seeds, now_ms)
        live = vm.membership.live(now_ms)
        for target in heartbeat_targets(own, live, vm.membership.peers):
            self.heartbeats += 1
            if target in self.dead or target not in self.vms:
                continue
            if not self.path(own.address, target):
                continue
            receiver = self.vms[target]
            if receiver.membership.record_heartbeat(own, now_ms):
                answer = receiver.own_heartbeat()
                vm.membership.record_heartbeat(answer, now_ms)
                send_suspects(receiver, own.address)

    async def run_heartbeats(self) -> None:
        """Exchange heartbeats without end."""
        while True:
            self.exchange_heartbeats()
            await self.clock.sleep_ms(HEARTBEAT_MS)

    async def follow(self, vm: Gateway) -> None:
        """Follow the topic as one VM, until it is dead."""
        with anyio.CancelScope() as scope:
            vm.cancel_follow = scope  # type: ignore[attr-defined]
            async with anyio.create_task_group() as tasks:
                topic = vm.topics[TOPIC]
                store = StoreOfVm(self.store, vm.settings.name)
                tasks.start_soon(follow_topic, topic, store, vm)
                tasks.start_soon(run_topic_sync_loop, vm)

    def kill(self, addresses: Iterable[str]) -> None:
        """End VMs."""
        for address in addresses:
            self.dead.add(address)
            self.vms[address].cancel_follow.cancel()  # type: ignore[attr-defined]

    def oldest(self, count: int) -> list[str]:
        """Return the addresses of the live VMs that started first."""
        return [address for address in self.vms if address not in self.dead][:count]

    def values(self) -> set[tuple[tuple[str, bytes], ...]]:
        """Return the different states of knowledge of the live VMs."""
        return {
            tuple(sorted(vm.topics[TOPIC].state.values.items()))
            for address, vm in self.vms.items()
            if address not in self.dead
        }

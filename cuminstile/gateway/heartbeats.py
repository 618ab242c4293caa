"""Exchange heartbeats and updates of the store's topics between VMs as datagrams."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import cast

from ..duties.job import on_duty_message
from ..duties.messages import DutyBeat, DutyReport
from ..events import Event
from ..exceptions import CuminstileError
from .crash_sharing import on_suspect_update, send_suspects
from .hubs import heartbeat_targets
from .membership import is_address
from .messages import (
    CODEC,
    Heartbeat,
    SpeedSamples,
    SpeedTable,
    SuspectUpdate,
    TopicUpdate,
)
from .rollout_sharing import learn_marks
from .speeds import on_speeds, send_speeds
from .state import Gateway
from .updates import on_update

INTERVAL_MS = 300.0
"""Interval of heartbeats to each VM in a small fleet."""
DATAGRAMS_PER_S = 60.0
"""Maximum rate of heartbeats that a VM sends; a large fleet uses a longer interval."""
START_CHECK_MS = 20.0
"""Interval at which a VM that has just started looks whether it can schedule."""
MAX_INTERVAL_MS = 1_000.0
"""Longest interval, so that two lost datagrams do not make a VM look lost."""


class HeartbeatSocket(asyncio.DatagramProtocol):
    """Datagram socket that receives and sends messages."""

    def __init__(self, vm: Gateway) -> None:
        self.vm = vm
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | int, int]) -> None:
        """Handle one message; log and ignore what can't be decoded."""
        try:
            message = CODEC.decode(data)
        except CuminstileError as error:
            self.vm.journal.record(
                Event.PEER_MESSAGE_REFUSED, peer=str(addr[0]), error=error.message
            )
            return
        if isinstance(message, Heartbeat) and not is_address(message.address):
            self.vm.journal.record(
                Event.PEER_MESSAGE_REFUSED,
                peer=str(addr[0]),
                error="the sender's address is malformed",
            )
        elif isinstance(message, Heartbeat):
            self.on_heartbeat(message)
        elif isinstance(message, TopicUpdate):
            on_update(self.vm, message)
        elif isinstance(message, SpeedSamples | SpeedTable):
            on_speeds(self.vm, message)
        elif isinstance(message, SuspectUpdate) and is_address(message.address):
            on_suspect_update(self.vm, message)
        elif self.vm.duties is not None and isinstance(message, DutyReport | DutyBeat):
            on_duty_message(self.vm.duties, message)

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record a heartbeat; answer it if the VM is new, restarted or back."""
        now_ms = self.vm.clock.now_ms()
        learn_marks(self.vm, heartbeat)
        if self.vm.membership.record_heartbeat(heartbeat, now_ms):
            self.vm.journal.record(
                Event.VM_HEARD,
                peer=heartbeat.name,
                address=heartbeat.address,
                incarnation=heartbeat.incarnation,
            )
            self.send(heartbeat.address, CODEC.encode(self.vm.heartbeat_message()))
            send_suspects(self.vm, heartbeat.address)

    def send(self, address: str, data: bytes) -> None:
        """Send a message to `host:port`."""
        host, _, port = address.rpartition(":")
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, (host, int(port)))

    def send_to_all(self) -> None:
        """Send a heartbeat to every known VM."""
        self.send_to(list(self.vm.membership.peers), self.vm.heartbeat_message())

    def send_round(self) -> None:
        """Send a heartbeat to the VMs that need one from this VM."""
        own = self.vm.heartbeat_message()
        live = self.vm.membership.live(self.vm.clock.now_ms())
        self.send_to(heartbeat_targets(own, live, self.vm.membership.peers), own)
        send_speeds(self.vm, own, live)

    def send_to(self, addresses: Iterable[str], own: Heartbeat) -> None:
        """Send a heartbeat to some VMs."""
        data = CODEC.encode(own)
        for address in addresses:
            self.send(address, data)


def interval_ms(peers: int) -> float:
    """Return the interval of heartbeats for a number of other VMs."""
    return min(MAX_INTERVAL_MS, max(INTERVAL_MS, peers * 1000.0 / DATAGRAMS_PER_S))


async def open_heartbeats(vm: Gateway) -> HeartbeatSocket:
    """Listen for heartbeats on this VM's address for other VMs."""
    host, _, port = vm.settings.peer_address.rpartition(":")
    loop = asyncio.get_running_loop()
    _, socket = await loop.create_datagram_endpoint(
        lambda: HeartbeatSocket(vm), local_addr=(host, int(port))
    )
    return socket


async def run_heartbeat_loop(vm: Gateway, socket: HeartbeatSocket) -> None:
    """Send heartbeats in an endless loop, and remove VMs that were silent for long."""
    while True:
        now_ms = vm.clock.now_ms()
        vm.membership.add_peers(vm.settings.seeds, now_ms)
        for address in vm.membership.remove_silent(now_ms):
            vm.journal.record(Event.VM_FORGOTTEN, address=address)
        socket.send_round()
        await sleep_until_due(vm, interval_ms(len(vm.membership.peers)))


async def sleep_until_due(vm: Gateway, interval_ms: float) -> None:
    """Sleep until the next heartbeat; it is due at once when the VM can schedule."""
    due_ms = vm.clock.now_ms() + interval_ms
    could_schedule = vm.can_schedule
    while could_schedule == vm.can_schedule:
        left_ms = due_ms - vm.clock.now_ms()
        if left_ms <= 0.0:
            return
        step_ms = interval_ms if could_schedule else START_CHECK_MS
        await vm.clock.sleep_ms(min(left_ms, step_ms))

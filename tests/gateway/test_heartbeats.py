"""Test cuminstile.gateway.heartbeats: malformed datagrams, and when one is due."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from cuminstile.clock import Clock, VirtualClock
from cuminstile.events import Event
from cuminstile.gateway.heartbeats import HeartbeatSocket, sleep_until_due
from cuminstile.gateway.messages import CODEC, Heartbeat

from .test_state import make_vm

BAD_ADDRESSES = ("", "x", "host:80", "10.0.0.1:", "10.0.0.1:99999", "10.0.0.1:-1")
SOUND = "10.0.0.7:7000"


class FakeTransport:
    """Transport that takes only what a socket would take."""

    def __init__(self) -> None:
        self.sent: list[str] = []

    def is_closing(self) -> bool:
        """Return False: it stays open."""
        return False

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Record the address."""
        del data
        host, port = address
        if not 0 < port < 65_536 or host.count(".") != 3:
            raise ValueError(address)
        self.sent.append(f"{host}:{port}")


def make_socket() -> tuple[HeartbeatSocket, FakeTransport]:
    socket = HeartbeatSocket(make_vm(VirtualClock(at_ms=100_000.0)))
    transport = FakeTransport()
    socket.transport = transport  # type: ignore[assignment]
    return socket, transport


def heartbeat(address: str, known: tuple[str, ...]) -> bytes:
    beat = Heartbeat("vm-2", address, "a", "i", 1, False, (), known)
    return CODEC.encode(beat)


@pytest.mark.parametrize("address", BAD_ADDRESSES)
def test_malformed_address_does_not_stop_the_heartbeats(address: str) -> None:
    """Guards against one datagram after which no VM hears of this one any more."""
    socket, transport = make_socket()
    data = heartbeat("10.0.0.2:7000", (address, SOUND))
    socket.datagram_received(data, ("10.0.0.2", 7000))
    transport.sent.clear()
    socket.send_to_all()
    assert set(transport.sent) == {"10.0.0.2:7000", SOUND}
    assert address not in socket.vm.own_heartbeat().known


@pytest.mark.parametrize("address", BAD_ADDRESSES)
def test_heartbeat_with_a_malformed_sender_is_refused(address: str) -> None:
    socket, transport = make_socket()
    socket.datagram_received(heartbeat(address, (SOUND,)), ("10.0.0.2", 7000))
    socket.send_to_all()
    assert transport.sent == []
    events = [entry.event for entry in socket.vm.journal.ring]
    assert events == [Event.PEER_MESSAGE_REFUSED]


@pytest.mark.anyio
async def test_heartbeat_is_due_at_once_when_a_vm_can_schedule() -> None:
    """Guards against VMs that start together and each schedule for themselves."""
    vm: Any = make_vm(Clock())
    sleeping = asyncio.create_task(sleep_until_due(vm, 60_000.0))
    await asyncio.sleep(0.05)
    assert not sleeping.done()
    vm.index, vm.upstreams_known = object(), True
    await asyncio.wait_for(sleeping, 5.0)

"""Test cuminstile.gateway.last_messages: what a VM that ends tells others."""

from dataclasses import replace

import pytest

from cuminstile.clock import VirtualClock
from cuminstile.estimates.report import LoadReport
from cuminstile.gateway.last_messages import send_last_messages
from cuminstile.gateway.messages import CODEC, SpeedSamples, SuspectUpdate
from cuminstile.gateway.state import Gateway
from cuminstile.gateway.upstreams import UpstreamState, record_load

from .test_state import make_upstream, make_vm

PEER = "10.0.0.9:1"
FINGERPRINT = b"poison" + bytes(10)


@pytest.fixture
def vm() -> Gateway:
    """Return a VM that knows another one."""
    vm = make_vm(VirtualClock(at_ms=10_000.0))
    heartbeat = replace(vm.own_heartbeat(), address=PEER)
    vm.membership.record_heartbeat(heartbeat, vm.clock.now_ms())
    return vm


def last_messages(vm: Gateway) -> list:
    """Return what a VM sends the other one at its end."""
    sent: list[tuple[str, bytes]] = []
    vm.send_datagram = lambda address, data: sent.append((address, data))
    send_last_messages(vm)
    return [CODEC.decode(data) for address, data in sent if address == PEER]


def test_crash_that_was_not_shared_is_told_at_the_end(vm: Gateway) -> None:
    """Guards against a suspicion that ends with its VM: upstreams crash once more."""
    vm.crash_guard.unsent[FINGERPRINT] = None
    (update,) = last_messages(vm)
    assert isinstance(update, SuspectUpdate)
    assert [entry.fingerprint for entry in update.entries] == [FINGERPRINT]


def test_speeds_that_were_not_told_are_told_at_the_end(vm: Gateway) -> None:
    """Guards against reports of upstreams that are lost with the VM that got them."""
    state = UpstreamState(make_upstream("u"))
    vm.table.states["u"] = state
    record_load(state, LoadReport(3, 0, 24, 1.5), vm.clock.now_ms())
    vm.speeds.note_report(state.process, state.estimate)
    samples = [one for one in last_messages(vm) if isinstance(one, SpeedSamples)]
    assert [entry.process for one in samples for entry in one.entries] == [
        state.process
    ]


def test_vm_with_nothing_to_tell_sends_nothing(vm: Gateway) -> None:
    assert last_messages(vm) == []

"""Exchange the speeds of upstreams between VMs as datagrams, with the heartbeats."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from dataclasses import replace

from ..estimates.estimate import Estimate
from ..estimates.sharing import MAX_TOLD, Speed, apply_samples, apply_told
from .hubs import hub_addresses
from .messages import CODEC, Heartbeat, SpeedSamples, SpeedTable
from .state import Gateway


def estimates_by_process(vm: Gateway) -> dict[str, Estimate]:
    """Return the estimates of the upstreams' processes that are known."""
    return {state.process: state.estimate for state in vm.table.states.values()}


def send_speeds(vm: Gateway, own: Heartbeat, live: Sequence[Heartbeat]) -> None:
    """Send new reports to the hubs; a hub tells the VMs of its data centre the speeds.

    Nothing is sent where upstreams report no slowness.
    """
    hubs = hub_addresses((own, *live))
    unsent = vm.speeds.take_unsent()
    if unsent:
        send_to(vm, hubs - {own.address}, SpeedSamples, unsent)
    if own.address not in hubs:
        return
    estimates = estimates_by_process(vm)
    changes = vm.speeds.take_changes(estimates, vm.clock.now_ms())
    if changes:
        near = {one.address for one in live if one.data_centre == own.data_centre}
        send_to(vm, near - hubs, SpeedTable, changes)


def send_to(
    vm: Gateway,
    addresses: Collection[str],
    kind: type[SpeedSamples | SpeedTable],
    speeds: Sequence[Speed],
) -> None:
    """Send speeds to some VMs, in messages of at most `MAX_TOLD`."""
    for start in range(0, len(speeds), MAX_TOLD):
        entries = rounded(speeds[start : start + MAX_TOLD])
        data = CODEC.encode(kind(vm.settings.peer_address, entries))
        for address in addresses:
            vm.send_datagram(address, data)


def rounded(speeds: Iterable[Speed]) -> tuple[Speed, ...]:
    """Return speeds with as many digits as other VMs need."""
    return tuple(replace(one, slowness=round(one.slowness, 2)) for one in speeds)


def on_speeds(vm: Gateway, message: SpeedSamples | SpeedTable) -> None:
    """Apply what another VM says of the speeds of upstreams."""
    estimates = estimates_by_process(vm)
    if isinstance(message, SpeedSamples):
        apply_samples(estimates, message.entries, vm.clock.now_ms())
    else:
        apply_told(estimates, message.entries)

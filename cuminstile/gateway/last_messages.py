"""Tell other VMs, when this one ends, what only it knows."""

from __future__ import annotations

from .crash_sharing import share_changes
from .speeds import send_speeds
from .state import Gateway


def send_last_messages(vm: Gateway) -> None:
    """Send what the loops of this VM would have sent next.

    That is suspicions of crashes, speeds of upstreams, and counts of usage.
    """
    share_changes(vm)
    live = vm.membership.live(vm.clock.now_ms())
    send_speeds(vm, vm.own_heartbeat(), live)
    if vm.duties is not None:
        vm.duties.tell_all_counts()

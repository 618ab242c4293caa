"""Graceful shutdown of a VM: drain without interrupting a request."""

from __future__ import annotations

import contextlib
from collections.abc import Sequence
from typing import TYPE_CHECKING

import uvicorn

from ..const import SHUTDOWN_LIMIT_MS
from ..events import Event
from ..exceptions import CuminstileError
from .sessions import make_heartbeat

if TYPE_CHECKING:
    from ..runtime import Vm

POLL_INTERVAL_MS = 20
CLOSING_GRACE_MS = 200


async def drain(vm: Vm, servers: Sequence[uvicorn.Server]) -> None:
    """Announce that this VM leaves, finish its work, then close its ports.

    The load balancer still sends requests for a while after `/readyz` reports not
    ready; they are served as usual.
    """
    vm.leaving = True
    vm.journal.record(Event.VM_LEAVING, in_progress=vm.activity.total())
    await announce_leaving(vm)
    await vm.clock.sleep_ms(vm.settings.shutdown_linger_ms)
    vm.closing = True
    for server in servers:
        server.should_exit = True
    # Calls that other VMs have already sent get a refusal that they may retry.
    await vm.clock.sleep_ms(CLOSING_GRACE_MS)
    limit_ms = vm.clock.now_ms() + SHUTDOWN_LIMIT_MS
    while vm.activity.total() and vm.clock.now_ms() < limit_ms:
        await vm.clock.sleep_ms(POLL_INTERVAL_MS)
    while not all(is_closed(server) for server in servers):
        if vm.clock.now_ms() > limit_ms:
            return
        await vm.clock.sleep_ms(POLL_INTERVAL_MS)


async def announce_leaving(vm: Vm) -> None:
    """Send every other VM a heartbeat now, without waiting for the next interval."""
    for session in tuple(vm.sessions.by_name.values()):
        with contextlib.suppress(CuminstileError):
            await session.send(make_heartbeat(vm))


def is_closed(server: uvicorn.Server) -> bool:
    """Return whether every connection of a server has ended."""
    return not server.server_state.connections and not server.server_state.tasks

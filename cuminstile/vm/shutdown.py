"""Graceful shutdown of a VM: drain without interrupting a request."""

from __future__ import annotations

import contextlib
from collections.abc import Sequence
from typing import TYPE_CHECKING

import uvicorn

from ..events import Event
from ..exceptions import CuminstileError
from ..shutdown.schedule import shutdown_times
from ..shutdown.unfinished import record_requests
from .sessions import make_heartbeat

if TYPE_CHECKING:
    from ..runtime import Vm

POLL_INTERVAL_MS = 20
CLOSING_GRACE_MS = 200


async def drain(vm: Vm, servers: Sequence[uvicorn.Server]) -> None:
    """Announce that this VM leaves, finish its work, then close its ports.

    The load balancer still sends requests for a while after `/readyz` reports not
    ready; they are served if there is time for it. What is still in progress shortly
    before the forced end is named in the log and refused.
    """
    vm.leaving = True
    times = shutdown_times(vm.clock.now_ms(), vm.settings.stop_ms)
    vm.shutdown = times
    vm.journal.record(Event.VM_LEAVING, in_progress=vm.activity.total())
    await announce_leaving(vm)
    await vm.clock.sleep_ms(vm.settings.shutdown_linger_ms)
    vm.closing = True
    for server in servers:
        server.should_exit = True
    # Calls that other VMs have already sent get a refusal that they may retry.
    await vm.clock.sleep_ms(CLOSING_GRACE_MS)
    await wait_until_finished(vm, servers, times.answer_by_ms)
    record_requests(vm.journal, vm.in_progress, vm.clock.now_ms())
    vm.end_scopes.cancel_all()
    await wait_until_finished(vm, servers, times.exit_at_ms)


async def wait_until_finished(
    vm: Vm, servers: Sequence[uvicorn.Server], until_ms: float
) -> None:
    """Wait until all work is done and each connection closed, or until a time."""
    while vm.clock.now_ms() < until_ms:
        if not vm.activity.total() and all(map(is_closed, servers)):
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

"""Leave the system without cutting a request."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

import uvicorn

from ..const import SHUTDOWN_LIMIT_MS
from ..events import Event

if TYPE_CHECKING:
    from ..runtime import Vm

POLL_INTERVAL_MS = 20


async def drain(vm: Vm, servers: Sequence[uvicorn.Server]) -> None:
    """Tell everyone that this VM leaves, finish its work, then close its ports.

    The balancer still sends requests for a while after `/readyz` has turned; they
    are served as always.
    """
    vm.leaving = True
    vm.journal.record(Event.VM_LEAVING, in_progress=vm.activity.total())
    await vm.clock.sleep_ms(vm.settings.shutdown_linger_ms)
    for server in servers:
        server.should_exit = True
    limit_ms = vm.clock.now_ms() + SHUTDOWN_LIMIT_MS
    while vm.activity.total() and vm.clock.now_ms() < limit_ms:
        await vm.clock.sleep_ms(POLL_INTERVAL_MS)
    while not all(is_closed(server) for server in servers):
        if vm.clock.now_ms() > limit_ms:
            return
        await vm.clock.sleep_ms(POLL_INTERVAL_MS)


def is_closed(server: uvicorn.Server) -> bool:
    """Return whether every connection of a server has ended."""
    return not server.server_state.connections and not server.server_state.tasks

"""Shut a VM down without losing a request or the staged work of others."""

from __future__ import annotations

import asyncio
from functools import partial

from ..events import Event
from .conversions import load_to_entry
from .handover import worker_loads
from .heartbeats import HeartbeatSocket
from .http_server import Server
from .messages import WorkerLoads
from .peer_sessions import PeerSession, SessionLostError
from .state import Gateway

ROTATION_MS = 2_800.0
"""How long after SIGTERM new connections are taken: the balancer takes a VM out after
two questions, one a second, that it does not answer well. What comes later could not be
finished in time."""
EXIT_MARGIN_MS = 600.0
"""How long before the forced end of the process it ends by itself."""
LOOK_INTERVAL_MS = 100.0
"""Pause between looks at whether all is finished."""


async def drain(
    vm: Gateway, server: Server, callers: asyncio.Server, heartbeats: HeartbeatSocket
) -> None:
    """Take no new connections after a while, and finish what is in progress."""
    began_ms = vm.clock.now_ms()
    vm.leaving = True
    server.begin_closing()
    heartbeats.send_to_all()
    vm.journal.record(Event.VM_LEAVING, requests=vm.requests)
    await hand_over_work(vm)
    end_ms = began_ms + vm.settings.shutdown_ms - EXIT_MARGIN_MS
    while vm.clock.now_ms() < end_ms:
        await vm.clock.sleep_ms(LOOK_INTERVAL_MS)
        if vm.clock.now_ms() - began_ms < ROTATION_MS:
            continue
        callers.close()
        server.close_idle()
        if not vm.requests and not vm.scheduler.planner.chains:
            return


async def hand_over_work(vm: Gateway) -> None:
    """Have the next scheduler go on with the staged work, if there is one."""
    scheduler = vm.scheduler
    successor = vm.membership.scheduler(vm.own_heartbeat(), vm.clock.now_ms())
    if successor.address == vm.settings.peer_address or not scheduler.has_work():
        return
    error = ""
    try:
        session = await vm.sessions.get_session(successor.address)
        tell_upstreams(vm, session)
        scheduler.after_call = partial(tell_upstreams, vm, session)
    except SessionLostError as lost:
        error = str(lost)
    vm.journal.record(
        Event.WORK_HANDED_OVER,
        peer=successor.name,
        chains=len(scheduler.planner.chains),
        error=error,
    )
    scheduler.hand_over()


def tell_upstreams(vm: Gateway, session: PeerSession) -> None:
    """Tell the next scheduler what the upstreams of stages hold and do."""
    if session.lost:
        return
    scheduler = vm.scheduler
    scheduler.collect_released()
    loads = worker_loads(scheduler.planner, scheduler.pending_frees, vm.clock.now_ms())
    session.send(WorkerLoads(vm.settings.name, tuple(map(load_to_entry, loads))))

"""Shut a VM down without losing requests or the staged work of other VMs."""

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
from .unfinished import record_unfinished

BALANCER_REMOVAL_MS = 2_800.0
"""How long new connections are accepted after SIGTERM. The load balancer removes a VM
after two failed readiness checks, one per second. Later requests could not be completed
in time."""
EXIT_MARGIN_MS = 600.0
"""How long before its forced end the process exits by itself."""
POLL_INTERVAL_MS = 100.0
"""Interval of checks whether all requests are finished."""


async def drain(
    vm: Gateway, server: Server, callers: asyncio.Server, heartbeats: HeartbeatSocket
) -> None:
    """Stop accepting connections after a delay, and finish the requests in progress."""
    began_ms = vm.clock.now_ms()
    vm.leaving = True
    server.begin_closing()
    heartbeats.send_to_all()
    vm.journal.record(Event.VM_LEAVING, requests=vm.requests)
    await hand_over_work(vm)
    end_ms = began_ms + vm.settings.shutdown_ms - EXIT_MARGIN_MS
    while vm.clock.now_ms() < end_ms:
        await vm.clock.sleep_ms(POLL_INTERVAL_MS)
        if vm.clock.now_ms() - began_ms < BALANCER_REMOVAL_MS:
            continue
        callers.close()
        server.close_idle()
        if is_finished(vm, server):
            break
    record_unfinished(vm, server)


def is_finished(vm: Gateway, server: Server) -> bool:
    """Return whether the process may end: nothing of it is lost then."""
    return (
        not vm.requests and not vm.scheduler.planner.chains and not server.has_unsent()
    )


async def hand_over_work(vm: Gateway) -> None:
    """Hand the staged work over to the next scheduler, if another VM takes it."""
    scheduler = vm.scheduler
    successor = vm.membership.scheduler(vm.own_heartbeat(), vm.clock.now_ms())
    if successor.address == vm.settings.peer_address or not scheduler.has_work():
        return
    error = ""
    try:
        session = await vm.sessions.get_session(successor.address)
        send_worker_loads(vm, session)
        scheduler.after_call = partial(send_worker_loads, vm, session)
    except SessionLostError as lost:
        error = str(lost)
    vm.journal.record(
        Event.WORK_HANDED_OVER,
        peer=successor.name,
        chains=len(scheduler.planner.chains),
        error=error,
    )
    scheduler.hand_over()


def send_worker_loads(vm: Gateway, session: PeerSession) -> None:
    """Send the next scheduler the load and stored results of the stages' upstreams."""
    if session.lost:
        return
    scheduler = vm.scheduler
    scheduler.frees.collect_released()
    loads = worker_loads(scheduler.planner, scheduler.frees.pending, vm.clock.now_ms())
    session.send(WorkerLoads(vm.settings.name, tuple(map(load_to_entry, loads))))

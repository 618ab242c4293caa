"""Shut a VM down without losing requests or the staged work of other VMs."""

from __future__ import annotations

import asyncio
from functools import partial

from ..events import Event
from ..shutdown.schedule import shutdown_times
from .body_refusals import make_stop_refusal
from .conversions import load_to_entry
from .handover import worker_loads
from .heartbeats import HeartbeatSocket
from .http_server import Server, stop_listening
from .messages import WorkerLoads
from .peer_sessions import PeerSession, SessionLostError
from .state import Gateway
from .unfinished import record_unfinished

BALANCER_REMOVAL_MS = 2_800.0
"""How long new connections are accepted after SIGTERM. The load balancer removes a VM
after two failed readiness checks, one per second. Later requests could not be completed
in time."""
POLL_INTERVAL_MS = 100.0
"""Interval of checks whether all requests are finished."""


async def drain(
    vm: Gateway, server: Server, callers: asyncio.Server, heartbeats: HeartbeatSocket
) -> None:
    """Stop accepting connections after a delay, and finish the requests in progress."""
    times = shutdown_times(vm.clock.now_ms(), vm.settings.shutdown_ms)
    vm.leaving = True
    vm.shutdown = times
    vm.in_progress.begin_shutdown(times)
    server.begin_closing()
    heartbeats.send_to_all()
    vm.journal.record(Event.VM_LEAVING, requests=vm.requests)
    await hand_over_work(vm)
    while (left_ms := times.exit_at_ms - vm.clock.now_ms()) > 0:
        await vm.clock.sleep_ms(min(POLL_INTERVAL_MS, left_ms))
        if vm.clock.now_ms() - times.began_ms < BALANCER_REMOVAL_MS:
            continue
        await stop_listening(server, callers)
        server.close_idle()
        if vm.clock.now_ms() >= times.answer_by_ms:
            server.refuse_unread(make_stop_refusal(vm))
        if is_finished(vm, server):
            break
    record_unfinished(vm, server)


def is_finished(vm: Gateway, server: Server) -> bool:
    """Return whether the process may end: nothing of it is lost then."""
    return (
        not vm.requests
        and not vm.scheduler.planner.chains
        and vm.scheduler.frees.is_idle()
        and server.is_done()
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

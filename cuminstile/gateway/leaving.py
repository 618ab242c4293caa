"""Shut a VM down without losing requests or the staged work of other VMs."""

from __future__ import annotations

import asyncio
from functools import partial

from ..events import Event
from ..shutdown.schedule import ShutdownTimes, shutdown_times
from ..supervision import run_with_restarts
from .body_refusals import make_stop_refusal
from .handing_over import begin_leaving, end_role, give_up_role, run_role_loop
from .heartbeats import HeartbeatSocket
from .http_server import Server, stop_listening
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
    vm.shutdown = times
    vm.in_progress.begin_shutdown(times)
    begin_leaving(vm)
    server.begin_closing()
    heartbeats.send_to_all()
    vm.journal.record(Event.VM_LEAVING, requests=vm.requests)
    role = asyncio.create_task(
        run_with_restarts(partial(run_role_loop, vm), vm.journal, vm.clock)
    )
    try:
        await finish_requests(vm, server, callers, times)
    finally:
        role.cancel()
    give_up_role(vm)
    record_unfinished(vm, server)


async def finish_requests(
    vm: Gateway, server: Server, callers: asyncio.Server, times: ShutdownTimes
) -> None:
    """Wait until all requests are answered, at the latest until the exit."""
    listen_until_ms = min(times.began_ms + BALANCER_REMOVAL_MS, times.answer_by_ms)
    while (left_ms := times.exit_at_ms - vm.clock.now_ms()) > 0:
        await vm.clock.sleep_ms(min(POLL_INTERVAL_MS, left_ms))
        if vm.clock.now_ms() < listen_until_ms:
            continue
        await stop_listening(server, callers)
        server.close_idle()
        if vm.clock.now_ms() >= times.answer_by_ms:
            server.refuse_unread(make_stop_refusal(vm))
        if is_finished(vm, server) and end_role(vm):
            return


def is_finished(vm: Gateway, server: Server) -> bool:
    """Return whether the process may end: nothing of it is lost then."""
    return not vm.requests and not vm.scheduler.planner.chains and server.is_done()

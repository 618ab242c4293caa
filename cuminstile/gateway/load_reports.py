"""Tell the scheduler of the stages what this VM, as a second one, has given them."""

from __future__ import annotations

from ..competition.second_schedulers import REPORT_INTERVAL_MS, reported_loads
from .conversions import load_to_entry
from .handover import worker_loads
from .messages import WorkerLoads
from .peer_sessions import SessionLostError
from .state import Gateway


async def run_load_report_loop(vm: Gateway) -> None:
    """Report this VM's work while another VM is the scheduler, without end."""
    while True:
        await vm.clock.sleep_ms(REPORT_INTERVAL_MS)
        await report_loads(vm)


async def report_loads(vm: Gateway) -> None:
    """Report the work that this VM has at upstreams to the scheduler, if it is another.

    A VM that leaves hands its work over instead. If the scheduler can't be reached, it
    does not share the upstreams, or will be told by the next report.
    """
    now_ms = vm.clock.now_ms()
    scheduler = vm.membership.scheduler(vm.own_heartbeat(), now_ms)
    if vm.leaving or scheduler.address == vm.settings.peer_address:
        return
    own = vm.scheduler
    own.frees.collect_released()
    loads = reported_loads(worker_loads(own.planner, own.frees.pending, now_ms))
    if not loads:
        return
    try:
        session = await vm.sessions.get_session(scheduler.address)
        session.send(WorkerLoads(vm.settings.name, tuple(map(load_to_entry, loads))))
    except SessionLostError:
        return

"""Keep the role of the scheduler while a VM shuts down, then hand its work over."""

from __future__ import annotations

from functools import partial

from ..events import Event
from ..shutdown.scheduler_role import HandOverTime, StepKind, hand_over_time, next_step
from .conversions import load_to_entry
from .handover import LoadReports
from .messages import CODEC, Heartbeat, WorkerLoads
from .peer_sessions import PeerSession, SessionLostError
from .state import Gateway

ROLE_INTERVAL_MS = 100.0
"""Interval at which a VM that shuts down decides on the role of the scheduler."""


def begin_leaving(vm: Gateway) -> None:
    """Say that this VM shuts down, and that it keeps scheduling if it does so now."""
    own = vm.own_heartbeat()
    chosen = vm.membership.scheduler(own, vm.clock.now_ms())
    vm.leaving = True
    vm.role.ends_at_ms = vm.clock.wall_ms() + int(vm.settings.shutdown_ms)
    vm.role.keeps = chosen is own and has_stages(vm) and not has_older_builds(vm)
    vm.sessions.before_chain = partial(reconsider, vm)
    vm.sessions.after_hand_over = partial(take_over, vm)


def has_stages(vm: Gateway) -> bool:
    """Return whether any service has stages to schedule."""
    return bool(vm.scheduler.planner.queues)


def has_older_builds(vm: Gateway) -> bool:
    """Return whether a VM doesn't understand that a leaving one keeps the role.

    It would use another scheduler beside this one.
    """
    others = vm.membership.live(vm.clock.now_ms())
    return any(not heartbeat.scheduler for heartbeat in others)


def own_time(vm: Gateway) -> HandOverTime:
    """Return whether this VM hands its work over now."""
    return hand_over_time(vm.shutdown, vm.role.since_ms, vm.clock.now_ms())


def announce(vm: Gateway) -> None:
    """Send this VM's heartbeat to every known VM at once."""
    data = CODEC.encode(vm.heartbeat_message())
    for address in vm.membership.peers:
        vm.send_datagram(address, data)


def keep_role(vm: Gateway) -> None:
    """Schedule the work of all VMs, and say so."""
    vm.scheduler.resume()
    if not vm.role.keeps:
        vm.role.keep(vm.clock.now_ms())
        announce(vm)


def take_over(vm: Gateway) -> None:
    """Keep the role that another VM has handed over, unless it is too late."""
    if vm.role.is_open and not own_time(vm).is_overdue:
        keep_role(vm)


def reconsider(vm: Gateway) -> Heartbeat | None:
    """Return to which VM this one has to hand work over, None for none.

    It begins to schedule if it is the one that has to. Chains that arrive after its
    work was handed over are sent on to the VM that schedules now.
    """
    now_ms = vm.clock.now_ms()
    if not vm.role.keeps and own_time(vm).is_overdue:
        vm.role.close(now_ms)
    others = vm.membership.able_to_schedule(now_ms)
    step = next_step(vm.own_heartbeat(), others, own_time(vm))
    if step.kind is StepKind.KEEP and has_stages(vm):
        keep_role(vm)
    if step.successor is not None and vm.scheduler.handing_over:
        vm.scheduler.successor = step.successor.address
    return step.successor


def prepare_to_schedule(vm: Gateway, named: bool) -> None:
    """Let this VM's scheduler run a chain of its own.

    Parameters
    ----------
    named : bool
        Whether the previous scheduler named this VM as the next one.
    """
    if named:
        take_over(vm)
    if vm.leaving:
        reconsider(vm)
    vm.scheduler.resume()


async def run_role_loop(vm: Gateway) -> None:
    """Do what is next about the role of the scheduler, without end."""
    while True:
        await keep_or_hand_over(vm)
        await vm.clock.sleep_ms(ROLE_INTERVAL_MS)


async def keep_or_hand_over(vm: Gateway) -> None:
    """Do what is next about the role of the scheduler; called in short intervals."""
    successor = reconsider(vm)
    if successor is not None and not vm.scheduler.handing_over:
        await hand_over_work(vm, successor)


async def hand_over_work(vm: Gateway, successor: Heartbeat) -> None:
    """Hand all staged work over; if the other VM can't be reached, keep it for now."""
    error = ""
    scheduler = vm.scheduler
    had_work = scheduler.has_work()
    try:
        if had_work:
            session = await vm.sessions.get_session(successor.address)
            reports = LoadReports()
            send_worker_loads(vm, session, reports, hands_over=True)
            scheduler.after_call = partial(send_worker_loads, vm, session, reports)
    except SessionLostError as lost:
        error = str(lost)
        vm.membership.suspect(successor.address, vm.clock.now_ms())
    if had_work:
        vm.journal.record(
            Event.WORK_HANDED_OVER,
            peer=successor.name,
            chains=len(scheduler.planner.chains),
            error=error,
        )
    if error:
        return
    if vm.role.keeps:
        give_up_role(vm)
    scheduler.hand_over(successor.address)


def give_up_role(vm: Gateway) -> None:
    """Say that this VM schedules no more, if it had kept the role."""
    if vm.role.keeps:
        vm.role.close(vm.clock.now_ms())
        announce(vm)


def end_role(vm: Gateway) -> bool:
    """Give the role up; return whether the process may end as far as it is concerned.

    Other VMs that haven't heard of it yet would lose their chains with the process.
    """
    give_up_role(vm)
    return vm.role.is_known_closed(vm.clock.now_ms())


def send_worker_loads(
    vm: Gateway, session: PeerSession, reports: LoadReports, hands_over: bool = False
) -> None:
    """Send the next scheduler the load and stored results of the stages' upstreams."""
    if session.lost:
        return
    scheduler = vm.scheduler
    scheduler.frees.collect_released()
    loads = reports.next_loads(
        scheduler.planner, scheduler.frees.pending, vm.clock.now_ms()
    )
    entries = tuple(map(load_to_entry, loads))
    session.send(WorkerLoads(vm.settings.name, entries, hands_over))

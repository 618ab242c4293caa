"""Make the state of one VM on the users' platform, and run it until it is stopped."""

from __future__ import annotations

import gc
import os
import secrets
import sys
from pathlib import Path

import anyio
import eliot

from ..clock import Clock
from ..duties.types import ORDERS_DUTY
from ..events import Event, Journal
from ..exceptions import CuminstileError
from ..gateway.crash_state import CrashGuard
from ..gateway.gateway_metrics import make_gateway_metrics
from ..gateway.log_output import LogOutput, make_log_output
from ..gateway.membership import Membership
from ..gateway.messages import TopicRequest, TopicResponse
from ..gateway.peer_sessions import PeerSessions
from ..gateway.retry_budget import RetryBudget
from ..gateway.running import Job, run_gateway
from ..gateway.sharing import answer_topic_request
from ..gateway.stage_calls import StageCaller
from ..gateway.staging import Scheduler
from ..gateway.state import Gateway
from ..rollouts.keeper import FIRST_WAIT_MS, FIRST_WAIT_SPREAD_MS, MarkKeeper
from ..scaling.orders import own_demand, run_orders
from .duties import make_duties, order_call
from .follow import Follower
from .headers import PROTOCOL
from .reloading import apply_settings
from .rollouts import MarkLog
from .settings import PlatformSettings, load_platform_settings
from .stage_calls import STAGE_PROTOCOL
from .store import StoreClient

SETTINGS_VARIABLE = "CUMINSTILE_SETTINGS"
EXIT_BAD_INPUT = 2


def make_gateway(settings: PlatformSettings, clock: Clock) -> Gateway:
    """Return the state of a VM that has not started yet."""
    journal = Journal(settings.gateway.name, clock)
    guard = CrashGuard()
    caller = StageCaller(clock, PROTOCOL, STAGE_PROTOCOL)
    scheduler = Scheduler(clock, journal, caller, guard)

    def answer_request(request: TopicRequest) -> TopicResponse:
        topic = vm.topics.get(request.name)
        state = None if topic is None else topic.state
        return answer_topic_request(state, request, clock.now_ms())

    vm = Gateway(
        settings=settings.gateway,
        clock=clock,
        journal=journal,
        metrics=make_gateway_metrics(),
        protocol=PROTOCOL,
        scheduler=scheduler,
        membership=Membership(settings.gateway.peer_address),
        retries=RetryBudget(
            settings.gateway.retry_ratio,
            settings.gateway.retry_slack,
            settings.gateway.retry_window_ms,
        ),
        sessions=PeerSessions(clock, journal, scheduler, answer_request),
        incarnation=secrets.token_hex(6),
        started_ms=clock.wall_ms(),
        crash_guard=guard,
    )
    vm.hedging.limits = vm.hedge_limits()
    return vm


def make_mark_keeper(
    settings: PlatformSettings, vm: Gateway, follower: Follower
) -> MarkKeeper:
    """Return what keeps the marks of versions in the store."""
    return MarkKeeper(
        vm.rollouts,
        MarkLog(StoreClient(settings.store_address, vm.clock, vm.store_era)),
        vm.store_era,
        vm.clock,
        vm.journal,
        lambda: vm.reader_role().rank,
        follower.awaits_marks,
        FIRST_WAIT_MS + vm.random.uniform(0.0, FIRST_WAIT_SPREAD_MS),
    )


def order_jobs(vm: Gateway) -> tuple[Job, ...]:
    """Return the loop that orders upstreams; none where that is no duty."""
    desk = vm.duties
    if desk is None or ORDERS_DUTY not in desk.settings.duties:
        return ()
    return (lambda: run_orders(vm, desk, order_call),)


async def run(
    path: Path, settings: PlatformSettings, log: LogOutput, early: set[int]
) -> None:
    """Run the VM until it is asked to stop; `early` are signals that came before."""
    clock = log.clock
    vm = make_gateway(settings, clock)
    vm.duties = make_duties(settings, vm)
    if vm.duties is not None:
        vm.duties.local_demand = lambda: own_demand(vm)
    follower = Follower(vm, StoreClient(settings.store_address, clock, vm.store_era))

    def reload() -> None:
        try:
            read = load_platform_settings(path)
        except CuminstileError as error:
            vm.journal.record(Event.SETTINGS_REFUSED, error=error.message)
            return
        changed = apply_settings(vm, settings.store_address, read)
        vm.journal.record(
            Event.SETTINGS_READ_AGAIN,
            applied=",".join(changed.applied),
            restart=",".join(changed.restart),
        )

    await run_gateway(
        vm,
        log,
        (
            follower.follow_operator,
            follower.follow_upstreams,
            make_mark_keeper(settings, vm, follower).run,
            *order_jobs(vm),
        ),
        reload,
        early,
    )


def run_program(early: set[int]) -> None:
    """Start the program; invalid settings are logged and end it with exit status 2.

    Parameters
    ----------
    early : set of int
        The signals that came before, and come until the VM handles them itself.
    """
    clock = Clock()
    log = make_log_output(clock, sys.stdout.fileno())
    eliot.add_destinations(log.write)
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        settings = load_platform_settings(path)
    except CuminstileError as error:
        Journal("", clock).record(Event.SETTINGS_REFUSED, error=error.message)
        log.flush()
        sys.exit(EXIT_BAD_INPUT)
    gc.freeze()
    try:
        anyio.run(run, path, settings, log, early, backend_options={"use_uvloop": True})
    finally:
        # Requests that are cut with the event loop write lines after `vm_stopped`.
        log.flush_all()

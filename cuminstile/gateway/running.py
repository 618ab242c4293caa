"""Start and stop a VM that serves opaque requests, with its background tasks."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable, Collection

import anyio
from aioprometheus.renderer import render
from anyio.abc import TaskGroup

from ..duties.job import duty_jobs
from ..events import Event, Journal
from ..memory.account import MemoryAccount, account_size
from ..memory.descriptors import most_connections
from ..memory.process import resident_bytes
from ..supervision import run_with_restarts
from .body_refusals import make_body_refusal, make_head_check, record_shortage
from .connection_pool import ConnectionPool
from .crash_checks import run_crash_check_loop
from .crash_sharing import run_crash_sharing_loop
from .heartbeats import HeartbeatSocket, open_heartbeats, run_heartbeat_loop
from .http_server import CallerConnection, Request, Server, listen
from .last_messages import send_last_messages
from .leaving import drain
from .log_output import LogOutput
from .serving import serve
from .sharing import run_topic_sync_loop
from .spare_connections import SpareConnections
from .state import Gateway
from .upstream_checks import liveness_check

HOUSEKEEPING_INTERVAL_MS = 200.0
"""Interval of checks for idle connections and lost VMs."""
MAX_LOGGED_LINE_BYTES = 64

Job = Callable[[], Awaitable[None]]


def make_handler(
    vm: Gateway,
) -> Callable[[Request, CallerConnection], Awaitable[None]]:
    """Return the handler of callers' requests."""

    async def handle(request: Request, out: CallerConnection) -> None:
        await serve(vm, request, out)

    return handle


def make_readiness(
    vm: Gateway,
) -> Callable[[Request, CallerConnection], Awaitable[None]]:
    """Return the handler that reports whether this VM accepts new connections."""

    async def handle(request: Request, out: CallerConnection) -> None:
        del request
        await out.write_answer(200 if vm.ready else 503, (), b"")

    return handle


def set_upstream_slowness(vm: Gateway) -> None:
    """Set the metric of each upstream that reports its slowness."""
    now_ms = vm.clock.now_ms()
    gauge = vm.metrics.upstream_slowness
    gauge.values.clear()
    for state in vm.table.states.values():
        if state.estimate.tells_speed:
            labels = {"service": state.info.service, "upstream": state.info.id}
            gauge.set(labels, round(state.estimate.slowness(now_ms), 2))


def make_metrics_page(
    vm: Gateway,
) -> Callable[[Request, CallerConnection], Awaitable[None]]:
    """Return the handler that serves the metrics as text."""

    async def handle(request: Request, out: CallerConnection) -> None:
        del request
        set_upstream_slowness(vm)
        content, headers = render(vm.metrics.registry, [])
        kind = headers["Content-Type"].encode()
        await out.write_answer(200, ((b"Content-Type", kind),), content)

    return handle


def make_caller_server(vm: Gateway) -> Server:
    """Return the server of callers' requests, within the memory of the VM."""
    size = account_size(vm.settings.memory_mb, resident_bytes())
    return Server(
        vm.clock,
        make_handler(vm),
        lambda: vm.limits,
        account=MemoryAccount(size),
        check_head=make_head_check(vm),
        refuse_body=make_body_refusal(vm),
        most_connections=most_connections(vm.settings.max_sockets),
    )


async def run_gateway(
    vm: Gateway,
    log: LogOutput,
    follow: tuple[Job, ...],
    reload: Callable[[], None],
    early: Collection[int],
) -> None:
    """Run the VM until SIGTERM, then finish its requests.

    Parameters
    ----------
    follow : tuple of callable
        Endless loops that follow the store.
    reload : callable
        Reloads the settings file.
    early : collection of int
        The signals that came before this VM handles them itself.
    """
    vm.crash_guard.lives = liveness_check(vm.clock)
    caller = vm.scheduler.caller
    log_unexpected_answers(vm.journal, vm.pool, caller.pool, caller.spares)
    server = make_caller_server(vm)
    readiness = Server(vm.clock, make_readiness(vm), lambda: vm.limits)
    heartbeats = await open_heartbeats(vm)
    vm.send_datagram = heartbeats.send
    await vm.sessions.serve_peers(vm.settings.peer_address)
    await listen(readiness, vm.settings.readiness_address)
    metrics = Server(vm.clock, make_metrics_page(vm), lambda: vm.limits)
    await listen(metrics, vm.settings.metrics_address)
    callers = await listen(server, vm.settings.caller_address)
    vm.journal.record(
        Event.VM_STARTED,
        name=vm.settings.name,
        data_centre=vm.settings.data_centre,
        incarnation=vm.incarnation,
    )
    async with anyio.create_task_group() as tasks:
        jobs: list[Job] = [
            *follow,
            lambda: run_heartbeat_loop(vm, heartbeats),
            lambda: run_housekeeping_loop(vm, server, log),
            lambda: run_topic_sync_loop(vm),
            lambda: run_crash_sharing_loop(vm),
            lambda: run_crash_check_loop(vm),
            vm.scheduler.run_dispatch_loop,
            vm.scheduler.frees.run_free_loop,
            *duty_jobs(vm.duties),
        ]
        for job in jobs:
            tasks.start_soon(run_with_restarts, job, vm.journal, vm.clock)
        await wait_for_end(vm, server, callers, heartbeats, reload, early, tasks)
    vm.journal.record(
        Event.VM_STOPPED,
        name=vm.settings.name,
        requests=len(vm.in_progress),
        chains=len(vm.scheduler.planner.chains),
    )
    log.flush_all()


async def wait_for_end(
    vm: Gateway,
    server: Server,
    callers: asyncio.Server,
    heartbeats: HeartbeatSocket,
    reload: Callable[[], None],
    early: Collection[int],
    tasks: TaskGroup,
) -> None:
    """Wait for SIGTERM or SIGINT, drain the VM, and cancel all tasks."""
    loop = asyncio.get_running_loop()
    stop_requested = anyio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(signal.SIGINT, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    if signal.SIGHUP in early:
        reload()
    if signal.SIGTERM in early or signal.SIGINT in early:
        stop_requested.set()
    await stop_requested.wait()
    await drain(vm, server, callers, heartbeats)
    send_last_messages(vm)
    tasks.cancel_scope.cancel()


def log_unexpected_answers(
    journal: Journal, *pools: ConnectionPool | SpareConnections
) -> None:
    """Log the bytes that upstreams send on idle connections, by their first line."""

    def record(key: str, data: bytes) -> None:
        line = data[:MAX_LOGGED_LINE_BYTES].partition(b"\r\n")[0]
        journal.record(
            Event.ANSWER_UNEXPECTED, upstream=key, answer=line.decode("latin-1")
        )

    for pool in pools:
        pool.on_unexpected = record


async def run_housekeeping_loop(vm: Gateway, server: Server, log: LogOutput) -> None:
    """Close idle connections and lost sessions and flush the log, in a loop."""
    while True:
        await vm.clock.sleep_ms(HOUSEKEEPING_INTERVAL_MS)
        now_ms = vm.clock.now_ms()
        server.enforce_timeouts()
        record_shortage(vm, server)
        vm.pool.close_expired(now_ms)
        vm.scheduler.caller.spares.close_expired()
        live = {heartbeat.address for heartbeat in vm.membership.live(now_ms)}
        vm.sessions.close_silent(live)
        version = vm.manifest.version if vm.manifest else -1
        vm.metrics.manifest_version.set({}, version)
        vm.metrics.live_vms.set({}, vm.live_vms())
        vm.metrics.upstream_list_age_ms.set({}, vm.table.age(now_ms).age_ms)
        log.flush()

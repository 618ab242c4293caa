"""Run one VM of the system: the program `cuminstiled`."""

from __future__ import annotations

import contextlib
import signal
import sys
from collections.abc import AsyncIterator, Iterator
from pathlib import Path

import anyio
import fire
import uvicorn
from anyio.abc import TaskGroup
from starlette.applications import Starlette

from .caller.app import make_app
from .claim_background import run_claims_loop
from .clock import Clock
from .events import Event, Journal, log_to
from .exceptions import CuminstileError
from .head_protocol import HeadProtocol
from .moving import run_moves_loop
from .operator.app import make_app as make_operator_app
from .operator.moves import moves_reporter
from .operator.upstreams import upstreams_reporter
from .records.client import make_platform_client
from .records.follow import follow_configuration, follow_vm_list
from .records.renewal import renew_configuration
from .records.verdict_log import follow_verdicts, record_verdicts
from .runtime import Vm
from .settings import Settings, bad_settings, load_settings, port_findings
from .stages import run_stage
from .supervision import BackgroundTask, supervise
from .tls import client_context, server_context, tls_findings
from .upstream.crashes import on_crash_notice
from .upstream.leases import (
    on_lease_release,
    on_lease_request,
    on_lease_response,
    run_lease_loop,
)
from .upstream.load import on_load_digest, run_polling_loop
from .upstream.orders import run_order_loop
from .upstream.peer_probes import run_probing_loop
from .vm.claim_exchange import on_claim_outcome_request
from .vm.configuration import on_config_request, on_config_response
from .vm.connecting import run_connect_loop
from .vm.forwarding import on_answer, on_run_stage, on_stage_cancel
from .vm.membership import Members
from .vm.messages import (
    ClaimOutcomeRequest,
    ClaimOutcomeResponse,
    ConfigRequest,
    ConfigResponse,
    CrashNotice,
    Heartbeat,
    LeaseRelease,
    LeaseRequest,
    LeaseResponse,
    LoadDigest,
    MoveEvidence,
    MoveStep,
    MoveVerdict,
    RunStage,
    StageCancel,
    StageDone,
    StageRefused,
    StageTokens,
)
from .vm.move_exchange import on_move_evidence, on_move_step, on_move_verdict
from .vm.sessions import listen, on_heartbeat
from .vm.shutdown import drain

EXIT_BAD_INPUT = 2
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
BACKGROUND_TASKS: tuple[BackgroundTask, ...] = (
    listen,
    run_connect_loop,
    follow_configuration,
    renew_configuration,
    follow_vm_list,
    run_claims_loop,
    run_moves_loop,
    follow_verdicts,
    record_verdicts,
    run_polling_loop,
    run_lease_loop,
    run_order_loop,
    run_probing_loop,
)


class NoSignalServer(uvicorn.Server):
    """HTTP server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave signal handling to the daemon."""
        yield


def make_vm(settings: Settings) -> Vm:
    """Return the state of a VM that is not started yet."""
    clock = Clock()
    members = Members(settings.name, settings.data_centre)
    for peer in settings.peers:
        members.add(peer.name, peer.data_centre, peer.address, in_settings=True)
    return Vm(
        settings=settings,
        clock=clock,
        journal=Journal(settings.name, clock),
        platform=make_platform_client(settings.platform, settings.platform_key),
        run_stage=run_stage,
        handlers={
            Heartbeat: on_heartbeat,
            RunStage: on_run_stage,
            StageTokens: on_answer,
            StageDone: on_answer,
            StageRefused: on_answer,
            StageCancel: on_stage_cancel,
            ClaimOutcomeRequest: on_claim_outcome_request,
            ClaimOutcomeResponse: on_answer,
            LoadDigest: on_load_digest,
            LeaseRequest: on_lease_request,
            LeaseResponse: on_lease_response,
            LeaseRelease: on_lease_release,
            CrashNotice: on_crash_notice,
            ConfigRequest: on_config_request,
            ConfigResponse: on_config_response,
            MoveEvidence: on_move_evidence,
            MoveStep: on_move_step,
            MoveVerdict: on_move_verdict,
        },
        members=members,
        server_tls=server_context(settings.tls),
        client_tls=client_context(settings.tls),
    )


def make_server(settings: Settings, app: Starlette, port: int) -> NoSignalServer:
    """Return the HTTP server for one of the VM's TCP ports."""
    tls = settings.tls
    config = uvicorn.Config(
        app,
        host=settings.host,
        port=port,
        loop="asyncio",
        http=HeadProtocol,
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        backlog=2048,
        ssl_certfile=tls.certificate if tls else None,
        ssl_keyfile=str(tls.key) if tls else None,
    )
    return NoSignalServer(config)


async def serve(vm: Vm) -> None:
    """Run a VM until it is asked to stop and has drained its work."""
    vm.journal.record(
        Event.VM_STARTED,
        incarnation=vm.incarnation,
        data_centre=vm.settings.data_centre,
    )
    # The handlers stay until the end: without one, a second signal ends the process.
    with anyio.open_signal_receiver(*STOP_SIGNALS, signal.SIGHUP) as signals:
        async with anyio.create_task_group() as tasks:
            servers = start(vm, tasks)
            await wait_for_stop(signals)
            await drain(vm, servers)
            tasks.cancel_scope.cancel()
        vm.journal.record(Event.VM_STOPPED)


def start(vm: Vm, tasks: TaskGroup) -> list[NoSignalServer]:
    """Start the VM's background tasks and HTTP servers; return the servers."""
    reporters = (moves_reporter(vm), upstreams_reporter(vm))
    operator_app = make_operator_app(vm, reporters)
    servers = [
        make_server(vm.settings, make_app(vm), vm.settings.caller_port),
        make_server(vm.settings, operator_app, vm.settings.operator_port),
    ]
    for task in BACKGROUND_TASKS:
        tasks.start_soon(supervise, vm, task)
    for server in servers:
        tasks.start_soon(server.serve)
    return servers


async def wait_for_stop(signals: AsyncIterator[signal.Signals]) -> None:
    """Wait for SIGTERM or SIGINT; SIGHUP changes nothing."""
    async for number in signals:
        if number in STOP_SIGNALS:
            return


def check_machine(settings: Settings) -> None:
    """Check that the ports of the settings are free and the TLS files are usable.

    Raises
    ------
    CuminstileError
        With `BAD_SETTINGS` and every finding.
    """
    findings = (*port_findings(settings), *tls_findings(settings.tls))
    if findings:
        raise bad_settings(findings)


def run(settings: str) -> None:
    """Run one VM of the system until SIGTERM.

    Parameters
    ----------
    settings : str
        Path of the JSON file with the VM's settings.
    """
    try:
        checked = load_settings(Path(settings))
        check_machine(checked)
    except CuminstileError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)
    with contextlib.ExitStack() as stack:
        target = sys.stderr
        if checked.log_file != "-":
            target = stack.enter_context(open(checked.log_file, "a", buffering=1))
        log_to(target)
        anyio.run(serve, make_vm(checked))


def main() -> None:
    """Run the command line interface."""
    fire.Fire(run, name="cuminstiled")


if __name__ == "__main__":
    main()

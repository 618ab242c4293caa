"""Test cuminstile.daemon as a program that is stopped while its requests wait."""

import hashlib
import json
import signal
import time
from collections.abc import AsyncIterator
from pathlib import Path

import anyio
import pytest
from anyio.abc import SocketStream

from cuminstile.objects.model import (
    AnyObject,
    DataCentre,
    Organisation,
    Pipeline,
    Role,
    Stage,
    Step,
    Upstream,
    UpstreamVersion,
)
from standins.arrangement import Arrangement, caller_key, plan_vms
from standins.caller import CallerRequest, Reply, Result, send, wall_ms
from standins.demo import publish
from standins.fleet import Fleet, wait_until_healthy
from standins.startup import running

pytestmark = [pytest.mark.anyio, pytest.mark.process]
LINGER_MS = 300
SHUTDOWN_MS = 4_000
SETTINGS = {"shutdown_linger_ms": LINGER_MS, "shutdown_ms": SHUTDOWN_MS}
DEADLINE_MS = 60_000
WORK_MS = {"slow": 120_000, "book": 120_000, "soon": 1_500}
"""Work of each stage for a request; `book` may run only once."""
FIRST_LIMIT_S = 15.0
VM = "a-1"


def objects() -> tuple[AnyObject, ...]:
    digest = hashlib.sha256(caller_key("org").encode()).hexdigest()
    made: list[AnyObject] = [
        Organisation(kind="organisation", name="org", key_digests=(digest,)),
        DataCentre(kind="data_centre", name="a", region="r"),
    ]
    for stage in WORK_MS:
        version = f"{stage}-1"
        made += [
            Stage(kind="stage", name=stage, role=Role.POOL, repeatable=stage != "book"),
            UpstreamVersion(kind="upstream_version", name=version, stage=stage),
            Pipeline(kind="pipeline", name=stage, steps=(Step(name="s", stage=stage),)),
            Upstream(
                kind="upstream",
                name=f"{stage}-a",
                data_centre="a",
                address="127.0.0.1:1",
                versions=(version,),
                capacity=8,
                cold_capacity=4,
            ),
        ]
    return tuple(made)


@pytest.fixture
async def fleet(tmp_path: Path) -> AsyncIterator[Fleet]:
    """Run one VM that serves all pipelines."""
    arrangement = Arrangement(
        objects=objects(),
        vms=plan_vms({"a": 1}),
        controls={
            stage: {"warm_after_runs": 0, "work_ms": work_ms}
            for stage, work_ms in WORK_MS.items()
        },
        settings=SETTINGS,
    )
    async with running(arrangement, tmp_path) as fleet:
        await publish(fleet)
        await wait_until_healthy(fleet, VM, "/readyz")
        with anyio.fail_after(FIRST_LIMIT_S):
            while (await ask(fleet, "soon", "first")).result is not Result.ANSWERED:
                await anyio.sleep(0.1)
        yield fleet


async def ask(
    fleet: Fleet, pipeline: str, mark: str, stream: bool = False, key: str = ""
) -> Reply:
    """Send one request to the VM."""
    request = CallerRequest(
        pipeline,
        caller_key("org"),
        mark,
        DEADLINE_MS,
        stream,
        idempotency_key=key,
        issued_at_ms=wall_ms() if key else 0,
    )
    return await send(fleet.pool, VM, fleet.vms[VM].caller, request)


def events(fleet: Fleet, name: str) -> list[dict]:
    """Return the records of an event in the log of the VM."""
    (log,) = fleet.logs()
    lines = [json.loads(line) for line in log.read_text().splitlines()]
    return [line for line in lines if line["event"] == name]


async def wait_for_runs(fleet: Fleet, count: int) -> None:
    """Wait until stages of a number of requests were started."""
    with anyio.fail_after(5.0):
        while len(events(fleet, "request_started")) < count:
            await anyio.sleep(0.02)
    await anyio.sleep(0.2)


async def end_of(fleet: Fleet) -> int | None:
    """Return the exit status of the VM once it has ended."""
    program = fleet.programs.by_name[VM]
    with anyio.move_on_after(SHUTDOWN_MS / 1_000.0 + 1.0):
        while program.is_running():
            await anyio.sleep(0.02)
    return program.wait(0.0)


# Guards against requests that wait for an upstream longer than a planned stop lasts and
# are cut without an answer and without a line in the log.
async def test_request_that_outlasts_a_planned_stop_is_refused_before_it_ends(
    fleet: Fleet,
) -> None:
    replies: dict[str, Reply] = {}

    async def ask_for(pipeline: str, stream: bool, key: str = "") -> None:
        name = f"{pipeline}-{stream}"
        replies[name] = await ask(fleet, pipeline, name, stream, key)

    started = len(events(fleet, "request_started"))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ask_for, "slow", False)
        tasks.start_soon(ask_for, "slow", True)
        tasks.start_soon(ask_for, "book", False, "key-1")
        await wait_for_runs(fleet, started + 3)
        began = time.monotonic()
        fleet.programs.by_name[VM].terminate()
    took_ms = (time.monotonic() - began) * 1_000.0
    told = {name: (reply.code, reply.ran) for name, reply in replies.items()}
    assert told == {
        "slow-False": ("shutting_down", "not_run"),
        "slow-True": ("shutting_down", "not_run"),
        "book-False": ("shutting_down", "unknown"),
    }
    assert LINGER_MS < took_ms < SHUTDOWN_MS
    assert await end_of(fleet) == 0
    named = events(fleet, "request_unfinished")
    assert sorted(line["route"] for line in named) == ["book", "slow", "slow"]


# Guards against a body that still comes at the end and is cut without an answer.
async def test_request_whose_body_still_comes_at_the_end_is_refused(
    fleet: Fleet,
) -> None:
    async with await open_to(fleet) as stream:
        await stream.send(head_of("slow", 1_000) + b'{"input": ')
        await anyio.sleep(0.2)
        fleet.programs.by_name[VM].terminate()
        answer = b""
        with anyio.fail_after(SHUTDOWN_MS / 1_000.0):
            while b"shutting_down" not in answer:
                answer += await stream.receive()
        assert answer.startswith(b"HTTP/1.1 503")
    assert await end_of(fleet) == 0


async def open_to(fleet: Fleet) -> SocketStream:
    """Return a new connection to the port for callers."""
    return await anyio.connect_tcp("127.0.0.1", fleet.vms[VM].caller)


def head_of(pipeline: str, body_bytes: int) -> bytes:
    """Return the head of a request."""
    lines = (
        f"POST /v1/pipelines/{pipeline} HTTP/1.1",
        "Host: a",
        f"Authorization: Bearer {caller_key('org')}",
        f"Content-Length: {body_bytes}",
    )
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


# Guards against a second signal, or a hang-up, that ends the process at once and cuts
# what a planned stop would have answered.
@pytest.mark.parametrize("again", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])
async def test_signal_during_a_planned_stop_cuts_no_request(
    fleet: Fleet, again: signal.Signals
) -> None:
    program, replies = fleet.programs.by_name[VM], []

    async def ask_for() -> None:
        replies.append(await ask(fleet, "soon", "last"))

    started = len(events(fleet, "request_started"))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ask_for)
        await wait_for_runs(fleet, started + 1)
        program.terminate()
        for _ in range(3):
            await anyio.sleep(0.1)
            program.send_signal(again)
    assert [reply.result for reply in replies] == [Result.ANSWERED]
    assert await end_of(fleet) == 0


# Guards against a hang-up that ends a VM which nobody has asked to stop.
async def test_hang_up_does_not_end_a_vm(fleet: Fleet) -> None:
    program = fleet.programs.by_name[VM]
    program.send_signal(signal.SIGHUP)
    assert (await ask(fleet, "soon", "after")).result is Result.ANSWERED
    assert program.is_running()

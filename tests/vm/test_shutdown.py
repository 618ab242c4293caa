"""Test cuminstile.vm.shutdown on complete VMs in one process."""

import hashlib
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from typing import Any

import anyio
import httpcore
import pytest
from anyio.abc import SocketStream

from cuminstile.calls import RunTrace, StageCall, StageOutcome, drop_tokens
from cuminstile.daemon import NoSignalServer, start
from cuminstile.exceptions import ErrorCode, RunStatus
from cuminstile.objects.model import AnyObject, Organisation
from cuminstile.runtime import Vm
from cuminstile.vm.forwarding import answer_stage
from cuminstile.vm.messages import StageRefused
from cuminstile.vm.shutdown import drain

from ..fakes.objects import single_stage_objects
from ..fakes.upstreams import send_event, send_event_head, upstream
from ..fakes.vms import add_members, make_test_vm, set_configuration

KEY = "a-key-of-the-callers"
TOKENS = tuple(f"t{index}" for index in range(6))


@dataclass
class Running:
    """A running VM with its servers and the scope of its tasks."""

    vm: Vm
    servers: list[NoSignalServer] = field(default_factory=list)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    async def run(self) -> None:
        """Run every task of the VM until its scope is cancelled."""
        async with anyio.create_task_group() as tasks:
            self.scope = tasks.cancel_scope
            self.servers = start(self.vm, tasks)

    async def leave(self) -> None:
        """Drain the VM and cancel its tasks, as the daemon does."""
        await drain(self.vm, self.servers)
        self.scope.cancel()


def objects_with_key(address: str) -> tuple[AnyObject, ...]:
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    return tuple(
        replace(item, key_digests=(digest,)) if isinstance(item, Organisation) else item
        for item in single_stage_objects({"gen-b": address})
    )


@asynccontextmanager
async def running(*vms: Vm) -> AsyncIterator[list[Running]]:
    """Run complete VMs that are members of each other's lists until the block ends."""
    add_members(*vms)
    started = [Running(vm) for vm in vms]
    async with anyio.create_task_group() as tasks:
        for item in started:
            tasks.start_soon(item.run)
        with anyio.fail_after(5.0):
            while not all(is_up(item, len(vms) - 1) for item in started):
                await anyio.sleep(0.01)
        yield started
        for item in started:
            for server in item.servers:
                server.should_exit = True
        await anyio.sleep(0.15)
        for item in started:
            item.scope.cancel()


def is_up(item: Running, peers: int) -> bool:
    if not item.servers or not all(server.started for server in item.servers):
        return False
    return len(item.vm.sessions.by_name) == peers


async def ask(vm: Vm, stream: bool) -> bytes:
    """Send a request to one VM and return the body of the complete answer."""
    url = f"http://127.0.0.1:{vm.settings.caller_port}/v1/pipelines/chat"
    content = json.dumps({"input": {}, "stream": stream, "deadline_ms": 4000}).encode()
    headers = [("authorization", f"Bearer {KEY}")]
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request("POST", url, headers=headers, content=content)
    assert response.status == 200, response.content
    return response.content


@pytest.mark.parametrize("leaving", ["near", "far"])
async def test_drain_interrupts_no_stream(leaving: str) -> None:
    near = make_test_vm("vm-a1", "a", shutdown_linger_ms=300)
    far = make_test_vm("vm-b1", "b", shutdown_linger_ms=300)
    half = anyio.Event()
    gate = anyio.Event()

    async def slow(body: dict[str, Any], stream: SocketStream) -> None:
        await send_event_head(stream)
        attempt = body["attempt"]
        for index, token in enumerate(TOKENS):
            if index == 3:
                half.set()
                await gate.wait()
            event = {"attempt": attempt, "index": index, "tokens": [token]}
            await send_event(stream, event)
        await send_event(
            stream, {"attempt": attempt, "done": True, "count": 6, "output": "whole"}
        )

    answers: list[bytes] = []
    async with upstream(slow) as fake, running(near, far) as started:
        for vm in (near, far):
            set_configuration(vm, objects_with_key(fake.address))

        async def ask_once() -> None:
            answers.append(await ask(near, True))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask_once)
            await half.wait()
            item = started[0] if leaving == "near" else started[1]
            tasks.start_soon(item.leave)
            # The load balancer still sends requests while the VM lingers.
            await anyio.sleep(0.1)
            tasks.start_soon(ask_once)
            await anyio.sleep(0.5)
            assert item.vm.activity.total() > 0
            gate.set()
    assert len(answers) == 2
    for answer in answers:
        assert answer.count(b"event: tokens") == len(TOKENS)
        last = json.loads(answer.rsplit(b"data: ", 1)[1])
        assert last["output"] == "whole"


async def test_peers_know_at_once_that_a_vm_is_leaving() -> None:
    near = make_test_vm("vm-a1", "a")
    far = make_test_vm("vm-b1", "b", shutdown_linger_ms=100)
    async with running(near, far) as started, anyio.create_task_group() as tasks:
        tasks.start_soon(started[1].leave)
        with anyio.fail_after(0.5):
            while not near.members.by_name["vm-b1"].leaving:
                await anyio.sleep(0.01)


# Guards against a call of another VM that is cut when this one ends: the caller of a
# call that may run only once would not learn whether it ran.
@pytest.mark.parametrize("maybe_ran", [False, True])
async def test_call_of_another_vm_is_refused_before_this_one_ends(
    maybe_ran: bool,
) -> None:
    vm = make_test_vm("vm-a1", "a")

    async def never(*arguments: Any) -> StageOutcome:
        trace: RunTrace = arguments[2]
        trace.maybe_ran = maybe_ran
        vm.end_scopes.cancel_all()
        await anyio.sleep_forever()
        raise AssertionError

    vm.run_stage = never
    call = StageCall(
        "r", "org", "chat", "s", "chat", "v", {}, False, 0, vm.clock.now_ms() + 9_000.0
    )
    with anyio.fail_after(1.0):
        refused = await answer_stage(vm, call, 1, drop_tokens)
    assert isinstance(refused, StageRefused)
    assert refused.code is ErrorCode.SHUTTING_DOWN
    assert refused.ran is (RunStatus.UNKNOWN if maybe_ran else RunStatus.NOT_RUN)

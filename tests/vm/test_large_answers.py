"""Test that an answer too large for a session fails without closing the session."""

from dataclasses import replace
from typing import Any

import anyio
import pytest
from anyio.abc import SocketStream

from cuminstile.calls import RunTrace, StageCall, drop_tokens
from cuminstile.events import Event
from cuminstile.exceptions import CuminstileError, ErrorCode, RunStatus
from cuminstile.runtime import Vm
from cuminstile.stages import run_stage
from cuminstile.vm import connecting, sessions
from cuminstile.vm.forwarding import run_on_peer

from ..fakes.objects import single_stage_objects
from ..fakes.upstreams import send_json, upstream
from ..fakes.vms import connected, make_test_vm, set_configuration

LIMIT_BYTES = 64 * 1024
LARGE = "x" * LIMIT_BYTES


@pytest.fixture(autouse=True)
def small_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lower the message size limit so that the test stays fast."""
    for module in (sessions, connecting):
        monkeypatch.setattr(module, "MAX_MESSAGE_BYTES", LIMIT_BYTES)


def make_call(vm: Vm, wanted: str) -> StageCall:
    return StageCall(
        request=wanted, organisation="org", pipeline="chat", step="g",
        stage="generate", version="generate-1", input=wanted, stream=False,
        priority=0, deadline_ms=vm.clock.now_ms() + 4_000.0,
    )  # fmt: skip


async def test_too_large_answer_fails_no_other_call() -> None:
    near, far = make_test_vm("vm-a1", "a"), make_test_vm("vm-b1", "b")
    outputs: list[Any] = []

    async def answer(body: dict[str, Any], stream: SocketStream) -> None:
        if body["input"] == "slow":
            await anyio.sleep(1.5)
        output = LARGE if body["input"] == "large" else "good"
        answered = {"attempt": body["attempt"], "state": "warm", "output": output}
        await send_json(stream, 200, answered)

    async def run_slow() -> None:
        call = make_call(far, "slow")
        outputs.append(await run_stage(far, call, RunTrace(), drop_tokens, True))

    async with upstream(answer) as fake, connected(near, far):
        for vm in (near, far):
            set_configuration(vm, single_stage_objects({"gen-a": fake.address}))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_slow)
            await anyio.sleep(0.2)
            with pytest.raises(CuminstileError) as caught:
                call, session = make_call(far, "large"), far.sessions.by_name["vm-a1"]
                await run_on_peer(far, session, call, RunTrace(), drop_tokens)
        assert Event.PEER_LOST not in [item.event for item in far.journal.ring]
    assert caught.value.code is ErrorCode.UPSTREAM_FAILED
    assert caught.value.ran is RunStatus.UNKNOWN
    assert [outcome.output for outcome in outputs] == ["good"]


async def test_too_large_call_is_not_sent() -> None:
    near, far = make_test_vm("vm-a1", "a"), make_test_vm("vm-b1", "b")
    trace = RunTrace()
    async with connected(near, far):
        set_configuration(
            far, single_stage_objects({"gen-a": "127.0.0.1:9"}, repeatable=False)
        )
        with pytest.raises(CuminstileError) as caught:
            call = replace(make_call(far, "large"), input=LARGE)
            session = far.sessions.by_name["vm-a1"]
            await run_on_peer(far, session, call, trace, drop_tokens)
        assert Event.PEER_LOST not in [item.event for item in far.journal.ring]
    assert caught.value.code is ErrorCode.BODY_TOO_LARGE
    assert not trace.maybe_ran

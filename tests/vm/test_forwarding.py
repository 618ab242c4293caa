"""Test cuminstile.vm.forwarding over real sessions in one process."""

from typing import Any

import anyio
import pytest
from anyio.abc import SocketStream

from cuminstile.calls import RunTrace, StageCall
from cuminstile.events import Event
from cuminstile.exceptions import CuminstileError, ErrorCode, RunStatus
from cuminstile.runtime import Vm
from cuminstile.stages import run_stage
from cuminstile.vm.forwarding import on_answer
from cuminstile.vm.messages import StageTokens

from ..fakes.claim_log import claiming
from ..fakes.objects import single_stage_objects
from ..fakes.upstreams import send_event, send_event_head, send_json, upstream
from ..fakes.vms import connected, make_test_vm, set_configuration

TOKENS = tuple(f"t{index}" for index in range(12))


def make_call(vm: Vm, stream: bool = True, deadline_ms: float = 5_000.0) -> StageCall:
    return StageCall(
        request="r1",
        organisation="org",
        pipeline="chat",
        step="g",
        stage="generate",
        version="generate-1",
        input={"prompt": "p"},
        stream=stream,
        priority=0,
        deadline_ms=vm.clock.now_ms() + deadline_ms,
        idempotency_key="k",
        issued_at_ms=vm.clock.wall_ms(),
    )


async def send_tokens(
    body: dict[str, Any], stream: SocketStream, gate: anyio.Event | None = None
) -> None:
    """Stream the answer from the requested index; wait for the gate halfway."""
    await send_event_head(stream)
    attempt = body["attempt"]
    for index in range(body["resume_at"], len(TOKENS)):
        if gate is not None and index == len(TOKENS) // 2:
            await gate.wait()
        await send_event(
            stream, {"attempt": attempt, "index": index, "tokens": [TOKENS[index]]}
        )
    done = {"attempt": attempt, "done": True, "count": len(TOKENS), "output": "whole"}
    await send_event(stream, done)


class TokenCollector:
    """Collect tokens and check that no index is skipped or repeated."""

    def __init__(self) -> None:
        self.tokens: list[str] = []
        self.half = anyio.Event()

    async def collect(self, index: int, tokens: tuple[str, ...]) -> None:
        """Collect tokens, which must continue where the last ones ended."""
        assert index == len(self.tokens)
        self.tokens += tokens
        if len(self.tokens) >= len(TOKENS) // 2:
            self.half.set()


async def test_stream_reaches_the_caller_through_another_vm() -> None:
    near = make_test_vm("vm-a1", "a")
    far = make_test_vm("vm-b1", "b")
    collected = TokenCollector()
    async with upstream(send_tokens) as fake, connected(near, far):
        for vm in (near, far):
            set_configuration(vm, single_stage_objects({"gen-b": fake.address}))
        outcome = await run_stage(
            near, make_call(near), RunTrace(), collected.collect, True
        )
    assert outcome.output == "whole"
    assert outcome.vm == "vm-b1"
    assert tuple(collected.tokens) == TOKENS


@pytest.mark.parametrize(
    ("status", "code", "expected"),
    [(500, "failed", (1, False)), (429, "cold", (0, True))],
)
async def test_forwarded_call_reports_failures_and_excuses(
    status: int, code: str, expected: tuple[int, bool]
) -> None:
    near = make_test_vm("vm-a1", "a")
    far = make_test_vm("vm-b1", "b")
    trace = RunTrace()

    async def refuse(body: dict[str, Any], stream: SocketStream) -> None:
        answer = {"attempt": body["attempt"], "code": code, "state": code}
        await send_json(stream, status, answer)

    async with upstream(refuse) as fake, connected(near, far):
        for vm in (near, far):
            set_configuration(vm, single_stage_objects({"gen-b": fake.address}))
        with pytest.raises(CuminstileError):
            await run_stage(
                near, make_call(near), trace, TokenCollector().collect, True
            )
    assert (trace.failures > 0, trace.excused) == (expected[0] > 0, expected[1])


async def test_stream_resumes_after_the_session_is_cut() -> None:
    near = make_test_vm("vm-a1", "a")
    far = [make_test_vm("vm-b1", "b"), make_test_vm("vm-b2", "b")]
    collected = TokenCollector()
    never = anyio.Event()

    async def stop_at_half(body: dict[str, Any], stream: SocketStream) -> None:
        await send_tokens(body, stream, never if body["resume_at"] == 0 else None)

    async with upstream(stop_at_half) as fake, connected(near, *far):
        for vm in (near, *far):
            set_configuration(vm, single_stage_objects({"gen-b": fake.address}))

        async def cut() -> None:
            await collected.half.wait()
            busy = next(vm for vm in far if vm.activity.forwarded)
            near.sessions.by_name[busy.settings.name].connection.transport.abort()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cut)
            outcome = await run_stage(
                near, make_call(near), RunTrace(), collected.collect, True
            )
    assert outcome.output == "whole"
    assert tuple(collected.tokens) == TOKENS
    assert [call["resume_at"] for call in fake.calls] == [0, len(TOKENS) // 2]


async def test_call_to_a_frozen_peer_moves_to_another_within_a_second() -> None:
    near = make_test_vm("vm-a1", "a")
    far = [make_test_vm("vm-b1", "b"), make_test_vm("vm-b2", "b")]
    collected = TokenCollector()
    frozen: list[str] = []

    async with upstream(send_tokens) as fake, connected(near, *far):
        for vm in (near, *far):
            set_configuration(vm, single_stage_objects({"gen-b": fake.address}))
            if vm is not near:
                run_frozen(vm, frozen)
        started_ms = near.clock.now_ms()
        outcome = await run_stage(
            near, make_call(near), RunTrace(), collected.collect, True
        )
        elapsed_ms = near.clock.now_ms() - started_ms
    assert outcome.output == "whole"
    assert len(frozen) == 1
    # A quarter of the target deadline of 4 s may be lost to a frozen VM.
    assert 700.0 < elapsed_ms < 1_300.0


def run_frozen(vm: Vm, frozen: list[str]) -> None:
    """Let the first VM that gets the call stop sending, heartbeats included."""
    original = vm.run_stage

    async def stop(*arguments: Any) -> Any:
        if frozen:
            return await original(*arguments)
        frozen.append(vm.settings.name)
        session = vm.sessions.by_name["vm-a1"]
        session.connection.send = sleep_for_ever  # type: ignore[method-assign]
        await anyio.sleep_forever()
        return None

    vm.run_stage = stop


async def sleep_for_ever(data: bytes) -> None:
    await anyio.sleep_forever()


async def test_lost_session_leaves_an_unrepeatable_call_unknown() -> None:
    near = make_test_vm("vm-a1", "a")
    far = make_test_vm("vm-b1", "b")
    started = anyio.Event()

    async def never_answer(body: dict[str, Any], stream: SocketStream) -> None:
        started.set()
        await anyio.sleep_forever()

    trace = RunTrace()
    async with upstream(never_answer) as fake, connected(near, far):
        for vm in (near, far):
            set_configuration(
                vm, single_stage_objects({"gen-b": fake.address}, repeatable=False)
            )

        async def hang(*arguments: Any) -> None:
            started.set()
            await anyio.sleep_forever()

        far.run_stage = hang

        async def cut() -> None:
            await started.wait()
            near.sessions.by_name["vm-b1"].connection.transport.abort()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cut)
            with pytest.raises(CuminstileError) as caught:
                await run_stage(
                    near, make_call(near), trace, TokenCollector().collect, True
                )
    assert caught.value.code is ErrorCode.PEER_LOST
    assert trace.maybe_ran


async def test_late_answer_is_dropped_and_logged() -> None:
    near = make_test_vm("vm-a1", "a")
    far = make_test_vm("vm-b1", "b")
    async with connected(near, far):
        session = near.sessions.by_name["vm-b1"]
        await on_answer(near, session, StageTokens(77, 0, ("late",)))
    dropped = [item for item in near.journal.ring if item.event is Event.ANSWER_DROPPED]
    assert len(dropped) == 1


async def test_cancelled_call_stops_on_the_other_vm() -> None:
    near = make_test_vm("vm-a1", "a")
    far = make_test_vm("vm-b1", "b")
    started = anyio.Event()

    async def hang(body: dict[str, Any], stream: SocketStream) -> None:
        started.set()
        await anyio.sleep_forever()

    async with upstream(hang) as fake, connected(near, far):
        for vm in (near, far):
            set_configuration(vm, single_stage_objects({"gen-b": fake.address}))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                run_stage,
                near,
                make_call(near),
                RunTrace(),
                TokenCollector().collect,
                True,
            )
            await started.wait()
            assert far.activity.forwarded == 1
            tasks.cancel_scope.cancel()
        with anyio.fail_after(1.0):
            while far.activity.forwarded:
                await anyio.sleep(0.01)
    assert not near.sessions.by_name or not any(
        session.calls for session in near.sessions.by_name.values()
    )


@pytest.mark.parametrize("fault", ["crossed", "truncated", "malformed", "failed"])
async def test_bad_answer_never_reaches_the_caller(fault: str) -> None:
    vm = make_test_vm("vm-a1", "a")
    bad_calls: list[str] = []

    async def bad_once(body: dict[str, Any], stream: SocketStream) -> None:
        attempt = body["attempt"]
        good = {"attempt": attempt, "output": "good", "incarnation": "i"}
        if bad_calls:
            await send_json(stream, 200, good)
            return
        bad_calls.append(attempt)
        if fault == "crossed":
            await send_json(stream, 200, {"attempt": "other", "output": "theirs"})
        elif fault == "truncated":
            await stream.send(b'HTTP/1.1 200 X\r\ncontent-length: 99\r\n\r\n{"att')
        elif fault == "malformed":
            await send_json(stream, 200, {"attempt": attempt})
        else:
            await send_json(stream, 500, {"attempt": attempt, "code": "failed"})

    async with upstream(bad_once) as fake, connected(vm):
        set_configuration(
            vm, single_stage_objects({"one-a": fake.address, "two-a": fake.address})
        )
        outcome = await run_stage(
            vm, make_call(vm, stream=False), RunTrace(), TokenCollector().collect, False
        )
    assert outcome.output == "good"
    assert outcome.attempts == 2


async def test_unrepeatable_call_is_not_retried_once_bytes_were_sent() -> None:
    vm = make_test_vm("vm-a1", "a")

    async def cut(body: dict[str, Any], stream: SocketStream) -> None:
        await stream.aclose()

    trace = RunTrace()
    async with upstream(cut) as fake, connected(vm), claiming(vm):
        addresses = {"one-a": fake.address, "two-a": fake.address}
        set_configuration(vm, single_stage_objects(addresses, repeatable=False))
        with pytest.raises(CuminstileError) as caught:
            call = make_call(vm, stream=False)
            await run_stage(vm, call, trace, TokenCollector().collect, False)
    assert caught.value.ran is RunStatus.UNKNOWN
    assert len(fake.calls) == 1

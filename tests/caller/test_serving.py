"""Test cuminstile.caller.serving."""

import hashlib
import json
from dataclasses import replace
from typing import Any

import anyio
import pytest
from httpcore import AsyncConnectionPool

from cuminstile.caller.app import make_app
from cuminstile.caller.bodies import parse_run_body
from cuminstile.caller.serving import with_run_status
from cuminstile.calls import RunTrace, StageCall, StageOutcome, TokenSink
from cuminstile.events import Event
from cuminstile.exceptions import CuminstileError, ErrorCode, RunStatus
from cuminstile.objects.model import Organisation, Pipeline, Step
from cuminstile.pipeline import Progress, Request
from cuminstile.runtime import Vm
from cuminstile.shutdown.schedule import shutdown_times

from ..fakes.asgi import send_request, serving
from ..fakes.objects import single_stage_objects
from ..fakes.vms import make_test_vm, set_configuration

KEY = "a-callers-key"
PATH = "/v1/pipelines/chat"


async def run(
    vm: Vm, call: StageCall, trace: RunTrace, on_tokens: TokenSink, can_forward: bool
) -> StageOutcome:
    """Run a stage that is too slow or fails if the input asks for it."""
    match call.input["request"]:
        case "slow":
            await anyio.sleep(5.0)
        case "full":
            raise CuminstileError(ErrorCode.OVERLOADED, "full", RunStatus.UNKNOWN)
    return StageOutcome("x", call.version, "u", "a", "vm", 1, 0.0)


def make_one() -> Vm:
    vm = make_test_vm("vm-a1", "a")
    vm.run_stage = run
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    objects = tuple(
        replace(item, key_digests=(digest,)) if isinstance(item, Organisation) else item
        for item in single_stage_objects({"gen-a": "127.0.0.1:9"})
    )
    set_configuration(vm, objects)
    return vm


async def send(vm: Vm, key: str = KEY, **body: Any) -> int:
    return (await send_request(make_app(vm), "POST", PATH, key, body)).status


async def test_deadlines_met_and_missed_are_counted() -> None:
    vm = make_one()
    assert await send(vm, input="good") == 200
    assert await send(vm, input="slow", deadline_ms=20) == 504
    assert await send(vm, input="full") == 503
    deadlines = vm.metrics.deadlines_total
    assert deadlines.get({"pipeline": "chat", "met": "yes"}) == 1
    assert deadlines.get({"pipeline": "chat", "met": "no"}) == 2


async def test_each_refusal_is_counted_and_recorded_once() -> None:
    vm = make_one()
    assert await send(vm, input="full") == 503
    assert await send(vm, "wrong", input="full") == 401
    refusals = vm.metrics.refusals_total
    assert refusals.get({"code": "overloaded", "ran": "unknown"}) == 1
    assert refusals.get({"code": "unauthenticated", "ran": "not_run"}) == 1
    events = [item.event for item in vm.journal.ring]
    assert events.count(Event.REQUEST_REFUSED) == 2


async def test_refusals_in_a_stream_are_counted_as_well() -> None:
    vm = make_one()
    body = json.dumps({"input": "full", "stream": True}).encode()
    headers = {"authorization": f"Bearer {KEY}"}
    async with serving(make_app(vm)) as address, AsyncConnectionPool() as pool:
        url = f"http://{address}{PATH}"
        reply = await pool.request("POST", url, headers=headers, content=body)
    assert b"event: error" in reply.content
    refusals = vm.metrics.refusals_total
    assert refusals.get({"code": "overloaded", "ran": "unknown"}) == 1


@pytest.mark.parametrize(
    ("maybe_ran", "is_resend", "ran"),
    [
        (False, False, RunStatus.NOT_RUN),
        (True, False, RunStatus.UNKNOWN),
        (False, True, RunStatus.UNKNOWN),
    ],
)
def test_a_refusal_says_not_run_only_if_nothing_can_have_run(
    maybe_ran: bool, is_resend: bool, ran: RunStatus
) -> None:
    steps = (Step("book", "book"),)
    pipeline = Pipeline(kind="pipeline", name="book", steps=steps)
    request = Request("r", "org", pipeline, {}, False, 0.0, "k", 1, is_resend)
    progress = Progress(traces={"book": RunTrace(maybe_ran)})
    error = CuminstileError(ErrorCode.PLATFORM_AWAY, "away")
    assert with_run_status(error, request, progress).ran is ran


def test_a_caller_marks_a_resend() -> None:
    assert parse_run_body(b'{"input": 1, "resend": true}').resend
    assert not parse_run_body(b'{"input": 1}').resend


@pytest.mark.parametrize("is_resend", [False, True])
async def test_a_vm_refuses_a_resend_that_it_cannot_check_as_unknown(
    is_resend: bool,
) -> None:
    fresh = make_test_vm("vm-a1", "a")
    behind = make_one()
    for vm, path in ((fresh, PATH), (behind, "/v1/pipelines/newer")):
        body = {"input": "good", "resend": is_resend}
        reply = await send_request(make_app(vm), "POST", path, KEY, body)
        assert reply.body["error"]["ran"] == ("unknown" if is_resend else "not_run")


# Guards against a request that waits for its own deadline, past the end of its VM.
async def test_request_of_a_leaving_vm_waits_no_longer_than_the_vm() -> None:
    vm = make_one()
    vm.shutdown = shutdown_times(vm.clock.now_ms(), 1_050.0)
    reply = await send_request(make_app(vm), "POST", PATH, KEY, {"input": "slow"})
    error = reply.body["error"]
    assert (reply.status, error["code"]) == (503, "shutting_down")
    assert error["ran"] == "not_run"
    assert not vm.in_progress


async def test_request_of_a_leaving_vm_is_told_its_own_deadline() -> None:
    vm = make_one()
    vm.shutdown = shutdown_times(vm.clock.now_ms(), 60_000.0)
    assert await send(vm, input="slow", deadline_ms=20) == 504

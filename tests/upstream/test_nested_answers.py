"""Test that values that are nested too deeply are refused where they enter the VM."""

import hashlib
import itertools
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

from anyio.abc import SocketStream

from cuminstile.caller.app import make_app
from cuminstile.events import Event
from cuminstile.objects.model import Organisation, Pipeline, Step
from cuminstile.runtime import Vm
from cuminstile.strict_json import ENCLOSING_LEVELS

from ..fakes.asgi import Reply, send_request
from ..fakes.claim_log import claiming
from ..fakes.objects import single_stage_objects
from ..fakes.upstreams import Answer, upstream
from ..fakes.vms import connected, make_test_vm, set_configuration

KEY = "a-callers-key"
NUMBERS = itertools.count()
# The JSON library writes at most 254 levels and reads at most 1024. LIMIT excludes the
# levels around a value; deeper values are refused.
LIMIT = 254 - ENCLOSING_LEVELS
CARRIED = (3, LIMIT - 1)
REFUSED = (LIMIT + 1, 253, 255)


def nested(depth: int) -> Any:
    value: Any = 1
    for _ in range(depth):
        value = [value]
    return value


def with_key(item: Any) -> Any:
    if isinstance(item, Organisation):
        digest = hashlib.sha256(KEY.encode()).hexdigest()
        return replace(item, key_digests=(digest,))
    if isinstance(item, Pipeline):
        steps = (*item.steps, Step(name="h", stage="generate", needs=("g",)))
        return replace(item, steps=steps)
    return item


@asynccontextmanager
async def two_vms(answer: Answer) -> AsyncIterator[tuple[Vm, Vm]]:
    """Run a VM with an upstream, and one that forwards every call to the first."""
    near, far = make_test_vm("vm-a1", "a"), make_test_vm("vm-b1", "b")
    async with upstream(answer) as fake, connected(near, far), claiming(near, far):
        objects = single_stage_objects({"gen-a": fake.address}, repeatable=False)
        for vm in (near, far):
            set_configuration(vm, tuple(with_key(item) for item in objects))
        yield near, far


async def send(vm: Vm, value: Any) -> Reply:
    """Send an input; the answer may be an error, but never an internal one."""
    key = f"{vm.settings.name}-{next(NUMBERS)}"
    body = {"input": value, "idempotency_key": key, "issued_at_ms": vm.clock.wall_ms()}
    reply = await send_request(make_app(vm), "POST", "/v1/pipelines/chat", KEY, body)
    assert Event.INTERNAL_ERROR not in [item.event for item in vm.journal.ring]
    return reply


async def write(stream: SocketStream, attempt: str, output: str) -> None:
    content = f'{{"attempt": "{attempt}", "output": {output}}}'
    head = f"HTTP/1.1 200 X\r\ncontent-length: {len(content)}\r\n"
    await stream.send(f"{head}connection: close\r\n\r\n{content}".encode())


async def test_nested_answer_is_returned_or_malformed() -> None:
    async def answer(body: dict[str, Any], stream: SocketStream) -> None:
        is_first = not body["input"]["outputs"]
        depth = body["input"]["request"]
        output = "[" * depth + "1" + "]" * depth
        await write(stream, body["attempt"], output if is_first else "2")

    async with two_vms(answer) as vms:
        for depth in (*CARRIED, *REFUSED, 1_000, 1_100):
            replies = [await send(vm, depth) for vm in vms]
            if depth in CARRIED:
                assert [reply.status for reply in replies] == [200, 200]
                continue
            for reply in replies:
                error = reply.body["error"]
                assert (error["code"], error["ran"]) == ("upstream_failed", "unknown")


async def test_nested_input_is_accepted_or_refused() -> None:
    async def echo(body: dict[str, Any], stream: SocketStream) -> None:
        await write(stream, body["attempt"], json.dumps(body["input"]["request"]))

    async with two_vms(echo) as vms:
        for depth in (*CARRIED, *REFUSED):
            replies = [await send(vm, nested(depth)) for vm in vms]
            status = 200 if depth in CARRIED else 400
            assert [reply.status for reply in replies] == [status, status]

"""Test cuminstile.caller.app with invalid and unexpected requests."""

import hashlib
import json
import socket
from collections.abc import AsyncIterator
from dataclasses import replace
from typing import Any

import anyio
import orjson
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cuminstile import http_body
from cuminstile.caller.app import make_app
from cuminstile.calls import RunTrace, StageCall, StageOutcome, TokenSink
from cuminstile.const import MAX_BODY_BYTES
from cuminstile.events import Event
from cuminstile.objects.model import Organisation
from cuminstile.runtime import Vm
from cuminstile.vm.messages import CODEC, StageDone

from ..fakes.asgi import send_request, serving
from ..fakes.objects import single_stage_objects
from ..fakes.vms import OPERATOR_KEY, VM_KEY, make_test_vm, set_configuration

KEY = "a-callers-key"
PATH = "/v1/pipelines/chat"


async def echo(
    vm: Vm, call: StageCall, trace: RunTrace, on_tokens: TokenSink, can_forward: bool
) -> StageOutcome:
    """Return the input after a round trip through both codecs of a stage call."""
    orjson.dumps(call.input)
    whole = StageDone(0, call.input, call.version, "u", "dc", "vm", 1, 0.0)
    output = CODEC.decode(CODEC.encode(whole)).output["request"]
    return StageOutcome(output, call.version, "u", "dc", "vm", 1, 0.0)


@pytest.fixture
async def vm() -> AsyncIterator[Vm]:
    """Yield a VM whose stages echo; then check that it still serves without faults."""
    vm = make_test_vm("vm-a1", "a")
    vm.run_stage = echo
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    objects = tuple(
        replace(item, key_digests=(digest,)) if isinstance(item, Organisation) else item
        for item in single_stage_objects({"gen-a": "127.0.0.1:9"})
    )
    set_configuration(vm, objects)
    yield vm
    reply = await send_request(make_app(vm), "POST", PATH, KEY, {"input": "good"})
    assert (reply.status, reply.body["output"]) == (200, "good")
    assert Event.INTERNAL_ERROR not in [item.event for item in vm.journal.ring]


def nested(depth: int) -> bytes:
    return b'{"input": ' + b"[" * depth + b"]" * depth + b"}"


def fields(**values: Any) -> bytes:
    return json.dumps({"input": 1, **values}).encode()


BAD_BODIES = [
    b"",
    b"{",
    b"[]",
    b"null",
    b'"x"',
    b"\xff",
    b'{"input": 1} {}',
    b'{"input": NaN}',
    b'{"input": [Infinity]}',
    b'{"input": {"a": -Infinity}}',
    b'{"input": 1e999}',
    b'{"input": 18446744073709551616}',
    b'{"input": -9223372036854775809}',
    b'{"input": ' + b"9" * 5_000 + b"}",
    b'{"input": "\\ud800"}',
    b'{"input": {"\\udfff": 1}}',
    b'{"input": 1, "input": 2}',
    b'{"input": {"a": 1, "a": 2}}',
    nested(300),
    nested(100_000),
    b"{}",
    fields(colour="red"),
    fields(**{f"field{number}": 1 for number in range(50_000)}),
    fields(deadline_ms=0),
    fields(deadline_ms=-5),
    fields(deadline_ms="4000"),
    fields(deadline_ms=1.5),
    fields(deadline_ms=True),
    fields(deadline_ms=10**18),
    fields(stream="yes"),
    fields(idempotency_key=7),
    fields(idempotency_key="k" * 201),
    fields(issued_at_ms=-1),
    fields(issued_at_ms=None),
]


@pytest.mark.parametrize("content", BAD_BODIES, ids=lambda content: repr(content[:40]))
async def test_a_bad_body_gets_one_clear_error(vm: Vm, content: bytes) -> None:
    reply = await send_request(make_app(vm), "POST", PATH, KEY, content)
    error = reply.body["error"]
    assert (reply.status, error["code"], error["ran"]) == (
        400,
        "malformed_body",
        "not_run",
    )
    assert 1 <= len(error["findings"]) <= 20
    assert len(json.dumps(error)) < 10_000


JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.text(st.characters(exclude_categories=())),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=20,
)


@settings(
    max_examples=200,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(value=JSON, ascii=st.booleans())
async def test_any_input_is_echoed_unchanged_or_refused(
    vm: Vm, value: Any, ascii: bool
) -> None:
    text = json.dumps({"input": value}, ensure_ascii=ascii)
    content = text.encode("utf-8", "surrogatepass")
    reply = await send_request(make_app(vm), "POST", PATH, KEY, content)
    if reply.status == 200:
        assert reply.body["output"] == value
    else:
        assert (reply.status, reply.body["error"]["code"]) == (400, "malformed_body")


@settings(
    max_examples=200,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(content=st.binary() | st.from_regex(rb'\{("[a-z_]+":[0-9\[{"]*,?)*\}?'))
async def test_any_bytes_are_answered(vm: Vm, content: bytes) -> None:
    reply = await send_request(make_app(vm), "POST", PATH, KEY, content)
    assert reply.status in (200, 400)


@pytest.mark.parametrize(
    "header",
    [
        "",
        "Bearer",
        "Bearer ",
        "Bearer x",
        f"Bearer {KEY[:-1]}",
        f"Bearer {KEY}x",
        f"Basic {KEY}",
        KEY,
        f"Bearer {OPERATOR_KEY}",
        f"Bearer {VM_KEY}",
        "Bearer " + hashlib.sha256(KEY.encode()).hexdigest(),
        "Bearer " + "0" * 64,
        "Bearer \xff\xfe",
        "Bearer " + "x" * 30_000,
    ],
)
async def test_requests_without_a_valid_caller_key_are_refused(
    vm: Vm, header: str
) -> None:
    reply = await send_request(
        make_app(vm), "POST", PATH, "", {"input": 1}, header=header
    )
    assert (reply.status, reply.body["error"]["code"]) == (401, "unauthenticated")
    assert header[7:40] not in json.dumps(reply.body) or not header[7:]


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", PATH, 404),
        ("POST", "/v1/pipelines/none", 404),
        ("POST", "/v1/pipelines/\ud83d\ude00".encode("utf-16", "surrogatepass").decode(
            "utf-16"), 404),
        ("POST", "/v1/pipelines/" + "x" * 10_000, 404),
        ("POST", "/v1/pipelines/../chat", 404),
        ("POST", "/operator/publish", 404),
    ],
)  # fmt: skip
async def test_unknown_paths_are_refused(
    vm: Vm, method: str, path: str, status: int
) -> None:
    reply = await send_request(make_app(vm), method, path, KEY, {"input": 1})
    assert reply.status == status
    assert reply.body["error"]["ran"] == "not_run"


def head(length: str) -> bytes:
    lines = (
        f"POST {PATH} HTTP/1.1",
        "host: x",
        f"authorization: Bearer {KEY}",
        length,
    )
    return "\r\n".join((*lines, "", "")).encode()


async def exchange(address: str, data: bytes, end: bool = False) -> bytes:
    """Send bytes over a socket and return the first bytes of the response."""
    host, _, port = address.rpartition(":")
    async with await anyio.connect_tcp(host, int(port)) as stream:
        await stream.send(data)
        if end:
            stream.extra(anyio.abc.SocketAttribute.raw_socket).shutdown(socket.SHUT_WR)
        with anyio.fail_after(5.0):
            try:
                return await stream.receive()
            except anyio.EndOfStream:
                return b""


async def test_a_huge_body_is_refused_however_it_is_sent(vm: Vm) -> None:
    body = b" " * (MAX_BODY_BYTES + 1)
    chunk = f"{len(body):x}\r\n".encode() + body + b"\r\n0\r\n\r\n"
    async with serving(make_app(vm)) as address:
        known = await exchange(address, head(f"content-length: {len(body)}") + body)
        chunked = await exchange(address, head("transfer-encoding: chunked") + chunk)
    assert known.startswith(b"HTTP/1.1 413")
    assert chunked.startswith(b"HTTP/1.1 413")


async def test_a_disconnect_before_the_end_of_the_body_does_not_affect_other_requests(
    vm: Vm,
) -> None:
    async with serving(make_app(vm)) as address:
        await exchange(address, head("content-length: 100") + b'{"input', end=True)
        answered = await exchange(address, head("content-length: 12") + b'{"input": 1}')
    assert answered.startswith(b"HTTP/1.1 200")


async def test_a_body_that_does_not_arrive_times_out(
    vm: Vm, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(http_body, "BODY_TIMEOUT_MS", 100)
    async with serving(make_app(vm)) as address:
        answer = await exchange(address, head("content-length: 100") + b'{"input')
    assert answer.startswith(b"HTTP/1.1 408")


async def test_bytes_that_are_not_http_are_refused(vm: Vm) -> None:
    async with serving(make_app(vm)) as address:
        answer = await exchange(address, b"\x16\x03\x01\x02\x00 not http\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 400")

"""Test the reported run status of a call whose connection is cut at any point."""

import json
import socket
from contextlib import suppress
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import anyio
from anyio.abc import SocketAttribute, SocketStream
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cuminstile.calls import RunTrace, StageCall, StageOutcome, drop_tokens
from cuminstile.exceptions import CuminstileError, RunStatus
from cuminstile.runtime import Vm
from cuminstile.stages import run_stage

from ..fakes.claim_log import claiming
from ..fakes.objects import single_stage_objects
from ..fakes.upstreams import LOAD, send_json
from ..fakes.vms import connected, free_port, make_test_vm, set_configuration


class Where(StrEnum):
    """Points at which a call can be cut."""

    BEFORE_CONNECT = "before connect"
    AT_ONCE = "at once"
    PARTLY_WRITTEN = "partly written"
    WRITTEN = "written"
    HALF_ANSWERED = "half answered"
    NOT_CUT = "not cut"


@dataclass(frozen=True)
class Cut:
    """Where and how a call is cut.

    Parameters
    ----------
    share : float
        Fraction of the call that is read, or of the answer that is sent.
    padding : int
        Bytes added to the call; with many, it does not fit into the socket buffers.
    reset : bool
        Whether the connection is reset instead of closed.
    status : int
        Status of the answer: 200, 429 (nothing ran) or 500.
    """

    where: Where
    share: float
    padding: int
    reset: bool
    status: int


CUTS = st.builds(
    Cut,
    where=st.sampled_from(Where),
    share=st.floats(0.0, 0.99),
    padding=st.sampled_from((0, 10_000, 3_000_000)),
    reset=st.booleans(),
    status=st.sampled_from((200, 429, 500)),
)


@dataclass
class Service:
    """A service that cuts calls; a complete call that gets no 429 counts as run."""

    cut: Cut
    received: int = 0
    runs: int = 0
    refusals: int = 0

    async def handle(self, stream: SocketStream) -> None:
        """Serve one connection, which the VM may close at any time."""
        with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            await self.serve(stream)

    async def serve(self, stream: SocketStream) -> None:
        """Read a call, and cut it at the configured point."""
        async with stream:
            if self.cut.reset:
                raw = stream.extra(SocketAttribute.raw_socket)
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            data = await stream.receive()
            if data.startswith(b"GET"):
                await send_json(stream, 200, LOAD)
                return
            self.received = len(data)
            if self.cut.where is Where.AT_ONCE:
                return
            body = await self.read(stream, data)
            if body is None:
                return
            if self.cut.status != 429:
                self.runs += 1
            if self.cut.where is Where.WRITTEN:
                return
            await self.answer(stream, body)

    async def read(self, stream: SocketStream, data: bytes) -> dict[str, Any] | None:
        """Read the rest of a call; return None if it is to be cut before its end."""
        while b"\r\n\r\n" not in data:
            data += await stream.receive()
            self.received = len(data)
        head, _, body = data.partition(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        partly = self.cut.where is Where.PARTLY_WRITTEN
        limit = int(length * self.cut.share) if partly else length
        while len(body) < limit:
            body += await stream.receive()
        return None if partly else json.loads(body)

    async def answer(self, stream: SocketStream, body: dict[str, Any]) -> None:
        """Send the answer, or the first part of it."""
        content = json.dumps({"attempt": body["attempt"], "output": "done"})
        head = f"HTTP/1.1 {self.cut.status} X\r\ncontent-length: {len(content)}\r\n\r\n"
        data = (head + content).encode()
        if self.cut.where is Where.HALF_ANSWERED:
            data = data[: int(len(data) * self.cut.share)]
        elif self.cut.status == 429:
            self.refusals += 1
        await stream.send(data)


async def test_service_accepts_a_connection_that_is_closed_before_a_call() -> None:
    """The fake service must not fail a test when a VM abandons a probe."""
    service = Service(Cut(Where.AT_ONCE, 0.0, 0, False, 200))
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
    port = listener.extra(SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, service.handle)
        async with await anyio.connect_tcp("127.0.0.1", port):
            pass
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            await stream.send(b"GET / HTTP/1.1\r\n\r\n")
            assert (await stream.receive()).startswith(b"HTTP/1.1 200")
        tasks.cancel_scope.cancel()
    assert service.runs == 0


def make_call(vm: Vm, padding: int) -> StageCall:
    """Return a call that must not be repeated."""
    return StageCall(
        request="r",
        organisation="org",
        pipeline="chat",
        step="g",
        stage="generate",
        version="generate-1",
        input={"padding": "x" * padding},
        stream=False,
        priority=0,
        deadline_ms=vm.clock.now_ms() + 2_000.0,
        idempotency_key="k",
        issued_at_ms=vm.clock.wall_ms(),
    )


@settings(
    max_examples=40,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(cut=CUTS)
async def test_error_reports_the_right_run_status_for_every_cut(cut: Cut) -> None:
    service = Service(cut)
    vm = make_test_vm("vm-a1", "a")
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
    port = listener.extra(SocketAttribute.local_port)
    if cut.where is Where.BEFORE_CONNECT:
        port = free_port()
    objects = single_stage_objects({"one-a": f"127.0.0.1:{port}"}, repeatable=False)
    set_configuration(vm, objects)
    trace = RunTrace()
    outcome: StageOutcome | None = None
    ran: RunStatus | None = None
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, service.handle)
        async with connected(vm), claiming(vm):
            try:
                call = make_call(vm, cut.padding)
                outcome = await run_stage(vm, call, trace, drop_tokens, False)
            except CuminstileError as error:
                ran = RunStatus.UNKNOWN if trace.maybe_ran else error.ran
        tasks.cancel_scope.cancel()
    for entry in vm.upstream_pool.by_address.values():
        await entry.pool.aclose()
    assert service.runs <= 1
    if outcome is not None:
        assert service.runs == 1
    elif cut.where is Where.BEFORE_CONNECT:
        assert ran is RunStatus.NOT_RUN
    elif service.refusals:
        assert ran is RunStatus.NOT_RUN and service.runs == 0
    else:
        assert ran is RunStatus.UNKNOWN

"""Test two sends of one request over connections: what a caller and the limits see."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, replace
from typing import Any

import anyio
import pytest

from cuminstile.clock import Clock
from cuminstile.gateway import hedged_sends
from cuminstile.gateway.attempts import StreamBrokenError, send_until_answered
from cuminstile.gateway.refusals import Refusal
from cuminstile.gateway.send_state import Progress
from cuminstile.hedging.limits import HedgeLimits, Hedging

from .servers import Session, serving
from .test_attempts import IDEMPOTENT, RESUMABLE, make_call
from .test_sending import FakeCaller, answering, chunk, read_id
from .test_state import make_upstream, make_vm

pytestmark = pytest.mark.anyio
HEDGE_MS = 40.0
TARGET_MS = 200.0
DEADLINE_MS = 800.0
FIRST_TIMEOUT_MS = DEADLINE_MS / 2
"""When a send alone would be given up for another one."""
END_SLACK_MS = 200.0
LATE_S = 0.15
"""After the second send has begun, and before the deadline."""
HEAD = b"HTTP/1.1 %s\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\n"
STREAM = b"Content-Type: text/event-stream\r\n"
CHUNKED = STREAM + b"Transfer-Encoding: chunked\r\n\r\n"
FULL = b"HTTP/1.1 503 Full\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\n"


@dataclass
class Hedged:
    """What came of one request."""

    caller: FakeCaller
    progress: Progress
    error: Exception | None
    took_ms: float
    begun: int
    in_flight: list[int]
    times: int


async def hedge(
    monkeypatch: pytest.MonkeyPatch,
    route: dict[str, Any],
    *sessions: Session,
    upstreams: int = 3,
    hedge_ms: float = HEDGE_MS,
    retries: float = 50.0,
) -> Hedged:
    """Send a request twice; the sessions answer the sends in their order."""
    monkeypatch.setattr(
        hedged_sends,
        "hedge_after_ms",
        lambda _vm, _call, progress: None if progress.sends else hedge_ms,
    )
    left = list(sessions)

    async def next_session(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await left.pop(0)(reader, writer)

    vm = make_vm(Clock())
    vm.hedging = Hedging(HedgeLimits(1.0, 1.0))
    vm.retries.slack = retries
    caller: Any = FakeCaller()
    progress = Progress()
    error: Exception | None = None
    async with AsyncExitStack() as stack:
        names = [f"u{number}" for number in range(upstreams)]
        known = {}
        for name in names:
            address, _ = await stack.enter_async_context(serving(next_session))
            known[name] = replace(make_upstream(name), address=address)
        vm.apply_upstreams(known, 0.0)
        now_ms = vm.clock.now_ms()
        vm.hedging.record_request("s", now_ms)
        call = make_call(target_ms=TARGET_MS, **route)
        call = replace(
            call,
            request=replace(
                call.request, arrived_ms=now_ms, headers=((b"attempt-id", b"a1"),)
            ),
            out=caller,
            target_at_ms=now_ms + TARGET_MS,
            expires_at_ms=now_ms + DEADLINE_MS,
        )
        try:
            await send_until_answered(vm, call, progress)
        except (Refusal, StreamBrokenError) as raised:
            error = raised
        took_ms = vm.clock.now_ms() - now_ms
    in_flight = [state.in_flight for state in vm.table.states.values()]
    times = vm.hedging.times.get(call.route.name)
    return Hedged(
        caller,
        progress,
        error,
        took_ms,
        len(sessions) - len(left),
        in_flight,
        len(times.recent) if times else 0,
    )


def events(first: int, last: int, whole: bool, wait_s: float = 0.0) -> Session:
    """Return a session that streams events, to the end or until it breaks off."""

    async def session(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        name = await read_id(reader)
        await asyncio.sleep(wait_s)
        writer.write(HEAD % (b"200 OK", name) + CHUNKED)
        for number in range(first, last + 1):
            writer.write(chunk(b"id: %d\ndata: x\n\n" % number))
        if whole:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        await asyncio.sleep(0.05)

    return session


def status(head: bytes, wait_s: float = 0.0) -> Session:
    """Return a session that answers with a head and no body."""

    async def session(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        name = await read_id(reader)
        await asyncio.sleep(wait_s)
        writer.write(head % name + b"Content-Length: 0\r\n\r\n")
        await reader.read()

    return session


async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    del writer
    await reader.read()


def silent_until(closed: list[bytes]) -> Session:
    """Return a session that answers nothing, and notes when its connection ends."""

    async def session(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        name = await read_id(reader)
        with suppress(ConnectionError):
            await silent(reader, writer)
        closed.append(name)

    return session


FAILING = HEAD.replace(b"%s", b"500 Error", 1)


async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(LATE_S)
    await answering(reader, writer)


@pytest.mark.parametrize("sessions", [(silent, answering), (slow, silent)])
async def test_one_of_two_sends_answers_and_both_may_have_run(
    monkeypatch: pytest.MonkeyPatch, sessions: tuple[Session, Session]
) -> None:
    hedged = await hedge(monkeypatch, IDEMPOTENT, *sessions)
    assert hedged.caller.body == b"a1"
    assert hedged.caller.finished
    assert hedged.took_ms < FIRST_TIMEOUT_MS
    assert hedged.progress.runs == 1
    assert hedged.progress.sends == 2
    assert hedged.times == 2
    assert not any(hedged.in_flight)


async def test_time_of_a_send_that_failed_is_not_taken_for_a_slow_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    hedged = await hedge(monkeypatch, IDEMPOTENT, status(FAILING, LATE_S / 2), slow)
    assert hedged.caller.body == b"a1"
    assert hedged.times == 1
    assert hedged.progress.runs == 1


# Guards against a run that is counted twice, or a refusal that is counted as one: both
# keep a stream that broke off from being resumed.
@pytest.mark.parametrize(
    ("first", "max_attempts", "runs"),
    [
        (status(FAILING, LATE_S / 2), 3, 2),
        (status(FULL, LATE_S / 2), 2, 1),
        (silent, 3, 2),
    ],
)
async def test_stream_that_won_and_broke_off_is_resumed_as_often_as_allowed(
    monkeypatch: pytest.MonkeyPatch, first: Session, max_attempts: int, runs: int
) -> None:
    route = {**RESUMABLE, "max_attempts": max_attempts}
    hedged = await hedge(
        monkeypatch, route, first, events(1, 2, False, LATE_S), events(3, 4, True)
    )
    assert hedged.error is None
    assert hedged.caller.body.count(b"data: x") == 4
    assert hedged.caller.finished
    assert hedged.progress.runs == runs
    assert hedged.progress.sends == 3
    assert hedged.begun == 3


async def test_stream_that_won_is_not_resumed_if_both_sends_were_all_allowed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    hedged = await hedge(
        monkeypatch, RESUMABLE, silent, events(1, 2, False), events(3, 4, True)
    )
    assert isinstance(hedged.error, StreamBrokenError)
    assert hedged.progress.runs == 2
    assert hedged.begun == 2
    assert not hedged.caller.finished


async def very_slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(FIRST_TIMEOUT_MS / 1_000.0 + LATE_S)
    await answering(reader, writer)


async def test_second_send_gets_all_the_time_if_no_other_can_follow(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against the loss of an answer that came in time without a second send."""
    hedged = await hedge(monkeypatch, IDEMPOTENT, silent, very_slow)
    assert hedged.error is None
    assert hedged.caller.body == b"a1"


@pytest.mark.parametrize("retries", [1.8, 50.0])
async def test_second_send_ends_at_the_deadline(
    monkeypatch: pytest.MonkeyPatch, retries: float
) -> None:
    hedge_ms = FIRST_TIMEOUT_MS - 50.0
    hedged = await hedge(
        monkeypatch, IDEMPOTENT, silent, silent, hedge_ms=hedge_ms, retries=retries
    )
    assert isinstance(hedged.error, Refusal)
    assert hedged.took_ms < DEADLINE_MS + END_SLACK_MS
    assert hedged.progress.runs == hedged.begun == 2


async def test_stream_that_has_begun_is_not_cut_off_before_its_first_event(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a shorter limit for streams that only might be sent again."""

    async def late_event(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(HEAD % (b"200 OK", await read_id(reader)) + CHUNKED)
        await asyncio.sleep(FIRST_TIMEOUT_MS / 1_000.0 + LATE_S)
        writer.write(chunk(b"id: 1\ndata: x\n\n") + b"0\r\n\r\n")
        await reader.read()

    hedged = await hedge(
        monkeypatch, RESUMABLE, late_event, silent, hedge_ms=DEADLINE_MS
    )
    assert hedged.error is None
    assert hedged.caller.finished
    assert hedged.begun == 1


async def without_events(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Begin a stream and end it with the connection, as if broken off."""
    writer.write(HEAD % (b"200 OK", await read_id(reader)) + STREAM + b"\r\n")
    await writer.drain()
    await asyncio.sleep(LATE_S / 2)


async def test_stream_without_an_event_does_not_win(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    hedged = await hedge(
        monkeypatch, RESUMABLE, without_events, events(1, 2, True, LATE_S)
    )
    assert hedged.error is None
    assert hedged.caller.body.count(b"data: x") == 2
    assert hedged.caller.finished
    assert hedged.progress.runs == 1


@pytest.mark.parametrize("first_event_s", [0.0, 10.0])
async def test_both_sends_end_before_the_handler_if_the_caller_leaves(
    monkeypatch: pytest.MonkeyPatch, first_event_s: float
) -> None:
    """Guards against work that goes on for nobody, also behind an answer that began."""
    closed = []

    async def seen_to_end(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        name = await read_id(reader)
        if not first_event_s:
            writer.write(HEAD % (b"200 OK", name) + CHUNKED)
            writer.write(chunk(b"id: 1\ndata: x\n\n"))
        with suppress(ConnectionError):
            await reader.read()
        closed.append(name)

    before = asyncio.all_tasks()
    with anyio.move_on_after(FIRST_TIMEOUT_MS / 2_000.0) as scope:
        await hedge(monkeypatch, RESUMABLE, silent_until(closed), seen_to_end)
    assert scope.cancelled_caught
    sends = {
        task
        for task in asyncio.all_tasks() - before
        if "send_to" in str(task.get_coro())
    }
    assert not sends
    async with asyncio.timeout(1.0):
        while len(closed) < 2:
            await asyncio.sleep(0.01)

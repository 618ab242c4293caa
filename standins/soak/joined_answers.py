"""Ways to answer whose bytes look like the start or the end of another answer."""

from __future__ import annotations

import asyncio
from random import Random

from .answers import (
    CHUNKED,
    FAILURES,
    WORK_S,
    fail,
    render_event,
    stream_numbers,
    succeed,
)
from .messages import render_chunks, render_head
from .upstream import Exchange

EVENT_STREAM = ("Content-Type", "text/event-stream")
STATUS_BYTES = len("HTTP/1.1 200")
OTHER_ATTEMPT = "00000000000000000000eeee"
"""Id of a request that no caller sends."""
QUOTES = (
    b"a line with HTTP/1.1 in it",
    b"HTTP/1.1 200 OK",
    b"\r\nHTTP/1.1 ",
    b"\r\n\r\nHTT",
    b"HTTP/1.1 500 Internal Server Error\r\nServer: a\r\n",
    b"HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nContent-Length: 4\r\n\r\nbody"
    % OTHER_ATTEMPT.encode(),
    b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
)
"""What a body may hold though it is one answer."""
NOISE = (
    b"\r\n\r\n",
    b"\x00\xff\x01",
    b"0\r\n\r\n",
    b"HTTQ/9",
    b"abc: d\r\n",
    b"x" * 300,
)
"""Bytes behind an answer that are none."""


def make_body(exchange: Exchange, status: int) -> bytes:
    """Return the body of an answer with a status: no other run or status has it."""
    if status != 200:
        return b"failure %d of %b" % (status, exchange.answer_body())
    if not exchange.is_stream:
        return exchange.answer_body()
    numbers = stream_numbers(exchange)
    return b"".join(render_event(exchange, number) for number in numbers)


def render_whole(exchange: Exchange, status: int, body: bytes) -> bytes:
    """Return an answer, its fields in a drawn sequence, with a length or in chunks."""
    rng = exchange.upstream.rng
    fields = [*exchange.own_fields(), ("Server", "soak"), ("Cache-Control", "no-store")]
    rng.shuffle(fields)
    if exchange.is_stream and status == 200:
        fields.append(EVENT_STREAM)
    if rng.random() < 0.5:
        return exchange.render(status, body, fields)
    head = render_head(f"HTTP/1.1 {status} Answer", [*fields, CHUNKED])
    return head + render_chunks(body, rng)


def draw_cut(rng: Random, answer: bytes) -> int:
    """Return where an answer is cut: in its status line, its fields or its body."""
    line_end = answer.index(b"\r\n")
    head_end = answer.index(b"\r\n\r\n") + 4
    first, last = rng.choice(
        ((1, line_end), (line_end + 1, head_end), (head_end, len(answer) - 1))
    )
    return rng.randint(first, last)


async def begin_another(exchange: Exchange) -> None:
    """Answer, and send the start of a second answer at a drawn time."""
    rng = exchange.upstream.rng
    await rng.choice((succeed, fail))(exchange)
    turned = 500 if exchange.status == 200 else 200
    status = rng.choice((exchange.status, turned))
    second = render_whole(exchange, status, make_body(exchange, status))
    start = second[: draw_cut(rng, second)]
    when = rng.choice(("at once", "idle", "next"))
    if when == "next":
        exchange.connection.late.append(start)
        return
    if when == "idle":
        await exchange.writer.drain()
        await asyncio.sleep(rng.choice(WORK_S))
    exchange.writer.write(start)
    exchange.connection.begun_s = exchange.upstream.record.now_s()


async def tear_and_answer(exchange: Exchange) -> None:
    """Break off an answer, and send a whole one to the same request behind it."""
    await exchange.begin()
    rng = exchange.upstream.rng
    torn_status, status = rng.choice(
        ((200, 200), (200, rng.choice(FAILURES)), (rng.choice(FAILURES), 200))
    )
    torn = render_whole(exchange, torn_status, make_body(exchange, torn_status))
    cut = draw_cut(rng, torn)
    first = torn_status if cut >= STATUS_BYTES else status
    exchange.note_answer(first, make_body(exchange, first))
    exchange.writer.write(torn[:cut])
    await exchange.writer.drain()
    await asyncio.sleep(rng.choice((0.0, *WORK_S)))
    exchange.writer.write(render_whole(exchange, status, make_body(exchange, status)))


async def quote_answers(exchange: Exchange) -> None:
    """Answer with success and a body that quotes answers to somebody else."""
    await exchange.begin()
    rng = exchange.upstream.rng
    quotes = b"".join(rng.choices(QUOTES, k=rng.randint(1, 3)))
    body = exchange.answer_body() + quotes
    if exchange.is_stream:
        quoted = b"data: " + rng.choice(QUOTES[:2]) + b"\n\n"
        body = make_body(exchange, 200).replace(b"\n\n", b"\n" + quoted)
    exchange.note_answer(200, body)
    exchange.writer.write(render_whole(exchange, 200, body))


async def add_noise(exchange: Exchange) -> None:
    """Answer with success, and send bytes behind it that are no answer."""
    await succeed(exchange)
    exchange.writer.write(exchange.upstream.rng.choice(NOISE))

"""How an upstream of a soak answers a request; each way is one function."""

from __future__ import annotations

import asyncio

from .messages import render_chunks, render_head
from .upstream import EVENTS, Exchange

WORK_S = (0.001, 0.005, 0.03, 0.12)
FAILURES = (500, 500, 500, 503, 429, 404)
"""Statuses of failures; some state elsewhere that a request did not run."""
ENDLESS_BYTES = 96 * 1024 * 1024
"""Where an endless body ends after all, to spare the machine."""
PIECE = b"x" * 65_536
CHUNKED = ("Transfer-Encoding", "chunked")


def render_event(exchange: Exchange, number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {exchange.attempt} {number}\n\n".encode()


def stream_numbers(exchange: Exchange) -> range:
    """Return the numbers of the events that the request asks for."""
    for name, value in exchange.fields:
        if name == "last-event-id" and value.isdigit():
            return range(int(value) + 1, EVENTS + 1)
    return range(1, EVENTS + 1)


async def stream(exchange: Exchange, last: int = EVENTS) -> None:
    """Send a stream up to the event `last`."""
    numbers = stream_numbers(exchange)
    body = b"".join(render_event(exchange, number) for number in numbers)
    exchange.note_answer(200, body)
    fields = [*exchange.own_fields(), ("Content-Type", "text/event-stream"), CHUNKED]
    exchange.writer.write(render_head("HTTP/1.1 200 OK", fields))
    for number in numbers:
        if number > last:
            return
        await asyncio.sleep(exchange.upstream.rng.choice(WORK_S[:3]))
        event = render_event(exchange, number)
        exchange.writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await exchange.writer.drain()
    exchange.writer.write(b"0\r\n\r\n")


async def succeed(exchange: Exchange) -> None:
    """Run the request and answer with success."""
    await exchange.begin()
    await asyncio.sleep(exchange.upstream.rng.choice(WORK_S))
    if exchange.is_stream:
        await stream(exchange)
        return
    body = exchange.answer_body()
    exchange.note_answer(200, body)
    exchange.writer.write(exchange.render(200, body, exchange.own_fields()))


async def fail(exchange: Exchange) -> None:
    """Run the request and answer with a failure."""
    await exchange.begin()
    await asyncio.sleep(exchange.upstream.rng.choice(WORK_S))
    status = exchange.upstream.rng.choice(FAILURES)
    body = exchange.answer_body()
    exchange.note_answer(status, body)
    exchange.writer.write(exchange.render(status, body, exchange.own_fields()))


async def refuse(exchange: Exchange) -> None:
    """Refuse the request, with its id."""
    await exchange.read_body()
    exchange.refuse(503, has_id=True)


async def refuse_without_id(exchange: Exchange) -> None:
    """Refuse the request, without its id."""
    await exchange.read_body()
    exchange.refuse(503, has_id=False)


async def chunked(exchange: Exchange) -> None:
    """Answer a plain request in chunks."""
    if exchange.is_stream:
        await succeed(exchange)
        return
    await exchange.begin()
    body = exchange.answer_body()
    exchange.note_answer(200, body)
    fields = [*exchange.own_fields(), CHUNKED]
    chunks = render_chunks(body, exchange.upstream.rng)
    exchange.writer.write(render_head("HTTP/1.1 200 OK", fields) + chunks)


async def end_by_connection(exchange: Exchange) -> None:
    """Answer without a length and end with the connection."""
    await exchange.begin()
    body = exchange.answer_body()
    if exchange.is_stream:
        numbers = stream_numbers(exchange)
        body = b"".join(render_event(exchange, number) for number in numbers)
    exchange.note_answer(200, body)
    head = render_head("HTTP/1.1 200 OK", exchange.own_fields())
    exchange.writer.write(head + body)
    await exchange.writer.drain()
    exchange.writer.close()


async def tear(exchange: Exchange) -> None:
    """Break off the answer in its middle."""
    await exchange.begin()
    if exchange.is_stream:
        await stream(exchange, last=exchange.upstream.rng.randint(0, EVENTS - 1))
    else:
        body = exchange.answer_body()
        exchange.note_answer(200, body)
        answer = exchange.render(200, body, exchange.own_fields())
        exchange.writer.write(answer[:-5])
    await exchange.writer.drain()
    exchange.writer.close()


async def send_endlessly(exchange: Exchange) -> None:
    """Answer a plain request with a body that goes on until the connection ends."""
    if exchange.is_stream:
        await succeed(exchange)
        return
    await exchange.begin()
    exchange.note_answer(200, b"without end")
    fields = [*exchange.own_fields(), CHUNKED]
    exchange.writer.write(render_head("HTTP/1.1 200 OK", fields))
    for _ in range(ENDLESS_BYTES // len(PIECE)):
        exchange.writer.write(b"%x\r\n%b\r\n" % (len(PIECE), PIECE))
        await exchange.writer.drain()
    exchange.writer.transport.abort()


async def reset(exchange: Exchange) -> None:
    """Run the request and reset the connection."""
    await exchange.begin()
    await asyncio.sleep(exchange.upstream.rng.choice(WORK_S))
    exchange.writer.transport.abort()


async def answer_early(exchange: Exchange) -> None:
    """Answer before the body is read, then read on."""
    exchange.begin_unread()
    body = exchange.answer_body()
    status = 500 if exchange.is_stream else exchange.upstream.rng.choice((200, 500))
    exchange.note_answer(status, body)
    exchange.writer.write(exchange.render(status, body, exchange.own_fields()))
    await exchange.writer.drain()
    await asyncio.sleep(exchange.upstream.rng.choice(WORK_S))
    await exchange.read_body()


def second_answer(exchange: Exchange) -> bytes:
    """Return a second answer to the request, as its status or turned."""
    rng = exchange.upstream.rng
    if not exchange.run:
        own = exchange.own_fields()[:1] if rng.random() < 0.5 else []
        return exchange.render(503, b"", [("Not-Executed", "1"), *own])
    status = rng.choice((exchange.status, 500 if exchange.status == 200 else 200))
    body = exchange.answer_body()
    fields = exchange.own_fields()
    shape = rng.choice(("own", "no id", "refusal", "other id"))
    if shape == "no id":
        fields = fields[1:]
    elif shape == "refusal":
        return exchange.render(503, b"", [("Not-Executed", "1")])
    elif shape == "other id":
        fields = [("Attempt-Id", f"{exchange.attempt}0"), fields[1]]
    if rng.random() < 0.5:
        return exchange.render(status, body, fields)
    head = render_head(f"HTTP/1.1 {status} Answer", [*fields, CHUNKED])
    return head + render_chunks(body, rng)


async def fail_without_id(exchange: Exchange) -> None:
    """Run the request and answer with a failure that lacks the id."""
    await exchange.begin()
    body = exchange.answer_body()
    exchange.note_answer(500, body)
    exchange.writer.write(exchange.render(500, body, []))


async def answer_twice(exchange: Exchange) -> None:
    """Answer, and send a second answer at a drawn time, whole or in two halves."""
    rng = exchange.upstream.rng
    await rng.choice((succeed, fail, refuse, fail_without_id))(exchange)
    second = second_answer(exchange)
    when = rng.choice(("at once", "idle", "next", "halves"))
    if when == "next":
        exchange.connection.late.append(second)
        return
    if when == "halves":
        exchange.connection.late.append(second[len(second) // 2 :])
        second = second[: len(second) // 2]
    if when != "at once":
        await exchange.writer.drain()
        await asyncio.sleep(rng.choice(WORK_S))
    exchange.writer.write(second)

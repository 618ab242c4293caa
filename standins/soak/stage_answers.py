"""How an upstream of a soak answers a call for stage work; each way is one function."""

from __future__ import annotations

import asyncio
import json

from .manifest import SCAN_MS
from .observations import StageItem
from .upstream import Exchange

WORK_S = (0.012, 0.02, 0.05)
"""Longer than the time that the manifest states for a call."""
JSON = ("Content-Type", "application/json")


def make_results(exchange: Exchange) -> bytes:
    """Work on the items of a call and return the answer with their results."""
    made = [{"handle": make_handle(exchange, item)} for item in read_items(exchange)]
    return exchange.render(200, json.dumps({"items": made}).encode(), [JSON])


def read_items(exchange: Exchange) -> list[StageItem]:
    """Return the items of a call."""
    record, upstream = exchange.upstream.record, exchange.upstream
    return [
        StageItem(
            record.now_s(),
            upstream.id,
            upstream.service,
            item["id"],
            item["stage"],
            item["piece"],
            item.get("key", ""),
            tuple(item.get("inputs", ())),
        )
        for item in json.loads(exchange.body)["items"]
    ]


def make_handle(exchange: Exchange, item: StageItem) -> str:
    """Note the work on an item and return the handle of its result."""
    exchange.upstream.record.add(item)
    name = f"{item.attempt}-{item.stage}-{item.piece}"
    number = next(exchange.upstream.runs)
    return f"{exchange.upstream.shown_address}/{name}-{number:x}"


async def work(exchange: Exchange) -> None:
    """Work and answer."""
    work_s = exchange.upstream.rng.choice(WORK_S)
    if exchange.upstream.service == "scan":
        work_s += SCAN_MS / 1000.0
    await asyncio.sleep(work_s)
    exchange.writer.write(make_results(exchange))


async def refuse_work(exchange: Exchange) -> None:
    """Refuse the call."""
    exchange.writer.write(exchange.render(503, b"", [("Not-Executed", "1")]))


async def fail_items(exchange: Exchange) -> None:
    """Answer that no item could be worked on."""
    made = [{"reason": "error"} for _ in read_items(exchange)]
    body = json.dumps({"items": made}).encode()
    exchange.writer.write(exchange.render(200, body, [JSON]))


async def work_in_vain(exchange: Exchange) -> None:
    """Work and reset the connection."""
    make_results(exchange)
    exchange.writer.transport.abort()


async def tear_results(exchange: Exchange) -> None:
    """Break off the answer in its middle."""
    exchange.writer.write(make_results(exchange)[:-5])
    await exchange.writer.drain()
    exchange.writer.close()


async def answer_work_twice(exchange: Exchange) -> None:
    """Answer, and send a second answer when the next call arrives, or before it."""
    rng = exchange.upstream.rng
    results = make_results(exchange)
    refusal = exchange.render(503, b"", [("Not-Executed", "1")])
    second = results if rng.random() < 0.7 else refusal
    exchange.writer.write(results)
    if rng.random() < 0.7:
        exchange.connection.late.append(second)
        return
    await asyncio.sleep(rng.choice(WORK_S))
    exchange.writer.write(second)


async def work_again(exchange: Exchange) -> None:
    """Answer, work a second time, and send those results when the next call arrives."""
    await work(exchange)
    exchange.connection.late.append(make_results(exchange))

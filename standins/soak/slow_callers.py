"""Callers of a soak whose bodies come slowly, and who use connections to their end."""

from __future__ import annotations

import asyncio

from .callers import Caller, Prepared
from .manifest import LONG_DEADLINE_MS, SLOW_ROUTES
from .messages import render_head
from .observations import Written

BODY = b"slow body "
PIECE = b"%x\r\n%b\r\n" % (len(BODY), BODY)
PAUSES_S = ((), (0.1,), (0.4, 0.4), (1.0, 1.0, 1.0))
"""Pauses between the chunks of a body; without one the body has a length."""
WAIT_S = LONG_DEADLINE_MS / 1000.0 + 2.0
SETTLE_S = 3.5
"""How long after the end of the soak an answer is waited for."""


async def call_slowly(caller: Caller, ends_s: float) -> None:
    """Send requests until the time `ends_s` of the record.

    Each connection is used until it ends.
    """
    record = caller.record
    try:
        while record.now_s() < ends_s:
            left_s = ends_s + SETTLE_S - record.now_s()
            try:
                async with asyncio.timeout(min(WAIT_S, left_s)):
                    await exchange(caller)
            except (OSError, asyncio.IncompleteReadError, ValueError) as error:
                if not isinstance(error, TimeoutError):
                    caller.note_cut_off()
                caller.hang_up()
                await asyncio.sleep(0.1)
            await asyncio.sleep(caller.rng.choice((0.0, 0.05, 0.3)))
    finally:
        caller.hang_up()


async def exchange(caller: Caller) -> None:
    """Send one request, and receive its answer while the body is still sent."""
    await caller.connect()
    prepared = prepare_slow(caller)
    caller.begin(prepared)
    sending = asyncio.create_task(write_slowly(caller, prepared))
    try:
        await caller.receive_all()
    finally:
        sending.cancel()


def prepare_slow(caller: Caller) -> Prepared:
    """Return the next request; its parts are written with pauses between them."""
    rng = caller.rng
    prepared = caller.prepare(rng.choice(SLOW_ROUTES))
    pauses_s = rng.choice(PAUSES_S)
    body = BODY * (len(pauses_s) + 1)
    fields = tuple(
        (name, str(LONG_DEADLINE_MS) if name == "deadline-ms" else value)
        for name, value in prepared.fields
    )
    framing = ("transfer-encoding", "chunked")
    parts = [PIECE] * len(pauses_s) + [PIECE + b"0\r\n\r\n"]
    if not pauses_s:
        framing, parts = ("content-length", str(len(body))), [body]
    first = f"POST {prepared.target} HTTP/1.1"
    parts[0] = render_head(first, [*fields, framing]) + parts[0]
    return Prepared(
        prepared.attempt,
        prepared.route,
        "POST",
        prepared.target,
        fields,
        body,
        tuple(parts),
    )


async def write_slowly(caller: Caller, prepared: Prepared) -> None:
    """Write the parts of a request with pauses as long as those that were drawn."""
    writer = caller.writer
    assert writer is not None
    pauses_s = next(p for p in PAUSES_S if len(p) == len(prepared.parts) - 1)
    for part, pause_s in zip(prepared.parts, (*pauses_s, 0.0), strict=True):
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(pause_s)
    caller.record.add(Written(caller.record.now_s(), prepared.attempt))

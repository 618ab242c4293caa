"""Callers of a soak, which write down what they send and what they receive."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from dataclasses import dataclass, field
from random import Random

from .manifest import DEADLINE_MS, KEY, PIECES, ROUTES, STREAMS
from .messages import read_answer_body, read_head, render_chunks, render_head
from .observations import (
    CutOff,
    Fields,
    Received,
    Record,
    Sent,
    Unasked,
    Written,
    as_text,
    get_field,
)

ANSWER_TIMEOUT_S = 6.0
"""Twice the deadline of each request."""
HABITS = frozenset({"trailers", "give_up", "pipeline", "unknown_keys"})
"""What a caller may do beside sending requests and receiving answers."""
UNKNOWN_KEY_SHARE = 0.03
SOUND_PART = "aa"
"""First part of all prompts but the poisoned ones."""
TRAILERS: tuple[Fields, ...] = (
    (),
    (("x-sum", "1"),),
    (("attempt-id", "00000000000000000000ffff"),),
    (("model", "other"),),
    (("tenant", "other"),),
    (("not-executed", "1"),),
    (("cookie", "a=b"),),
)


@dataclass(frozen=True)
class Prepared:
    """A request and its bytes, in the parts that are written one after the other."""

    attempt: str
    route: str
    method: str
    target: str
    fields: Fields
    body: bytes
    parts: tuple[bytes, ...]


@dataclass
class Caller:
    """One caller that sends requests one after the other to one VM.

    Parameters
    ----------
    address : str
        Address at which the VM is reached.
    without : frozenset of str
        Habits that the caller does not have.
    """

    name: str
    vm: str
    address: str
    record: Record
    rng: Random
    without: frozenset[str] = frozenset()
    numbers: itertools.count[int] = field(default_factory=itertools.count)
    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None
    waiting: list[Prepared] = field(default_factory=list)

    async def run(self, ends_s: float) -> None:
        """Send requests until the time `ends_s` of the record."""
        try:
            while self.record.now_s() < ends_s:
                await self.send_or_hang_up()
                await asyncio.sleep(self.rng.choice((0.0, 0.0, 0.01, 0.1)))
        finally:
            self.hang_up()

    async def send_or_hang_up(self) -> None:
        """Send the next request; hang up if its answer does not come."""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await self.send_next()
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            if not isinstance(error, TimeoutError):
                self.note_cut_off()
            self.hang_up()
            await asyncio.sleep(0.1)

    async def connect(self) -> None:
        """Open a connection unless there is one."""
        await self.check_idle()
        if self.writer is None:
            host, _, port = self.address.rpartition(":")
            self.reader, self.writer = await asyncio.open_connection(host, int(port))

    async def send_poison(self, part: str) -> None:
        """Send a chat with a part that ends upstreams, and receive its answer."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await self.connect()
                await self.send(self.prepare("chat", part))
                await self.receive_all()
        self.hang_up()

    async def send_next(self) -> None:
        """Send one request, and receive its answer unless the caller gives up."""
        await self.connect()
        prepared = self.prepare()
        await self.send(prepared)
        match self.rng.random():
            case draw if draw < 0.06 and "give_up" in self.without:
                await self.receive_all()
            case draw if draw < 0.03:
                await asyncio.sleep(self.rng.choice((0.0, 0.01, 0.05)))
                self.hang_up()
            case draw if draw < 0.06:
                await self.give_up_after_first_byte()
            case draw if draw < 0.1 and "pipeline" not in self.without:
                return
            case draw:
                await self.receive_all()
                if draw < 0.2:
                    self.hang_up()

    async def check_idle(self) -> None:
        """Leave a kept connection that was closed or on which bytes came unasked."""
        if self.reader is None or self.waiting:
            return
        try:
            async with asyncio.timeout(0.001):
                data = await self.reader.read(1)
        except TimeoutError:
            return
        if data:
            self.record.add(Unasked(self.record.now_s(), self.vm))
        self.hang_up()

    def prepare(self, route: str = "", part: str = SOUND_PART) -> Prepared:
        """Return the next request, on a drawn route unless one is given.

        Parameters
        ----------
        part : str
            Name of the first part of the prompt.
        """
        rng = self.rng
        route = route or rng.choice(ROUTES)
        attempt = f"{self.name}{next(self.numbers):06x}"
        method = "GET" if route == "look" and rng.random() < 0.5 else "POST"
        size = rng.choice((0, 20, 300, 60_000)) if method == "POST" else 0
        body = (attempt.encode() * (size // len(attempt) + 1))[:size]
        fields = [
            ("host", "shop.example"),
            ("attempt-id", attempt),
            ("deadline-ms", str(DEADLINE_MS)),
            ("authorization", f"Bearer {self.draw_key()}"),
            ("x-own", attempt),
        ]
        if route in STREAMS:
            fields += [
                ("model", "m"),
                ("token-count", "100,10"),
                ("prompt-prefix", f"{part}:60,bb:30,{rng.randint(1, 2**32):x}:10"),
            ]
        if route in PIECES:
            fields += [("pieces", PIECES[route]), ("piece-key", attempt)]
        target = f"/{route}/{rng.randint(0, 99)}"
        in_chunks = size > 0 and rng.random() < 0.5
        framing = ("content-length", str(len(body)))
        if in_chunks:
            framing = ("transfer-encoding", "chunked")
        framed = [*fields, framing] if method == "POST" else fields
        head = render_head(f"{method} {target} HTTP/1.1", framed)
        trailers = rng.choice(TRAILERS)
        if "trailers" in self.without:
            trailers = ()
        sent = render_chunks(body, rng, trailers) if in_chunks else body
        cut = rng.randint(0, len(sent))
        parts = (head + sent[:cut], sent[cut:])
        return Prepared(attempt, route, method, target, tuple(fields), body, parts)

    def draw_key(self) -> str:
        """Return the key, or at times one that no manifest ever held."""
        known = self.rng.random() > UNKNOWN_KEY_SHARE or "unknown_keys" in self.without
        return KEY if known else KEY[::-1]

    def note_cut_off(self) -> None:
        """Write down that the connection ended, if a request waits on it."""
        if self.waiting:
            self.record.add(CutOff(self.record.now_s(), self.waiting[0].attempt))

    async def send(self, prepared: Prepared) -> None:
        """Write one request to the connection."""
        assert self.writer is not None
        self.begin(prepared)
        for part in prepared.parts:
            self.writer.write(part)
            await self.writer.drain()
            if self.rng.random() < 0.1:
                await asyncio.sleep(0.01)
        self.record.add(Written(self.record.now_s(), prepared.attempt))

    def begin(self, prepared: Prepared) -> None:
        """Write down a request whose answer is waited for from now on."""
        self.record.add(
            Sent(
                self.record.now_s(),
                prepared.attempt,
                self.vm,
                prepared.route,
                prepared.method,
                prepared.target,
                prepared.fields,
                as_text(prepared.body),
            )
        )
        self.waiting.append(prepared)

    async def give_up_after_first_byte(self) -> None:
        """Close the connection after the first byte of an answer."""
        assert self.reader is not None
        await self.reader.read(1)
        self.hang_up()

    async def receive_all(self) -> None:
        """Receive the answers to all requests that wait, in their sequence."""
        while self.waiting and self.reader is not None:
            first, fields = await read_head(self.reader)
            body, complete = await read_answer_body(self.reader, fields)
            status = int(first.split(" ")[1])
            if status < 200:
                continue
            attempt = self.waiting.pop(0).attempt
            now_s = self.record.now_s()
            self.record.add(
                Received(now_s, attempt, status, fields, as_text(body), complete)
            )
            ends = get_field(fields, "connection").lower() == "close"
            if ends or not complete or self.reader.at_eof():
                self.hang_up()

    def hang_up(self) -> None:
        """Close the connection; requests that wait on it get no answer."""
        self.waiting.clear()
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

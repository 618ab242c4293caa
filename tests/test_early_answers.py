"""Test calls whose answer comes early and breaks off, or has no readable status.

Of the product's own path: calls of upstreams. Of both: stage calls, calls of the store.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import re

import pytest

from cuminstile.calls import RunTrace, drop_tokens
from cuminstile.clock import Clock
from cuminstile.exceptions import CuminstileError
from cuminstile.gateway.answers import ConnectionLostError
from cuminstile.gateway.following import StoreCallError
from cuminstile.gateway.stage_queue import Worker
from cuminstile.gateway.upstream_protocol import ItemRequest
from cuminstile.platform.store import StoreClient
from cuminstile.stages import run_stage

from .early_answers import UNREADABLE_STATUSES, Ending, early, with_status
from .fakes.claim_log import claiming
from .fakes.objects import single_stage_objects
from .fakes.upstreams import LOAD
from .fakes.vms import connected, make_test_vm, set_configuration
from .gateway.servers import Session, serving
from .gateway.test_state import make_vm
from .upstream.test_cut_calls import make_call

pytestmark = pytest.mark.anyio
UNFRAMED = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
WAYS = tuple(itertools.product(Ending, (0, 1_000), (0.0, 0.05)))
ATTEMPT = re.compile(rb'"attempt":"([^"]+)"')
OUTCOMES = json.dumps({"items": [{"handle": "h:1/one"}]}).encode()
NEWEST = b'{"items":[],"has_more":false,"end":7}'


def behind_load(session: Session) -> Session:
    """Return a session that tells the load of an upstream, and else is the given one.

    It begins once the call has named its attempt.
    """

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        seen = await reader.readuntil(b"\r\n\r\n")
        if seen.startswith(b"GET"):
            writer.write(with_status("200", json.dumps(LOAD).encode()))
            await writer.drain()
            return
        while not ATTEMPT.search(seen):
            seen += await reader.read(1_000)
        reader.feed_data(seen)
        await session(reader, writer)

    return serve


async def own_path(session: Session, padding: int = 3_000_000) -> object:
    """Return what a call of the product's own path gives, None for an error."""
    vm = make_test_vm("vm-a1", "a")
    async with serving(behind_load(session)) as (address, _):
        set_configuration(vm, single_stage_objects({"one-a": address}, False))
        async with connected(vm), claiming(vm):
            try:
                call = make_call(vm, padding)
                return await run_stage(vm, call, RunTrace(), drop_tokens, False)
            except CuminstileError:
                return None
            finally:
                for entry in vm.upstream_pool.by_address.values():
                    await entry.pool.aclose()


async def stage_call(session: Session) -> object:
    """Return the handles that a stage call gives, None for none."""
    vm = make_vm(Clock())
    item = ItemRequest("id", 0, 0, 900.0, "k" * 3_000_000, ())
    async with serving(session) as (address, _):
        worker = Worker("w", "s", address, "a")
        try:
            answer = await vm.scheduler.caller.run(worker, [item], 2_000.0)
        except ConnectionLostError:
            return None
    return [one.handle for one in answer.outcomes if one.handle] or None


async def store_call(session: Session) -> object:
    """Return what the store gave of a topic, None for nothing."""
    async with serving(session) as (address, _):
        client = StoreClient(address, Clock())
        try:
            return await client.newest("keyed.topic")
        except StoreCallError:
            return None


async def short_own_path(session: Session) -> object:
    """Return what a call without a long input gives, None for an error."""
    return await own_path(session, 10)


CALLS = {"own": own_path, "stage": stage_call, "store": store_call}
BODIES = {"stage": OUTCOMES, "store": NEWEST}
READ_AT_LEAST = {"own": 2_000}
"""Bytes of a call without which its answer can't be made."""


def answer_to(name: str, request: bytes) -> bytes:
    """Return the body of a good answer to a call."""
    if name != "own":
        return BODIES[name]
    found = ATTEMPT.search(request)
    attempt = found[1].decode() if found else ""
    fields = {"attempt": attempt, "incarnation": "i", "state": "warm"}
    return json.dumps({**fields, "output": "done", "work_ms": 1.0}).encode()


def torn(name: str, share: float, way: tuple[Ending, int, float]) -> Session:
    """Return a session that gives a share of a good answer without a length."""

    def make(request: bytes) -> bytes:
        body = answer_to(name, request)
        return UNFRAMED + body[: round(share * len(body))]

    ending, read, pause_s = way
    return early(make, ending, max(read, READ_AT_LEAST.get(name, 0)), pause_s)


def of_status(name: str, status: str) -> Session:
    """Return a session that gives a whole answer with any text as its status."""
    read = READ_AT_LEAST.get(name, 100)
    return early(
        lambda request: with_status(status, answer_to(name, request)),
        Ending.CLOSED,
        read,
        0.05,
    )


# Guards against a torn answer that passes for a whole one.
@pytest.mark.parametrize("name", CALLS)
@pytest.mark.parametrize("share", [0.05, 0.5, 0.98])
async def test_early_answer_that_breaks_off_is_no_answer(
    name: str, share: float
) -> None:
    sessions = [torn(name, share, way) for way in WAYS]
    found = await asyncio.gather(*map(CALLS[name], sessions))
    assert found == [None] * len(WAYS)


# Guards against an answer whose status is none; one that is readable is an answer.
@pytest.mark.parametrize("name", CALLS)
async def test_answer_without_a_readable_status_is_no_answer(name: str) -> None:
    sessions = [of_status(name, status) for status in (*UNREADABLE_STATUSES, "200")]
    call = short_own_path if name == "own" else CALLS[name]
    *unreadable, readable = await asyncio.gather(*map(call, sessions))
    assert unreadable == [None] * len(UNREADABLE_STATUSES)
    assert readable is not None


async def test_record_is_not_taken_for_stored_by_an_unreadable_status() -> None:
    for status in UNREADABLE_STATUSES:
        answer = with_status(status, b'{"offset":7,"end":8}')
        async with serving(early(answer, Ending.CLOSED, 100, 0.05)) as (address, _):
            with pytest.raises(StoreCallError):
                await StoreClient(address, Clock()).append_keyed("keyed.t", "k", b"v")

"""Test answers without an id, to HEAD and interim ones that are torn and joined.

Stage calls and frees carry no id, so nothing in a body names the request.
"""

from __future__ import annotations

import pytest

from cuminstile.clock import Clock
from cuminstile.events import Event
from cuminstile.gateway.answers import ConnectionLostError
from cuminstile.gateway.chain import Result
from cuminstile.gateway.http_client import open_connection
from cuminstile.gateway.stage_calls import StageAnswer, StageCaller
from cuminstile.gateway.stage_queue import Worker

from ..torn_answers import FRAMINGS, answer, answering, cuts, without_length
from .servers import serving
from .test_stage_calls import item
from .test_staging import SPEC
from .test_state import make_vm

pytestmark = pytest.mark.anyio
LEAVING = b"Server-Leaving: 1"
MADE = answer(b"200 OK", b'{"items":[{"handle":"h:1/r1"},{"reason":"gone"}]}', LEAVING)
OTHERS = MADE.replace(b"h:1/r1", b"h:1/r7")
FULL = answer(b"503 Busy", b"full", b"Not-Executed: 1", b"Retry-After: 30")
FREED = answer(b"200 OK", b"{}", LEAVING)


async def run(caller: StageCaller, address: str) -> StageAnswer:
    """Run two items."""
    return await caller.run(Worker("w", "s", address, "a"), [item(1), item(2)], 300.0)


async def free(caller: StageCaller, address: str) -> StageAnswer:
    """Free one result."""
    return await caller.free("w", address, ["h:1/r1"])


async def found(call: object, *answers: bytes) -> StageAnswer | None:
    """Return what the last of some calls to an upstream gets, None for an error."""
    caller = make_vm(Clock()).scheduler.caller
    last: StageAnswer | None = None
    async with serving(answering(*answers), answering(answers[-1])) as (address, _):
        for _ in answers:
            try:
                last = await call(caller, address)  # type: ignore[operator]
            except ConnectionLostError:
                last = None
    return last


# Guards against work that counts as not run and was, the handles of another answer, and
# an upstream that is believed to leave or to want no calls though it didn't say so.
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize(
    ("call", "torn", "whole"),
    [
        (run, MADE, FULL),
        (run, FULL, MADE),
        (run, MADE, OTHERS),
        (free, FREED, FULL),
        (free, FULL, FREED),
    ],
    ids=["made, full", "full, made", "made, others", "freed, full", "full, freed"],
)
async def test_torn_answer_is_not_completed_by_the_next_one(
    call: object, torn: bytes, whole: bytes, framing: str
) -> None:
    frame = FRAMINGS[framing]
    wrong = {}
    for cut in cuts(frame(torn)):
        answer_ = await found(call, frame(torn)[:cut] + frame(whole))
        if answer_ is not None:
            wrong[cut] = answer_
    assert wrong == {}


# Guards against a free that gets the words of the start of an earlier second answer.
@pytest.mark.parametrize("early", [True, False], ids=["behind the first", "late"])
@pytest.mark.parametrize(("second", "due"), [(FREED, FULL), (FULL, FREED)])
async def test_start_of_a_second_answer_to_a_free_is_no_part_of_the_next(
    second: bytes, due: bytes, early: bool
) -> None:
    right = (None, await found(free, due))
    wrong = {}
    for cut in cuts(second):
        start = second[:cut]
        answers = (FREED + start, due) if early else (FREED, start + due)
        answer_ = await found(free, *answers)
        if answer_ not in right and answer_ != await found(free, FREED):
            wrong[cut] = answer_
    assert wrong == {}


async def test_call_is_answered_by_a_whole_answer_without_a_length() -> None:
    """Guards against refusing a sound answer for how its body ends."""
    got = await found(run, without_length(MADE))
    assert got is not None
    assert [outcome.handle for outcome in got.outcomes] == ["h:1/r1", None]


ATTEMPT = b"a-1"
OWN = b"Attempt-Id: " + ATTEMPT
DONE = answer(b"200 OK", b"run 1", OWN, b"Response-Seal: s")
FAILED = answer(b"500 Failed", b"none!", OWN, b"Response-Seal: s")
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </style.css>; rel=x\r\n\r\n"


def head_of(whole: bytes) -> bytes:
    return whole.partition(b"\r\n\r\n")[0] + b"\r\n\r\n"


async def status_of(method: bytes, bytes_: bytes) -> tuple[int, bytes] | None:
    """Return status and body that a request gets, None if the connection is lost."""
    async with serving(answering(bytes_)) as (address, _):
        connection = await open_connection(address)
        connection.send(method + b" / HTTP/1.1\r\nHost: x\r\n\r\n", ATTEMPT.decode())
        try:
            head = await connection.receive_head()
            return head.status, await connection.receive_rest()
        except ConnectionLostError:
            return None
        finally:
            connection.close("the test is over")


# Guards against an answer to HEAD with the status of one and the fields of another.
@pytest.mark.parametrize(("torn", "whole"), [(DONE, FAILED), (FAILED, DONE)])
async def test_torn_answer_to_head_is_not_completed_by_the_next_one(
    torn: bytes, whole: bytes
) -> None:
    start = head_of(torn)
    for cut in cuts(start):
        assert await status_of(b"HEAD", start[:cut] + head_of(whole)) is None


# Guards against an interim answer that hides the head of the one behind it.
@pytest.mark.parametrize(("whole", "behind"), [(DONE, b""), (FAILED, DONE)])
async def test_torn_interim_answer_is_not_completed_by_the_next_one(
    whole: bytes, behind: bytes
) -> None:
    for cut in cuts(EARLY_HINTS):
        assert await status_of(b"GET", EARLY_HINTS[:cut] + whole + behind) is None


@pytest.mark.parametrize("method", [b"GET", b"HEAD"])
async def test_answer_behind_a_whole_interim_one_is_received(method: bytes) -> None:
    whole = DONE if method == b"GET" else head_of(DONE)
    body = b"run 1" if method == b"GET" else b""
    assert await status_of(method, EARLY_HINTS + whole) == (200, body)


async def test_joined_answers_to_calls_and_frees_are_logged_with_the_reason() -> None:
    """Guards against an answer that was given up, and no log line says why."""
    vm = make_vm(Clock())
    scheduler = vm.scheduler
    scheduler.planner.set_service("a", SPEC)
    async with serving(answering(MADE[:30] + FULL)) as (address, _):
        worker = Worker("a0", "a", address, "z")
        scheduler.planner.set_workers("a", [worker])
        await scheduler.run_call(worker, [], [], False)
        await scheduler.frees.free_at("a0", address, [Result("h", "a0", 1_000)])
    for event in (Event.STAGE_UPSTREAM_LOST, Event.STAGE_FREE_FAILED):
        (entry,) = [one for one in vm.journal.ring if one.event is event]
        assert entry.fields["upstream"] == "a0"
        assert "header server holds the start" in entry.fields["reason"]

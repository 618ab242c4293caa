"""Test cuminstile.claims: at most once, and refusals that are true."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest

from cuminstile.calls import RunTrace, StageOutcome
from cuminstile.claims import run_once
from cuminstile.const import (
    CLAIM_MARKER_INTERVAL_MS,
    CLAIM_PARTITION_IDLE_LIMIT_MS,
    MAX_OUTCOME_BYTES,
    RESEND_WINDOW_MS,
)
from cuminstile.exceptions import CuminstileError, ErrorCode, RunStatus
from cuminstile.records.claim_records import key_of, partition_of, stream_of

from .fakes.bookings import Cluster, Reply
from .fakes.objects import single_stage_objects
from .fakes.vms import set_configuration


@asynccontextmanager
async def cluster(*names: str, seed: int = 0) -> AsyncIterator[Cluster]:
    """Run VMs whose names start with their data centre's letter."""
    async with anyio.create_task_group() as tasks:
        made = Cluster(tasks, seed)
        for name in names or ("a1", "a2", "b1"):
            await made.start(name, name[0])
        yield made
        tasks.cancel_scope.cancel()


async def finish(made: Cluster, *sendings: tuple, after_ms: float = 12_000.0) -> list:
    """Send calls to VMs at the same moment and return the replies."""
    replies: list[Reply | None] = [None] * len(sendings)

    async def one(index: int, name: str, call: object) -> None:
        replies[index] = await made.send(name, call)  # type: ignore[arg-type]

    for index, (name, call) in enumerate(sendings):
        made.tasks.start_soon(one, index, name, call)
    await made.clock.advance_ms(after_ms)
    return replies


async def book(made: Cluster, name: str, key: str) -> Reply:
    """Book once, undisturbed."""
    (reply,) = await finish(made, (name, made.call(key)))
    return reply


async def test_a_resend_gets_the_same_answer_and_runs_nothing() -> None:
    async with cluster() as made:
        first = await book(made, "a1", "k")
        (again,) = await finish(made, ("a1", made.resend(first, 1)))
        (elsewhere,) = await finish(made, ("b1", made.resend(first, 2)))
    assert first.outcome is not None
    assert again.outcome.output == elsewhere.outcome.output == first.outcome.output
    assert len(made.runs) == 1


async def test_resends_at_the_same_moment_through_other_vms_run_once() -> None:
    async with cluster() as made:
        call = made.call("k")
        replies = await finish(
            made,
            ("a1", call),
            ("a2", made.call("k", 1)),
            ("b1", made.call("k", 2)),
            ("a1", made.call("k", 3)),
        )
    assert len(made.runs) == 1
    assert all(reply.outcome is not None for reply in replies)


async def test_a_claimant_killed_before_dispatch_leaves_unknown() -> None:
    async with cluster() as made:
        made.connect_ms = 1_000.0
        call = made.call("k")
        made.tasks.start_soon(made.send, "a1", call)
        await made.clock.advance_ms(500.0)
        made.kill("a1")
        (again,) = await finish(made, ("b1", made.call("k", 1, issued_at_ms=1 + 0)))
        assert again.error.code is ErrorCode.KEY_TOO_OLD
        (again,) = await finish(
            made, ("b1", made.call("k", 1, issued_at_ms=call.issued_at_ms))
        )
    assert made.runs == []
    assert again.error.code is ErrorCode.CLAIMED_ELSEWHERE
    assert again.ran is RunStatus.UNKNOWN


async def test_a_claimant_killed_after_dispatch_is_not_run_again() -> None:
    async with cluster() as made:
        made.work_ms = 1_000.0
        call = made.call("k")
        made.tasks.start_soon(made.send, "a1", call)
        await made.clock.advance_ms(500.0)
        assert len(made.runs) == 1
        made.kill("a1")
        (again,) = await finish(
            made, ("a2", made.call("k", 1, issued_at_ms=call.issued_at_ms))
        )
    assert len(made.runs) == 1
    assert again.ran is RunStatus.UNKNOWN


async def test_a_recorded_outcome_outlives_its_claimant() -> None:
    async with cluster() as made:
        first = await book(made, "a1", "k")
        made.kill("a1")
        (again,) = await finish(made, ("b1", made.resend(first, 1)))
    assert again.outcome.output == first.outcome.output
    assert len(made.runs) == 1


@pytest.mark.parametrize("after_ms", [1.0, 2.5, 4.5, 6.0, 30.0])
async def test_a_claimant_frozen_past_everything_and_woken(after_ms: float) -> None:
    async with cluster() as made:
        call = made.call("k")
        made.tasks.start_soon(made.send, "a1", call)
        await made.clock.advance_ms(after_ms)
        made.freeze("a1")
        made.cut("a1")
        (again,) = await finish(
            made, ("b1", made.call("k", 1, issued_at_ms=call.issued_at_ms))
        )
        made.thaw("a1")
        await made.clock.advance_ms(20_000.0)
    assert len(made.runs) <= 1
    frozen = made.replies[0]
    if not any(run.request == call.request for run in made.runs):
        assert frozen.outcome is None
    if again.outcome is None:
        assert again.ran is RunStatus.UNKNOWN


async def test_a_vm_that_wakes_after_the_deadline_sends_nothing() -> None:
    async with cluster("a1") as made:
        made.connect_ms = 500.0
        made.tasks.start_soon(made.send, "a1", made.call("k"))
        await made.clock.advance_ms(300.0)
        made.freeze("a1")
        await made.clock.advance_ms(60_000.0)
        made.thaw("a1")
        await made.clock.advance_ms(1_000.0)
    assert made.runs == []
    assert made.replies[0].ran is RunStatus.NOT_RUN


async def test_a_vm_replaced_at_the_same_address_is_another_claimant() -> None:
    async with cluster() as made:
        made.connect_ms = 1_000.0
        call = made.call("k")
        made.tasks.start_soon(made.send, "a1", call)
        await made.clock.advance_ms(500.0)
        await made.start("a1")
        replies = await finish(
            made,
            ("a1", made.call("k", 1, issued_at_ms=call.issued_at_ms)),
            ("a2", made.call("k", 2, issued_at_ms=call.issued_at_ms)),
        )
    assert made.runs == []
    assert [reply.ran for reply in replies] == [RunStatus.UNKNOWN, RunStatus.UNKNOWN]


async def test_append_answers_lost_after_taking_effect() -> None:
    async with cluster() as made:
        for node in made.nodes.values():
            node.platform.lost_answer_fraction = 1.0
        replies = await finish(made, ("a1", made.call("k")), ("a2", made.call("k", 1)))
    assert len(made.runs) == 1
    assert [reply.outcome is not None for reply in replies] == [True, True]


async def test_a_claim_that_surfaces_late_is_voided_so_that_a_resend_runs() -> None:
    async with cluster() as made:
        platform = made.nodes["a1"].platform
        platform.late_append_fraction, platform.late_ms = 1.0, 9_000.0
        made.tasks.start_soon(made.send, "a1", made.call("k"))
        await made.clock.advance_ms(5_000.0)
        first = made.replies[0]
        assert first.ran is RunStatus.NOT_RUN
        platform.late_append_fraction = 0.0
        await made.clock.advance_ms(6_000.0)
        assert made.runs == []
        (again,) = await finish(made, ("b1", made.resend(first, 1)))
    assert again.outcome is not None
    assert [run.request for run in made.runs] == ["k.1"]


async def test_an_outage_before_the_claim_is_refused_as_not_run() -> None:
    async with cluster() as made:
        for node in made.nodes.values():
            node.platform.is_unavailable = True
        first = await book(made, "a1", "k")
        assert first.error.code is ErrorCode.PLATFORM_AWAY
        assert first.ran is RunStatus.NOT_RUN
        for node in made.nodes.values():
            node.platform.is_unavailable = False
        await made.clock.advance_ms(5_000.0)
        (again,) = await finish(made, ("a2", made.resend(first, 1)))
    assert again.outcome is not None
    assert len(made.runs) == 1


async def test_an_outage_between_claim_and_dispatch_cuts_nothing() -> None:
    async with cluster() as made:
        made.connect_ms = 300.0
        made.tasks.start_soon(made.send, "a1", made.call("k"))
        await made.clock.advance_ms(100.0)
        made.nodes["a1"].platform.is_unavailable = True
        await made.clock.advance_ms(3_000.0)
    assert made.replies[0].outcome is not None


async def test_an_outage_between_run_and_outcome() -> None:
    async with cluster() as made:
        made.work_ms = 300.0
        made.tasks.start_soon(made.send, "a1", made.call("k"))
        await made.clock.advance_ms(200.0)
        made.nodes["a1"].platform.is_unavailable = True
        await made.clock.advance_ms(3_000.0)
        first = made.replies[0]
        (told,) = await finish(made, ("b1", made.resend(first, 1)))
        made.nodes["a1"].platform.is_unavailable = False
        await made.clock.advance_ms(5_000.0)
        made.kill("a1")
        (read,) = await finish(made, ("b1", made.resend(first, 2)))
    assert told.outcome.output == read.outcome.output == first.outcome.output
    assert len(made.runs) == 1
    assert made.nodes["a1"].vm.activity.claims == 0


async def test_a_trimmed_log_tells_no_more_of_older_keys() -> None:
    async with cluster() as made:
        first = await book(made, "a1", "k")
        stream = stream_of(partition_of(key_of(first.call)))
        await made.clock.advance_ms(30_000.0)
        made.log.append(stream, b"not a batch")
        made.log.trim(stream)
        await made.start("c1", "c")
        (again,) = await finish(made, ("c1", made.resend(first, 1)))
    assert again.error.code is ErrorCode.KEY_TOO_OLD
    assert again.ran is RunStatus.UNKNOWN
    assert len(made.runs) == 1


async def test_a_key_older_than_the_window_is_unknown() -> None:
    async with cluster() as made:
        first = await book(made, "a1", "k")
        await made.clock.advance_ms(RESEND_WINDOW_MS + 30_000.0)
        (again,) = await finish(made, ("b1", made.resend(first, 1)))
    assert again.error.code is ErrorCode.KEY_TOO_OLD
    assert again.ran is RunStatus.UNKNOWN
    assert len(made.runs) == 1


async def test_a_key_from_the_future_is_refused() -> None:
    async with cluster("a1") as made:
        ahead = made.clock.wall_ms() + 60_000
        (reply,) = await finish(made, ("a1", made.call("k", issued_at_ms=ahead)))
    assert reply.error.code is ErrorCode.KEY_FROM_FUTURE
    assert reply.ran is RunStatus.NOT_RUN
    assert made.log.appends == 0


async def test_an_old_key_is_unknown_while_the_platform_is_away() -> None:
    async with cluster("a1") as made:
        made.nodes["a1"].platform.is_unavailable = True
        await made.clock.advance_ms(RESEND_WINDOW_MS + 1_000.0)
        old = made.clock.wall_ms() - RESEND_WINDOW_MS - 500
        (reply,) = await finish(made, ("a1", made.call("k", issued_at_ms=old)))
    assert reply.error.code is ErrorCode.KEY_TOO_OLD
    assert reply.ran is RunStatus.UNKNOWN


async def test_a_resend_cut_off_while_it_waits_may_have_run() -> None:
    async with cluster() as made:
        made.work_ms = 3_000.0
        made.tasks.start_soon(made.send, "a1", made.call("k"))
        await made.clock.advance_ms(500.0)
        trace = RunTrace()

        async def resend() -> None:
            with anyio.CancelScope() as scope:
                scopes.append(scope)
                again = made.resend(made.replies[0], 1)
                await run_once(made.nodes["b1"].vm, again, trace, never)

        scopes: list[anyio.CancelScope] = []
        made.tasks.start_soon(resend)
        await made.clock.advance_ms(500.0)
        scopes[0].cancel()
        await made.clock.advance_ms(1.0)
    assert trace.maybe_ran


async def never() -> StageOutcome:
    raise AssertionError("the key had run")


@pytest.mark.parametrize("name", ["a1", "b1"])
async def test_the_same_key_with_another_body_is_refused(name: str) -> None:
    async with cluster() as made:
        first = await book(made, "a1", "k")
        other = made.resend(first, 1, input={"key": "other"})
        (reply,) = await finish(made, (name, other))
    assert reply.error.code is ErrorCode.KEY_REUSED
    assert len(made.runs) == 1


async def test_an_answer_too_large_to_keep_is_said_to_have_run() -> None:
    async with cluster() as made:
        made.output = lambda call: "x" * (MAX_OUTCOME_BYTES + 1)
        first = await book(made, "a1", "k")
        (again,) = await finish(made, ("b1", made.resend(first, 1)))
    assert first.outcome is not None
    assert again.error.code is ErrorCode.ANSWER_TOO_LARGE
    assert again.ran is RunStatus.UNKNOWN
    assert "it ran" in again.error.message


async def test_a_call_refused_by_the_upstream_can_be_sent_again() -> None:
    async with cluster() as made:
        call = made.call("k")

        async def refuse(*args: object) -> object:
            raise CuminstileError(ErrorCode.OVERLOADED, "no slot")

        book_once, made.book = made.book, refuse  # type: ignore
        first = await book(made, "a1", "k")
        made.book = book_once  # type: ignore
        (again,) = await finish(
            made, ("b1", made.call("k", 1, issued_at_ms=call.issued_at_ms))
        )
    assert first.ran is RunStatus.NOT_RUN
    assert again.outcome is not None


async def test_a_run_goes_on_past_its_callers_deadline() -> None:
    async with cluster() as made:
        made.work_ms = 6_000.0
        scope = anyio.CancelScope()

        async def caller_leaves() -> None:
            with scope:
                await made.send("a1", made.call("k"))

        made.tasks.start_soon(caller_leaves)
        await made.clock.advance_ms(1_000.0)
        scope.cancel()
        await made.clock.advance_ms(6_000.0)
        (again,) = await finish(made, ("b1", made.resend(made.replies[0], 1)))
    assert again.outcome is not None
    assert len(made.runs) == 1


async def test_appends_do_not_grow_with_bookings() -> None:
    async with cluster("a1") as made:
        calls = [("a1", made.call(f"k{number}")) for number in range(400)]
        replies = await finish(made, *calls, after_ms=5_000.0)
    assert all(reply.outcome is not None for reply in replies)
    assert made.log.appends <= 16 * 4


async def test_a_stream_that_was_trimmed_whole_serves_new_keys() -> None:
    async with cluster("a1") as made:
        first = await book(made, "a1", "k")
        set_configuration(
            made.nodes["a1"].vm, single_stage_objects({"s-a": "127.0.0.1:1"}, False)
        )
        stream = stream_of(partition_of(key_of(first.call)))
        await made.clock.advance_ms(120_000.0)
        made.kill("a1")
        made.log.trim(stream, keep=0)
        await made.start("a1")
        set_configuration(
            made.nodes["a1"].vm, single_stage_objects({"s-a": "127.0.0.1:1"}, False)
        )
        await made.clock.advance_ms(CLAIM_MARKER_INTERVAL_MS + 2_000.0)
        fresh = await book(made, "a1", "k")
    assert made.log.first(stream) > 0
    assert fresh.outcome is not None


async def test_unused_streams_are_left() -> None:
    async with cluster("a1") as made:
        await book(made, "a1", "k")
        vm = made.nodes["a1"].vm
        assert len(vm.claims.partitions) == 1
        await made.clock.advance_ms(CLAIM_PARTITION_IDLE_LIMIT_MS + 5_000.0)
        assert len(vm.claims.partitions) == 0
        first = made.replies[0]
        (again,) = await finish(made, ("a1", made.resend(first, 1)))
    assert again.outcome is not None
    assert len(made.runs) == 1

"""Test cuminstile.claims: calls run at most once, and refusals report correctly."""

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

END_MS = 500.0
"""Time from the last answers of a VM that ends to the exit of its process."""


@asynccontextmanager
async def running_cluster(*names: str, seed: int = 0) -> AsyncIterator[Cluster]:
    """Run VMs whose names start with their data centre's letter."""
    async with anyio.create_task_group() as tasks:
        cluster = Cluster(tasks, seed)
        for name in names or ("a1", "a2", "b1"):
            await cluster.start(name, name[0])
        yield cluster
        tasks.cancel_scope.cancel()


async def finish(
    cluster: Cluster, *sendings: tuple, after_ms: float = 12_000.0
) -> list:
    """Send calls to VMs at the same time and return the replies."""
    replies: list[Reply | None] = [None] * len(sendings)

    async def one(index: int, name: str, call: object) -> None:
        replies[index] = await cluster.send(name, call)  # type: ignore[arg-type]

    for index, (name, call) in enumerate(sendings):
        cluster.tasks.start_soon(one, index, name, call)
    await cluster.clock.advance_ms(after_ms)
    return replies


async def book(cluster: Cluster, name: str, key: str) -> Reply:
    """Make one booking without faults."""
    (reply,) = await finish(cluster, (name, cluster.call(key)))
    return reply


async def test_a_resend_gets_the_same_answer_and_runs_nothing() -> None:
    async with running_cluster() as cluster:
        first = await book(cluster, "a1", "k")
        (again,) = await finish(cluster, ("a1", cluster.resend(first, 1)))
        (elsewhere,) = await finish(cluster, ("b1", cluster.resend(first, 2)))
    assert first.outcome is not None
    assert again.outcome.output == elsewhere.outcome.output == first.outcome.output
    assert len(cluster.runs) == 1


async def test_resends_at_the_same_moment_through_other_vms_run_once() -> None:
    async with running_cluster() as cluster:
        call = cluster.call("k")
        replies = await finish(
            cluster,
            ("a1", call),
            ("a2", cluster.call("k", 1)),
            ("b1", cluster.call("k", 2)),
            ("a1", cluster.call("k", 3)),
        )
    assert len(cluster.runs) == 1
    assert all(reply.outcome is not None for reply in replies)


async def test_a_claimant_killed_before_dispatch_leaves_unknown() -> None:
    async with running_cluster() as cluster:
        cluster.connect_ms = 1_000.0
        call = cluster.call("k")
        cluster.tasks.start_soon(cluster.send, "a1", call)
        await cluster.clock.advance_ms(500.0)
        cluster.kill("a1")
        (again,) = await finish(
            cluster, ("b1", cluster.call("k", 1, issued_at_ms=1 + 0))
        )
        assert again.error.code is ErrorCode.KEY_TOO_OLD
        (again,) = await finish(
            cluster, ("b1", cluster.call("k", 1, issued_at_ms=call.issued_at_ms))
        )
    assert cluster.runs == []
    assert again.error.code is ErrorCode.CLAIMED_ELSEWHERE
    assert again.ran is RunStatus.UNKNOWN


async def test_a_claimant_killed_after_dispatch_is_not_run_again() -> None:
    async with running_cluster() as cluster:
        cluster.work_ms = 1_000.0
        call = cluster.call("k")
        cluster.tasks.start_soon(cluster.send, "a1", call)
        await cluster.clock.advance_ms(500.0)
        assert len(cluster.runs) == 1
        cluster.kill("a1")
        (again,) = await finish(
            cluster, ("a2", cluster.call("k", 1, issued_at_ms=call.issued_at_ms))
        )
    assert len(cluster.runs) == 1
    assert again.ran is RunStatus.UNKNOWN


async def test_a_recorded_outcome_outlives_its_claimant() -> None:
    async with running_cluster() as cluster:
        first = await book(cluster, "a1", "k")
        cluster.kill("a1")
        (again,) = await finish(cluster, ("b1", cluster.resend(first, 1)))
    assert again.outcome.output == first.outcome.output
    assert len(cluster.runs) == 1


@pytest.mark.parametrize("after_ms", [1.0, 2.5, 4.5, 6.0, 30.0])
async def test_a_claimant_frozen_past_all_timeouts_and_resumed(after_ms: float) -> None:
    async with running_cluster() as cluster:
        call = cluster.call("k")
        cluster.tasks.start_soon(cluster.send, "a1", call)
        await cluster.clock.advance_ms(after_ms)
        cluster.freeze("a1")
        cluster.cut("a1")
        (again,) = await finish(
            cluster, ("b1", cluster.call("k", 1, issued_at_ms=call.issued_at_ms))
        )
        cluster.thaw("a1")
        await cluster.clock.advance_ms(20_000.0)
    assert len(cluster.runs) <= 1
    frozen = cluster.replies[0]
    if not any(run.request == call.request for run in cluster.runs):
        assert frozen.outcome is None
    if again.outcome is None:
        assert again.ran is RunStatus.UNKNOWN


async def test_a_vm_that_wakes_after_the_deadline_sends_nothing() -> None:
    async with running_cluster("a1") as cluster:
        cluster.connect_ms = 500.0
        cluster.tasks.start_soon(cluster.send, "a1", cluster.call("k"))
        await cluster.clock.advance_ms(300.0)
        cluster.freeze("a1")
        await cluster.clock.advance_ms(60_000.0)
        cluster.thaw("a1")
        await cluster.clock.advance_ms(1_000.0)
    assert cluster.runs == []
    assert cluster.replies[0].ran is RunStatus.NOT_RUN


async def test_a_vm_replaced_at_the_same_address_is_another_claimant() -> None:
    async with running_cluster() as cluster:
        cluster.connect_ms = 1_000.0
        call = cluster.call("k")
        cluster.tasks.start_soon(cluster.send, "a1", call)
        await cluster.clock.advance_ms(500.0)
        await cluster.start("a1")
        replies = await finish(
            cluster,
            ("a1", cluster.call("k", 1, issued_at_ms=call.issued_at_ms)),
            ("a2", cluster.call("k", 2, issued_at_ms=call.issued_at_ms)),
        )
    assert cluster.runs == []
    assert [reply.ran for reply in replies] == [RunStatus.UNKNOWN, RunStatus.UNKNOWN]


async def test_append_answers_lost_after_taking_effect() -> None:
    async with running_cluster() as cluster:
        for node in cluster.nodes.values():
            node.platform.lost_answer_fraction = 1.0
        replies = await finish(
            cluster, ("a1", cluster.call("k")), ("a2", cluster.call("k", 1))
        )
    assert len(cluster.runs) == 1
    assert [reply.outcome is not None for reply in replies] == [True, True]


async def test_a_claim_that_surfaces_late_is_voided_so_that_a_resend_runs() -> None:
    async with running_cluster() as cluster:
        platform = cluster.nodes["a1"].platform
        platform.late_append_fraction, platform.late_ms = 1.0, 9_000.0
        cluster.tasks.start_soon(cluster.send, "a1", cluster.call("k"))
        await cluster.clock.advance_ms(5_000.0)
        first = cluster.replies[0]
        assert first.ran is RunStatus.NOT_RUN
        platform.late_append_fraction = 0.0
        await cluster.clock.advance_ms(6_000.0)
        assert cluster.runs == []
        (again,) = await finish(cluster, ("b1", cluster.resend(first, 1)))
    assert again.outcome is not None
    assert [run.request for run in cluster.runs] == ["k.1"]


async def test_an_outage_before_the_claim_is_refused_as_not_run() -> None:
    async with running_cluster() as cluster:
        for node in cluster.nodes.values():
            node.platform.is_unavailable = True
        first = await book(cluster, "a1", "k")
        assert first.error.code is ErrorCode.PLATFORM_AWAY
        assert first.ran is RunStatus.NOT_RUN
        for node in cluster.nodes.values():
            node.platform.is_unavailable = False
        await cluster.clock.advance_ms(5_000.0)
        (again,) = await finish(cluster, ("a2", cluster.resend(first, 1)))
    assert again.outcome is not None
    assert len(cluster.runs) == 1


async def test_an_outage_between_claim_and_dispatch_cuts_nothing() -> None:
    async with running_cluster() as cluster:
        cluster.connect_ms = 300.0
        cluster.tasks.start_soon(cluster.send, "a1", cluster.call("k"))
        await cluster.clock.advance_ms(100.0)
        cluster.nodes["a1"].platform.is_unavailable = True
        await cluster.clock.advance_ms(3_000.0)
    assert cluster.replies[0].outcome is not None


async def test_an_outage_between_run_and_outcome() -> None:
    async with running_cluster() as cluster:
        cluster.work_ms = 300.0
        cluster.tasks.start_soon(cluster.send, "a1", cluster.call("k"))
        await cluster.clock.advance_ms(200.0)
        cluster.nodes["a1"].platform.is_unavailable = True
        await cluster.clock.advance_ms(3_000.0)
        first = cluster.replies[0]
        (reported,) = await finish(cluster, ("b1", cluster.resend(first, 1)))
        cluster.nodes["a1"].platform.is_unavailable = False
        await cluster.clock.advance_ms(5_000.0)
        cluster.kill("a1")
        (read,) = await finish(cluster, ("b1", cluster.resend(first, 2)))
    assert reported.outcome.output == read.outcome.output == first.outcome.output
    assert len(cluster.runs) == 1
    assert cluster.nodes["a1"].vm.activity.claims == 0


async def test_a_trimmed_log_tells_no_more_of_older_keys() -> None:
    async with running_cluster() as cluster:
        first = await book(cluster, "a1", "k")
        stream = stream_of(partition_of(key_of(first.call)))
        await cluster.clock.advance_ms(30_000.0)
        cluster.log.append(stream, b"not a batch")
        cluster.log.trim(stream)
        await cluster.start("c1", "c")
        (again,) = await finish(cluster, ("c1", cluster.resend(first, 1)))
    assert again.error.code is ErrorCode.KEY_TOO_OLD
    assert again.ran is RunStatus.UNKNOWN
    assert len(cluster.runs) == 1


async def test_a_key_older_than_the_window_is_unknown() -> None:
    async with running_cluster() as cluster:
        first = await book(cluster, "a1", "k")
        await cluster.clock.advance_ms(RESEND_WINDOW_MS + 30_000.0)
        (again,) = await finish(cluster, ("b1", cluster.resend(first, 1)))
    assert again.error.code is ErrorCode.KEY_TOO_OLD
    assert again.ran is RunStatus.UNKNOWN
    assert len(cluster.runs) == 1


async def test_a_key_from_the_future_is_refused() -> None:
    async with running_cluster("a1") as cluster:
        ahead = cluster.clock.wall_ms() + 60_000
        (reply,) = await finish(cluster, ("a1", cluster.call("k", issued_at_ms=ahead)))
    assert reply.error.code is ErrorCode.KEY_FROM_FUTURE
    assert reply.ran is RunStatus.NOT_RUN
    assert cluster.log.appends == 0


async def test_an_old_key_is_unknown_while_the_platform_is_away() -> None:
    async with running_cluster("a1") as cluster:
        cluster.nodes["a1"].platform.is_unavailable = True
        await cluster.clock.advance_ms(RESEND_WINDOW_MS + 1_000.0)
        old = cluster.clock.wall_ms() - RESEND_WINDOW_MS - 500
        (reply,) = await finish(cluster, ("a1", cluster.call("k", issued_at_ms=old)))
    assert reply.error.code is ErrorCode.KEY_TOO_OLD
    assert reply.ran is RunStatus.UNKNOWN


async def test_a_resend_cut_off_while_it_waits_may_have_run() -> None:
    async with running_cluster() as cluster:
        cluster.work_ms = 3_000.0
        cluster.tasks.start_soon(cluster.send, "a1", cluster.call("k"))
        await cluster.clock.advance_ms(500.0)
        trace = RunTrace()

        async def resend() -> None:
            with anyio.CancelScope() as scope:
                scopes.append(scope)
                again = cluster.resend(cluster.replies[0], 1)
                await run_once(cluster.nodes["b1"].vm, again, trace, never)

        scopes: list[anyio.CancelScope] = []
        cluster.tasks.start_soon(resend)
        await cluster.clock.advance_ms(500.0)
        scopes[0].cancel()
        await cluster.clock.advance_ms(1.0)
    assert trace.maybe_ran


async def never() -> StageOutcome:
    raise AssertionError("the key had run")


@pytest.mark.parametrize("name", ["a1", "b1"])
async def test_the_same_key_with_another_body_is_refused(name: str) -> None:
    async with running_cluster() as cluster:
        first = await book(cluster, "a1", "k")
        other = cluster.resend(first, 1, input={"key": "other"})
        (reply,) = await finish(cluster, (name, other))
    assert reply.error.code is ErrorCode.KEY_REUSED
    assert len(cluster.runs) == 1


async def test_a_resend_reports_that_a_run_with_a_too_large_answer_ran() -> None:
    async with running_cluster() as cluster:
        cluster.output = lambda call: "x" * (MAX_OUTCOME_BYTES + 1)
        first = await book(cluster, "a1", "k")
        (again,) = await finish(cluster, ("b1", cluster.resend(first, 1)))
    assert first.outcome is not None
    assert again.error.code is ErrorCode.ANSWER_TOO_LARGE
    assert again.ran is RunStatus.UNKNOWN
    assert "it ran" in again.error.message


async def test_a_call_refused_by_the_upstream_can_be_sent_again() -> None:
    async with running_cluster() as cluster:
        call = cluster.call("k")

        async def refuse(*args: object) -> object:
            raise CuminstileError(ErrorCode.OVERLOADED, "no slot")

        book_once, cluster.book = cluster.book, refuse  # type: ignore
        first = await book(cluster, "a1", "k")
        cluster.book = book_once  # type: ignore
        (again,) = await finish(
            cluster, ("b1", cluster.call("k", 1, issued_at_ms=call.issued_at_ms))
        )
    assert first.ran is RunStatus.NOT_RUN
    assert again.outcome is not None


async def test_a_run_goes_on_past_its_callers_deadline() -> None:
    async with running_cluster() as cluster:
        cluster.work_ms = 6_000.0
        scope = anyio.CancelScope()

        async def caller_leaves() -> None:
            with scope:
                await cluster.send("a1", cluster.call("k"))

        cluster.tasks.start_soon(caller_leaves)
        await cluster.clock.advance_ms(1_000.0)
        scope.cancel()
        await cluster.clock.advance_ms(6_000.0)
        (again,) = await finish(cluster, ("b1", cluster.resend(cluster.replies[0], 1)))
    assert again.outcome is not None
    assert len(cluster.runs) == 1


async def test_appends_do_not_grow_with_bookings() -> None:
    async with running_cluster("a1") as cluster:
        calls = [("a1", cluster.call(f"k{number}")) for number in range(400)]
        replies = await finish(cluster, *calls, after_ms=5_000.0)
    assert all(reply.outcome is not None for reply in replies)
    assert cluster.log.appends <= 16 * 4


async def test_a_stream_that_was_trimmed_whole_serves_new_keys() -> None:
    async with running_cluster("a1") as cluster:
        first = await book(cluster, "a1", "k")
        set_configuration(
            cluster.nodes["a1"].vm, single_stage_objects({"s-a": "127.0.0.1:1"}, False)
        )
        stream = stream_of(partition_of(key_of(first.call)))
        await cluster.clock.advance_ms(120_000.0)
        cluster.kill("a1")
        cluster.log.trim(stream, keep=0)
        await cluster.start("a1")
        set_configuration(
            cluster.nodes["a1"].vm, single_stage_objects({"s-a": "127.0.0.1:1"}, False)
        )
        await cluster.clock.advance_ms(CLAIM_MARKER_INTERVAL_MS + 2_000.0)
        fresh = await book(cluster, "a1", "k")
    assert cluster.log.first(stream) > 0
    assert fresh.outcome is not None


async def test_unused_streams_are_unfollowed() -> None:
    async with running_cluster("a1") as cluster:
        await book(cluster, "a1", "k")
        vm = cluster.nodes["a1"].vm
        assert len(vm.claims.partitions) == 1
        await cluster.clock.advance_ms(CLAIM_PARTITION_IDLE_LIMIT_MS + 5_000.0)
        assert len(vm.claims.partitions) == 0
        first = cluster.replies[0]
        (again,) = await finish(cluster, ("a1", cluster.resend(first, 1)))
    assert again.outcome is not None
    assert len(cluster.runs) == 1


async def end_while_booking(cluster: Cluster) -> tuple[Reply, Reply]:
    """End `a1` in a booking; return its reply and that of a resend to `a2`."""
    cluster.tasks.start_soon(cluster.send, "a1", cluster.call("k"))
    await cluster.clock.advance_ms(1_000.0)
    ending = cluster.nodes["a1"].vm
    ending.end_scopes.cancel_all()
    await cluster.clock.advance_ms(END_MS)
    assert ending.activity.claims == 0
    cluster.kill("a1")
    first = cluster.replies[0]
    (again,) = await finish(cluster, ("a2", cluster.resend(first, 1)), after_ms=500.0)
    return first, again


# Guards against a claim that a VM keeps when it ends: its key could never run again.
async def test_claim_that_has_not_run_is_voided_when_its_vm_ends() -> None:
    async with running_cluster() as cluster:
        cluster.connect_ms = 3_000.0
        cluster.tasks.start_soon(set_connect, cluster, 1_500.0, 2.0)
        first, again = await end_while_booking(cluster)
    assert first.ran is RunStatus.NOT_RUN
    assert again.outcome is not None
    assert [run.request for run in cluster.runs] == [again.call.request]


async def set_connect(cluster: Cluster, after_ms: float, connect_ms: float) -> None:
    """Let connections to the upstream take another time from some time on."""
    await cluster.clock.sleep_ms(after_ms)
    cluster.connect_ms = connect_ms


# Guards against a run whose outcome nobody records: a resend waits until its deadline.
async def test_claim_that_runs_when_its_vm_ends_is_recorded_as_unknown() -> None:
    async with running_cluster() as cluster:
        cluster.work_ms = 60_000.0
        first, again = await end_while_booking(cluster)
    assert first.ran is RunStatus.UNKNOWN
    assert again.error is not None
    assert again.error.code is ErrorCode.UPSTREAM_FAILED
    assert again.ran is RunStatus.UNKNOWN
    assert len(cluster.runs) == 1

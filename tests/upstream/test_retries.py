"""Test cuminstile.upstream.retries: the budget prevents a storm of retries."""

import pytest

from cuminstile.calls import RunTrace
from cuminstile.exceptions import CuminstileError, ErrorCode, RunStatus
from cuminstile.objects.model import Role, Stage
from cuminstile.upstream.client import UpstreamError, upstream_failed_error
from cuminstile.upstream.retries import MAX_RETRY_CREDITS, RetryBudget, is_retry_allowed

from .fake_data_centre import STAGE, running_data_centre
from .test_leases import load_for, start_three


def test_budget_is_a_fraction_of_successes():
    budget = RetryBudget()
    while budget.spend("a", 0.0):
        pass
    for _ in range(25):
        budget.earn("a", 0.1, 0.0)
    assert [budget.spend("a", 0.0) for _ in range(3)] == [True, True, False]
    assert budget.spend("b", 0.0)


def test_idle_stage_earns_a_retry_with_time():
    budget = RetryBudget()
    while budget.spend("a", 0.0):
        pass
    assert not budget.spend("a", 4_000.0)
    assert budget.spend("a", 10_000.0)


def failed(reason: str, ran: RunStatus = RunStatus.NOT_RUN) -> CuminstileError:
    cause = UpstreamError(reason, ran is RunStatus.UNKNOWN)
    error = upstream_failed_error(cause, ran)
    error.__cause__ = cause
    return error


async def test_call_that_must_not_be_repeated_is_not_retried(monkeypatch):
    async with running_data_centre(monkeypatch, 2) as centre:
        vm = await centre.start("vm-a")
        objects = vm.configuration.current.objects
        booking = Stage("stage", STAGE, Role.SERVICE, repeatable=False)
        object.__setattr__(objects, "stages", {STAGE: booking})
        call = centre.call("r1")
        trace = RunTrace(maybe_ran=True)
        assert not is_retry_allowed(
            vm, call, trace, failed("lost", RunStatus.UNKNOWN), 1
        )
        assert is_retry_allowed(vm, call, RunTrace(), failed("busy"), 1)


async def test_stopped_call_costs_no_retry_but_obeys_the_deadline(monkeypatch):
    async with running_data_centre(monkeypatch, 1) as centre:
        vm = await centre.start("vm-a")
        call = centre.call("r1", 1_000.0)
        before = vm.retries.credits(STAGE, centre.clock.now_ms()).retries
        assert is_retry_allowed(vm, call, RunTrace(), failed("lease"), 7)
        after = vm.retries.credits(STAGE, centre.clock.now_ms()).retries
        assert after == before == MAX_RETRY_CREDITS
        await centre.clock.advance_ms(1_000.0)
        assert not is_retry_allowed(vm, call, RunTrace(), failed("lease"), 1)


async def test_refusal_of_a_recently_started_peer_costs_no_retry(monkeypatch):
    async with running_data_centre(monkeypatch, 1) as centre:
        vm = await centre.start("vm-a")
        error = CuminstileError(ErrorCode.NO_CONFIGURATION, "none yet")
        assert is_retry_allowed(vm, centre.call("r1"), RunTrace(), error, 7)
        credits = vm.retries.credits(STAGE, centre.clock.now_ms()).retries
        assert credits == MAX_RETRY_CREDITS
        # Without its own configuration the VM would retry endlessly.
        vm.configuration.current = None
        assert not is_retry_allowed(vm, centre.call("r1"), RunTrace(), error, 1)


async def test_other_errors_are_not_retried(monkeypatch):
    async with running_data_centre(monkeypatch, 1) as centre:
        vm = await centre.start("vm-a")
        error = CuminstileError(ErrorCode.OVERLOADED, "full")
        assert not is_retry_allowed(vm, centre.call("r1"), RunTrace(), error, 1)


@pytest.mark.parametrize("seed", range(3))
async def test_failing_stage_gets_few_retries(monkeypatch, seed):
    async with running_data_centre(monkeypatch, 4, seed) as centre:
        await start_three(centre)
        results = []
        await load_for(centre, 8_000.0, results)
        await centre.clock.advance_ms(1_000.0)
        for fake in centre.upstreams.values():
            fake.failing = 1.0
        runs = sum(len(fake.history) for fake in centre.upstreams.values())
        results.clear()
        await load_for(centre, 10_000.0, results)
        await centre.clock.advance_ms(3_000.0)
        # Each run records its start and its end.
        runs = sum(len(fake.history) for fake in centre.upstreams.values()) - runs
        credits = 3 * (MAX_RETRY_CREDITS + 13.0 * 0.2)
        assert runs / 2 <= len(results) + credits


async def test_retry_goes_to_another_upstream(monkeypatch):
    async with running_data_centre(monkeypatch, 2) as centre:
        await start_three(centre)
        results = []
        await load_for(centre, 8_000.0, results)
        await centre.clock.advance_ms(1_000.0)
        centre.upstreams["runner-0"].failing = 1.0
        results.clear()
        await load_for(centre, 100.0, results)
        await centre.clock.advance_ms(1_000.0)
        assert [result[0] for result in results] == ["good"] * 10

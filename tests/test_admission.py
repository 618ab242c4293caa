"""Test cuminstile.admission over one VM on a virtual clock."""

import statistics
from dataclasses import replace
from typing import Any

import anyio
import pytest

from cuminstile.admission import predict_wait_ms
from cuminstile.calls import RunTrace, StageCall, StageOutcome, TokenSink, drop_tokens
from cuminstile.clock import VirtualClock
from cuminstile.exceptions import CuminstileError, ErrorCode, RunStatus
from cuminstile.objects.model import Step
from cuminstile.pipeline import Progress, Request, run_pipeline
from cuminstile.queueing import Ticket, Waiter, WaitQueue
from cuminstile.runtime import Vm
from cuminstile.settings import LimitSettings
from cuminstile.stage_times import MIN_RUNS, WINDOW_MS
from standins.overload_setting import DEADLINE_MS, LARGE, PIPELINE
from trials.overload import (
    ANSWERED,
    RequestOutcome,
    Trial,
    attained,
    goodput,
    running,
    wasted,
)

LIMITS = LimitSettings()
DURATION_MS = 8_000.0
RUN_MS = {"retrieve": 20.0, "generate": 300.0, "check": 80.0}
TOO_SHORT = ErrorCode.DEADLINE_TOO_SHORT.value


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_twice_the_capacity_keeps_goodput_and_shares(seed: int) -> None:
    with running(LIMITS, seed) as trial:
        await trial.load(2.0, DURATION_MS)
    assert goodput(trial, DURATION_MS) >= 0.9
    assert attained(trial, is_large=False) >= 0.95
    assert wasted(trial) <= 0.1
    refused_ms = [
        outcome.ended_ms - outcome.sent_ms
        for outcome in trial.outcomes
        if outcome.result == TOO_SHORT
    ]
    assert statistics.median(refused_ms) <= DEADLINE_MS / 10.0


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_a_calm_system_refuses_hardly_what_could_be_in_time(seed: int) -> None:
    # With this deadline, about a tenth of the requests can be in time.
    tight_ms = 370.0
    done = []
    for predict in (True, False):
        with running(replace(LIMITS, predict=predict), seed) as trial:
            await trial.load(0.5, 4_000.0)
            before = len(trial.outcomes)
            await trial.load(0.4, 12_000.0, tight_ms)
            outcomes = trial.outcomes[before:]
        done.append(sum(outcome.result == ANSWERED for outcome in outcomes))
    assert done[0] >= done[1] - 0.02 * len(outcomes)


async def test_a_deadline_far_too_short_is_refused_at_once() -> None:
    with running(LIMITS, 1) as trial:
        await trial.load(0.5, 4_000.0)
        before = len(trial.outcomes)
        await trial.load(0.5, 4_000.0, 100.0)
    outcomes = trial.outcomes[before:]
    refused = [outcome for outcome in outcomes if outcome.result == TOO_SHORT]
    assert len(refused) >= 0.9 * len(outcomes)
    assert max(outcome.ended_ms - outcome.sent_ms for outcome in refused) == 0.0


async def test_without_recent_runs_every_request_is_tried() -> None:
    with running(LIMITS, 1) as trial:
        await trial.load(0.5, 2_000.0, 100.0)
    assert {outcome.result for outcome in trial.outcomes[:MIN_RUNS]} == {"late"}


@pytest.mark.parametrize("seed", [1, 2])
async def test_a_stage_that_was_slow_is_used_again(seed: int) -> None:
    slow_until_ms = 34_000.0

    def slowness(stage: str, at_ms: float) -> float:
        return 8.0 if stage == "generate" and at_ms < slow_until_ms else 1.0

    with running(LIMITS, seed, slowness=slowness) as trial:
        # Requests with a long deadline measure the slow stage; the others are refused.
        await trial.load(0.4, 8_000.0, 20_000.0)
        outcomes = await outcomes_of(trial, 4_000.0)
        assert sum(outcome.result == TOO_SHORT for outcome in outcomes) >= 0.5 * len(
            outcomes
        )
        await outcomes_of(trial, 2.0 * WINDOW_MS)
        outcomes = await outcomes_of(trial, 4_000.0)
    good = sum(outcome.result == ANSWERED for outcome in outcomes)
    assert good >= 0.95 * len(outcomes)


async def outcomes_of(trial: Trial, duration_ms: float) -> list[RequestOutcome]:
    """Send a moderate load and return how its requests ended."""
    before = len(trial.outcomes)
    await trial.load(0.6, duration_ms)
    return trial.outcomes[before:]


def queue_of(clock: VirtualClock, tickets: list[Ticket]) -> WaitQueue[str]:
    wait_queue: WaitQueue[str] = WaitQueue(clock, 100, lambda slot: None)
    for number, ticket in enumerate(tickets):
        wait_queue.add_waiter(Waiter(ticket, number, lambda: None))
    return wait_queue


def test_a_small_organisation_waits_for_its_share_alone() -> None:
    tickets = [Ticket("large", 1, 1_000.0 + n, 100.0) for n in range(20)]
    wait_queue = queue_of(VirtualClock(), tickets)
    assert (
        predict_wait_ms(wait_queue, Ticket("small", 1, 5_000.0, 100.0), 2, 0.0) <= 100.0
    )
    assert (
        predict_wait_ms(wait_queue, Ticket("large", 1, 5_000.0, 100.0), 2, 0.0)
        == 1_000.0
    )


def test_calls_that_come_too_late_anyway_are_not_waited_for() -> None:
    # An upstream was unavailable: 4 in 5 of these calls can't be in time any more.
    tickets = [Ticket("large", 1, 200.0, 100.0) for _ in range(50)]
    wait_queue = queue_of(VirtualClock(), tickets)
    assert (
        predict_wait_ms(wait_queue, Ticket("large", 1, 5_000.0, 100.0), 2, 0.0) <= 300.0
    )


class FakeStages:
    """Stand-in for the stages that records each call; runs slowly if requested."""

    def __init__(self, trial: Trial) -> None:
        self.trial = trial
        self.calls: dict[str, StageCall] = {}
        self.ran: set[str] = set()
        trial.vm.run_stage = self.run
        for stage, elapsed_ms in RUN_MS.items():
            for _ in range(50):
                trial.vm.stage_times.record_run(f"{stage}-1", PIPELINE, elapsed_ms, 0.0)

    async def run(
        self, vm: Vm, call: StageCall, trace: RunTrace, sink: TokenSink, near: bool
    ) -> StageOutcome:
        """Take the usual time, or four times as long if the input names the stage."""
        self.calls[call.stage] = call
        trace.maybe_ran = not vm.objects.stages[call.stage].repeatable
        slow = call.input["request"] == call.stage
        await vm.clock.sleep_ms(RUN_MS[call.stage] * (4.0 if slow else 1.0))
        self.ran.add(call.stage)
        return StageOutcome("x", "v", "u", "a", "vm", 1, 0.0)

    async def request(
        self, deadline_ms: float, slow: str = "", steps: tuple[Step, ...] = ()
    ) -> Any:
        """Run one request and return its error, if it had one."""
        vm, clock = self.trial.vm, self.trial.clock
        pipeline = vm.objects.pipelines[PIPELINE]
        pipeline = replace(pipeline, steps=steps or pipeline.steps)
        due_ms = clock.now_ms() + deadline_ms
        request = Request("r", LARGE, pipeline, slow, False, due_ms, "k", 1)
        progress = Progress()
        error: list[CuminstileError] = []

        async def run() -> None:
            try:
                await run_pipeline(vm, request, progress, drop_tokens)
            except CuminstileError as caught:
                error.append(caught)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run)
            await clock.advance_ms(5_000.0)
        return error[0] if error else None


def make_unrepeatable(trial: Trial, name: str) -> None:
    stages = trial.vm.objects.stages
    stages[name] = replace(stages[name], repeatable=False)


async def test_each_stage_leaves_the_later_ones_their_time() -> None:
    with running(LIMITS) as trial:
        stages = FakeStages(trial)
        assert await stages.request(2_000.0) is None
    due_ms = {name: call.deadline_ms for name, call in stages.calls.items()}
    assert due_ms["check"] == 2_000.0
    assert due_ms["generate"] == pytest.approx(1_920.0, abs=2.0)
    assert due_ms["retrieve"] == pytest.approx(1_620.0, abs=5.0)


async def test_work_that_cannot_lead_to_an_answer_is_stopped() -> None:
    with running(LIMITS) as trial:
        stages = FakeStages(trial)
        error = await stages.request(500.0, slow="generate")
    assert error.code is ErrorCode.DEADLINE_TOO_SHORT
    assert error.ran is RunStatus.NOT_RUN
    assert stages.ran == {"retrieve"}


async def test_what_may_not_be_repeated_is_not_stopped_on_a_budget() -> None:
    with running(LIMITS) as trial:
        stages = FakeStages(trial)
        make_unrepeatable(trial, "generate")
        await stages.request(1_210.0, slow="generate")
    assert stages.calls["generate"].deadline_ms == 1_210.0
    # The step after it is always tried.
    assert stages.ran == {"retrieve", "generate", "check"}


async def test_no_budget_ends_a_run_beside_that_may_not_be_repeated() -> None:
    steps = (
        Step("retrieve", "retrieve"),
        Step("generate", "generate"),
        Step("check", "check", ("retrieve", "generate")),
    )
    with running(LIMITS) as trial:
        stages = FakeStages(trial)
        make_unrepeatable(trial, "generate")
        # The slow first step leaves too little time for `check` while the other runs.
        await stages.request(150.0, slow="retrieve", steps=steps)
    assert stages.calls["retrieve"].deadline_ms == 150.0
    assert "generate" in stages.ran

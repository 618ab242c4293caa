"""Trial of one VM under a load above its upstreams' capacity, on a virtual clock."""

from __future__ import annotations

import math
import random
from collections import defaultdict
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

import anyio

from cuminstile import attempts
from cuminstile.calls import RunTrace, StageCall, TokenSink, drop_tokens
from cuminstile.clock import VirtualClock
from cuminstile.daemon import make_vm
from cuminstile.exceptions import CuminstileError
from cuminstile.pipeline import Progress, Request, run_pipeline
from cuminstile.runtime import Vm
from cuminstile.settings import LimitSettings
from cuminstile.upstream.client import UpstreamAnswer
from cuminstile.upstream.pools import UpstreamPool
from cuminstile.upstream.table import Condition
from standins.load import arrivals, choose_weighted
from standins.overload_setting import (
    CONTROLS,
    DEADLINE_MS,
    GENERATE_MS,
    LARGE,
    PIPELINE,
    STAGES,
    TOKENS,
    VM_COUNTS,
    all_objects,
    loads_at,
)

from .setting import make_settings, publish

DATA_CENTRE = next(iter(VM_COUNTS))
CAPACITY_PER_S = STAGES["generate"][1] / GENERATE_MS * 1000.0
# Network round trip between the caller and the VM.
DELIVERY_MS = 10.0
STEP_MS = 5.0
ANSWERED = "answered"
LATE = "late"

Slowness = Callable[[str, float], float]


def never_slow(stage: str, at_ms: float) -> float:
    """Return 1, the factor on the work time of a stage that is never slow."""
    return 1.0


@dataclass(frozen=True)
class RequestOutcome:
    """Result of one request; times are in ms from the start of the trial."""

    organisation: str
    sent_ms: float
    ended_ms: float
    result: str


@dataclass
class Trial:
    """State of a trial of one VM and its upstreams.

    Parameters
    ----------
    slowness : Slowness
        The factor on the work time of a stage at a time.
    work_ms : dict of str to float
        The time that each request's runs took at the upstreams.
    good : set of str
        The requests that were answered in time.
    running : dict of str to int
        The calls in flight at each stage.
    """

    limits: LimitSettings
    seed: int = 0
    slowness: Slowness = never_slow
    clock: VirtualClock = field(default_factory=VirtualClock)
    outcomes: list[RequestOutcome] = field(default_factory=list)
    work_ms: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    good: set[str] = field(default_factory=set)
    running: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    vm: Vm = field(init=False)

    def __post_init__(self) -> None:
        """Create a VM that has all its upstreams for itself and knows them as warm."""
        vm = self.vm = make_vm(make_settings("vm", DATA_CENTRE, limits=self.limits))
        vm.clock = self.clock
        vm.journal.clock = self.clock
        vm.random = random.Random(self.seed)
        publish(vm, all_objects())
        # The task that records that the process is running is not started.
        vm.upstreams.last_tick_ms = math.inf
        for upstream in vm.objects.upstreams.values():
            if upstream.data_centre == DATA_CENTRE:
                vm.upstreams.state_of(upstream).condition = Condition.WARM

    def run_time_ms(self, request: str, stage: str) -> float:
        """Return the random duration of a run of a stage that starts now.

        The random part depends only on the seed, the request and the stage, so that
        it is the same for all policies.
        """
        control = CONTROLS[stage]
        draws = random.Random(f"{self.seed}-{request}-{stage}")
        jitter_ms = control["jitter_ms"] * draws.uniform(-1.0, 1.0)
        work_ms = control["work_ms"] + jitter_ms
        work_ms += TOKENS * control.get("token_ms", 0)
        others = max(0, self.running[stage] - 1)
        concurrency_factor = 1.0 + control.get("slowdown", 0.0) * others
        return float(
            work_ms * concurrency_factor * self.slowness(stage, self.clock.now_ms())
        )

    async def call_upstream(
        self,
        pool: UpstreamPool,
        address: str,
        call: StageCall,
        attempt: str,
        remaining_ms: float,
        trace: RunTrace | None,
        on_tokens: TokenSink,
        check: Callable[[], None],
    ) -> UpstreamAnswer:
        """Replace `attempts.call_upstream`: wait for the work time and answer."""
        check()
        if trace is not None:
            trace.maybe_ran = True
        self.running[call.stage] += 1
        started_ms = self.clock.now_ms()
        try:
            await self.clock.sleep_ms(self.run_time_ms(call.request, call.stage))
        finally:
            self.running[call.stage] -= 1
            self.work_ms[call.request] += self.clock.now_ms() - started_ms
        return UpstreamAnswer("i", "warm", {"by": attempt}, 0.0)

    async def request(self, number: int, organisation: str, deadline_ms: float) -> None:
        """Send one request and record its outcome."""
        sent_ms = self.clock.now_ms()
        due_ms = sent_ms + deadline_ms
        name = f"r{number}"
        pipeline = self.vm.objects.pipelines[PIPELINE]
        request = Request(name, organisation, pipeline, {}, False, due_ms, "", 0)
        result = LATE
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.cancel_at, due_ms, tasks.cancel_scope)
            try:
                await run_pipeline(self.vm, request, Progress(), drop_tokens)
                result = ANSWERED
            except CuminstileError as error:
                result = error.code.value
            tasks.cancel_scope.cancel()
        ended_ms = self.clock.now_ms()
        if result == ANSWERED and ended_ms + DELIVERY_MS > due_ms:
            result = LATE
        if result == ANSWERED:
            self.good.add(name)
        self.outcomes.append(RequestOutcome(organisation, sent_ms, ended_ms, result))

    async def cancel_at(self, at_ms: float, scope: anyio.CancelScope) -> None:
        """Cancel a request at its deadline."""
        await self.clock.sleep_ms(at_ms - self.clock.now_ms())
        scope.cancel()

    async def load(
        self, factor: float, duration_ms: float, deadline_ms: float = DEADLINE_MS
    ) -> None:
        """Send `factor` times the capacity for a duration; wait for all outcomes."""
        began_ms = self.clock.now_ms()
        requests = sorted(self.request_arrivals(factor, duration_ms))
        async with anyio.create_task_group() as tasks:
            for number, (at_ms, organisation) in enumerate(
                requests, len(self.outcomes)
            ):
                await self.clock.advance_ms(began_ms + at_ms - self.clock.now_ms())
                tasks.start_soon(self.request, number, organisation, deadline_ms)
            await self.clock.advance_ms(deadline_ms + STEP_MS)

    def request_arrivals(
        self, factor: float, duration_ms: float
    ) -> Iterator[tuple[float, str]]:
        """Yield the time in ms and the organisation of each request."""
        for load in loads_at(factor, duration_ms, self.seed, CAPACITY_PER_S):
            draws = random.Random(load.seed)
            names = [name for name, _ in load.organisations]
            for at_ms in arrivals(load, draws):
                yield at_ms, choose_weighted(names, [1.0] * len(names), draws)


@contextmanager
def running(limits: LimitSettings, seed: int = 0, **fields: Any) -> Iterator[Trial]:
    """Yield a trial that replaces the calls to upstreams until the block ends."""
    trial = Trial(limits, seed, **fields)
    original = attempts.call_upstream
    attempts.call_upstream = trial.call_upstream
    try:
        yield trial
    finally:
        attempts.call_upstream = original


def goodput(trial: Trial, duration_ms: float) -> float:
    """Return the answers in time as a fraction of the capacity.

    Counted from the end of the first deadline to the last arrival.
    """
    counted = sum(
        outcome.result == ANSWERED and DEADLINE_MS <= outcome.ended_ms < duration_ms
        for outcome in trial.outcomes
    )
    return counted / (duration_ms - DEADLINE_MS) * 1000.0 / CAPACITY_PER_S


def attained(trial: Trial, is_large: bool) -> float:
    """Return the fraction of an organisation's requests that were answered in time.

    `is_large` selects the large organisation; otherwise all the others count.
    """
    own = [
        outcome
        for outcome in trial.outcomes
        if (outcome.organisation == LARGE) is is_large
    ]
    return sum(outcome.result == ANSWERED for outcome in own) / max(1, len(own))


def wasted(trial: Trial) -> float:
    """Return the fraction of the upstreams' work for requests not answered in time."""
    total_ms = sum(trial.work_ms.values())
    useful_ms = sum(trial.work_ms[name] for name in trial.good)
    return max(0.0, 1.0 - useful_ms / max(1.0, total_ms))


def refused_after_ms(trial: Trial) -> list[float]:
    """Return the times in ms until requests ended without an answer, ascending."""
    refused = [outcome for outcome in trial.outcomes if outcome.result != ANSWERED]
    return sorted(outcome.ended_ms - outcome.sent_ms for outcome in refused)

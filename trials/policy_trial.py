"""Send a seeded load to the VMs of one data centre and record the results."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

import pytest

from cuminstile.calls import StageCall
from cuminstile.settings import LimitSettings
from cuminstile.upstream.client import UpstreamAnswer, UpstreamError
from tests.upstream.fake_data_centre import (
    FakeDataCentre,
    FakeUpstream,
    running_data_centre,
)

VMS = ("vm-a", "vm-b", "vm-c")
DEADLINE_MS = 4_000.0
STARTUP_MS = 3_000.0
Observer = Callable[[], None]


@dataclass(frozen=True)
class RequestResult:
    """Result of one request.

    Parameters
    ----------
    at_ms : float
        When it arrived.
    result : str
        `good` or the code of the error.
    """

    request: str
    at_ms: float
    elapsed_ms: float
    result: str

    @property
    def is_good(self) -> bool:
        """Return whether the caller got an answer and no error."""
        return self.result == "good"


@dataclass
class TrialUpstream(FakeUpstream):
    """Fake upstream that records its calls, slows down under load and fails if cold.

    A cold upstream with more calls than its cold capacity fails all of them.

    Parameters
    ----------
    base_ms : float
        Mean work time of a call that runs alone.
    slowdown : float
        The fraction by which each other call in flight makes a call longer.
    starts : list of float
        When each call began.
    fallen : set of str
        Calls that fail because they exceeded the capacity of a cold upstream.
    """

    base_ms: float = 100.0
    slowdown: float = 0.0
    starts: list[float] = field(default_factory=list)
    overloaded_attempts: set[str] = field(default_factory=set)

    async def run(self, attempt: str, value: object) -> UpstreamAnswer:
        """Run one call.

        A call above the cold capacity makes all calls in flight fail, and the count
        of runs until the upstream is warm starts again.
        """
        if self.alive:
            self.starts.append(self.clock.now_ms())
        others = len(self.running)
        if not self.warm and others >= self.upstream.cold_capacity:
            self.overloaded_attempts.update(self.running, (attempt,))
            self.runs = 0
        alone_ms = self.base_ms + self.extra_ms(value)
        self.work_ms = alone_ms * (1.0 + self.slowdown * others)
        return await super().run(attempt, value)

    def extra_ms(self, value: object) -> float:
        """Return the time that the input adds to the work time."""
        return 0.0

    def finish(self, attempt: str) -> UpstreamAnswer:
        """End one run and return its answer.

        Raises
        ------
        UpstreamError
            If the call exceeded the capacity of a cold upstream.
        """
        if attempt not in self.overloaded_attempts:
            return super().finish(attempt)
        self.overloaded_attempts.remove(attempt)
        self.running.pop(attempt, None)
        self.record_load()
        raise UpstreamError("failed", True)


@dataclass(frozen=True)
class Load:
    """Data centre and load of a trial.

    Parameters
    ----------
    base_ms : tuple of float
        Mean work time at each upstream.
    capacity : int
        Calls that each upstream can run at once when warm.
    """

    base_ms: tuple[float, ...] = (100.0,) * 4
    capacity: int = 4
    calls_per_s: float = 80.0
    slowdown: float = 0.0
    report_lag_ms: float = 200.0
    is_warm: bool = True
    warm_after: int = 8
    cold_capacity: int = 1
    settings: LimitSettings = field(default_factory=LimitSettings)


@dataclass
class PolicyTrial:
    """State of one run: the data centre, its load and the results so far.

    Parameters
    ----------
    prompt_of : callable or None
        Makes the prompt of a request; if None, each request has a different input.
    """

    centre: FakeDataCentre
    load: Load
    patch: pytest.MonkeyPatch
    draws: random.Random
    prompt_of: Callable[[random.Random], str] | None = None
    finished: list[RequestResult] = field(default_factory=list)
    sent: int = 0

    @property
    def upstreams(self) -> list[TrialUpstream]:
        """Return the upstreams in the order of their names."""
        every = self.centre.upstreams
        found = (every[name] for name in sorted(every))
        return [item for item in found if isinstance(item, TrialUpstream)]

    @property
    def now_ms(self) -> float:
        """Return the virtual time in ms."""
        return self.centre.clock.now_ms()

    async def offer(self, duration_ms: float, observe: Observer | None = None) -> None:
        """Send requests at random times, each through a random VM.

        `observe` is called after each of them.
        """
        end_ms = self.now_ms + duration_ms
        while True:
            gap_ms = self.draws.expovariate(self.load.calls_per_s) * 1_000.0
            if self.now_ms + gap_ms >= end_ms:
                break
            await self.centre.clock.advance_ms(gap_ms)
            self.sent += 1
            self.send(self.next_call())
            if observe is not None:
                observe()
        await self.centre.clock.advance_ms(end_ms - self.now_ms)

    def next_call(self) -> StageCall:
        """Return the call of the next request."""
        call = self.centre.call(f"r{self.sent}", DEADLINE_MS)
        if self.prompt_of is None:
            return call
        return replace(call, input={"prompt": self.prompt_of(self.draws)})

    def send(self, call: StageCall) -> None:
        """Send one call through a random VM."""
        name = self.draws.choice(VMS)
        self.centre.vms[name].tasks.start_soon(self.run_request, name, call)

    async def run_request(self, name: str, call: StageCall) -> None:
        """Run one call and record its result."""
        at_ms = self.now_ms
        results: list[tuple[str, float, str]] = []
        await self.centre.request(name, call, results)
        for result, elapsed_ms, request in results:
            self.finished.append(RequestResult(request, at_ms, elapsed_ms, result))

    def between(self, start_ms: float, end_ms: float) -> list[RequestResult]:
        """Return the results of the requests that arrived in an interval."""
        return [item for item in self.finished if start_ms <= item.at_ms < end_ms]


def starts_between(
    upstreams: Iterable[TrialUpstream], start_ms: float, end_ms: float
) -> int:
    """Return the number of calls that began at upstreams in an interval."""
    return sum(
        start_ms <= at_ms < end_ms for fake in upstreams for at_ms in fake.starts
    )


def good_fraction(
    finished: list[RequestResult], within_ms: float = DEADLINE_MS
) -> float:
    """Return the fraction of the requests that got an answer in time; 1 of none."""
    if not finished:
        return 1.0
    in_time = sum(item.is_good and item.elapsed_ms <= within_ms for item in finished)
    return in_time / len(finished)


def quantile(values: Iterable[float], fraction: float) -> float:
    """Return a quantile of values; 0 if there are none."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


@asynccontextmanager
async def policy_trial(load: Load, seed: int) -> AsyncIterator[PolicyTrial]:
    """Yield a trial of three VMs with fake upstreams, until the block ends."""
    with pytest.MonkeyPatch.context() as patch:
        async with running_data_centre(
            patch,
            len(load.base_ms),
            seed,
            settings=load.settings,
            capacity=load.capacity,
            cold_capacity=load.cold_capacity,
        ) as centre:
            for number, name in enumerate(sorted(centre.upstreams)):
                centre.upstreams[name] = make_fake(centre, name, load, number, seed)
            draws = random.Random(f"load-{seed}")
            yield PolicyTrial(centre, load, patch, draws)


def make_fake(
    centre: FakeDataCentre, name: str, load: Load, number: int, seed: int
) -> TrialUpstream:
    """Return one upstream of a trial."""
    fake = TrialUpstream(
        centre.upstreams[name].upstream,
        centre.clock,
        warm_after=load.warm_after,
        warm=load.is_warm,
        report_lag_ms=load.report_lag_ms,
        source=random.Random(f"{name}-{seed}"),
        base_ms=load.base_ms[number],
        slowdown=load.slowdown,
    )
    fake.record_load()
    return fake


async def start_vms(trial: PolicyTrial, settle_ms: float = STARTUP_MS) -> None:
    """Start the VMs and wait until they know the capacity of the upstreams."""
    for name in VMS:
        await trial.centre.start(name)
    await trial.centre.clock.advance_ms(settle_ms)

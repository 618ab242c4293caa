"""Offer a seeded load to the VMs of one data centre and note what callers get."""

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
START_MS = 3_000.0
Watch = Callable[[], None]


@dataclass(frozen=True)
class Served:
    """Hold what became of one request.

    Parameters
    ----------
    at_ms : float
        When it came.
    result : str
        `good` or the error's code.
    """

    request: str
    at_ms: float
    elapsed_ms: float
    result: str

    @property
    def is_good(self) -> bool:
        """Return whether the caller got the answer."""
        return self.result == "good"


@dataclass
class TrialUpstream(FakeUpstream):
    """Be a fake upstream that falls over when cold, slows down and notes its calls.

    Parameters
    ----------
    base_ms : float
        Mean work time of a call that runs alone.
    slowdown : float
        By which fraction each other call in flight makes a call longer.
    starts : list of float
        When each call began.
    fallen : set of str
        Calls that fail since they were too many for a cold upstream.
    """

    base_ms: float = 100.0
    slowdown: float = 0.0
    starts: list[float] = field(default_factory=list)
    fallen: set[str] = field(default_factory=set)

    async def run(self, attempt: str, value: object) -> UpstreamAnswer:
        """Run one call; one too many makes a cold upstream fail all and begin anew."""
        if self.alive:
            self.starts.append(self.clock.now_ms())
        others = len(self.running)
        if not self.warm and others >= self.upstream.cold_capacity:
            self.fallen.update(self.running, (attempt,))
            self.runs = 0
        alone_ms = self.base_ms + self.extra_ms(value)
        self.work_ms = alone_ms * (1.0 + self.slowdown * others)
        return await super().run(attempt, value)

    def extra_ms(self, value: object) -> float:
        """Return what the input adds to the work time."""
        return 0.0

    def finish(self, attempt: str) -> UpstreamAnswer:
        """End one run and return its answer."""
        if attempt not in self.fallen:
            return super().finish(attempt)
        self.fallen.remove(attempt)
        self.running.pop(attempt, None)
        self.record_load()
        raise UpstreamError("failed", True)


@dataclass(frozen=True)
class Load:
    """Describe the data centre and the load of a trial.

    Parameters
    ----------
    base_ms : tuple of float
        Mean work time at each upstream.
    capacity : int
        Calls that each upstream bears when warm.
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
    """Hold one run: the data centre, its load and the answers so far.

    Parameters
    ----------
    prompt_of : callable or None
        Draws the prompt of a request; without it each has an input of its own.
    """

    centre: FakeDataCentre
    load: Load
    patch: pytest.MonkeyPatch
    draws: random.Random
    prompt_of: Callable[[random.Random], str] | None = None
    served: list[Served] = field(default_factory=list)
    sent: int = 0

    @property
    def upstreams(self) -> list[TrialUpstream]:
        """Return the upstreams by name."""
        every = self.centre.upstreams
        found = (every[name] for name in sorted(every))
        return [item for item in found if isinstance(item, TrialUpstream)]

    @property
    def now_ms(self) -> float:
        """Return the virtual time."""
        return self.centre.clock.now_ms()

    async def offer(self, duration_ms: float, watch: Watch | None = None) -> None:
        """Send requests at random moments, through a random VM each."""
        end_ms = self.now_ms + duration_ms
        while True:
            gap_ms = self.draws.expovariate(self.load.calls_per_s) * 1_000.0
            if self.now_ms + gap_ms >= end_ms:
                break
            await self.centre.clock.advance_ms(gap_ms)
            self.sent += 1
            self.send(self.next_call())
            if watch is not None:
                watch()
        await self.centre.clock.advance_ms(end_ms - self.now_ms)

    def next_call(self) -> StageCall:
        """Return the next request's call."""
        call = self.centre.call(f"r{self.sent}", DEADLINE_MS)
        if self.prompt_of is None:
            return call
        return replace(call, input={"prompt": self.prompt_of(self.draws)})

    def send(self, call: StageCall) -> None:
        """Send one call through a random VM."""
        name = self.draws.choice(VMS)
        self.centre.vms[name].tasks.start_soon(self.ask, name, call)

    async def ask(self, name: str, call: StageCall) -> None:
        """Run one call and note how it ended."""
        at_ms = self.now_ms
        results: list[tuple[str, float, str]] = []
        await self.centre.request(name, call, results)
        for result, elapsed_ms, request in results:
            self.served.append(Served(request, at_ms, elapsed_ms, result))

    def between(self, start_ms: float, end_ms: float) -> list[Served]:
        """Return the requests that came in a stretch of time."""
        return [item for item in self.served if start_ms <= item.at_ms < end_ms]


def starts_between(
    upstreams: Iterable[TrialUpstream], start_ms: float, end_ms: float
) -> int:
    """Return how many calls began at upstreams in a stretch of time."""
    return sum(
        start_ms <= at_ms < end_ms for fake in upstreams for at_ms in fake.starts
    )


def good_fraction(served: list[Served], within_ms: float = DEADLINE_MS) -> float:
    """Return which part of the requests got an answer in time."""
    if not served:
        return 1.0
    in_time = sum(item.is_good and item.elapsed_ms <= within_ms for item in served)
    return in_time / len(served)


def quantile(values: Iterable[float], fraction: float) -> float:
    """Return a quantile; 0 of nothing."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


@asynccontextmanager
async def policy_trial(load: Load, seed: int) -> AsyncIterator[PolicyTrial]:
    """Run three VMs over fake upstreams until the block ends."""
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


async def start_vms(trial: PolicyTrial, rest_ms: float = START_MS) -> None:
    """Start the VMs and let them find out what bears how much."""
    for name in VMS:
        await trial.centre.start(name)
    await trial.centre.clock.advance_ms(rest_ms)

"""Hold what engines, pools and services have in common."""

import dataclasses
import json
import os
import random
import secrets
import time
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import TaskGroup

from .calls import Active, Call, Faults, Outcome, Run, RunLog
from .control import (
    UPSTREAM,
    Controlled,
    UpstreamControl,
    VersionFault,
    without_actions,
)
from .slots import Slots

CRASH_STATUS = 70
NO_FAULT = VersionFault()


@dataclass(frozen=True)
class Load:
    """Hold a load report as it stood at `at_ms`."""

    at_ms: float
    state: str
    in_flight: int
    queue: int
    leaving: bool


@dataclass(frozen=True)
class Refusal:
    """Tell why nothing ran."""

    code: str


@dataclass
class Upstream:
    """Hold the state of one upstream.

    Parameters
    ----------
    perform : callable
        Does the work of one call and sets its output.
    cancels : bool
        Whether it stops a call when told to, or when a stream's caller has left.
    warm_runs : int
        Runs answered since it turned cold.
    cold_told_ms : float or None
        When an answer first told that it is cold.
    """

    name: str
    control: Controlled[UpstreamControl]
    perform: Callable[["Upstream", Active], Awaitable[None]]
    log: RunLog
    rng: random.Random
    slots: Slots
    cancels: bool = True
    incarnation: str = field(default_factory=lambda: secrets.token_hex(6))
    active: dict[str, Active] = field(default_factory=dict)
    warm: bool = False
    warm_runs: int = 0
    cold_told_ms: float | None = None
    highest_in_flight: int = 0
    highest_cold_in_flight: int = 0
    overloads: int = 0
    overloads_told: int = 0
    version_runs: dict[str, int] = field(default_factory=dict)
    versions: set[str] = field(default_factory=set)
    loads: deque[Load] = field(default_factory=deque)
    left_at_ms: int | None = None
    last_answer: dict[str, Any] | None = None
    tasks: TaskGroup | None = None

    @property
    def values(self) -> UpstreamControl:
        """Return the present control values."""
        return self.control.values

    @property
    def state(self) -> str:
        """Return `cold` or `warm`."""
        return "warm" if self.warm else "cold"

    def change(self, before: UpstreamControl, after: UpstreamControl) -> None:
        """Follow a change of the control values."""
        if after.seed != before.seed:
            self.rng = random.Random(after.seed)
        if after.versions != before.versions:
            self.versions = set(after.versions)
        if after.leave and not before.leave:
            self.left_at_ms = wall_ms()
        if not after.leave:
            self.left_at_ms = None
        if after.turn_cold:
            self.turn_cold()
        elif after.warm_after_runs <= self.warm_runs:
            self.warm = True
        self.control.values = without_actions(after)
        self.slots.admit()
        self.note_load()

    def turn_cold(self) -> None:
        """Lose the warm state; no answer has told it yet."""
        self.warm = False
        self.warm_runs = 0
        self.cold_told_ms = None

    def note_load(self) -> None:
        """Keep the present load for the reports to come."""
        load = Load(
            now_ms(),
            self.state,
            len(self.active),
            len(self.slots.waiting),
            self.values.leave,
        )
        self.loads.append(load)
        self.reported_load()

    def reported_load(self) -> Load:
        """Return the load as it stood `report_lag_ms` ago."""
        seen_ms = now_ms() - self.values.report_lag_ms
        while len(self.loads) > 1 and self.loads[1].at_ms <= seen_ms:
            self.loads.popleft()
        return self.loads[0]

    def tell_state(self) -> str:
        """Return the state for an answer, noting that the caller now knows it."""
        if not self.warm and self.cold_told_ms is None:
            self.cold_told_ms = now_ms()
        return self.state

    def refuse(self, call: Call) -> Refusal | None:
        """Return why a call is refused before anything of it runs."""
        if self.versions and call.version not in self.versions:
            return Refusal("version_missing")
        in_flight = len(self.active) + 1
        if self.warm and in_flight > self.values.capacity + self.values.queue:
            return Refusal("busy")
        too_much = in_flight > self.values.cold_capacity
        if not self.warm and too_much and self.values.refuse_when_cold:
            return Refusal("cold")
        return None

    def accept(self, call: Call) -> Active:
        """Take a call into flight; a cold upstream may fall over it."""
        in_flight = len(self.active) + 1
        run = Run(
            attempt=call.attempt,
            stage=call.stage,
            version=call.version,
            organisation=call.organisation,
            idempotency_key=call.idempotency_key,
            at_ms=wall_ms(),
            state=self.state,
            in_flight=in_flight,
            cold_told_ms_ago=self.cold_told_ms_ago(),
        )
        self.log.add(run)
        self.crash_if_told(call)
        active = Active(call, run, self.draw_faults(call), now_ms())
        self.active[call.attempt] = active
        runs = self.version_runs.get(call.version, 0)
        self.version_runs[call.version] = runs + 1
        self.highest_in_flight = max(self.highest_in_flight, in_flight)
        if not self.warm:
            self.check_cold_load(in_flight)
        self.note_load()
        return active

    def cold_told_ms_ago(self) -> float | None:
        """Return how long ago an answer first told that it is cold."""
        if self.warm or self.cold_told_ms is None:
            return None
        return now_ms() - self.cold_told_ms

    def check_cold_load(self, in_flight: int) -> None:
        """Fall over if a cold upstream has more in flight than it bears."""
        self.highest_cold_in_flight = max(self.highest_cold_in_flight, in_flight)
        if in_flight <= self.values.cold_capacity:
            return
        self.overloads += 1
        if self.cold_told_ms is not None:
            self.overloads_told += 1
        self.warm_runs = 0
        for active in self.active.values():
            active.stop(Outcome.OVERLOADED)

    def crash_if_told(self, call: Call) -> None:
        """End the process if the input holds the text that crashes it."""
        text = self.values.crash_on
        if text and text in json.dumps(call.input):
            print(f"crash on attempt {call.attempt}", flush=True)
            os._exit(CRASH_STATUS)

    def version_fault(self, version: str) -> VersionFault:
        """Return how a version is bad at present."""
        fault = self.values.version_faults.get(version, NO_FAULT)
        if self.version_runs.get(version, 0) < fault.after_runs:
            return NO_FAULT
        if len(self.active) <= fault.above_in_flight and fault.above_in_flight:
            return NO_FAULT
        return fault

    def draw_faults(self, call: Call) -> Faults:
        """Draw what goes wrong with one call."""
        values = self.values
        bad = self.version_fault(call.version)

        def drawn(fraction: float) -> bool:
            return self.rng.random() < fraction

        return Faults(
            fail=drawn(max(values.fail_fraction, bad.fail_fraction)),
            drop=drawn(max(values.drop_fraction, bad.drop_fraction)),
            late=drawn(values.late_fraction),
            cross=drawn(values.cross_fraction),
            truncate=drawn(values.truncate_fraction),
            repeat=drawn(values.repeat_fraction),
        )

    def slowness(self) -> float:
        """Return the factor on work times at the present load."""
        factor = 1.0 + self.values.slowdown * max(0, self.slots.working - 1)
        return factor if self.warm else factor * self.values.cold_slowdown

    def work_time_ms(self, version: str) -> float:
        """Return the work time of a call that starts now."""
        fault_ms = self.version_fault(version).work_ms
        usual_ms = self.values.work_ms if fault_ms is None else fault_ms
        jitter_ms = self.values.jitter_ms * (2.0 * self.rng.random() - 1.0)
        return max(0.0, usual_ms + jitter_ms) * self.slowness()

    async def work(self, active: Active) -> None:
        """Do the work of one call in a task of its own, to its end."""
        try:
            with active.scope:
                await self.work_in_slot(active)
                if active.outcome is Outcome.RUNNING:
                    active.outcome = self.drawn_outcome(active)
        finally:
            self.end(active)

    def drawn_outcome(self, active: Active) -> Outcome:
        """Return how work that came to its end ends."""
        return Outcome.FAILED if active.faults.fail else Outcome.ANSWERED

    async def work_in_slot(self, active: Active) -> None:
        """Wait for a place, then work."""
        await self.slots.take(active.call.priority)
        try:
            started_ms = now_ms()
            await self.perform(self, active)
            active.work_ms = now_ms() - started_ms
        finally:
            self.slots.release()

    def end(self, active: Active) -> None:
        """Take a call out of flight."""
        if self.active.get(active.call.attempt) is active:
            del self.active[active.call.attempt]
        active.run.outcome = active.outcome
        active.run.ended_ms = wall_ms()
        if active.outcome is Outcome.ANSWERED:
            self.warm_runs += 1
            self.warm = self.warm or self.warm_runs >= self.values.warm_after_runs
        active.wake()
        self.note_load()


def now_ms() -> float:
    """Return the monotonic time in ms."""
    return time.monotonic() * 1000.0


def wall_ms() -> int:
    """Return the time of day in ms since 1970 UTC."""
    return int(time.time() * 1000)


async def wait_ms(duration_ms: float) -> None:
    """Wait; a negative duration only yields."""
    await anyio.sleep(max(0.0, duration_ms) / 1000.0)


def make_upstream(
    name: str,
    values: UpstreamControl,
    perform: Callable[[Upstream, Active], Awaitable[None]],
    log: RunLog,
    cancels: bool = True,
) -> Upstream:
    """Return an upstream that has just started: cold, unless it warms after no run."""
    upstream = Upstream(
        name=name,
        control=Controlled(UPSTREAM, dataclasses.replace(values, turn_cold=False)),
        perform=perform,
        log=log,
        rng=random.Random(values.seed),
        slots=Slots(lambda: upstream.values.capacity),
        cancels=cancels,
        warm=values.warm_after_runs == 0,
        cold_told_ms=now_ms(),
        versions=set(values.versions),
    )
    upstream.control.on_change = upstream.change
    log.load()
    upstream.note_load()
    return upstream

"""Simulated upstream: the common part of engines, pools and services."""

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

from .calls import ActiveCall, Call, Faults, Outcome, Run, RunLog
from .control import (
    UPSTREAM,
    ControlState,
    UpstreamControl,
    VersionFault,
    without_actions,
)
from .slots import Slots

CRASH_STATUS = 70
NO_FAULT = VersionFault()


@dataclass(frozen=True)
class LoadReport:
    """Load of an upstream at the time `at_ms`."""

    at_ms: float
    state: str
    in_flight: int
    queue: int
    leaving: bool


@dataclass(frozen=True)
class Refusal:
    """Reason why a call was refused before it ran."""

    code: str


@dataclass
class Upstream:
    """State of one upstream.

    Parameters
    ----------
    perform : callable
        Performs one call and sets its output.
    cancels : bool
        Whether it stops a call on request, or when the caller of a stream disconnects.
    warm_runs : int
        Number of runs answered since it turned cold.
    cold_told_ms : float or None
        Time of the first response that reported that it is cold.
    """

    name: str
    control: ControlState[UpstreamControl]
    perform: Callable[["Upstream", ActiveCall], Awaitable[None]]
    log: RunLog
    rng: random.Random
    slots: Slots
    cancels: bool = True
    incarnation: str = field(default_factory=lambda: secrets.token_hex(6))
    active: dict[str, ActiveCall] = field(default_factory=dict)
    warm: bool = False
    warm_runs: int = 0
    cold_reported_ms: float | None = None
    highest_in_flight: int = 0
    highest_cold_in_flight: int = 0
    overloads: int = 0
    overloads_reported: int = 0
    version_runs: dict[str, int] = field(default_factory=dict)
    versions: set[str] = field(default_factory=set)
    loads: deque[LoadReport] = field(default_factory=deque)
    left_at_ms: int | None = None
    last_answer: dict[str, Any] | None = None
    tasks: TaskGroup | None = None

    @property
    def values(self) -> UpstreamControl:
        """Return the current control values."""
        return self.control.values

    @property
    def state(self) -> str:
        """Return `cold` or `warm`."""
        return "warm" if self.warm else "cold"

    def change(self, before: UpstreamControl, after: UpstreamControl) -> None:
        """Apply a change of the control values."""
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
        self.record_load()

    def turn_cold(self) -> None:
        """Become cold; no response has reported this yet."""
        self.warm = False
        self.warm_runs = 0
        self.cold_reported_ms = None

    def record_load(self) -> None:
        """Record the current load for later reports."""
        load = LoadReport(
            now_ms(),
            self.state,
            len(self.active),
            len(self.slots.waiting),
            self.values.leave,
        )
        self.loads.append(load)
        self.reported_load()

    def reported_load(self) -> LoadReport:
        """Return the load as of `report_lag_ms` ago."""
        seen_ms = now_ms() - self.values.report_lag_ms
        while len(self.loads) > 1 and self.loads[1].at_ms <= seen_ms:
            self.loads.popleft()
        return self.loads[0]

    def report_state(self) -> str:
        """Return the state for a response, and record when cold was first reported."""
        if not self.warm and self.cold_reported_ms is None:
            self.cold_reported_ms = now_ms()
        return self.state

    def refuse(self, call: Call) -> Refusal | None:
        """Return why a call is refused before it runs, or None."""
        if self.versions and call.version not in self.versions:
            return Refusal("version_missing")
        in_flight = len(self.active) + 1
        if self.warm and in_flight > self.values.capacity + self.values.queue:
            return Refusal("busy")
        above_cold = in_flight > self.values.cold_capacity
        if not self.warm and above_cold and self.values.refuse_when_cold:
            return Refusal("cold")
        return None

    def accept(self, call: Call) -> ActiveCall:
        """Accept a call; it can overload a cold upstream."""
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
            cold_told_ms_ago=self.cold_reported_ms_ago(),
        )
        self.log.add(run)
        self.crash_if_requested(call)
        active = ActiveCall(call, run, self.draw_faults(call), now_ms())
        self.active[call.attempt] = active
        runs = self.version_runs.get(call.version, 0)
        self.version_runs[call.version] = runs + 1
        self.highest_in_flight = max(self.highest_in_flight, in_flight)
        if not self.warm:
            self.check_cold_load(in_flight)
        self.record_load()
        return active

    def cold_reported_ms_ago(self) -> float | None:
        """Return how long ago a response first reported that it is cold, in ms.

        None if it is warm or if no response has reported it.
        """
        if self.warm or self.cold_reported_ms is None:
            return None
        return now_ms() - self.cold_reported_ms

    def check_cold_load(self, in_flight: int) -> None:
        """Fail all calls in flight if there are more than a cold upstream supports."""
        self.highest_cold_in_flight = max(self.highest_cold_in_flight, in_flight)
        if in_flight <= self.values.cold_capacity:
            return
        self.overloads += 1
        if self.cold_reported_ms is not None:
            self.overloads_reported += 1
        self.warm_runs = 0
        for active in self.active.values():
            active.stop(Outcome.OVERLOADED)

    def crash_if_requested(self, call: Call) -> None:
        """Exit the process if the input contains the text `crash_on`."""
        text = self.values.crash_on
        if text and text in json.dumps(call.input):
            print(f"simulated crash on attempt {call.attempt}", flush=True)
            os._exit(CRASH_STATUS)

    def version_fault(self, version: str) -> VersionFault:
        """Return the current faults of a version."""
        fault = self.values.version_faults.get(version, NO_FAULT)
        if self.version_runs.get(version, 0) < fault.after_runs:
            return NO_FAULT
        if len(self.active) <= fault.above_in_flight and fault.above_in_flight:
            return NO_FAULT
        return fault

    def draw_faults(self, call: Call) -> Faults:
        """Draw the faults of one call."""
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
        """Return the factor applied to work times at the current load."""
        factor = 1.0 + self.values.slowdown * max(0, self.slots.working - 1)
        return factor if self.warm else factor * self.values.cold_slowdown

    def work_time_ms(self, version: str) -> float:
        """Return the work time of a call that starts now."""
        fault_ms = self.version_fault(version).work_ms
        usual_ms = self.values.work_ms if fault_ms is None else fault_ms
        jitter_ms = self.values.jitter_ms * (2.0 * self.rng.random() - 1.0)
        return max(0.0, usual_ms + jitter_ms) * self.slowness()

    async def work(self, active: ActiveCall) -> None:
        """Run one call to its end, in its own task."""
        try:
            with active.scope:
                await self.work_in_slot(active)
                if active.outcome is Outcome.RUNNING:
                    active.outcome = self.completed_outcome(active)
        finally:
            self.end(active)

    def completed_outcome(self, active: ActiveCall) -> Outcome:
        """Return the outcome of work that was completed."""
        return Outcome.FAILED if active.faults.fail else Outcome.ANSWERED

    async def work_in_slot(self, active: ActiveCall) -> None:
        """Wait for a slot, then work."""
        await self.slots.acquire(active.call.priority)
        try:
            started_ms = now_ms()
            await self.perform(self, active)
            active.work_ms = now_ms() - started_ms
        finally:
            self.slots.release()

    def end(self, active: ActiveCall) -> None:
        """Remove a call from those in flight and record its outcome."""
        if self.active.get(active.call.attempt) is active:
            del self.active[active.call.attempt]
        active.run.outcome = active.outcome
        active.run.ended_ms = wall_ms()
        if active.outcome is Outcome.ANSWERED:
            self.warm_runs += 1
            self.warm = self.warm or self.warm_runs >= self.values.warm_after_runs
        active.wake()
        self.record_load()


def now_ms() -> float:
    """Return the monotonic time in ms."""
    return time.monotonic() * 1000.0


def wall_ms() -> int:
    """Return the time of day in ms since 1970 UTC."""
    return int(time.time() * 1000)


async def wait_ms(duration_ms: float) -> None:
    """Sleep; a negative duration only yields to other tasks."""
    await anyio.sleep(max(0.0, duration_ms) / 1000.0)


def make_upstream(
    name: str,
    values: UpstreamControl,
    perform: Callable[[Upstream, ActiveCall], Awaitable[None]],
    log: RunLog,
    cancels: bool = True,
) -> Upstream:
    """Return a started upstream; it is cold unless `warm_after_runs` is 0."""
    upstream = Upstream(
        name=name,
        control=ControlState(UPSTREAM, dataclasses.replace(values, turn_cold=False)),
        perform=perform,
        log=log,
        rng=random.Random(values.seed),
        slots=Slots(lambda: upstream.values.capacity),
        cancels=cancels,
        warm=values.warm_after_runs == 0,
        cold_reported_ms=now_ms(),
        versions=set(values.versions),
    )
    upstream.control.on_change = upstream.change
    log.load()
    upstream.record_load()
    return upstream

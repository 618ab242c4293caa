"""Requests with parts of prompts at VMs and upstreams, on a virtual clock."""

from __future__ import annotations

import heapq
import itertools
import random
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

from cuminstile.clock import VirtualClock
from cuminstile.exceptions import ErrorCode
from cuminstile.gateway.crash_evidence import record_long_run
from cuminstile.gateway.crash_guard import begin_send, end_send, is_part_on_trial
from cuminstile.gateway.crash_sharing import (
    SHARE_INTERVAL_MS,
    repeat_suspicions,
    share_changes,
)
from cuminstile.gateway.crash_state import part_names_of
from cuminstile.gateway.model import PromptPart
from cuminstile.gateway.refusals import Refusal
from cuminstile.gateway.send_state import LONG_RUN_MS, Call, SendEnd
from cuminstile.gateway.state import Gateway
from cuminstile.gateway.unframed_answers import settle_old
from cuminstile.gateway.upstreams import UpstreamState, process_of

from .fleet import CountedStore, Fleet
from .test_attempts import make_call
from .test_state import make_upstream

RESTART_MS = 2_000.0
CONTACT_MS = 3_000.0
"""Time after its start for which a VM doesn't count as in touch."""
DEADLINE_MS = 5_000.0
CHECK_MS = 50.0
"""Time in which a VM finds out which upstreams live."""
MAX_WAIT_MS = 1_000.0
COMMON = "c0"


@dataclass
class Run:
    """One run of a request at an upstream; times in ms of the virtual clock."""

    vm: Gateway
    call: Call
    state: UpstreamState
    on_trial: bool
    began_ms: float
    retries: int

    @property
    def parts(self) -> list[str]:
        """Return the parts of the prompt that others can share."""
        return [part.id for part in self.call.fields.parts[:-1]]


@dataclass
class Engine:
    """One upstream: what it runs, its incarnation and when it is back."""

    number: int
    incarnation: int = 1
    back_ms: float = 0.0
    runs: list[Run] = field(default_factory=list)

    def state(self) -> UpstreamState:
        """Return the present process."""
        info = make_upstream(f"u{self.number}", started_ms=self.incarnation)
        return UpstreamState(info)


@dataclass
class Refused:
    """A refusal with the time and the parts of the request.

    Parameters
    ----------
    blamed : str
        The part for which it was refused, empty for none.
    """

    at_ms: float
    code: ErrorCode
    parts: Sequence[str]
    blamed: str = ""


@dataclass
class Seen:
    """What happened.

    Parameters
    ----------
    sends : list of tuple
        Time, parts and whether the VM was in touch with the others for a while.
    ended : list of tuple
        Times of the ends of upstreams, with the parts of what they ran.
    answered : dict of str to float
        When a request with a part was last answered in full.
    """

    sends: list[tuple[float, Sequence[str], bool]] = field(default_factory=list)
    ended: list[tuple[float, set[str]]] = field(default_factory=list)
    answered: dict[str, float] = field(default_factory=dict)
    refused: list[Refused] = field(default_factory=list)

    def ended_with(self, part: str) -> list[float]:
        """Return when upstreams ended that ran a request with a part."""
        return [at_ms for at_ms, parts in self.ended if part in parts]

    def sends_with(self, part: str) -> list[float]:
        """Return when VMs in touch sent requests with a part."""
        return [at_ms for at_ms, parts, touch in self.sends if touch and part in parts]


class PromptTraffic:
    """VMs and engines on one clock; what crashes engines is a set of parts."""

    def __init__(self, vms: int, engines: int, seed: int, bad: Sequence[str]) -> None:
        self.clock = VirtualClock(at_ms=1_000_000.0)
        self.fleet = Fleet(self.clock, CountedStore())
        self.random = random.Random(seed)
        self.bad = set(bad)
        self.seen = Seen()
        self.engines = [Engine(number) for number in range(engines)]
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.run_ms = (50.0, 1_500.0)
        self.crash_ms = (10.0, 120.0)
        self.retries = 1
        self.started_ms: dict[str, float] = {}
        self.listed: dict[str, UpstreamState] = {}
        for number in range(vms):
            self.fleet.add(number, "abc"[number % 3])
        self.list_engines()
        for _ in range(3):
            self.fleet.exchange_heartbeats()
            self.clock.at_ms += 1_000.0
        self.at(SHARE_INTERVAL_MS, self.share)
        self.at(1_000.0, self.heartbeat)

    def at(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Do something later."""
        due_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self.events, (due_ms, next(self.numbers), action))

    def run_for(self, duration_ms: float) -> None:
        """Let time pass."""
        end_ms = self.clock.now_ms() + duration_ms
        while self.events and self.events[0][0] <= end_ms:
            due_ms, _, action = heapq.heappop(self.events)
            self.clock.at_ms = max(self.clock.at_ms, due_ms)
            action()
        self.clock.at_ms = max(self.clock.at_ms, end_ms)

    def live_vms(self) -> list[Gateway]:
        """Return the VMs that run and are not frozen."""
        return [vm for a, vm in self.fleet.vms.items() if a not in self.fleet.dead]

    def any_vm(self) -> Gateway:
        """Return a VM that runs."""
        return self.random.choice(self.live_vms())

    def list_engines(self) -> None:
        """Let all VMs know the list of the engines; ended ones stay in it."""
        now_ms = self.clock.now_ms()
        up = [engine.state() for engine in self.engines if engine.back_ms <= now_ms]
        self.listed |= {state.info.id: state for state in up}
        for vm in self.fleet.vms.values():
            vm.table.states = dict(self.listed)

    def check_engines(self, vm: Gateway, state: UpstreamState) -> None:
        """Let a VM find out which other engines are down, as it does after a trial."""
        now_ms = self.clock.now_ms()
        for engine in self.engines:
            other = vm.table.states[f"u{engine.number}"].info
            if engine.back_ms > now_ms and other.id != state.info.id:
                process = process_of(other.id, other.started_ms)
                vm.crash_guard.table.record_ended(other.service, process, now_ms)

    def share(self) -> None:
        """Let all VMs share what they know."""
        for vm in self.live_vms():
            settle_old(vm)
            repeat_suspicions(vm)
            if vm.crash_guard.unsent:
                share_changes(vm)
        self.at(SHARE_INTERVAL_MS, self.share)

    def heartbeat(self) -> None:
        """Exchange heartbeats."""
        self.fleet.exchange_heartbeats()
        self.at(1_000.0, self.heartbeat)

    def request(self, parts: Sequence[str], vm: Gateway | None = None) -> None:
        """Let a request arrive at a VM, with a last part and a body of its own."""
        number = next(self.numbers)
        prompt = tuple(PromptPart(part, 100) for part in (*parts, f"own{number}"))
        call = make_call(max_attempts=2)
        call = replace(
            call,
            digest=b"%016d" % number,
            fields=replace(call.fields, parts=prompt),
            part_names=part_names_of(prompt),
            expires_at_ms=self.clock.now_ms() + DEADLINE_MS,
        )
        vm = vm or self.any_vm()
        self.send(vm, call, self.clock.now_ms() + MAX_WAIT_MS, self.retries)

    def send(self, vm: Gateway, call: Call, wait_until_ms: float, retries: int) -> None:
        """Send a request, or wait for the trial of another one."""
        now_ms = self.clock.now_ms()
        up = [engine for engine in self.engines if engine.back_ms <= now_ms]
        if now_ms >= call.expires_at_ms or not self.is_live(vm):
            return
        waits = is_part_on_trial(vm, call) and now_ms < wait_until_ms
        if waits or not up:
            self.at(10.0, lambda: self.send(vm, call, wait_until_ms, retries))
            return
        parts = [part.id for part in call.fields.parts[:-1]]
        try:
            on_trial = begin_send(vm, call)
        except Refusal as refusal:
            blamed = re.search(r" part (\w+) of this prompt", refusal.message)
            name = blamed.group(1) if blamed else ""
            self.seen.refused.append(Refused(now_ms, refusal.code, parts, name))
            return
        engine = self.random.choice(up)
        run = Run(vm, call, engine.state(), on_trial, now_ms, retries)
        engine.runs.append(run)
        self.at(LONG_RUN_MS, lambda: self.note_long_run(engine, run))
        self.seen.sends.append((now_ms, parts, self.in_touch(vm)))
        if self.bad.intersection(parts):
            delay_ms = self.random.uniform(*self.crash_ms)
            self.at(delay_ms, lambda: self.crash(engine, run))
        else:
            delay_ms = self.random.uniform(*self.run_ms)
            self.at(delay_ms, lambda: self.answer(engine, run))

    def note_long_run(self, engine: Engine, run: Run) -> None:
        """Let a VM see that a run goes well for a while."""
        if run in engine.runs and self.is_live(run.vm):
            record_long_run(run.vm, run.call, run.began_ms)

    def answer(self, engine: Engine, run: Run) -> None:
        """Answer a request in full, if its engine still runs it."""
        if run not in engine.runs:
            return
        engine.runs.remove(run)
        for part in run.parts:
            self.seen.answered[part] = self.clock.now_ms()
        if self.is_live(run.vm):
            end_send(run.vm, SendEnd(run.call, run.state, ran=True, trial=run.on_trial))

    def crash(self, engine: Engine, cause: Run | None = None) -> None:
        """End an engine with all that it runs; resend some of it."""
        now_ms = self.clock.now_ms()
        if (cause is not None and cause not in engine.runs) or engine.back_ms > now_ms:
            return
        engine.back_ms = now_ms + RESTART_MS
        runs, engine.runs = engine.runs, []
        engine.incarnation += 1
        self.at(RESTART_MS, self.list_engines)
        self.seen.ended.append((now_ms, {part for run in runs for part in run.parts}))
        self.random.shuffle(runs)
        for run in runs:
            self.cut_off(run)

    def cut_off(self, run: Run) -> None:
        """Let a VM see the end of a run; after a trial it checks the engines first."""
        took_ms = self.clock.now_ms() - run.began_ms
        if run.on_trial:
            self.at(CHECK_MS, lambda: self.note_crash(run, took_ms))
        else:
            self.note_crash(run, took_ms)

    def note_crash(self, run: Run, took_ms: float) -> None:
        """Let a VM note a crash, and send the request once more if allowed."""
        if not self.is_live(run.vm):
            return
        if run.on_trial:
            self.check_engines(run.vm, run.state)
        end = SendEnd(
            run.call,
            run.state,
            crashed=True,
            trial=run.on_trial,
            ran_long=took_ms >= LONG_RUN_MS,
            took_ms=took_ms,
        )
        end_send(run.vm, end)
        self.resend(run)

    def fail(self, run: Run) -> None:
        """Let a VM see that a run ended though its engine lives on."""
        end_send(run.vm, SendEnd(run.call, run.state, trial=run.on_trial))
        self.resend(run)

    def resend(self, run: Run) -> None:
        """Send a request once more, if it may be."""
        if run.retries:
            wait_until_ms = self.clock.now_ms() + MAX_WAIT_MS
            left = run.retries - 1
            self.at(0.0, lambda: self.send(run.vm, run.call, wait_until_ms, left))

    def break_off(self) -> None:
        """Let an engine break one answer off, and go on with the others."""
        busy = [engine for engine in self.engines if engine.runs]
        if busy:
            runs = self.random.choice(busy).runs
            self.cut_off(runs.pop(self.random.randrange(len(runs))))

    def restart_vm(self) -> None:
        """Kill a VM; another one starts at its address and knows nothing."""
        old = self.any_vm()
        number = list(self.fleet.vms.values()).index(old)
        new = self.fleet.add(number, old.settings.data_centre)
        new.incarnation = f"incarnation-{next(self.numbers)}"
        self.started_ms[new.settings.peer_address] = self.clock.now_ms()
        self.list_engines()

    def freeze(self, vm: Gateway) -> None:
        """Let a VM stand still: it keeps what it knows and hears nothing."""
        self.fleet.dead.add(vm.settings.peer_address)

    def wake(self, vm: Gateway) -> None:
        """Let a frozen VM go on."""
        self.fleet.dead.remove(vm.settings.peer_address)
        self.started_ms[vm.settings.peer_address] = self.clock.now_ms()

    def in_touch(self, vm: Gateway) -> bool:
        """Return whether a VM did not start just now and is not cut off."""
        started_ms = self.started_ms.get(vm.settings.peer_address, 0.0)
        if vm.settings.data_centre == self.fleet.cut_off:
            return False
        return self.clock.now_ms() - started_ms >= CONTACT_MS

    def is_live(self, vm: Gateway) -> bool:
        """Return whether a VM is still the one that runs at its address."""
        return self.fleet.vms[vm.settings.peer_address] is vm

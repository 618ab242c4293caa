"""Test what VMs know of a store that comes back from an older copy."""

from __future__ import annotations

import random
from collections.abc import Callable, Coroutine, Generator
from dataclasses import dataclass, field
from typing import Any

import pytest

from cuminstile.clock import VirtualClock
from cuminstile.eras.position import Position
from cuminstile.exceptions import TrimmedError
from cuminstile.gateway.following import StoreCallError, read_once
from cuminstile.gateway.messages import CODEC
from cuminstile.gateway.state import Gateway
from cuminstile.gateway.topics import (
    RETURN_GRACE_MS,
    KeyedRecord,
    TopicPage,
    TopicState,
    apply_delta,
    delta_since,
    record_confirmation,
    settle,
)
from cuminstile.gateway.updates import encode_update, on_update

from .fleet import CountedStore, Fleet

SCHEDULES = 3_000
STEPS = 40
VMS = 3
KEYS = "abc"
TOPIC = "upstreams"
MESSAGES = ("delta", "push", "late")
KINDS = (
    "put",
    "put",
    "put",
    "drop",
    "read",
    "read",
    "return",
    "again",
    "time",
    *MESSAGES,
)


def number_of(value: bytes) -> tuple[int, ...]:
    """Return the number that a value begins with."""
    return (int(value.partition(b" ")[0]),)


@dataclass
class LossyLog:
    """One topic of a store that comes back from a copy, and what its writers wrote.

    Parameters
    ----------
    rewrites_newer : bool
        Whether what is written again is a newer record, as a heartbeat is.
    wanted : dict of str to bytes or None
        What each writer wrote last, None for a drop.
    """

    rewrites_newer: bool
    records: list[tuple[str, bytes | None]] = field(default_factory=list)
    era: int = 1
    wanted: dict[str, bytes | None] = field(default_factory=dict)
    number: int = 0

    def put(self, key: str, text: bytes | None) -> None:
        """Write a value with the next number, or drop the key."""
        self.number += 1
        value = None if text is None else b"%d %b" % (self.number, text)
        self.wanted[key] = value
        self.records.append((key, value))

    def come_back(self, lost: int) -> None:
        """Lose the newest records."""
        self.era += 1
        del self.records[max(0, len(self.records) - lost) :]

    def write_again(self, key: str) -> None:
        """Write again what the store lost of a key."""
        if key not in self.wanted or self.newest().get(key) == self.wanted[key]:
            return
        value = self.wanted[key]
        if value is not None and self.rewrites_newer:
            self.put(key, value.partition(b" ")[2])
        else:
            self.records.append((key, value))

    def newest(self) -> dict[str, bytes | None]:
        """Return the newest value of each key, None for a dropped one."""
        return dict(self.records)

    def values(self) -> dict[str, bytes]:
        """Return the values of the keys that have one."""
        return {key: value for key, value in self.newest().items() if value is not None}

    def keyed(self) -> list[KeyedRecord]:
        """Return all records with their offsets."""
        return [KeyedRecord(*record, n) for n, record in enumerate(self.records)]

    def end(self) -> Position:
        """Return where the log ends."""
        return Position(self.era, len(self.records))

    def newest_page(self) -> TopicPage:
        """Return the newest record of each key that has a value."""
        last = {record.key: record for record in self.keyed()}
        kept = (record for record in last.values() if record.value is not None)
        return TopicPage(tuple(kept), self.end())

    def page(self, start: int) -> TopicPage | None:
        """Return the records from an offset on, None if the log ends before it."""
        if start > len(self.records):
            return None
        return TopicPage(tuple(self.keyed()[start:]), self.end())


@dataclass
class AnsweredStore:
    """The store as a VM calls it; each call has its answer already."""

    log: LossyLog

    async def newest(self, topic: str) -> TopicPage:
        """Return the newest records."""
        return self.log.newest_page()

    async def read(self, topic: str, start: Position, wait_ms: float) -> TopicPage:
        """Return the records from a position on."""
        page = self.log.page(start.offset)
        if page is None:
            raise TrimmedError(topic, start.offset)
        return page


class Pause:
    """Await it to leave a call open until its coroutine is run further."""

    def __await__(self) -> Generator[None]:
        """Pause once."""
        yield


@dataclass
class WaitingStore:
    """A store whose answers are made at once and come later."""

    store: AnsweredStore

    async def newest(self, topic: str) -> TopicPage:
        """Return the newest records of the time of the call."""
        page = await self.store.newest(topic)
        await Pause()
        return page

    async def read(self, topic: str, start: Position, wait_ms: float) -> TopicPage:
        """Return the records of the time of the call."""
        try:
            return await self.store.read(topic, start, wait_ms)
        finally:
            await Pause()


def run_at_once(coroutine: Coroutine[Any, Any, object]) -> None:
    """Run a coroutine that waits for nothing."""
    with pytest.raises(StopIteration):
        coroutine.send(None)


async def read(vm: Gateway, state: TopicState, store: Any) -> None:
    """Read once, as the loop does it."""
    try:
        await read_once(state, store, 0.0, vm)
    except TrimmedError:
        state.trimmed = True
    except StoreCallError:
        return
    else:
        record_confirmation(state, vm.clock.now_ms())


@dataclass
class Schedule:
    """One drawn schedule of writes, reads, messages and returns."""

    draw: random.Random
    log: LossyLog
    fleet: Fleet
    states: list[TopicState]
    late: list[Callable[[], None]] = field(default_factory=list)
    calling: set[str] = field(default_factory=set)

    @property
    def vms(self) -> list[Gateway]:
        """Return the VMs."""
        return list(self.fleet.vms.values())

    def step(self) -> None:
        """Do one thing."""
        number = self.draw.randrange(VMS)
        vm, state = self.vms[number], self.states[number]
        kind = self.draw.choice(KINDS)
        if kind in ("put", "drop"):
            text = None if kind == "drop" else self.draw.choice([b"x", b"y"])
            self.log.put(self.draw.choice(KEYS), text)
        elif kind == "read" and vm.settings.name not in self.calling:
            run_at_once(read(vm, state, AnsweredStore(self.log)))
        elif kind == "delta":
            self.send_delta(state)
        elif kind == "push" and state.end.is_read:
            message = CODEC.decode(encode_update(state, "10.0.0.1:1", 1.0))
            other = self.draw.choice(self.vms)
            self.late.append(lambda: on_update(other, message))
        elif kind == "late" and vm.settings.name not in self.calling:
            self.begin_call(vm, state)
        elif kind == "return":
            self.log.come_back(self.draw.randrange(6))
        elif kind == "again":
            self.log.write_again(self.draw.choice(KEYS))
        elif kind == "time":
            self.pass_time(self.draw.uniform(0.0, RETURN_GRACE_MS))
        while self.late and self.draw.random() < 0.5:
            self.late.pop(self.draw.randrange(len(self.late)))()

    def begin_call(self, vm: Gateway, state: TopicState) -> None:
        """Have the store answer a call whose answer comes later.

        A VM makes no further call meanwhile, but may hear of other VMs.
        """
        store = WaitingStore(AnsweredStore(self.log))
        call = read(vm, state, store)
        call.send(None)
        self.calling.add(vm.settings.name)

        def arrive() -> None:
            self.calling.remove(vm.settings.name)
            run_at_once(call)

        self.late.append(arrive)

    def send_delta(self, taker: TopicState) -> None:
        """Send a VM what another one knows; it arrives later."""
        giver = self.draw.choice(self.states)
        delta = delta_since(giver, taker.end, self.now_ms())
        if delta is not None:
            self.late.append(lambda: apply_delta(taker, delta, self.now_ms()) and None)

    def now_ms(self) -> float:
        """Return the time."""
        return self.fleet.clock.now_ms()

    def pass_time(self, time_ms: float) -> None:
        """Let time pass."""
        self.fleet.clock.at_ms += time_ms
        for state in self.states:
            settle(state, self.now_ms())

    def settle_all(self) -> None:
        """Write again what was lost, and let all VMs read it."""
        while self.late:
            self.late.pop()()
        for key in KEYS:
            self.log.write_again(key)
        self.pass_time(RETURN_GRACE_MS)
        for vm, state in zip(self.vms, self.states, strict=True):
            for _ in range(3):
                run_at_once(read(vm, state, AnsweredStore(self.log)))
        self.pass_time(RETURN_GRACE_MS)


def make_schedule(seed: int, ordered: bool) -> Schedule:
    """Return a schedule with new VMs."""
    fleet = Fleet(VirtualClock(at_ms=100_000.0), CountedStore())
    states = []
    for number in range(VMS):
        state = fleet.add(number, "a").topics[TOPIC].state
        state.canonical = lambda value: value
        if ordered:
            state.order = number_of
        states.append(state)
    return Schedule(random.Random(seed), LossyLog(ordered), fleet, states)


# Guards against VMs that keep, or never learn of, records across the store's return.
@pytest.mark.parametrize("ordered", [False, True])
def test_vms_know_what_the_store_has_after_returns_drawn_at_random(
    ordered: bool,
) -> None:
    for seed in range(SCHEDULES):
        schedule = make_schedule(seed, ordered)
        for _ in range(STEPS):
            schedule.step()
        schedule.settle_all()
        for state in schedule.states:
            known = {key: state.values[key] for key in sorted(state.values)}
            expected = dict(sorted(schedule.log.values().items()))
            assert known == expected, f"seed {seed}"
            assert not state.lost and not state.revived, f"seed {seed}"

"""Test cuminstile.platform.follow: many VMs follow the operator's records."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import anyio
import pytest

from cuminstile.clock import VirtualClock
from cuminstile.eras.position import Position
from cuminstile.gateway.following import StoreCallError, follow_topic
from cuminstile.gateway.sharing import run_topic_sync_loop
from cuminstile.gateway.topics import TopicPage
from cuminstile.platform.follow import OPERATOR_TOPIC, Follower
from cuminstile.platform.records import EVACUATION_PREFIX

from ..gateway.fleet import HEARTBEAT_MS, CountedStore, Fleet

pytestmark = pytest.mark.anyio
CONFIG_MS = 2_000.0
"""Time after which VMs in touch go by a record that the store has accepted."""
STEP_MS = 20.0
CALL_TIMEOUT_MS = 1_500.0
SLOW_MS = 1_200.0
FROZEN_MS = 20_000.0
QUIET_MS = 12_000.0
MAX_CALLS_PER_S = 1.2
"""As many as a single VM would make, and a fifth for the start of a wait."""


class Trouble(StrEnum):
    """What the VMs that read for the others meet.

    `REFUSED`: the store turns them away. `SILENT`: it doesn't answer them. `SLOW`: it
    answers them late. `FROZEN`: they stand still.
    """

    REFUSED = "refused"
    SILENT = "silent"
    SLOW = "slow"
    FROZEN = "frozen"


@dataclass
class WaitingStore:
    """The store as one VM calls it; a read waits for the next record."""

    store: CountedStore
    name: str
    clock: VirtualClock
    trouble: Trouble | None = None

    async def newest(self, topic: str) -> TopicPage:
        """Return all records."""
        return await self.read(topic, Position(0, 0), 0.0)

    async def read(self, topic: str, start: Position, wait_ms: float) -> TopicPage:
        """Return the records from a position on as soon as there is one."""
        del topic
        end_ms = self.clock.now_ms() + wait_ms
        while len(self.store.records) <= start.offset and self.clock.now_ms() < end_ms:
            await self.meet_trouble(end_ms)
            await self.clock.sleep_ms(STEP_MS)
        await self.meet_trouble(end_ms)
        return self.store.page(self.name, start.offset)

    async def meet_trouble(self, end_ms: float) -> None:
        """Let the trouble act on a call that waits until a time.

        Raises
        ------
        StoreCallError
            If the call gets no answer.
        """
        if self.trouble is Trouble.REFUSED:
            raise StoreCallError("refused", calls_before=1)
        if self.trouble is Trouble.SILENT:
            left_ms = max(0.0, end_ms - self.clock.now_ms())
            await self.clock.sleep_ms(left_ms + CALL_TIMEOUT_MS)
            raise StoreCallError("no answer", calls_before=1)
        if self.trouble is Trouble.SLOW:
            await self.clock.sleep_ms(SLOW_MS)
        if self.trouble is Trouble.FROZEN:
            await self.clock.sleep_ms(FROZEN_MS)


@dataclass(frozen=True)
class Figures:
    """How long a record took to all VMs in ms, and calls of the store before it."""

    known_after_ms: float
    calls_per_s: float


async def follow_record(
    vms: int,
    readers: int,
    put_after_ms: float = 200.0,
    trouble: Trouble = Trouble.REFUSED,
) -> Figures:
    """Return how long a record takes to all VMs that meet no trouble.

    Some of the VMs that read for the others meet it some time before the record.
    """
    clock = VirtualClock(at_ms=100_000.0)
    fleet = Fleet(clock, CountedStore())
    stores: dict[str, WaitingStore] = {}
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(fleet.run_heartbeats)
        for number in range(vms):
            vm = fleet.add(number, "abc"[number % 3])
            store = WaitingStore(fleet.store, vm.settings.name, clock)
            stores[vm.settings.name] = store
            client: Any = store
            Follower(vm, client)
            topic = vm.topics[OPERATOR_TOPIC]
            tasks.start_soon(follow_topic, topic, store, vm)
            tasks.start_soon(run_topic_sync_loop, vm)
        await clock.advance_ms(6 * HEARTBEAT_MS)
        fleet.store.put("other", b"{}")
        await clock.advance_ms(HEARTBEAT_MS)
        fleet.store.calls.clear()
        await clock.advance_ms(QUIET_MS)
        calls_per_s = len(fleet.store.calls) / QUIET_MS * 1_000.0
        reading = [
            vm
            for vm in fleet.vms.values()
            if vm.topics[OPERATOR_TOPIC].state.always_read
        ]
        troubled = reading[:readers]
        for vm in troubled:
            stores[vm.settings.name].trouble = trouble
            if trouble is Trouble.FROZEN:
                fleet.dead.add(vm.settings.peer_address)
        await clock.advance_ms(put_after_ms)
        fleet.store.put(f"{EVACUATION_PREFIX}b", b"{}")
        put_ms = clock.now_ms()
        others = [vm for vm in fleet.vms.values() if vm not in troubled]
        while not all(vm.table.taken_out for vm in others):
            await clock.advance_ms(STEP_MS)
        tasks.cancel_scope.cancel()
    return Figures(clock.now_ms() - put_ms, calls_per_s)


@pytest.mark.parametrize("vms", [9, 30, 195])
@pytest.mark.parametrize("refused", [0, 1, 2])
async def test_operators_record_is_known_while_the_store_turns_some_readers_away(
    vms: int, refused: int
) -> None:
    figures = await follow_record(vms, refused)
    print(f"FIG {vms=} {refused=} {figures}")
    assert figures.known_after_ms <= CONFIG_MS
    assert figures.calls_per_s <= MAX_CALLS_PER_S


# Guards against a VM that goes by an old manifest, since it waits for readers that the
# store turns away, or that stand still.
@pytest.mark.parametrize("trouble", Trouble)
@pytest.mark.parametrize("put_after_ms", [20.0, 700.0, 1_500.0, 2_800.0])
@pytest.mark.parametrize("vms", [9, 30, 195])
async def test_operators_record_is_known_though_all_readers_meet_trouble(
    vms: int, put_after_ms: float, trouble: Trouble
) -> None:
    figures = await follow_record(vms, 3, put_after_ms, trouble)
    print(f"FIG {vms=} {put_after_ms=} {trouble.value} {figures}")
    assert figures.known_after_ms <= CONFIG_MS

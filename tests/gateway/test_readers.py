"""Test cuminstile.gateway.readers and updates: hundreds of VMs follow one store."""

from collections.abc import Awaitable, Callable

import anyio
import pytest

from cuminstile.clock import VirtualClock
from cuminstile.gateway.following import RETRY_MAX_MS, STANDBY_CHECK_MS
from cuminstile.gateway.messages import Heartbeat
from cuminstile.gateway.readers import (
    MAX_STANDBY_STEPS,
    READERS,
    STANDBY_STEP_MS,
    ReaderRole,
    reader_role,
    standby_ms,
)

from .fleet import HEARTBEAT_MS, MAX_AGE_MS, POLL_MS, TOPIC, CountedStore, Fleet

pytestmark = pytest.mark.anyio
DATA_CENTRES = 6
DRAIN_MS = 2_000.0
"""How long a leaving upstream may get requests on the strictest site."""
TAKEOVER_MS = MAX_AGE_MS + (MAX_STANDBY_STEPS + 1) * STANDBY_STEP_MS + RETRY_MAX_MS


async def play(
    vms: int, steps: Callable[[Fleet], Awaitable[None]], upstreams: int = 20
) -> Fleet:
    """Run a fleet on a virtual clock while `steps` advances it."""
    clock = VirtualClock(at_ms=100_000.0)
    fleet = Fleet(clock, CountedStore())
    for number in range(upstreams):
        fleet.store.put(f"u{number}", b"ready#0")
    for number in range(vms):
        fleet.add(number, f"dc-{number % DATA_CENTRES}")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(fleet.run_heartbeats)
        for vm in fleet.vms.values():
            tasks.start_soon(fleet.follow, vm)
        await clock.advance_ms(2 * HEARTBEAT_MS)
        await steps(fleet)
        tasks.cancel_scope.cancel()
    return fleet


def repeat(fleet: Fleet, number: int, upstreams: int = 20) -> None:
    """Write what each upstream writes all the time: the same with the next number."""
    for key in range(upstreams):
        fleet.store.put(f"u{key}", b"ready#%d" % number)


def heartbeat(number: int, data_centre: str, leaving: bool = False) -> Heartbeat:
    address = f"10.0.0.{number}:7000"
    return Heartbeat(f"vm-{number}", address, data_centre, "i", number, leaving, (), ())


def roles_of(fleet: list[Heartbeat]) -> list[ReaderRole]:
    return [
        reader_role(own, [other for other in fleet if other is not own])
        for own in fleet
    ]


def test_oldest_vms_of_different_data_centres_read() -> None:
    roles = roles_of([heartbeat(number, "aab"[number % 3]) for number in range(9)])
    assert [role.rank for role in roles] == [0, 2, 1, 4, 6, 3, 7, 8, 5]
    assert [role.data_centre_rank for role in roles] == [0, 1, 0, 2, 3, 1, 4, 5, 2]
    assert {(role.readers, role.vms, role.data_centres) for role in roles} == {
        (READERS, 9, 2)
    }


def test_leaving_vm_reads_last() -> None:
    own = heartbeat(1, "a", leaving=True)
    assert reader_role(own, [heartbeat(n, "a") for n in (2, 3, 4)]).rank == 3
    assert reader_role(heartbeat(2, "a"), [own]).rank == 0


def test_the_others_would_not_all_read_at_once() -> None:
    roles = roles_of([heartbeat(number, "a") for number in range(30)])
    ages = [standby_ms(role, MAX_AGE_MS) for role in roles[READERS:]]
    assert ages[0] == MAX_AGE_MS
    assert ages == sorted(ages)
    assert len(set(ages)) == MAX_STANDBY_STEPS + 1


@pytest.mark.parametrize("vms", [18, 60, 195])
async def test_calls_of_the_store_do_not_grow_with_the_vms(vms: int) -> None:
    """Pattern: each of hundreds of VMs polls a store that charges for each call."""
    seconds = 10

    async def steps(fleet: Fleet) -> None:
        fleet.store.calls.clear()
        for number in range(seconds):
            repeat(fleet, number + 1)
            await fleet.clock.advance_ms(1_000.0)

    fleet = await play(vms, steps)
    assert len(fleet.store.calls) <= READERS * (seconds * 1_000.0 / POLL_MS + 1)
    ages = [
        vm.topics[TOPIC].state.age_ms(fleet.clock.now_ms()) for vm in fleet.vms.values()
    ]
    assert max(age for age in ages if age is not None) <= MAX_AGE_MS


async def test_vms_that_start_together_do_not_all_read_the_store() -> None:
    async def steps(fleet: Fleet) -> None:
        fleet.store.calls.clear()
        late = [fleet.add(1_000 + number, "dc-0") for number in range(40)]
        async with anyio.create_task_group() as tasks:
            for vm in late:
                tasks.start_soon(fleet.follow, vm)
            fleet.exchange_heartbeats()
            await fleet.clock.advance_ms(400.0)
            assert all(vm.topics[TOPIC].state.end.is_read for vm in late)
            names = {vm.settings.name for vm in late}
            assert not names & set(fleet.store.calls)
            tasks.cancel_scope.cancel()

    await play(30, steps)


async def test_leaving_upstream_is_known_to_all_vms_in_time() -> None:
    async def steps(fleet: Fleet) -> None:
        fleet.store.put("u3", None)
        fleet.store.put("u4", b"draining#1")
        await fleet.clock.advance_ms(POLL_MS + 2 * STANDBY_CHECK_MS)
        (values,) = fleet.values()
        assert dict(values)["u4"] == b"draining"
        assert "u3" not in dict(values)

    await play(195, steps)


async def test_lost_datagrams_delay_a_change_by_one_update_at_most() -> None:
    async def steps(fleet: Fleet) -> None:
        fleet.lost = set(range(fleet.datagrams, fleet.datagrams + 20))
        fleet.store.put("u4", b"draining#1")
        await fleet.clock.advance_ms(2 * POLL_MS + STANDBY_CHECK_MS)
        (values,) = fleet.values()
        assert dict(values)["u4"] == b"draining"

    await play(30, steps)


async def test_change_larger_than_a_datagram_is_requested() -> None:
    async def steps(fleet: Fleet) -> None:
        fleet.store.put("u4", b"x" * 100_000)
        await fleet.clock.advance_ms(POLL_MS + 2 * STANDBY_CHECK_MS)
        (values,) = fleet.values()
        assert dict(values)["u4"] == b"x" * 100_000

    await play(60, steps)


async def test_loss_of_the_readers_delays_a_change_by_little() -> None:
    """Pattern: the readers are killed as an upstream leaves."""

    async def steps(fleet: Fleet) -> None:
        fleet.kill(fleet.oldest(READERS))
        fleet.store.put("u4", b"draining#1")
        await fleet.clock.advance_ms(DRAIN_MS)
        (values,) = fleet.values()
        assert dict(values)["u4"] == b"draining"

    await play(60, steps)


async def test_herd_kill_of_half_of_the_vms_leaves_readers_everywhere() -> None:
    """Pattern: a herd kill takes the older half of a fleet, all readers among it."""

    async def steps(fleet: Fleet) -> None:
        fleet.kill(list(fleet.vms)[:60])
        fleet.store.put("u4", b"draining#1")
        await fleet.clock.advance_ms(DRAIN_MS)
        (values,) = fleet.values()
        assert dict(values)["u4"] == b"draining"

    await play(120, steps)


async def test_readers_that_the_store_turns_away_are_replaced_by_others() -> None:
    """Pattern: the store refuses the readers and serves all other VMs."""

    async def steps(fleet: Fleet) -> None:
        refused = fleet.oldest(READERS)
        fleet.store.refused = {fleet.vms[a].settings.name for a in refused}
        fleet.store.put("u4", b"draining#1")
        await fleet.clock.advance_ms(DRAIN_MS)
        (values,) = fleet.values()
        assert dict(values)["u4"] == b"draining"

    await play(60, steps)


async def test_calls_in_an_outage_are_bounded_and_its_end_is_known_to_all() -> None:
    """Pattern: all VMs retry at a store that is down, each for itself."""

    async def steps(fleet: Fleet) -> None:
        fleet.store.refused = {vm.settings.name for vm in fleet.vms.values()}
        await fleet.clock.advance_ms(TAKEOVER_MS + 5_000.0)
        fleet.store.calls.clear()
        await fleet.clock.advance_ms(10_000.0)
        others = len(fleet.vms) - READERS
        assert len(fleet.store.calls) <= READERS * 11 + others * 3
        fleet.store.refused = set()
        fleet.store.put("u4", b"draining#1")
        await fleet.clock.advance_ms(2 * RETRY_MAX_MS)
        (values,) = fleet.values()
        assert dict(values)["u4"] == b"draining"

    await play(120, steps)


async def test_data_centre_that_is_cut_off_follows_the_store_in_time() -> None:
    """Pattern: a data centre loses its paths to the others as an upstream leaves."""

    async def steps(fleet: Fleet) -> None:
        fleet.cut_off = "dc-5"
        fleet.store.put("u4", b"draining#1")
        await fleet.clock.advance_ms(DRAIN_MS)
        (values,) = fleet.values()
        assert dict(values)["u4"] == b"draining"

    await play(60, steps)


async def test_vm_that_was_paused_reads_the_store_before_it_relies_on_others() -> None:
    """Guards against updates of before the pause, which look fresh when it wakes."""
    paused_ms = 5_000.0

    async def steps(fleet: Fleet) -> None:
        fleet.store.put("u4", b"draining#1")
        fleet.store.calls.clear()
        fleet.clock.at_ms += paused_ms
        await fleet.clock.advance_ms(1.0)
        assert {vm.settings.name for vm in fleet.vms.values()} <= set(fleet.store.calls)

    await play(12, steps)

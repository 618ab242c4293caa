"""Test cuminstile.upstream.leases: no cold upstream gets more than its capacity."""

import random

import pytest

from cuminstile.upstream.leases import holds_lease
from cuminstile.upstream.ranking import ranked
from cuminstile.upstream.table import Condition

from .fake_data_centre import HOP_MS, running_data_centre


async def load_for(centre, duration_ms: float, results: list, every_ms: float = 10.0):
    """Send calls through all VMs in turn for `duration_ms`."""
    end_ms = centre.clock.now_ms() + duration_ms
    number = 0
    while centre.clock.now_ms() < end_ms:
        names = sorted(centre.vms)
        name = names[number % len(names)]
        label = f"r{centre.clock.now_ms():.0f}-{number}"
        centre.send(name, centre.call(label, 2_000.0), results)
        number += 1
        await centre.clock.advance_ms(every_ms)


def excess(centre) -> dict[str, list[float]]:
    """Return the times of the calls beyond the cold capacity, by upstream."""
    return {name: fake.excess for name, fake in centre.upstreams.items() if fake.excess}


async def test_fresh_centre_ramps_up_without_excess(monkeypatch):
    async with running_data_centre(monkeypatch, 3) as centre:
        for name in ("vm-a", "vm-b", "vm-c"):
            await centre.start(name)
        results = []
        await load_for(centre, 10_000.0, results)
        await centre.clock.advance_ms(3_000.0)
        assert excess(centre) == {}
        late = [result for result in results[-300:] if result[0] == "good"]
        assert len(late) == 300
        assert all(fake.warm for fake in centre.upstreams.values())
        assert all(fake.highest <= 8 for fake in centre.upstreams.values())


NEVER_WARM = 1_000_000


async def start_three(centre) -> None:
    for name in ("vm-a", "vm-b", "vm-c"):
        await centre.start(name)


def holder_of(centre, upstream: str) -> str:
    """Return the VM that holds the lease of an upstream, or an empty string."""
    now_ms = centre.clock.now_ms()
    held = [
        name for name, vm in centre.vms.items() if holds_lease(vm, upstream, now_ms)
    ]
    assert len(held) <= 1
    return held[0] if held else ""


async def test_two_vms_that_do_not_know_each_other_never_both_hold(monkeypatch):
    async with running_data_centre(monkeypatch, 4, warm_after=NEVER_WARM) as centre:
        await centre.start("vm-a")
        await centre.start("vm-c")
        await centre.start("vm-b", knows={"vm-c"})
        results = []
        for _ in range(100):
            await load_for(centre, 100.0, results)
            for upstream in centre.upstreams:
                holder_of(centre, upstream)
        assert excess(centre) == {}
        assert any(result[0] == "good" for result in results)


async def test_successor_of_killed_holder_counts_calls_that_still_run(monkeypatch):
    async with running_data_centre(
        monkeypatch, 1, warm_after=NEVER_WARM, work_ms=6_000.0
    ) as centre:
        await start_three(centre)
        results = []
        await load_for(centre, 4_000.0, results, 50.0)
        holder = holder_of(centre, "runner-0")
        assert centre.upstreams["runner-0"].running
        centre.kill(holder)
        await load_for(centre, 4_000.0, results, 50.0)
        assert holder_of(centre, "runner-0") not in ("", holder)
        assert excess(centre) == {}


async def test_killed_holder_is_replaced_in_time(monkeypatch):
    async with running_data_centre(monkeypatch, 1, warm_after=NEVER_WARM) as centre:
        await start_three(centre)
        results = []
        await load_for(centre, 4_000.0, results, 50.0)
        centre.kill(holder_of(centre, "runner-0"))
        runs = centre.upstreams["runner-0"].runs
        await load_for(centre, 4_000.0, results, 50.0)
        assert centre.upstreams["runner-0"].runs > runs
        assert excess(centre) == {}


@pytest.mark.parametrize("pause_ms", [300.0, 900.0, 1_900.0, 2_500.0, 6_000.0])
async def test_frozen_holder_wakes_without_its_lease(monkeypatch, pause_ms):
    async with running_data_centre(monkeypatch, 2, warm_after=NEVER_WARM) as centre:
        await start_three(centre)
        results = []
        await load_for(centre, 4_000.0, results)
        holder = holder_of(centre, "runner-0")
        centre.freeze(holder)
        await load_for(centre, pause_ms, results)
        centre.thaw(holder)
        await load_for(centre, 3_000.0, results)
        assert excess(centre) == {}


async def test_waiting_calls_follow_the_upstream_to_its_new_holder(monkeypatch):
    names = [f"vm-{number}" for number in range(50)]
    joins = next(x for x in names if ranked(("vm-a", x), "runner-0")[0] == x)
    async with running_data_centre(
        monkeypatch, 1, warm_after=NEVER_WARM, work_ms=250.0
    ) as centre:
        await centre.start("vm-a")
        await centre.clock.advance_ms(4_000.0)
        results = []
        for number in range(4):
            centre.send("vm-a", centre.call(f"r{number}"), results)
        await centre.start(joins)
        await centre.clock.advance_ms(4_200.0)
        assert [result[0] for result in results] == ["good"] * 4
        assert excess(centre) == {}


async def test_replaced_vm_respects_the_grants_of_its_predecessor(monkeypatch):
    async with running_data_centre(monkeypatch, 2, warm_after=NEVER_WARM) as centre:
        await start_three(centre)
        results = []
        for _ in range(4):
            await load_for(centre, 2_500.0, results)
            centre.kill("vm-b", listed=True)
            await load_for(centre, 200.0, results)
            await centre.start("vm-b")
        assert excess(centre) == {}


async def test_restarted_vm_grants_no_lease_too_soon(monkeypatch):
    async with running_data_centre(monkeypatch, 4, warm_after=NEVER_WARM) as centre:
        await start_three(centre)
        centre.cut("vm-a", "vm-c")
        results = []
        for _ in range(4):
            await load_for(centre, 4_000.0, results, 50.0)
            centre.kill("vm-b", listed=True)
            await centre.start("vm-b")
            for _ in range(60):
                await load_for(centre, 50.0, results, 50.0)
                for upstream in centre.upstreams:
                    holder_of(centre, upstream)
        assert excess(centre) == {}


async def test_warm_upstream_that_turns_cold_gets_fewer_calls_at_once(monkeypatch):
    async with running_data_centre(
        monkeypatch, 1, capacity=24, warm_after=4, work_ms=150.0
    ) as centre:
        await start_three(centre)
        await centre.start("vm-d")
        await centre.start("vm-e")
        results = []
        fake = centre.upstreams["runner-0"]
        await load_for(centre, 8_000.0, results)
        assert fake.warm
        for _ in range(3):
            fake.turn_cold(warm_after=30)
            turned_ms = centre.clock.now_ms()
            await load_for(centre, 10_000.0, results)
            assert fake.warm
            late = [at_ms for at_ms in fake.excess if at_ms >= turned_ms]
            # The answer takes one hop, and the announcement another one.
            bound_ms = fake.cold_answer_ms + 3 * HOP_MS
            assert [at_ms for at_ms in late if at_ms > bound_ms] == []


@pytest.mark.parametrize("pause_ms", [100.0, 700.0, 1_500.0, 3_000.0])
@pytest.mark.parametrize("draws", [0, 9])
async def test_resumed_vm_first_reads_what_turned_cold(monkeypatch, pause_ms, draws):
    async with running_data_centre(monkeypatch, 1, warm_after=4) as centre:
        await start_three(centre)
        results = []
        fake = centre.upstreams["runner-0"]
        fake.source = random.Random(draws)
        await load_for(centre, 8_000.0, results)
        assert fake.warm
        centre.freeze("vm-b")
        fake.turn_cold(warm_after=NEVER_WARM)
        await load_for(centre, pause_ms, results)
        received_ms = fake.cold_received_ms
        assert received_ms < centre.clock.now_ms()
        centre.thaw("vm-b")
        await load_for(centre, 2_000.0, results)
        bound_ms = received_ms + 3 * HOP_MS
        assert [at_ms for at_ms in fake.excess if at_ms > bound_ms] == []


async def test_warm_upstream_soon_gets_calls_up_to_its_capacity(monkeypatch):
    async with running_data_centre(monkeypatch, 1, warm_after=4) as centre:
        await start_three(centre)
        results = []
        fake = centre.upstreams["runner-0"]
        while not fake.warm:
            await load_for(centre, 10.0, results, 2.0)
        warm_ms = centre.clock.now_ms()
        while fake.highest < fake.upstream.capacity:
            await load_for(centre, 10.0, results, 2.0)
        # Doubling from 1 to 8 takes 3 service times, and filling the slots another one.
        assert centre.clock.now_ms() - warm_ms <= 2 * 4 * fake.work_ms
        await load_for(centre, 500.0, results, 2.0)
        assert excess(centre) == {}
        served = [vm.upstreams.by_name["runner-0"] for vm in centre.vms.values()]
        assert all(state.condition is Condition.WARM for state in served)


@pytest.mark.parametrize("seed", range(12))
async def test_no_excess_under_mixed_faults(monkeypatch, seed):
    source = random.Random(seed)
    async with running_data_centre(
        monkeypatch, 3, seed, warm_after=NEVER_WARM, cold_capacity=2
    ) as centre:
        await start_three(centre)
        await centre.start("vm-d", knows={"vm-a", "vm-c"})
        results = []
        await load_for(centre, 3_000.0, results, 20.0)
        for _ in range(5):
            victim = source.choice(sorted(centre.vms))
            fault = source.choice(("kill", "freeze", "replace"))
            if fault == "freeze":
                centre.freeze(victim)
                await load_for(centre, source.uniform(100.0, 5_000.0), results, 20.0)
                centre.thaw(victim)
            elif len(centre.vms) > 2:
                centre.kill(victim, listed=source.random() < 0.5)
                await load_for(centre, source.uniform(0.0, 3_000.0), results, 20.0)
                await centre.start(victim)
            await load_for(centre, source.uniform(0.0, 3_000.0), results, 20.0)
        assert excess(centre) == {}
        assert sum(result[0] == "good" for result in results) > 100

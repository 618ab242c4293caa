"""Test cuminstile.upstream.load: who polls, what is sent to whom, and how much."""

from collections import Counter

import anyio
import pytest

from cuminstile.clock import VirtualClock
from cuminstile.objects.model import Upstream
from cuminstile.runtime import Vm
from cuminstile.upstream.evidence import mark_cold
from cuminstile.upstream.load import (
    apply_entry,
    entries_allowed,
    record_tick,
    run_polling_loop,
)
from cuminstile.upstream.ranking import compact_id, ranked
from cuminstile.upstream.table import Condition
from cuminstile.vm.messages import LoadEntry

from ..fakes.objects import single_stage_objects
from ..fakes.vms import make_test_vm, set_configuration
from .fake_data_centre import running_data_centre
from .test_leases import load_for, start_three

CONTROL_BYTES_PER_S = 4_096


def test_ranking_moves_few_upstreams_when_a_vm_leaves():
    vms = tuple(f"vm-{number}" for number in range(10))
    keys = [f"u{number}" for number in range(500)]
    before = {key: ranked(vms, key)[0] for key in keys}
    after = {key: ranked(vms[:-1], key)[0] for key in keys}
    moved = [key for key in keys if before[key] != after[key]]
    assert all(before[key] == "vm-9" for key in moved)
    assert 20 <= len(moved) <= 90


async def test_each_upstream_is_polled_by_one_vm(monkeypatch):
    async with running_data_centre(monkeypatch, 6) as centre:
        await start_three(centre)
        await centre.clock.advance_ms(3_000.0)
        polled = [set(vm.load.polled_ms) for vm in centre.vms.values()]
        now_ms = centre.clock.now_ms()
        fresh = [
            {name for name, at_ms in vm.load.polled_ms.items() if now_ms - at_ms < 600}
            for vm in centre.vms.values()
        ]
        assert sum(map(len, fresh)) == 6
        assert set().union(*polled) == set(centre.upstreams)


async def test_every_vm_gets_the_results_of_each_poll(monkeypatch):
    async with running_data_centre(monkeypatch, 3) as centre:
        for fake in centre.upstreams.values():
            fake.warm = True
            fake.record_load()
        await start_three(centre)
        await centre.clock.advance_ms(2_500.0)
        for vm in centre.vms.values():
            states = vm.upstreams.by_name.values()
            assert {state.condition for state in states} == {Condition.WARM}


def entry(state, condition, age_ds):
    number = compact_id(state.name)
    return LoadEntry(number, state.incarnation, int(condition), 0, 8, age_ds)


async def test_lagging_report_does_not_override_newer_evidence(monkeypatch):
    async with running_data_centre(monkeypatch, 1) as centre:
        await start_three(centre)
        vm = centre.vms["vm-a"]
        session = vm.sessions.by_name["vm-b"]
        state = vm.upstreams.state_of(centre.upstreams["runner-0"].upstream)
        mark_cold(state, centre.clock.now_ms(), cold_observed=True)
        apply_entry(vm, session, state, entry(state, Condition.WARM, 1))
        assert state.condition is Condition.COLD
        await centre.clock.advance_ms(300.0)
        vm.leases.own_leases.clear()
        vm.leases.grants.clear()
        apply_entry(vm, session, state, entry(state, Condition.WARM, 0))
        assert state.condition is Condition.WARM
        apply_entry(vm, session, state, entry(state, Condition.COLD, 0))
        assert state.condition is Condition.COLD


async def test_vm_abstains_and_trusts_no_condition_after_a_long_pause(monkeypatch):
    async with running_data_centre(monkeypatch, 1) as centre:
        vm = await centre.start("vm-a")
        await centre.clock.advance_ms(5_000.0)
        now_ms = centre.clock.now_ms()
        state = vm.upstreams.by_name["runner-0"]
        state.condition = Condition.WARM
        vm.upstreams.last_tick_ms = now_ms - 700.0
        record_tick(vm)
        assert vm.upstreams.usable_from_ms > now_ms
        assert state.condition is Condition.WARM
        vm.upstreams.last_tick_ms = now_ms - 3_000.0
        record_tick(vm)
        assert state.condition is Condition.COLD
        assert vm.leases.abstains_until_ms > now_ms


async def test_silent_upstream_is_unavailable_until_it_reports(monkeypatch):
    async with running_data_centre(monkeypatch, 1, warm=True) as centre:
        vm = await centre.start("vm-a")
        await centre.clock.advance_ms(1_000.0)
        fake = centre.upstreams["runner-0"]
        fake.alive = False
        await centre.clock.advance_ms(2_000.0)
        assert vm.upstreams.by_name["runner-0"].condition is Condition.UNAVAILABLE
        fake.alive = True
        await centre.clock.advance_ms(1_000.0)
        assert vm.upstreams.by_name["runner-0"].condition is Condition.WARM


@pytest.mark.parametrize("peers", [1, 2, 5, 19, 60])
def test_digests_stay_within_their_bytes(peers):
    assert entries_allowed(peers) >= 1
    if peers <= 19:
        assert peers * (8 + 16 * entries_allowed(peers)) <= 1_000


@pytest.mark.parametrize("warm", [True, False])
async def test_control_bytes_at_twenty_vms_and_120_upstreams(monkeypatch, warm):
    async with running_data_centre(
        monkeypatch, 120, warm=warm, warm_after=1_000_000
    ) as centre:
        for number in range(20):
            await centre.start(f"vm-{number:02}")
        await centre.clock.advance_ms(4_000.0)
        centre.sent_bytes.clear()
        centre.sent_by_type.clear()
        results = []
        if warm:
            await load_for(centre, 5_000.0, results, 25.0)
        else:
            await centre.clock.advance_ms(5_000.0)
        print({kind: size / 100 for kind, size in centre.sent_by_type.items()})
        assert max(centre.sent_bytes.values()) / 5.0 <= CONTROL_BYTES_PER_S


async def test_vm_that_knows_no_other_yet_polls_few_upstreams_at_a_time() -> None:
    vm = make_test_vm("vm-a1", "a")
    addresses = {f"gen{number}-a": "127.0.0.1:1" for number in range(120)}
    set_configuration(vm, single_stage_objects(addresses))
    clock = VirtualClock()
    vm.clock = clock
    polled: Counter[str] = Counter()

    async def fetch(vm: Vm, upstream: Upstream) -> None:
        polled[upstream.name] += 1

    vm.load.fetch = fetch
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run_polling_loop, vm)
        await clock.advance_ms(10_000.0)
        tasks.cancel_scope.cancel()
    # At 0.7 ms of CPU time a poll, 3.5 % of a core allow 50 polls a second.
    assert sum(polled.values()) <= 510
    # No upstream is left out: the numbers of polls differ by one at most.
    assert len(polled) == 120
    assert max(polled.values()) - min(polled.values()) <= 1


async def test_vm_with_a_late_configuration_gets_the_warm_upstreams(monkeypatch):
    async with running_data_centre(monkeypatch, 4, warm_after=0) as centre:
        for fake in centre.upstreams.values():
            fake.turn_cold(0)
            fake.warm = True
            fake.record_load()
        late = await centre.start("vm-b")
        in_force = late.configuration.current
        late.configuration.current = None
        late.upstreams.by_name.clear()
        late.upstreams.by_id.clear()
        await centre.start("vm-a")
        await centre.clock.advance_ms(3_000.0)
        late.configuration.current = in_force
        # A heartbeat reports the new configuration, and the next tick of the other VM
        # sends the conditions.
        await centre.clock.advance_ms(1_500.0)
        states = late.upstreams.by_name.values()
        assert [state.condition for state in states] == [Condition.WARM] * 4

"""Test cuminstile.upstream.taken_out: a returning data centre is not overloaded."""

from dataclasses import replace

from cuminstile.objects.model import DataCentre, DataCentreState
from cuminstile.upstream.table import Condition

from .fake_data_centre import FakeConfiguration, running_data_centre
from .test_leases import NEVER_WARM, load_for, start_three


def set_state(centre, state: DataCentreState) -> None:
    """Put a configuration in force with a state of the data centre."""
    own = DataCentre("data_centre", "dc-1", "region-1", state)
    objects = replace(centre.objects, data_centres={"dc-1": own})
    for vm in centre.vms.values():
        version = vm.configuration.current.version + 1
        vm.configuration.current = FakeConfiguration(version, objects)


async def test_upstream_that_turned_cold_while_out_is_not_overloaded(monkeypatch):
    async with running_data_centre(monkeypatch, 2, warm_after=4) as centre:
        await start_three(centre)
        results = []
        await load_for(centre, 8_000.0, results)
        assert all(fake.warm for fake in centre.upstreams.values())
        set_state(centre, DataCentreState.OUT)
        await centre.clock.advance_ms(5_000.0)
        for fake in centre.upstreams.values():
            # The reports lag so much that they still describe the time before.
            fake.report_lag_ms = 60_000.0
            fake.turn_cold(warm_after=NEVER_WARM)
            fake.excess.clear()
        set_state(centre, DataCentreState.IN)
        await load_for(centre, 2_000.0, results, 2.0)
        assert [fake.excess for fake in centre.upstreams.values()] == [[], []]


async def test_returning_data_centre_ramps_up_within_its_deadlines(monkeypatch):
    async with running_data_centre(monkeypatch, 2, warm_after=4) as centre:
        await start_three(centre)
        results = []
        await load_for(centre, 8_000.0, results)
        set_state(centre, DataCentreState.OUT)
        await centre.clock.advance_ms(5_000.0)
        set_state(centre, DataCentreState.IN)
        for fake in centre.upstreams.values():
            fake.highest = 0
        results.clear()
        await load_for(centre, 20.0, results, 2.0)
        # No call has been answered yet, so no upstream has ramped up.
        assert all(fake.highest == 1 for fake in centre.upstreams.values())
        await load_for(centre, 2_000.0, results, 8.0)
        await centre.clock.advance_ms(1_000.0)
        assert {result[0] for result in results} == {"good"}
        vms = centre.vms.values()
        states = [state for vm in vms for state in vm.upstreams.by_name.values()]
        assert {state.condition for state in states} == {Condition.WARM}


async def test_calls_in_flight_finish_when_their_data_centre_is_taken_out(monkeypatch):
    async with running_data_centre(
        monkeypatch, 2, warm_after=4, work_ms=400.0
    ) as centre:
        await start_three(centre)
        results = []
        await load_for(centre, 12_000.0, results, 100.0)
        results.clear()
        for number in range(6):
            centre.send("vm-a", centre.call(f"last-{number}"), results)
        await centre.clock.advance_ms(50.0)
        set_state(centre, DataCentreState.OUT)
        await centre.clock.advance_ms(2_000.0)
        last = [result for result in results if result[2].startswith("last-")]
        assert [result[0] for result in last] == ["good"] * 6

"""Test cuminstile.gateway.late_chains: which chains end as they can't be in time."""

from cuminstile.gateway.late_chains import expired_chains, late_chains

from .planners import make_planner, make_spec, worker_of


def test_only_waiting_chains_that_were_to_be_in_time_are_late() -> None:
    planner = make_planner(workers=1)
    started = planner.add(make_spec("started", (1,)))
    assert planner.assign_batch(worker_of(planner, "a0"), 0.0)
    waiting = planner.add(make_spec("waiting", (1,)))
    planner.add(make_spec("admitted late", (1,)), in_time=False)
    planner.add(make_spec("has time", (1,), target_ms=60_000.0))
    late = late_chains(planner.queues.values(), 2_000.0)
    assert started not in late
    assert late == [waiting]


def test_chain_expires_at_its_deadline_wherever_it_is() -> None:
    planner = make_planner(workers=1)
    started = planner.add(make_spec("started", (1,)))
    assert planner.assign_batch(worker_of(planner, "a0"), 0.0)
    waiting = planner.add(make_spec("waiting", (1,)))
    chains, queues = planner.chains.values(), planner.queues.values()
    assert expired_chains(chains, queues, 0.0) == []
    assert expired_chains(chains, queues, 6_000.0) == [started, waiting]

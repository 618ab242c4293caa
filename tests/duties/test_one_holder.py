"""Check in drawn schedules that one VM at a time has the duties.

Load: VMs freeze, die, restart, leave and are cut off, their clocks jump, the store is
away, slow, refuses or loses answers. `CUMINSTILE_SCHEDULES` draws more of them.
"""

from __future__ import annotations

import os
from functools import partial

import pytest

from cuminstile.duties.types import Subject

from .world import LEASE_MS, Arrival, Machine, World, make_world

SCHEDULES = int(os.environ.get("CUMINSTILE_SCHEDULES", "200"))
GROUPS = 10
LENGTH_MS = 30_000.0
ORDERS = Subject("orders", "pool/north")


def trouble(world: World) -> None:
    """Let something go wrong, or end, at a drawn machine or at the store."""
    rng = world.random
    machine = rng.choice(world.machines)
    holders = [
        one
        for one in world.machines
        if one.running and one.desk is not None and one.desk.token_held is not None
    ]
    if holders and rng.random() < 0.5:
        machine = rng.choice(holders)
    kind = rng.randrange(12)
    until_ms = world.now_ms + rng.uniform(100.0, 8_000.0)
    if kind == 0:
        machine.frozen_until_ms = until_ms
    elif kind == 1 and machine.running:
        world.kill(machine)
        world.at(until_ms, lambda: restart(world, machine))
    elif kind == 2 and machine.running and not machine.leaving:
        world.stop(machine, rng.uniform(50.0, 5_000.0))
        world.at(until_ms + 5_000.0, lambda: restart(world, machine))
    elif kind in (3, 4, 5):
        name = ("off_store", "off_platform", "off_fleet")[kind - 3]
        cut(world, machine, name, until_ms)
    elif kind == 6:
        machine.lead_ms += rng.uniform(-20_000.0, 20_000.0)
    elif kind == 7:
        world.slow_ms = rng.choice((5.0, 200.0, 900.0))
    elif kind == 8:
        world.lost = rng.choice((0.0, 0.2, 0.6))
    elif kind == 9:
        world.refused = rng.choice((0.0, 0.3, 1.0))
    elif kind == 10:
        for name in ("off_store", "off_fleet"):
            cut(world, machine, name, until_ms)
    else:
        world.platform_lost = rng.choice((0.0, 0.3))


def cut(world: World, machine: Machine, name: str, until_ms: float) -> None:
    """Cut a machine off from something for a while."""
    setattr(machine, name, True)
    world.at(until_ms, lambda: setattr(machine, name, False))


def restart(world: World, machine: Machine) -> None:
    """Start the process of a machine unless one runs."""
    if not machine.running:
        world.start(machine)


async def give_orders(world: World, machine: Machine) -> None:
    """Order upstreams as often as this machine may."""
    while True:
        desk = machine.desk
        assert desk is not None
        await desk.call(ORDERS, b"POST", b"/scale", b'{"desired":3}')
        await desk.clock.sleep_ms(world.random.uniform(50.0, 400.0))


def play(seed: int, returns: bool = False) -> World:
    """Return a world in which a drawn schedule of troubles has happened.

    Parameters
    ----------
    returns : bool
        Whether the store comes back from older copies, once or some times.
    """
    world = with_orders(make_world(seed))
    rng = world.random
    if returns:
        world.era = 1
        for _ in range(rng.randrange(1, 4)):
            age_ms = rng.uniform(200.0, 10_000.0)
            at_ms = rng.uniform(1_000.0, LENGTH_MS)
            world.at(at_ms, lambda age_ms=age_ms: world.come_back(age_ms))  # type: ignore[misc]
    for _ in range(rng.randrange(3, 25)):
        world.at(rng.uniform(1_000.0, LENGTH_MS), lambda: trouble(world))
    for _ in range(400):
        at_ms = rng.uniform(500.0, LENGTH_MS)
        world.at(at_ms, lambda: world.request(rng.choice(world.machines), "o"))
    world.run(LENGTH_MS)
    return world


def check_one(arrivals: list[Arrival]) -> None:
    """Check the platform's rules by the order in which calls arrived."""
    owners: dict[int, tuple[int, int]] = {}
    last_ms: dict[int, float] = {}
    highest, holder = 0, -1
    for arrival in arrivals:
        process = (arrival.machine, arrival.life)
        assert owners.setdefault(arrival.token, process) == process
        assert arrival.token >= highest
        if arrival.machine != holder and arrival.machine in last_ms:
            assert arrival.at_ms - last_ms[arrival.machine] > LEASE_MS
        highest, holder = arrival.token, arrival.machine
        last_ms[holder] = arrival.at_ms


def with_orders(world: World) -> World:
    """Let each process of a world order upstreams as often as it may."""
    start = world.start

    def start_with_orders(machine: Machine) -> None:
        start(machine)
        world.task(machine, lambda: give_orders(world, machine))

    world.start = start_with_orders  # type: ignore[method-assign]
    return world


# Guards against two holders, or none, after the store lost the newest lease.
@pytest.mark.parametrize("returns", [False, True], ids=["", "returns"])
@pytest.mark.parametrize("group", range(GROUPS))
def test_one_holder_at_a_time(group: int, returns: bool) -> None:
    """No token of two holders, none that falls, no A, B, A, one report a window."""
    calls = changes = 0
    for seed in range(group, SCHEDULES, GROUPS):
        world = play(seed, returns)
        check_one(world.arrivals)
        for window, bodies in world.reports().items():
            assert len(bodies) == 1, (seed, window)
        calls += len(world.arrivals)
        changes += len({arrival.token for arrival in world.arrivals}) - 1
    assert calls > 10 * SCHEDULES / GROUPS, "the schedules must not stop all work"
    assert changes >= SCHEDULES / GROUPS / 2, "and must have changes of holder"


def test_a_holder_that_gives_the_lease_back_is_silent_at_once() -> None:
    """Even if the answer to that append is lost, and no VM hears it any more."""
    passed_on = 0
    for seed in range(40):
        world = with_orders(make_world(seed))

        def leave(world: World = world) -> None:
            world.lost = 0.5
            for machine in world.machines:
                if machine.desk is not None and machine.desk.token_held is not None:
                    machine.off_fleet = True
                    at_ms = world.now_ms + 1_200.0
                    world.at(at_ms, partial(world.stop, machine, 8_000.0))
                    return

        world.at(10_000.0, leave)
        world.run(22_000.0)
        check_one(world.arrivals)
        passed_on += len({arrival.machine for arrival in world.arrivals}) > 1
    assert passed_on > 20

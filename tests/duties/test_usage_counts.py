"""Check that the reported usage is right under each fault.

Load: requests of three organisations at five VMs, forty a second, for a minute.
"""

from __future__ import annotations

from collections.abc import Callable

import orjson
import pytest

from .world import EPOCH_MS, WINDOW_MS, Machine, World, make_world

USAGE_OFF = 0.05
"""Share of a count by which a report may be wrong."""
LENGTH_MS = 60_000.0
FIRST_MS, LAST_MS = 5_000.0, 45_000.0


def holder_of(world: World) -> Machine:
    """Return the machine that holds the lease, any if none does."""
    held = [
        machine
        for machine in world.machines
        if machine.running and machine.desk and machine.desk.token_held is not None
    ]
    return held[0] if held else world.machines[0]


def other_than_holder(world: World) -> Machine:
    """Return a machine that does not hold the lease."""
    holder = holder_of(world)
    return next(machine for machine in world.machines if machine is not holder)


def play(seed: int, troubles: dict[float, Callable[[World], None]]) -> World:
    """Return a world after a minute with some troubles at their times in ms."""
    world = make_world(seed, size=5)
    rng = world.random
    for _ in range(1_600):
        at_ms = rng.uniform(FIRST_MS, LAST_MS)
        world.at(
            at_ms, lambda: world.request(rng.choice(world.machines), rng.choice("abc"))
        )
    for at_ms, trouble in troubles.items():
        world.at(at_ms, lambda trouble=trouble: trouble(world))  # type: ignore[misc]
    world.run(LENGTH_MS)
    return world


def reported(world: World) -> dict[int, dict[str, int]]:
    """Return the reports that came in time, checked to be one a window."""
    for bodies in world.reports().values():
        assert len(bodies) == 1
    counts = {}
    for arrival in world.arrivals:
        raw = orjson.loads(arrival.call.body)
        due_ms = (raw["window"] + 1) * WINDOW_MS + 10_000.0
        if EPOCH_MS + arrival.at_ms <= due_ms:
            counts[raw["window"]] = raw["counts"]
    return counts


def freeze(machine: Machine, world: World, for_ms: float) -> None:
    """Freeze a machine."""
    machine.frozen_until_ms = world.now_ms + for_ms


def cut(machine: Machine, world: World, name: str, for_ms: float) -> None:
    """Cut a machine off from something."""
    setattr(machine, name, True)
    world.at(world.now_ms + for_ms, lambda: setattr(machine, name, False))


def jump(world: World) -> None:
    """Let the clocks of two machines jump, the holder's too."""
    holder_of(world).lead_ms += 40_000.0
    other_than_holder(world).lead_ms -= 7_000.0


def stop(world: World) -> None:
    """Stop the holder, and start it again."""
    machine = holder_of(world)
    world.stop(machine, 3_000.0)
    world.at(world.now_ms + 6_000.0, lambda: world.start(machine))


def roll(world: World, ends_ms: float) -> None:
    """Stop all machines, one second apart, and start each again half a second later."""
    for number, machine in enumerate(world.machines):
        began_ms = world.now_ms + 1_000.0 * number

        def stop_one(machine: Machine = machine) -> None:
            world.stop(machine, ends_ms)
            back_ms = world.now_ms + ends_ms + 500.0
            world.at(back_ms, lambda: world.start(machine))

        world.at(began_ms, stop_one)


def lose_answers(world: World) -> None:
    """Let the store lose answers and the platform too."""
    world.lost = world.platform_lost = 0.2


EXACT: dict[str, Callable[[World], None]] = {
    "nothing": lambda world: None,
    "cut_short": lambda world: cut(other_than_holder(world), world, "off_fleet", 3e3),
    "holder_off_store": lambda world: cut(holder_of(world), world, "off_store", 9e3),
    "frozen_vm": lambda world: freeze(other_than_holder(world), world, 3_500.0),
    "frozen_holder": lambda world: freeze(holder_of(world), world, 4_500.0),
    "clocks_jump": jump,
    "holder_leaves": stop,
    "lost_answers": lose_answers,
    "all_leave_quickly": lambda world: roll(world, 3_000.0),
    "all_leave_slowly": lambda world: roll(world, 7_400.0),
}


@pytest.mark.parametrize("name", EXACT)
@pytest.mark.parametrize("seed", range(4))
def test_counts_are_exact(name: str, seed: int) -> None:
    """Whatever loses no process loses no count, and no report is late."""
    world = play(seed, {18_000.0 + 700.0 * seed: EXACT[name]})
    assert {window: found for window, found in reported(world).items() if found} == (
        world.truth
    )


@pytest.mark.parametrize("who", [holder_of, other_than_holder])
@pytest.mark.parametrize("seed", range(6))
def test_a_killed_vm_loses_little(who: Callable[[World], Machine], seed: int) -> None:
    """A kill loses what was counted since the last word: within the accepted share."""
    world = play(seed, {21_300.0 + 900.0 * seed: lambda world: world.kill(who(world))})
    found = reported(world)
    for window, counts in world.truth.items():
        total = sum(counts.values())
        off = total - sum(found[window].values())
        assert 0 <= off <= USAGE_OFF * total

"""Test cuminstile.eras: positions, and the newest era that a process heard of."""

import random

from cuminstile.eras.position import UNREAD, Position
from cuminstile.eras.store_era import StoreEra


def test_later_era_is_newer_whatever_its_offset() -> None:
    """Guards against comparing offsets that were given out twice."""
    positions = [UNREAD, Position(0, 7), Position(1, 0), Position(1, 9), Position(2, 3)]
    shuffled = random.Random(1).sample(positions, len(positions))
    assert sorted(shuffled) == positions


def test_answer_of_an_earlier_era_is_not_of_the_newest() -> None:
    returns: list[tuple[int, int]] = []
    era = StoreEra(on_return=lambda before, now: returns.append((before, now)))
    found = [
        era.observe(named, at) for at, named in enumerate([None, 3, 3, 5, 3, None])
    ]
    assert found == [True, True, True, True, False, True]
    assert (era.number, era.since_ms) == (5, 3)
    assert returns == [(3, 5)]

"""Test cuminstile.memory.account with the loads that it answers."""

from dataclasses import dataclass, field

from cuminstile.memory.account import (
    BYTES_PER_BODY_BYTE,
    MAX_WAIT_MS,
    Grant,
    Kind,
    MemoryAccount,
    Room,
    account_size,
)

MB = 1024 * 1024
LARGEST = 4 * MB * BYTES_PER_BODY_BYTE
STALLED_MS = 3_000.0


@dataclass
class Crowd:
    """Holders of an account, and what became of each that waited or lost its room."""

    account: MemoryAccount = field(default_factory=lambda: MemoryAccount(72 * MB))
    decided: list[tuple[int, bool]] = field(default_factory=list)
    lost: list[int] = field(default_factory=list)
    rooms: list[Room] = field(default_factory=list)

    def add(self, owner: str, kind: Kind = Kind.REQUEST) -> Room:
        """Add a holder, which can lose its room."""
        number = len(self.rooms)

        def lose() -> None:
            self.lost.append(number)
            self.account.give_back(room)

        room = Room(kind, lambda given: self.decided.append((number, given)), lose)
        room.owner, room.can_lose = owner, True
        self.rooms.append(room)
        return room

    def ask(self, owner: str, size: int, now_ms: float = 0.0) -> Grant:
        """Ask for room with a holder of its own."""
        return self.account.ask(self.add(owner), size, now_ms)


def test_the_largest_request_is_served_in_calm_on_the_smallest_vm() -> None:
    for size in (account_size(160.0, 40 * MB), account_size(1.0, 40 * MB)):
        crowd = Crowd(MemoryAccount(size))
        assert crowd.ask("a", LARGEST) is Grant.GIVEN
        assert crowd.account.ask_at_once(crowd.add("b"), 1_000, 0.0)


def test_many_large_bodies_at_once_stay_within_the_account() -> None:
    crowd = Crowd()
    grants = [crowd.ask(str(number), LARGEST) for number in range(100)]
    assert grants.count(Grant.GIVEN) == 4
    assert crowd.account.held <= crowd.account.size
    for number in range(100):
        crowd.account.give_back(crowd.rooms[number])
        assert crowd.account.held <= crowd.account.size
    assert crowd.account.held == 0
    assert not crowd.account.by_owner


def test_a_crowd_of_one_organisation_leaves_room_for_the_others() -> None:
    crowd = Crowd()
    grants = [crowd.ask("crowd", LARGEST) for _ in range(100)]
    assert grants.count(Grant.GIVEN) == 3
    assert crowd.ask("other", LARGEST) is Grant.GIVEN


def test_the_owner_with_the_least_room_is_served_first() -> None:
    crowd = Crowd()
    for _ in range(10):
        crowd.ask("crowd", LARGEST)
    crowd.ask("other", LARGEST)
    assert crowd.ask("third", LARGEST) is Grant.WAITING
    crowd.account.give_back(crowd.rooms[0])
    assert crowd.decided == [(11, True)]


def test_small_requests_have_room_beside_a_crowd_of_large_ones() -> None:
    crowd = Crowd()
    for number in range(100):
        crowd.ask(str(number), LARGEST)
    for _ in range(100):
        assert crowd.account.ask_at_once(crowd.add("other"), 30_000, 0.0)


def test_those_who_wait_hold_no_more_than_their_share() -> None:
    """Guards against a crowd whose first bytes alone are too many."""
    crowd = Crowd()
    grants = []
    for number in range(400):
        room = crowd.add(str(number))
        crowd.account.hold(room, 250_000)
        grants.append(crowd.account.ask(room, LARGEST, 0.0))
        if grants[-1] is Grant.REFUSED:
            crowd.account.give_back(room)
    assert {Grant.GIVEN, Grant.WAITING, Grant.REFUSED} == set(grants)
    assert crowd.account.held <= crowd.account.size
    assert crowd.account.refused == grants.count(Grant.REFUSED)


def test_who_waits_too_long_is_refused() -> None:
    crowd = Crowd()
    for number in range(5):
        crowd.ask(str(number), LARGEST)
    crowd.account.check(MAX_WAIT_MS, STALLED_MS)
    assert not crowd.decided
    crowd.account.check(MAX_WAIT_MS + 1.0, STALLED_MS)
    assert crowd.decided == [(4, False)]


def test_bodies_that_stop_just_short_lose_their_room_to_others() -> None:
    crowd = Crowd()
    for number in range(4):
        crowd.ask(str(number), LARGEST)
    crowd.rooms[2].move(4 * MB, STALLED_MS)
    crowd.ask("other", LARGEST, STALLED_MS + 1.0)
    crowd.account.check(STALLED_MS + 1.0, STALLED_MS)
    assert crowd.lost[0] == 0
    assert crowd.decided == [(4, True)]
    assert 2 not in crowd.lost


def test_a_body_that_trickles_loses_its_room_to_others() -> None:
    crowd = Crowd()
    for number in range(4):
        crowd.ask(str(number), LARGEST)
    for second in range(1, 5):
        for room in crowd.rooms[1:4]:
            room.move(1 * MB, second * 1000.0)
        crowd.rooms[0].move(1, second * 1000.0)
    crowd.ask("other", LARGEST, 4_001.0)
    crowd.account.check(4_001.0, STALLED_MS)
    assert crowd.lost == [0]


def test_a_slow_body_keeps_its_room_in_calm() -> None:
    crowd = Crowd()
    crowd.ask("slow", LARGEST)
    crowd.account.check(10 * STALLED_MS, STALLED_MS)
    assert not crowd.lost


def test_answers_that_nobody_reads_lose_their_room_to_others() -> None:
    crowd = Crowd()
    for _ in range(40):
        crowd.account.hold(crowd.add("reader", Kind.ANSWER), 2 * MB)
    assert crowd.ask("other", 30_000) is not Grant.GIVEN
    crowd.account.check(STALLED_MS + 1.0, STALLED_MS)
    assert crowd.lost
    assert crowd.account.ask_at_once(crowd.add("other"), 30_000, 0.0)

"""Test cuminstile.gateway.following with a store that fails on demand."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import pytest

from cuminstile.clock import VirtualClock
from cuminstile.eras.position import Position
from cuminstile.events import Event, EventRecord
from cuminstile.exceptions import TrimmedError
from cuminstile.gateway.following import (
    RETRY_MAX_MS,
    RETRY_MIN_MS,
    STORE,
    KeyedStore,
    StoreCallError,
    follow_topic,
    shared_interval_ms,
)
from cuminstile.gateway.state import FollowedTopic, Gateway
from cuminstile.gateway.topics import KeyedRecord, TopicPage, TopicState

from .test_state import make_vm

pytestmark = pytest.mark.anyio
TOPIC = "upstreams"
POLL_MS = 500.0
OUTAGE_MS = 10_000.0


@dataclass
class FailingStore:
    """Answer with the records from an offset on, or fail while `unavailable`."""

    records: list[KeyedRecord] = field(default_factory=list)
    unavailable: bool = False
    calls: int = 0

    async def newest(self, topic: str) -> TopicPage:
        """Return all records."""
        return await self.read(topic, Position(0, 0), 0.0)

    async def read(self, topic: str, start: Position, wait_ms: float) -> TopicPage:
        """Return the records from an offset on at once."""
        self.calls += 1
        if self.unavailable:
            raise StoreCallError("no answer", calls_before=7)
        return TopicPage(
            tuple(self.records[start.offset :]), Position(0, len(self.records))
        )

    def put(self, key: str, value: bytes | None) -> None:
        """Append a record."""
        self.records.append(KeyedRecord(key, value, len(self.records)))


def recorded(vm: Gateway, event: Event) -> list[EventRecord]:
    return [entry for entry in vm.journal.ring if entry.event is event]


async def follow(
    vm: Gateway,
    store: FailingStore,
    state: TopicState,
    play: Callable[[VirtualClock], object],
) -> list[set[str]]:
    """Follow a topic while `play` advances the clock; return the keys that changed."""
    changes: list[set[str]] = []

    def apply_changes(keys: set[str], source: str) -> None:
        assert source == STORE
        changes.append(keys)

    topic = followed(state, apply_changes, 0.0, POLL_MS)
    await run_follower(vm, topic, store, play)
    return changes


def followed(
    state: TopicState,
    apply_changes: Callable[[set[str], str], None],
    wait_ms: float,
    pause_ms: float,
) -> FollowedTopic:
    """Return a topic that this VM always reads."""
    return FollowedTopic(
        state,
        apply_changes,
        wait_ms=lambda: wait_ms,
        pause_ms=lambda: pause_ms,
        lag_ms=POLL_MS,
        always_read=lambda role: True,
        max_age_ms=lambda: POLL_MS,
    )


async def run_follower(
    vm: Gateway,
    topic: FollowedTopic,
    store: KeyedStore,
    play: Callable[[VirtualClock], object],
) -> None:
    """Follow a topic while `play` advances the clock."""
    assert isinstance(vm.clock, VirtualClock)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follow_topic, topic, store, vm)
        await play(vm.clock)  # type: ignore[misc]
        tasks.cancel_scope.cancel()


async def test_each_failed_call_logs_its_connection_and_the_age_of_the_list() -> None:
    """Guards against an outage that logs only its first failed call."""
    vm = make_vm(VirtualClock(at_ms=100_000.0))
    store = FailingStore()

    async def play(clock: VirtualClock) -> None:
        await clock.advance_ms(10.0)
        store.unavailable = True
        await clock.advance_ms(OUTAGE_MS)
        store.unavailable = False
        await clock.advance_ms(RETRY_MAX_MS)

    await follow(vm, store, TopicState(TOPIC), play)
    (lost,) = recorded(vm, Event.PLATFORM_LOST)
    failed = recorded(vm, Event.STORE_CALL_FAILED)
    (back,) = recorded(vm, Event.PLATFORM_BACK)
    assert lost.fields["connection_calls_before"] == 7
    assert [entry.fields["failed_calls"] for entry in failed] == [
        number + 2 for number in range(len(failed))
    ]
    assert back.fields["failed_calls"] == 1 + len(failed)
    assert failed[-1].fields["age_ms"] > OUTAGE_MS - 2 * RETRY_MAX_MS
    assert {entry.fields["topic"] for entry in failed} == {TOPIC}


async def test_log_lines_of_an_outage_are_bounded() -> None:
    vm = make_vm(VirtualClock(at_ms=100_000.0))
    store = FailingStore(unavailable=True)

    async def play(clock: VirtualClock) -> None:
        await clock.advance_ms(OUTAGE_MS)

    await follow(vm, store, TopicState(TOPIC), play)
    lines = len(vm.journal.ring)
    assert OUTAGE_MS / RETRY_MAX_MS <= lines <= OUTAGE_MS / RETRY_MAX_MS + 4


async def test_every_answer_reports_which_keys_changed() -> None:
    vm = make_vm(VirtualClock(at_ms=100_000.0))
    store = FailingStore()
    store.put("u1", b"ready")

    async def play(clock: VirtualClock) -> None:
        await clock.advance_ms(10.0)
        store.put("u2", b"ready")
        await clock.advance_ms(POLL_MS)
        store.put("u1", None)
        await clock.advance_ms(POLL_MS)
        await clock.advance_ms(POLL_MS)

    state = TopicState(TOPIC)
    changes = await follow(vm, store, state, play)
    assert changes == [{"u1"}, {"u2"}, {"u1"}, set()]
    assert state.values == {"u2": b"ready"}


@pytest.mark.parametrize("vms", [1, 2, 6, 20, 90])
def test_a_fleet_reads_no_more_often_than_one_vm_except_for_the_maximum_interval(
    vms: int,
) -> None:
    each_ms = shared_interval_ms(1_000.0, 20_000.0, vms)
    assert each_ms <= 20_000.0
    assert vms / each_ms <= max(1 / 1_000.0, vms / 20_000.0)


@dataclass
class HastyStore:
    """A store that answers each call at once, with nothing that helps.

    Parameters
    ----------
    kind : str
        `empty`: reads find no record, whatever they wait. `trimmed`: reads are told
        that their records are gone. `behind`: so are they, and the newest records are
        older than known. `earlier`: all answers are of an era before.
    """

    kind: str
    calls: int = 0

    async def newest(self, topic: str) -> TopicPage:
        """Return the newest records."""
        self.calls += 1
        end = 3 if self.kind == "behind" and self.calls > 1 else 5
        return TopicPage((), Position(1 if self.kind == "earlier" else 2, end))

    async def read(self, topic: str, start: Position, wait_ms: float) -> TopicPage:
        """Return no records."""
        self.calls += 1
        if self.kind in ("trimmed", "behind"):
            raise TrimmedError(topic, start.offset)
        return TopicPage((), Position(1 if self.kind == "earlier" else 2, 5))


# Guards against a loop without a pause, whatever the store answers.
@pytest.mark.parametrize("kind", ["empty", "trimmed", "behind", "earlier"])
async def test_no_answer_makes_a_follower_call_without_a_pause(kind: str) -> None:
    vm = make_vm(VirtualClock(at_ms=100_000.0))
    store = HastyStore(kind)
    state = TopicState(TOPIC)
    if kind == "earlier":
        state.end = Position(2, 5)
    topic = followed(state, lambda keys, source: None, 1_000.0, 0.0)
    await run_follower(vm, topic, store, lambda clock: clock.advance_ms(OUTAGE_MS))
    assert store.calls <= 2 + OUTAGE_MS / RETRY_MIN_MS

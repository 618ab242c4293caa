"""Test cuminstile.records.configuration."""

import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cuminstile.const import CHANGES_FORMAT, FULL_FORMAT
from cuminstile.exceptions import CuminstileError, ErrorCode
from cuminstile.objects.model import AnyObject, DataCentre
from cuminstile.records.config_record import (
    ANY_BASE,
    RECORD_CODEC,
    ConfigRecord,
    checksum_of,
    make_changes_record,
    make_record,
    reset_base,
)
from cuminstile.records.configuration import (
    ConfigurationState,
    Effect,
    apply_copy,
    apply_record,
    finish_catching_up,
    is_head_readable,
    make_copy,
    skip_gap,
)


def record(base: int, nonce: str, name: str = "dc1") -> ConfigRecord:
    return make_record(base, nonce, (DataCentre("data_centre", name, "r1"),))


def change(state: ConfigurationState, nonce: str) -> ConfigRecord:
    """Return a record that adds an object and removes the first one."""
    before = state.latest.items
    after = (*before[1:], DataCentre("data_centre", nonce, "r1"))
    return make_changes_record(state.head, nonce, before, after)


def apply_all(state: ConfigurationState, *records: ConfigRecord) -> list[Effect]:
    """Apply records at the reader's next offset."""
    return [
        apply_record(state, state.next_offset, RECORD_CODEC.encode(item))
        for item in records
    ]


def test_publication_is_accepted_only_on_the_version_in_force() -> None:
    state = ConfigurationState(caught_up=True)
    effects = apply_all(state, record(-1, "a"), record(-1, "b"), record(0, "c"))
    assert effects == [Effect.IN_FORCE, Effect.CONFLICT, Effect.IN_FORCE]
    assert state.version == 2


def test_publication_appended_twice_is_accepted_once() -> None:
    state = ConfigurationState(caught_up=True)
    one, other = record(-1, "a"), record(0, "b")
    effects = apply_all(state, one, other, one)
    assert effects == [Effect.IN_FORCE, Effect.IN_FORCE, Effect.CONFLICT]
    assert state.version == 1


def test_reset_is_accepted_only_at_the_offset_its_writer_had_read_to() -> None:
    state = ConfigurationState(caught_up=True)
    reset = record(reset_base(0), "a")
    effects = apply_all(state, reset, record(0, "b"), reset)
    assert effects == [Effect.IN_FORCE, Effect.IN_FORCE, Effect.CONFLICT]
    assert state.version == 1


def with_wrong_checksum(good: ConfigRecord) -> bytes:
    return RECORD_CODEC.encode(replace(good, objects=good.objects + b"x"))


def referring_to_later_records(good: ConfigRecord) -> bytes:
    return RECORD_CODEC.encode(replace(good, version=40, base=50))


@pytest.mark.parametrize(
    "spoil",
    [
        with_wrong_checksum,
        referring_to_later_records,
        lambda good: b"",
        lambda good: RECORD_CODEC.encode(good)[:-1],
    ],
)
def test_malformed_record_between_valid_ones_is_skipped(
    spoil: Callable[[ConfigRecord], bytes],
) -> None:
    state = ConfigurationState(caught_up=True)
    apply_all(state, record(-1, "a"))
    with pytest.raises(CuminstileError) as caught:
        apply_record(state, 1, spoil(record(0, "b")))
    assert caught.value.code == ErrorCode.BAD_MESSAGE
    assert apply_all(state, record(0, "c")) == [Effect.IN_FORCE]
    assert state.version == 2


def test_unsupported_format_is_accepted_but_not_in_force() -> None:
    state = ConfigurationState(caught_up=True)
    newer = replace(record(0, "b"), format=99)
    effects = apply_all(state, record(-1, "a"), newer, record(0, "c"))
    assert effects == [Effect.IN_FORCE, Effect.UNUSABLE, Effect.CONFLICT]
    assert (state.version, state.head) == (0, 1)
    assert apply_all(state, record(1, "d")) == [Effect.IN_FORCE]
    assert state.version == 3


def test_changes_result_in_the_same_set_as_a_whole_record() -> None:
    state = ConfigurationState(caught_up=True)
    apply_all(state, record(-1, "a", "dc1"))
    effects = apply_all(state, change(state, "b"), record(1, "c", "dc2"))
    assert effects == [Effect.IN_FORCE, Effect.IN_FORCE]
    assert list(state.history[1].objects.data_centres) == ["b"]
    assert list(state.history[2].objects.data_centres) == ["dc2"]


def test_copy_of_changes_is_a_whole_set() -> None:
    state = ConfigurationState(caught_up=True)
    apply_all(state, record(-1, "a"))
    apply_all(state, change(state, "b"))
    replacement = ConfigurationState(caught_up=True)
    skip_gap(replacement, 2)
    assert apply_copy(replacement, make_copy(state)) == Effect.IN_FORCE
    assert replacement.current.items == state.current.items


def test_changes_to_an_unreadable_version_need_a_copy() -> None:
    writer = ConfigurationState(caught_up=True)
    apply_all(writer, record(-1, "a"))
    state = ConfigurationState(caught_up=True)
    apply_all(state, record(-1, "a"), replace(record(0, "b"), format=99))
    # A release that supports the newer format bases its changes on those objects.
    newer = make_changes_record(1, "c", (), (DataCentre("data_centre", "c", "r1"),))
    assert apply_all(state, newer) == [Effect.UNUSABLE]
    assert (state.version, state.head) == (0, 2)
    assert make_copy(state) is None
    assert not is_head_readable(state)
    copy = replace(record(2, "c", "c"), version=2, base=3)
    assert apply_copy(state, copy) == Effect.IN_FORCE
    assert state.version == 2


def test_changes_are_not_applied_as_a_copy() -> None:
    state = ConfigurationState(caught_up=True)
    apply_all(state, record(-1, "a"))
    copy = replace(change(state, "b"), version=5, base=6)
    assert apply_copy(state, copy) == Effect.NOTHING
    assert state.version == 0


def test_publication_after_a_gap_is_undecided() -> None:
    state = ConfigurationState(caught_up=True)
    apply_all(state, record(-1, "a"))
    skip_gap(state, 3)
    assert apply_all(state, record(0, "d")) == [Effect.UNDECIDED]
    assert state.version == 0


def test_copy_makes_the_state_exact_after_a_gap() -> None:
    state = ConfigurationState(caught_up=True)
    skip_gap(state, 3)
    assert apply_all(state, record(2, "d")) == [Effect.UNDECIDED]
    copy = replace(record(0, "c"), version=2, base=3)
    assert apply_all(state, copy) == [Effect.IN_FORCE]
    assert (state.version, state.next_offset) == (2, 3)
    assert apply_all(state, record(2, "d")) == [Effect.IN_FORCE]


def test_records_past_the_next_offset_are_not_applied() -> None:
    state = ConfigurationState(caught_up=True)
    skip_gap(state, 3)
    apply_copy(state, replace(record(0, "c"), version=2, base=3))
    assert apply_record(state, 7, RECORD_CODEC.encode(record(2, "g"))) == Effect.NOTHING
    assert state.next_offset == 3


def test_gap_before_the_next_offset_is_ignored() -> None:
    state = ConfigurationState(caught_up=True)
    apply_all(state, record(-1, "a"), record(0, "b"), record(0, "c"))
    skip_gap(state, 2)
    assert (state.next_offset, state.head_confirmed) == (3, True)


@dataclass
class Log:
    """A stream with its trimmed part, from which a test computes the expected state."""

    payloads: list[bytes] = field(default_factory=list)
    first: int = 0

    def head(self) -> int:
        """Return the last accepted version, readable or not."""
        state = ConfigurationState(caught_up=True)
        for offset, payload in enumerate(self.payloads):
            with contextlib.suppress(CuminstileError):
                apply_record(state, offset, payload)
        return state.head

    def expected_versions(self) -> dict[int, "ExpectedVersion"]:
        """Return each version that was ever in force."""
        state = ConfigurationState(caught_up=True)
        versions = {}
        for offset, payload in enumerate(self.payloads):
            try:
                if apply_record(state, offset, payload) == Effect.IN_FORCE:
                    nonce = state.head_record.nonce
                    versions[state.version] = ExpectedVersion(
                        nonce, state.current.items
                    )
            except CuminstileError:
                continue
        return versions


@dataclass(frozen=True)
class ExpectedVersion:
    """The nonce and the objects of a version."""

    nonce: str
    items: tuple[AnyObject, ...]


@dataclass
class Reader:
    """Reader that applies a log as a VM does and records what was in force."""

    log: Log
    state: ConfigurationState = field(default_factory=ConfigurationState)
    versions_seen: list[int] = field(default_factory=list)
    objects: dict[int, tuple[AnyObject, ...]] = field(default_factory=dict)
    fetched: tuple[int, list[bytes]] | None = None

    def record_version(self) -> None:
        """Record the version in force if it has changed."""
        version = self.state.version
        if version >= 0 and self.versions_seen[-1:] != [version]:
            self.versions_seen.append(version)
            self.objects[version] = self.state.current.items

    def fetch(self, limit: int) -> None:
        """Fetch at most `limit` records from the platform, without applying them."""
        state = self.state
        if state.next_offset < self.log.first:
            skip_gap(state, self.log.first)
        start = state.next_offset
        self.fetched = start, self.log.payloads[start : start + limit]

    def apply(self) -> None:
        """Apply the records of the last fetch."""
        if self.fetched is None:
            return
        start, payloads = self.fetched
        self.fetched = None
        for offset, payload in enumerate(payloads, start):
            with contextlib.suppress(CuminstileError):
                apply_record(self.state, offset, payload)
            self.record_version()
            if self.state.next_offset <= offset:
                break
        if not payloads:
            finish_catching_up(self.state)
            self.record_version()

    def read(self, limit: int) -> None:
        """Fetch and apply at most `limit` records."""
        self.fetch(limit)
        self.apply()

    def read_to_end(self) -> None:
        """Read until nothing is left."""
        for _ in range(4):
            self.read(10_000)

    def receive_copy(self, copy: ConfigRecord | None) -> None:
        """Apply a copy from another reader."""
        if copy is None:
            return
        if apply_copy(self.state, copy) != Effect.NOTHING:
            finish_catching_up(self.state)
            self.record_version()


READERS = 3
WHO = st.integers(0, READERS - 1)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("read"), WHO, st.integers(1, 4)),
        st.tuples(st.just("fetch"), WHO, st.integers(1, 4)),
        st.tuples(st.just("apply"), WHO, st.just(0)),
        st.tuples(st.just("publish"), WHO, st.sampled_from(("once", "twice", "late"))),
        st.tuples(st.just("change"), WHO, st.sampled_from(("once", "twice", "late"))),
        st.tuples(st.just("newer"), WHO, st.sampled_from(("once", "twice", "late"))),
        st.tuples(st.just("reset"), WHO, st.sampled_from(("once", "twice", "late"))),
        st.tuples(st.just("renew"), WHO, st.sampled_from(("once", "twice", "late"))),
        st.tuples(st.just("give"), WHO, WHO),
        st.tuples(st.just("restart"), WHO, st.just(0)),
        st.tuples(st.just("trim"), st.integers(0, 3), st.just(0)),
        st.tuples(st.just("land"), st.just(0), st.just(0)),
        st.tuples(st.just("spoil"), st.just(0), st.just(0)),
    ),
    max_size=60,
)


@settings(max_examples=400, deadline=None)
@given(STEPS)
def test_every_reader_gets_the_same_versions_and_never_reverts(
    steps: list[tuple],
) -> None:
    log = Log()
    readers = [Reader(log) for _ in range(READERS)]
    stopped: list[Reader] = []
    late: list[bytes] = []

    def append(item: ConfigRecord, how: str) -> None:
        payload = RECORD_CODEC.encode(item)
        if how == "late":
            late.append(payload)
        else:
            log.payloads += [payload] * (2 if how == "twice" else 1)

    for number, (kind, which, detail) in enumerate(steps):
        state = readers[which].state if which < READERS else None
        match kind:
            case "read":
                readers[which].read(detail)
            case "fetch":
                readers[which].fetch(detail)
            case "apply":
                readers[which].apply()
            case "publish":
                append(record(state.head, f"n{number}"), detail)
            case "change" if state.has_head_objects:
                append(change(state, f"n{number}"), detail)
            case "newer":
                append(replace(record(state.head, f"n{number}"), format=99), detail)
            case "reset":
                append(record(reset_base(state.next_offset), f"n{number}"), detail)
            case "renew":
                copy = make_copy(state)
                if copy is not None and state.head_confirmed:
                    append(copy, detail)
            case "give":
                readers[detail].receive_copy(make_copy(state))
            case "restart":
                stopped.append(readers[which])
                readers[which] = Reader(log)
            case "trim":
                log.first = max(log.first, len(log.payloads) - which)
            case "land" if late:
                log.payloads.append(late.pop(0))
            case "spoil":
                log.payloads.append(b"\x81\x01")
    for reader in readers:
        reader.apply()
        reader.read_to_end()
    expected_versions = log.expected_versions()
    nonces = {version.nonce for version in expected_versions.values()}
    assert len(nonces) == len(expected_versions), "a publication counted twice"
    for reader in (*readers, *stopped):
        assert reader.versions_seen == sorted(set(reader.versions_seen)), (
            "a version went back"
        )
        assert set(reader.versions_seen) <= set(expected_versions), (
            "a version that never counted"
        )
        for version, objects in reader.objects.items():
            assert objects == expected_versions[version].items, (
                "other objects than elsewhere"
            )
    for reader in readers:
        if reader.state.head_confirmed:
            assert reader.state.head == log.head()


def test_reset_at_offset_zero_has_the_base_any_base() -> None:
    assert reset_base(0) == ANY_BASE


def mutated(good: bytes) -> st.SearchStrategy[bytes]:
    """Return a strategy for payloads with one byte changed, or cut short."""
    places = st.integers(0, len(good) - 1)
    changed = st.tuples(places, st.integers(0, 255)).map(
        lambda item: good[: item[0]] + bytes([item[1]]) + good[item[0] + 1 :]
    )
    return changed | places.map(lambda place: good[:place])


CONTENT = st.recursive(
    st.none() | st.integers() | st.floats() | st.text() | st.binary(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


def changes_of(value: object) -> dict[str, object]:
    """Return a value in the form of changes to a set of objects."""
    return {"put": value, "removed": [value]}


def with_content(value: object) -> st.SearchStrategy[bytes]:
    """Return a strategy for valid records whose objects are any value."""
    body = cbor2.dumps(value)
    good = replace(record(0, "b"), objects=body, checksum=checksum_of(body))
    formats = st.sampled_from((FULL_FORMAT, CHANGES_FORMAT))
    return formats.map(lambda number: RECORD_CODEC.encode(replace(good, format=number)))


@settings(max_examples=500, deadline=None)
@given(
    st.binary()
    | mutated(RECORD_CODEC.encode(record(0, "b")))
    | CONTENT.flatmap(with_content)
    | CONTENT.map(lambda value: {"put": value, "removed": [value]}).flatmap(
        with_content
    )
)
def test_any_payload_between_valid_records_is_handled(payload: bytes) -> None:
    state = ConfigurationState(caught_up=True)
    apply_all(state, record(-1, "a"))
    try:
        apply_record(state, 1, payload)
    except CuminstileError as error:
        assert error.code == ErrorCode.BAD_MESSAGE
    assert apply_all(state, record(state.head, "c")) == [Effect.IN_FORCE]
    assert state.version == 2

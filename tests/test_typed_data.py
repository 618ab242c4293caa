"""Test cuminstile.typed_data and cuminstile.message_codec."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cuminstile.exceptions import CuminstileError, ErrorCode
from cuminstile.gateway.messages import (
    CODEC,
    Heartbeat,
    RecordEntry,
    TopicEnd,
    TopicUpdate,
)
from cuminstile.message_codec import MAX_MESSAGE_BYTES
from cuminstile.typed_data import InvalidDataError, check_data_class, check_for


@dataclass(frozen=True)
class Inner:
    """Part of another data class."""

    name: str
    weight: float = 1.0


@dataclass(frozen=True)
class Outer:
    """Data class with each kind of field."""

    count: int
    inner: Inner
    pair: tuple[int, str]
    many: tuple[Inner, ...] = ()
    value: bytes | None = None
    flag: bool = False


PLAIN: dict[str, Any] = {"count": 1, "inner": {"name": "a"}, "pair": [2, "b"]}
HEARTBEAT = Heartbeat(
    "vm", "10.0.0.1:7000", "a", "i", 5, False, (TopicEnd("t", 7),), ("10.0.0.2:7000",)
)
UPDATE = TopicUpdate(
    "t", "10.0.0.1:7000", 3, (RecordEntry("k", None, 4),), 9, 0.5, 0.0, -1
)


def test_object_with_defaults_and_unknown_fields() -> None:
    outer = check_data_class(Outer)({**PLAIN, "new": 1})
    assert outer == Outer(1, Inner("a"), (2, "b"))


def test_array_with_more_fields_of_a_newer_program() -> None:
    outer = check_data_class(Outer)([1, ["a", 2], (2, "b"), [["c"]], b"x", True, "new"])
    assert outer == Outer(1, Inner("a", 2.0), (2, "b"), (Inner("c"),), b"x", True)


@pytest.mark.parametrize(
    ("changes", "location"),
    [
        ({"count": "1"}, "count"),
        ({"count": True}, "count"),
        ({"count": 1.0}, "count"),
        ({"inner": {"name": 5}}, "inner.name"),
        ({"inner": {"name": "a", "weight": math.nan}}, "inner.weight"),
        ({"inner": {"name": "a", "weight": 10**400}}, "inner.weight"),
        ({"inner": "a"}, "inner"),
        ({"pair": [1]}, "pair"),
        ({"pair": [1, 2]}, "pair[1]"),
        ({"many": [{"name": "a"}, {"name": 1}]}, "many[1].name"),
        ({"value": "text"}, "value"),
        ({"flag": 1}, "flag"),
    ],
)
def test_wrong_field_is_named(changes: dict[str, Any], location: str) -> None:
    with pytest.raises(InvalidDataError) as error:
        check_data_class(Outer)({**PLAIN, **changes})
    assert [problem.location for problem in error.value.problems] == [location]


def test_all_problems_are_reported() -> None:
    with pytest.raises(InvalidDataError) as error:
        check_data_class(Outer)({"inner": {"name": 5}, "pair": None, "flag": "no"})
    locations = {problem.location for problem in error.value.problems}
    assert locations == {"count", "inner.name", "pair", "flag"}


def test_unsupported_annotation_is_an_error_of_the_programmer() -> None:
    with pytest.raises(TypeError):
        check_for(dict[str, int])


@pytest.mark.parametrize("message", [HEARTBEAT, UPDATE], ids=["heartbeat", "update"])
def test_message_is_decoded_as_it_was(message: Any) -> None:
    assert CODEC.decode(CODEC.encode(message)) == message


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff" * 20,
        cbor2.dumps([]),
        cbor2.dumps([999]),
        cbor2.dumps([1]),
        cbor2.dumps({"a": 1}),
        cbor2.dumps([1, "vm", 5, "a", "i", 5, False, [], []]),
        cbor2.dumps([[1], "vm"]),
        bytes(MAX_MESSAGE_BYTES + 1),
        b"\x81" * 5_000 + b"\x00",
    ],
    ids=str,
)
def test_bytes_that_are_no_message_are_one_error(data: bytes) -> None:
    with pytest.raises(CuminstileError) as error:
        CODEC.decode(data)
    assert error.value.code is ErrorCode.BAD_MESSAGE


@given(st.binary(max_size=200), st.integers(0, 200), st.sampled_from([0, 1]))
def test_spoiled_messages_are_decoded_or_refused(
    noise: bytes, at: int, which: int
) -> None:
    data = CODEC.encode((HEARTBEAT, UPDATE)[which])
    at = min(at, len(data))
    try:
        CODEC.decode(data[:at] + noise + data[at + len(noise) :])
    except CuminstileError as error:
        assert error.code is ErrorCode.BAD_MESSAGE

"""Test cuminstile.platform.records: what a heartbeat of an upstream changes."""

from __future__ import annotations

from typing import Any

import orjson
import pytest

from cuminstile.platform.records import (
    InvalidRecordError,
    decode_upstream,
    without_sequence,
    writing_order,
)


def record(**changes: Any) -> bytes:
    """Return the record of one upstream."""
    fields = {
        "service": "engines",
        "address": "10.1.64.7:8080",
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "seq": 7,
        "born": 1_700_000_000_000,
    }
    return orjson.dumps({**fields, **changes})


def test_next_heartbeat_of_an_upstream_is_no_change() -> None:
    assert without_sequence(record()) == without_sequence(record(seq=8))
    assert decode_upstream("u1", without_sequence(record())) == decode_upstream(
        "u1", record()
    )


def test_records_of_an_upstream_are_in_the_order_of_start_and_number() -> None:
    older, newer = record(seq=9), record(seq=10)
    later_start = record(seq=0, born=1_700_000_000_001)
    assert writing_order(older) < writing_order(newer) < writing_order(later_start)


@pytest.mark.parametrize(
    "payload",
    [b"", b"[1]", b"5", record(seq="7"), record(seq=True), record(born=None)],
)
def test_record_without_start_or_number_has_no_order(payload: bytes) -> None:
    assert writing_order(payload) == ()


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "draining"},
        {"born": 1_700_000_000_001},
        {"address": "10.1.64.8:8080"},
        {"cold_remaining_ms": 300},
        {"service": "desk"},
    ],
    ids=lambda changes: next(iter(changes)),
)
def test_everything_else_is_a_change(changes: dict[str, Any]) -> None:
    assert without_sequence(record(**changes)) != without_sequence(record())


@pytest.mark.parametrize(
    "payload",
    [b"", b"\xff", b"[1]", b"5", record(seq="7"), record(seq=None), record(seq=True)],
)
def test_record_that_names_no_upstream_stays_as_it_is(payload: bytes) -> None:
    assert without_sequence(payload) == payload


NESTED = b"[" * 300 + b"]" * 300
ODD_RECORDS = [
    record()[:-1] + b',"more":' + NESTED + b"}",
    record()[:-1] + b',"more":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    record()[:-1] + b',"more":1e999}',
    record()[:-1] + b',"more":' + b"9" * 5_000 + b"}",
    record(address="10.1.64.7:70000"),
    record(address="10.1.64.7:" + "9" * 5_000),
    record(address="10.1.64.7:8_0"),
    record(address="no host:80"),
    record(slots=[1]),
    record(state=["ready"]),
    record(cold_remaining_ms=1e308),
]


# Guards against VMs that stop following the upstreams at an odd record among them.
@pytest.mark.parametrize("payload", ODD_RECORDS, ids=range(len(ODD_RECORDS)))
def test_odd_record_stops_nobody_from_reading_the_others(payload: bytes) -> None:
    without_sequence(payload)
    try:
        decode_upstream("u1", payload)
    except InvalidRecordError:
        return


@pytest.mark.parametrize(
    "address", ["10.1.64.7:70000", "10.1.64.7:0", "10.1.64.7:8_0", "host:80", ":80"]
)
def test_record_with_a_malformed_address_names_no_upstream(address: str) -> None:
    with pytest.raises(InvalidRecordError):
        decode_upstream("u1", record(address=address))


# Guards against an id that can't be written into a header, or that adds one.
@pytest.mark.parametrize("key", ["u\u20ac", "u\r\nTenant: other", "u\x00"])
def test_record_with_an_unprintable_key_names_no_upstream(key: str) -> None:
    with pytest.raises(InvalidRecordError):
        decode_upstream(key, record())


REQUIRED = (
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "cold_remaining_ms",
    "seq",
)


# Guards against an entry of another writer that is taken for an upstream.
@pytest.mark.parametrize("name", REQUIRED)
def test_record_without_a_field_or_with_another_type_names_no_upstream(
    name: str,
) -> None:
    fields = orjson.loads(record())
    del fields[name]
    odd = [None, [], {}, "", True, [1], "gone" if name != "version" else 1]
    for changed in [fields, *({**fields, name: value} for value in odd)]:
        if name in ("service", "zone") and changed.get(name) == "gone":
            continue
        with pytest.raises(InvalidRecordError):
            decode_upstream("u1", orjson.dumps(changed))


@pytest.mark.parametrize("value", [None, "", "1", 1.5, True, [], {}])
def test_record_with_a_malformed_start_names_no_upstream(value: Any) -> None:
    with pytest.raises(InvalidRecordError):
        decode_upstream("u1", record(born=value))


def test_record_without_a_start_names_an_upstream() -> None:
    fields = orjson.loads(record())
    del fields["born"]
    assert decode_upstream("u1", orjson.dumps(fields)).started_ms == 0

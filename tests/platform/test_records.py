"""Test cuminstile.platform.records: what a heartbeat of an upstream changes."""

from __future__ import annotations

from typing import Any

import orjson
import pytest

from cuminstile.platform.records import decode_upstream, without_sequence


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

"""Test standins.platform."""

import threading
import time

import httpcore
import pytest

from .programs import started

pytestmark = pytest.mark.process


def test_offsets_have_no_gaps_and_reads_resume() -> None:
    with started("platform") as platform:
        offsets = [
            platform.cbor("POST", "/streams/a", b"x%d" % number)["offset"]
            for number in range(3)
        ]
        read = platform.cbor("GET", "/streams/a?offset=1&limit=1")
    assert offsets == [0, 1, 2]
    assert [record[0] for record in read["records"]] == [1]
    assert read["records"][0][2] == b"x1"
    assert (read["next"], read["first"]) == (2, 0)


def test_a_read_waits_for_the_next_append() -> None:
    with started("platform") as platform:
        later = threading.Timer(0.3, platform.cbor, ("POST", "/streams/a", b"x"))
        later.start()
        started_s = time.monotonic()
        read = platform.cbor("GET", "/streams/a?offset=0&wait_ms=4000")
        waited_s = time.monotonic() - started_s
        later.join()
    assert len(read["records"]) == 1
    assert 0.2 < waited_s < 3.0


def test_trimmed_offsets_answer_410_with_the_first() -> None:
    with started("platform", retain=2) as platform:
        for _ in range(5):
            platform.cbor("POST", "/streams/a", b"x")
        response = platform.request("GET", "/streams/a?offset=1")
        body = platform.cbor("GET", "/streams/a?offset=1")
    assert response.status == 410
    assert body["first"] == 3


def test_appends_above_the_cap_answer_429() -> None:
    with started("platform", appends_per_s=5) as platform:
        statuses = [
            platform.request("POST", "/streams/a", b"x").status for _ in range(12)
        ]
        read = platform.cbor("GET", "/streams/a?offset=0")
    assert 429 in statuses
    assert len(read["records"]) == statuses.count(200)


@pytest.mark.parametrize("by", ["close", "hang"])
def test_an_append_whose_answer_is_lost_has_taken_effect(by: str) -> None:
    with started("platform", lose_answers=1.0, lose_by=by) as platform:
        with pytest.raises((httpcore.RemoteProtocolError, httpcore.ReadTimeout)):
            platform.request("POST", "/streams/a", b"x")
        read = platform.cbor("GET", "/streams/a?offset=0")
    assert len(read["records"]) == 1


def test_an_outage_refuses_and_ends_waiting_reads() -> None:
    with started("platform") as platform:
        control = ("POST", "/control", {"outage": "refuse"})
        later = threading.Timer(0.3, platform.json, control)
        later.start()
        read = platform.request("GET", "/streams/a?offset=0&wait_ms=4000")
        later.join()
        append = platform.request("POST", "/streams/a", b"x")
        platform.json("POST", "/control", {"outage": False})
        after = platform.cbor("GET", "/streams/a?offset=0")
    assert (read.status, append.status) == (503, 503)
    assert after["records"] == []


def test_the_list_of_vms_lags() -> None:
    vm = {"name": "a", "data_centre": "d", "address": "127.0.0.1:1", "state": "live"}
    with started("platform", vm_lag_ms=500) as platform:
        platform.json("POST", "/control", {"vms": [vm]})
        at_once = platform.cbor("GET", "/vms")["vms"]
        time.sleep(0.7)
        later = platform.cbor("GET", "/vms")["vms"]
    assert at_once == []
    assert later == [{**vm, "age_ms": 500}]


def test_weights_are_granted_at_a_limited_rate() -> None:
    with started("platform", weights_per_s=1) as platform:
        first = platform.cbor("POST", "/weights/w")
        second = platform.cbor("POST", "/weights/w")
    assert first == {"granted": True}
    assert 0 < second["retry_after_ms"] <= 1000


def test_a_wrong_control_value_changes_nothing() -> None:
    with started("platform", retain=7) as platform:
        response = platform.request("POST", "/control", b'{"retain": 3, "seed": "x"}')
        values = platform.json("GET", "/control")
    assert response.status == 400
    assert values["retain"] == 7

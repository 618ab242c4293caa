"""Test standins.upstream_http with engine, pool and service as processes."""

import threading
import time

import httpcore
import pytest

from .programs import call, events_of, started

pytestmark = pytest.mark.process


def test_an_engine_resumes_with_the_same_tokens() -> None:
    asked = {"prompt": "terms", "max_tokens": 9}
    with started("engine", token_ms=1, work_ms=1) as engine:
        text = engine.request("POST", "/run", call("a", True, input=asked)).content
        *chunks, done = events_of(text.decode())
    with started("engine", token_ms=1, work_ms=1) as other:
        body = call("b", True, input=asked, resume_at=4)
        *rest, resumed = events_of(other.request("POST", "/run", body).content.decode())
    tokens = [token for chunk in chunks for token in chunk["tokens"]]
    assert len(tokens) == 9
    assert rest[0]["index"] == 4
    assert [token for chunk in rest for token in chunk["tokens"]] == tokens[4:]
    assert done["count"] == resumed["count"] == 9
    assert done["output"] == resumed["output"]
    assert done["incarnation"] != resumed["incarnation"]


def test_a_cancelled_stream_ends_without_done() -> None:
    with started("engine", token_ms=50) as engine:
        later = threading.Timer(0.3, engine.json, ("POST", "/cancel", {"attempt": "a"}))
        later.start()
        with pytest.raises(httpcore.RemoteProtocolError):
            engine.run("a", stream=True)
        later.join()
        runs = engine.json("GET", "/runs")["runs"]
    assert runs[0]["outcome"] == "cancelled"


def test_an_engine_reports_cached_prefixes_after_a_delay() -> None:
    with started("engine", token_ms=1, cache_lag_ms=300, cache_blocks=2) as engine:
        engine.run("a", input={"prompt": "x" * 800, "max_tokens": 1})
        at_once = engine.json("GET", "/cache-events?after=0")
        time.sleep(0.5)
        later = engine.json("GET", "/cache-events?after=0")
    assert at_once == {"next": 0, "events": []}
    assert [event["added"] for event in later["events"]] == [True, True, True, False]
    assert later["next"] == 4


def test_a_service_runs_the_same_key_twice() -> None:
    with started("service") as service:
        first = service.run("a", idempotency_key="k")
        second = service.run("b", idempotency_key="k")
        runs = service.json("GET", "/runs")["runs"]
    assert [first["output"]["run"], second["output"]["run"]] == [1, 2]
    assert [run["idempotency_key"] for run in runs] == ["k", "k"]


def test_a_pool_passes_the_caller_marks_on() -> None:
    asked = {"request": {"mark": "m1"}, "outputs": {"encode": {"marks": ["m1"]}}}
    with started("pool") as pool:
        output = pool.run("a", input=asked)["output"]
    assert output["marks"] == ["m1"]


@pytest.mark.parametrize("stream", [False, True])
def test_an_answer_is_dropped_after_the_run(stream: bool) -> None:
    with started("engine", drop_fraction=1.0, token_ms=1) as engine:
        with pytest.raises(httpcore.RemoteProtocolError):
            engine.run("a", stream=stream)
        assert engine.json("GET", "/runs")["runs"][0]["outcome"] == "answered"


@pytest.mark.parametrize("stream", [False, True])
def test_an_answer_is_truncated(stream: bool) -> None:
    with (
        started("engine", truncate_fraction=1.0, token_ms=1) as engine,
        pytest.raises(httpcore.RemoteProtocolError),
    ):
        engine.run("a", stream=stream)


def test_answers_are_crossed_and_failed() -> None:
    with started("pool", cross_fraction=1.0) as pool:
        first = pool.run("a")
        second = pool.run("b")
        pool.json("POST", "/control", {"fail_fraction": 1.0})
        failed = pool.request("POST", "/run", call("c"))
    assert (first["attempt"], second["attempt"]) == ("other-a", "a")
    assert failed.status == 500


def test_the_crash_text_ends_the_process() -> None:
    with started("service", crash_on="boom") as service:
        with pytest.raises(httpcore.RemoteProtocolError):
            service.run("a", input={"text": "boom"})
        assert service.process.wait(timeout=5) == 70


def test_old_fencing_is_refused_only_where_it_is_checked() -> None:
    old = {"fencing": 3, "order": "load", "version": "w"}
    new = {"fencing": 5, "order": "load", "version": "v"}
    with started("engine", load_ms=0) as engine:
        engine.json("POST", "/orders", new)
        ignoring = engine.json("POST", "/orders", old)
        engine.json("POST", "/control", {"checks_fencing": True})
        checking = engine.json("POST", "/orders", old)
    assert ignoring == {"highest": 5}
    assert checking == {"code": "old_fencing", "highest": 5}

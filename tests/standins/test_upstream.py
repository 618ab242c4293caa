"""Test standins.upstream with work functions that the tests provide."""

from pathlib import Path

import anyio
import pytest

from standins.calls import ActiveCall, Call, Outcome, RunLog
from standins.control import UpstreamControl, VersionFault
from standins.upstream import Upstream, make_upstream


async def block(upstream: Upstream, active: ActiveCall) -> None:
    """Work until cancelled."""
    await anyio.sleep_forever()


async def finish_at_once(upstream: Upstream, active: ActiveCall) -> None:
    """Complete the work immediately."""
    active.output = "done"


def call(attempt: str, **fields: object) -> Call:
    """Return a call of version `v`."""
    return Call(attempt, "s", "v", **fields)


async def test_it_starts_cold_and_warms_after_answered_runs() -> None:
    upstream = make_upstream(
        "u", UpstreamControl(warm_after_runs=2), finish_at_once, RunLog()
    )
    states = []
    for number in range(3):
        states.append(upstream.state)
        await upstream.work(upstream.accept(call(str(number))))
    assert states == ["cold", "cold", "warm"]


async def test_above_its_cold_capacity_it_fails_all_calls_in_flight() -> None:
    upstream = make_upstream("u", UpstreamControl(cold_capacity=2), block, RunLog())
    async with anyio.create_task_group() as tasks:
        for number in range(3):
            tasks.start_soon(upstream.work, upstream.accept(call(str(number))))
    outcomes = {run.outcome for run in upstream.log.runs}
    assert outcomes == {Outcome.OVERLOADED}
    assert (upstream.overloads, upstream.highest_cold_in_flight) == (1, 3)
    assert upstream.state == "cold"
    assert upstream.active == {}


async def test_turning_cold_is_unreported_until_a_response_reports_it() -> None:
    upstream = make_upstream("u", UpstreamControl(warm_after_runs=0), block, RunLog())
    upstream.control.change({"turn_cold": True, "warm_after_runs": 3})
    assert upstream.state == "cold"
    assert upstream.accept(call("a")).run.cold_told_ms_ago is None
    upstream.report_state()
    assert upstream.accept(call("b")).run.cold_told_ms_ago is not None
    assert upstream.values.turn_cold is False


@pytest.mark.parametrize(
    ("control", "code"),
    [
        (UpstreamControl(warm_after_runs=0, capacity=1, queue=0), "busy"),
        (UpstreamControl(refuse_when_cold=True), "cold"),
        (UpstreamControl(versions=("w",)), "version_missing"),
    ],
)
async def test_it_refuses_before_anything_runs(
    control: UpstreamControl, code: str
) -> None:
    upstream = make_upstream("u", control, block, RunLog())
    if code != "version_missing":
        upstream.accept(call("a"))
    runs = len(upstream.log.runs)
    refusal = upstream.refuse(call("b"))
    assert refusal is not None
    assert refusal.code == code
    assert len(upstream.log.runs) == runs


async def test_a_higher_priority_goes_first() -> None:
    order = []

    async def record_order(upstream: Upstream, active: ActiveCall) -> None:
        order.append(active.call.attempt)
        await anyio.sleep(0.01)

    values = UpstreamControl(warm_after_runs=0, capacity=1)
    upstream = make_upstream("u", values, record_order, RunLog())
    async with anyio.create_task_group() as tasks:
        for attempt, priority in (("first", 0), ("low", 1), ("high", 2)):
            active = upstream.accept(call(attempt, priority=priority))
            tasks.start_soon(upstream.work, active)
    assert order == ["first", "high", "low"]


async def test_a_version_goes_bad_after_its_good_runs() -> None:
    fault = VersionFault(fail_fraction=1.0, after_runs=2)
    values = UpstreamControl(version_faults={"v": fault}, cold_capacity=9)
    upstream = make_upstream("u", values, block, RunLog())
    faults = [upstream.accept(call(str(number))).faults.fail for number in range(3)]
    assert faults == [False, False, True]


async def test_a_load_report_lags() -> None:
    upstream = make_upstream("u", UpstreamControl(report_lag_ms=1000), block, RunLog())
    upstream.accept(call("a"))
    assert upstream.reported_load().in_flight == 0
    upstream.control.change({"report_lag_ms": 0})
    assert upstream.reported_load().in_flight == 1


async def test_the_same_seed_draws_the_same_faults() -> None:
    values = UpstreamControl(fail_fraction=0.5, seed=7, cold_capacity=99)
    drawn = []
    for _ in range(2):
        upstream = make_upstream("u", values, block, RunLog())
        drawn.append([upstream.accept(call(str(n))).faults.fail for n in range(32)])
    assert drawn[0] == drawn[1]
    assert len(set(drawn[0])) == 2


async def test_runs_outlive_the_process(tmp_path: Path) -> None:
    path = tmp_path / "runs.jsonl"
    for attempt in ("a", "b"):
        upstream = make_upstream("u", UpstreamControl(), block, RunLog(path))
        upstream.accept(call(attempt, idempotency_key="k"))
    log = RunLog(path)
    log.load()
    assert [(run.attempt, run.idempotency_key) for run in log.runs] == [
        ("a", "k"),
        ("b", "k"),
    ]

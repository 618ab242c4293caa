"""Test cuminstile.stages with traffic moves, over fake upstreams."""

from dataclasses import replace
from typing import Any

import pytest
from anyio.abc import SocketStream

from cuminstile.calls import RunTrace, StageCall, drop_tokens
from cuminstile.exceptions import CuminstileError
from cuminstile.moves import LAST_STEP, MoveDecision, move_number
from cuminstile.moving import advance_moves
from cuminstile.objects.model import (
    AnyObject,
    DataCentre,
    TrafficMove,
    Upstream,
    UpstreamVersion,
)
from cuminstile.runtime import Vm
from cuminstile.stages import run_stage

from .fakes.objects import single_stage_objects
from .fakes.upstreams import (
    FakeUpstream,
    send_event,
    send_event_head,
    send_json,
    upstream,
)
from .fakes.vms import connected, make_test_vm, set_configuration

# Which calls are routed to the new version depends on the start of the move. With a
# fixed start they are the same in every run, and no more than the retry budget allows.
START_AT_MS = 2


def make_call(number: int) -> StageCall:
    return StageCall(
        request=f"r{number}", organisation="org", pipeline="chat", step="g",
        stage="generate", version="", input=number, stream=False, priority=0,
        deadline_ms=1e12,
    )  # fmt: skip


def put_move_in_force(
    vm: Vm, *fakes: FakeUpstream, old: FakeUpstream | None = None
) -> TrafficMove:
    """Put a move in force; `fakes` serve both versions, `old` only the old one."""
    move = TrafficMove(
        kind="traffic_move", name="m", stage="generate",
        from_version="generate-1", to_version="generate-2",
        start_at_ms=START_AT_MS, finish_by_ms=vm.clock.wall_ms() + 60_000,
    )  # fmt: skip
    objects: list[AnyObject] = [
        UpstreamVersion(kind="upstream_version", name="generate-2", stage="generate"),
        move,
    ]
    for number, fake in enumerate(fakes, 1):
        objects.append(
            Upstream(
                kind="upstream", name=f"gen{number}-a", data_centre="a",
                versions=("generate-1", "generate-2"), address=fake.address,
            )
        )  # fmt: skip
    if old is not None:
        objects.append(single_stage_objects({"old-a": old.address})[-1])
    set_configuration(
        vm, (*single_stage_objects({}), DataCentre("data_centre", "a", "r"), *objects)
    )
    return move


async def test_a_call_for_a_version_not_loaded_yet_is_answered_by_the_old_one() -> None:
    vm = make_test_vm("vm-a1", "a")

    async def answer(body: dict[str, Any], stream: SocketStream) -> None:
        is_missing = body["version"] == "generate-2"
        body = {"attempt": body["attempt"], "output": 1, "state": "warm"}
        body |= {"code": "version_missing"} if is_missing else {}
        await send_json(stream, 429 if is_missing else 200, body)

    async with upstream(answer) as one, connected(vm):
        move = put_move_in_force(vm, one)
        vm.traffic.has_peer_decisions = True
        advance_moves(vm)
        state = vm.traffic.moves[move_number(move)]
        state.merge(MoveDecision(LAST_STEP), vm.clock.wall_ms())
        loaded = vm.upstreams.state_of(vm.objects.upstreams["gen1-a"]).loaded
        for number in range(40):
            # The refusals are cleared now and then; each one costs a retry.
            if number % 10 == 0:
                loaded.missing_until_ms.clear()
            call = make_call(number)
            await run_stage(vm, call, RunTrace(), drop_tokens, False)
        total = state.evidence_table.total()
        asked = [call for call in one.calls if call["version"] == "generate-2"]
    assert 4 <= len(asked) < 20
    assert total.new_failed == 0


async def test_tokens_of_two_versions_never_make_one_answer() -> None:
    vm = make_test_vm("vm-a1", "a")
    passed: list[str] = []

    async def answer(body: dict[str, Any], stream: SocketStream) -> None:
        event = {"attempt": body["attempt"], "index": 0, "tokens": [body["version"]]}
        done = {"attempt": body["attempt"], "done": True, "count": 1, "output": 1}
        events = [event] if body["version"] == "generate-2" else [event, done]
        await send_event_head(stream)
        for item in events:
            await send_event(stream, item)

    async def take(index: int, tokens: tuple[str, ...]) -> None:
        passed.extend(tokens)

    async with upstream(answer) as one, upstream(answer) as other, connected(vm):
        move = put_move_in_force(vm, one, old=other)
        vm.traffic.has_peer_decisions = True
        advance_moves(vm)
        state = vm.traffic.moves[move_number(move)]
        state.merge(MoveDecision(LAST_STEP), vm.clock.wall_ms())
        call = replace(make_call(1), stream=True)
        with pytest.raises(CuminstileError):
            await run_stage(vm, call, RunTrace(), take, False)
    # No other upstream has the new version, and the old one must not continue for it.
    assert passed == ["generate-2"]


async def test_a_call_that_the_new_version_fails_is_answered_by_the_old_one() -> None:
    vm = make_test_vm("vm-a1", "a")

    async def answer(body: dict[str, Any], stream: SocketStream) -> None:
        is_bad = body["version"] == "generate-2"
        body = {"attempt": body["attempt"], "output": 1, "state": "warm"}
        await send_json(stream, 500 if is_bad else 200, body)

    async with upstream(answer) as one, upstream(answer) as other, connected(vm):
        move = put_move_in_force(vm, one, other)
        for number in range(20):
            # Both upstreams become warm.
            await run_stage(vm, make_call(-number), RunTrace(), drop_tokens, False)
        vm.traffic.has_peer_decisions = True
        advance_moves(vm)
        state = vm.traffic.moves[move_number(move)]
        state.merge(MoveDecision(3), vm.clock.wall_ms())
        for number in range(1, 21):
            await run_stage(vm, make_call(number), RunTrace(), drop_tokens, False)
        total = state.evidence_table.total()
        calls = [call for call in one.calls + other.calls if "version" in call]
    by_request: dict[str, list[str]] = {}
    for call in calls:
        request = call["attempt"].split(".")[0]
        by_request.setdefault(request, []).append(call["version"])
    to_new = [item for item in by_request.values() if "generate-2" in item]
    assert 0 < len(to_new) < 20
    # One attempt of the new version, then one of the old; each counts once.
    assert all(item == ["generate-2", "generate-1"] for item in to_new)
    old_total = total.old_good + total.old_late
    assert (total.new_failed, old_total) == (len(to_new), 20 - len(to_new))

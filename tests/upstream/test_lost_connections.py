"""Test how a connection that breaks during a call changes its upstream's condition."""

from typing import Any

import pytest
from anyio.abc import SocketStream

from cuminstile.calls import RunTrace, drop_tokens
from cuminstile.exceptions import CuminstileError
from cuminstile.moves import MoveState
from cuminstile.objects.model import TrafficMove
from cuminstile.runtime import Vm
from cuminstile.stages import run_stage
from cuminstile.upstream.table import Condition

from ..fakes.objects import single_stage_objects
from ..fakes.upstreams import upstream
from ..fakes.vms import connected, make_test_vm, set_configuration
from ..vm.test_forwarding import make_call


async def break_off(body: dict[str, Any], stream: SocketStream) -> None:
    await stream.send(b"HTTP/1.1 200 X\r\ncontent-length: 99\r\n\r\n{")


def bring_in(vm: Vm, version: str) -> None:
    """Start a traffic move that introduces a version."""
    move = TrafficMove(
        kind="traffic_move",
        name="m",
        stage="generate",
        from_version="generate-0",
        to_version=version,
        start_at_ms=0,
        finish_by_ms=1,
    )
    vm.traffic.moves[1] = MoveState(move, 1)


@pytest.mark.parametrize("on_trial", [False, True])
async def test_broken_call_turns_an_upstream_cold_unless_its_version_is_on_trial(
    on_trial: bool,
) -> None:
    vm = make_test_vm("vm-a1", "a")
    async with upstream(break_off) as fake, connected(vm):
        set_configuration(vm, single_stage_objects({"gen-a": fake.address}))
        state = vm.upstreams.state_of(vm.objects.upstreams["gen-a"])
        state.condition = Condition.WARM
        state.limit = 8.0
        if on_trial:
            bring_in(vm, "generate-1")
        with pytest.raises(CuminstileError):
            await run_stage(vm, make_call(vm), RunTrace(), drop_tokens, False)
        # The upstream reports warm in both cases.
        expected = Condition.WARM if on_trial else Condition.COLD
        assert state.condition is expected

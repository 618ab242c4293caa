"""Test cuminstile.gateway.staged_results with schedulers that leave."""

from __future__ import annotations

from typing import Any

import pytest

from cuminstile.clock import Clock
from cuminstile.gateway.chain import ChainSpec, CompletedItem
from cuminstile.gateway.staged_results import (
    MAX_SCHEDULERS,
    ChainRefusedError,
    staged_results,
)
from cuminstile.gateway.staging import ChainAnswer, Reply
from cuminstile.gateway.state import Gateway

from .planners import make_spec
from .test_state import make_vm

pytestmark = pytest.mark.anyio


class LeavingScheduler:
    """Hands over each chain that it gets."""

    successor = ""

    def __init__(self, vm: Gateway) -> None:
        self.vm = vm
        self.submitted: list[bool] = []

    def resume(self) -> None:
        """Do nothing."""

    def submit(self, spec: ChainSpec, again: bool, reply: Reply) -> Any:
        """Admit the chain and hand it over."""
        self.submitted.append(again)
        moved: tuple[CompletedItem, ...] = spec.completed
        reply(ChainAnswer(refusal="moved", moved=moved))
        return Admitted()


class Admitted:
    """The verdict on an admitted chain."""

    admitted = True
    reason = "in_time"
    ready_ms = 0.0


async def test_work_that_every_scheduler_hands_on_is_refused() -> None:
    """Guards against a connection that closes without an answer, and an internal error.

    The last scheduler that is tried is this VM's own; it leaves as well.
    """
    vm: Any = make_vm(Clock())
    vm.scheduler = LeavingScheduler(vm)
    with pytest.raises(ChainRefusedError) as refused:
        await staged_results(vm, make_spec("r1"), again=False)
    assert refused.value.reason == "schedulers_left"
    assert refused.value.retry_after_ms > 0.0
    assert vm.scheduler.submitted == [False] + [True] * MAX_SCHEDULERS

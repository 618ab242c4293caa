"""What a VM that shuts down still has time for."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..exceptions import CuminstileError, ErrorCode, RunStatus

if TYPE_CHECKING:
    from ..runtime import Vm


def answer_by_ms(vm: Vm) -> float:
    """Return the monotonic time of this VM's last answers; infinite if it stays."""
    return math.inf if vm.shutdown is None else vm.shutdown.answer_by_ms


def shutting_down(vm: Vm, ran: RunStatus = RunStatus.NOT_RUN) -> CuminstileError:
    """Return the error for work that this VM can't complete before it ends."""
    text = f"{vm.settings.name} is shutting down"
    return CuminstileError(ErrorCode.SHUTTING_DOWN, text, ran)

"""The error for what a VM has no time for any more."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..exceptions import CuminstileError, ErrorCode, RunStatus

if TYPE_CHECKING:
    from ..runtime import Vm


def shutting_down(vm: Vm, ran: RunStatus = RunStatus.NOT_RUN) -> CuminstileError:
    """Return the error for work that this VM can't complete before it ends."""
    text = f"{vm.settings.name} is shutting down"
    return CuminstileError(ErrorCode.SHUTTING_DOWN, text, ran)

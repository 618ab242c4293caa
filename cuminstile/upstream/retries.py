"""Allow retries as a fraction of the calls that succeed."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..calls import RunTrace, StageCall
from ..exceptions import CuminstileError, ErrorCode
from .client import UpstreamError

if TYPE_CHECKING:
    from ..runtime import Vm

MAX_ATTEMPTS = 3
MAX_SAVED_RETRIES = 10.0
RETRIES_PER_S = 0.2
RETRY_PAUSE_MS = 50.0
RETRYABLE = (
    ErrorCode.UPSTREAM_FAILED,
    ErrorCode.PEER_LOST,
    ErrorCode.SHUTTING_DOWN,
    ErrorCode.NO_CONFIGURATION,
)


@dataclass
class Savings:
    """Hold the retries that one stage may still spend."""

    retries: float
    at_ms: float


@dataclass
class RetryBudget:
    """Hold the retries of each stage, so that a slow stage spends only its own."""

    by_stage: dict[str, Savings] = field(default_factory=dict)

    def savings(self, stage: str, now_ms: float) -> Savings:
        """Return a stage's savings; a few retries come with time alone."""
        saved = self.by_stage.setdefault(stage, Savings(MAX_SAVED_RETRIES, now_ms))
        earned = (now_ms - saved.at_ms) / 1_000.0 * RETRIES_PER_S
        saved.retries = min(MAX_SAVED_RETRIES, saved.retries + earned)
        saved.at_ms = now_ms
        return saved

    def earn(self, stage: str, fraction: float, now_ms: float) -> None:
        """Save the fraction of a retry that one successful call allows."""
        saved = self.savings(stage, now_ms)
        saved.retries = min(MAX_SAVED_RETRIES, saved.retries + fraction)

    def spend(self, stage: str, now_ms: float) -> bool:
        """Take one retry if there is one."""
        saved = self.savings(stage, now_ms)
        if saved.retries < 1.0:
            return False
        saved.retries -= 1.0
        return True


def reason_of(error: CuminstileError) -> str:
    """Return why the upstream gave no answer; empty for any other error."""
    cause = error.__cause__
    return cause.reason if isinstance(cause, UpstreamError) else ""


def is_retry_allowed(
    vm: Vm, call: StageCall, trace: RunTrace, error: CuminstileError, attempts: int
) -> bool:
    """Return whether another attempt is allowed and makes sense.

    A call that was stopped before its bytes left costs no retry, and neither does
    one that met a VM which has just started.
    """
    now_ms = vm.clock.now_ms()
    if error.code not in RETRYABLE or now_ms >= call.deadline_ms:
        return False
    if reason_of(error) == "lease":
        return True
    if error.code is ErrorCode.NO_CONFIGURATION:
        return vm.configuration.current is not None
    if attempts >= MAX_ATTEMPTS:
        return False
    if trace.maybe_ran and not vm.objects.stages[call.stage].repeatable:
        return False
    return vm.retries.spend(call.stage, now_ms)

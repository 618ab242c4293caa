"""Retry budget: retries are limited to a fraction of the successful calls."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..calls import RunTrace, StageCall
from ..exceptions import CuminstileError, ErrorCode
from .client import UpstreamError

if TYPE_CHECKING:
    from ..runtime import Vm

MAX_ATTEMPTS = 3
MAX_RETRY_CREDITS = 10.0
RETRY_CREDITS_PER_S = 0.2
RETRY_PAUSE_MS = 50.0
RETRYABLE = (
    ErrorCode.UPSTREAM_FAILED,
    ErrorCode.PEER_LOST,
    ErrorCode.SHUTTING_DOWN,
    ErrorCode.NO_CONFIGURATION,
)


@dataclass
class RetryCredits:
    """The retries that one stage may still use, and when they were last updated."""

    retries: float
    at_ms: float


@dataclass
class RetryBudget:
    """The retry credits of each stage, so that a slow stage uses up only its own."""

    by_stage: dict[str, RetryCredits] = field(default_factory=dict)

    def credits(self, stage: str, now_ms: float) -> RetryCredits:
        """Return the credits of a stage, with those earned by elapsed time."""
        credits = self.by_stage.setdefault(
            stage, RetryCredits(MAX_RETRY_CREDITS, now_ms)
        )
        earned = (now_ms - credits.at_ms) / 1_000.0 * RETRY_CREDITS_PER_S
        credits.retries = min(MAX_RETRY_CREDITS, credits.retries + earned)
        credits.at_ms = now_ms
        return credits

    def earn(self, stage: str, fraction: float, now_ms: float) -> None:
        """Add the fraction of a retry that one successful call earns."""
        credits = self.credits(stage, now_ms)
        credits.retries = min(MAX_RETRY_CREDITS, credits.retries + fraction)

    def spend(self, stage: str, now_ms: float) -> bool:
        """Use one retry; return whether there was one."""
        credits = self.credits(stage, now_ms)
        if credits.retries < 1.0:
            return False
        credits.retries -= 1.0
        return True


def reason_of(error: CuminstileError) -> str:
    """Return why the upstream gave no answer; an empty string for other errors."""
    cause = error.__cause__
    return cause.reason if isinstance(cause, UpstreamError) else ""


def is_retry_allowed(
    vm: Vm, call: StageCall, trace: RunTrace, error: CuminstileError, attempts: int
) -> bool:
    """Return whether another attempt is allowed and can succeed.

    A call that was stopped before it was sent costs no retry, and neither does one that
    was refused by a VM without a configuration, which has just started.
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

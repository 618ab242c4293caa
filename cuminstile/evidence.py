"""Count the results of a traffic move's calls, by VM and pipeline."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import StrEnum

from .sequential import EXTRA_BAD_FRACTIONS, PRIOR_LATE_CALLS, BadFraction, log_bets

LOG_UNITS_PER_NAT = 100
NO_BETS = (0,) * (2 * len(EXTRA_BAD_FRACTIONS))


class CallResult(StrEnum):
    """Result of one call, as evidence on its version.

    `LEFT_OUT` is a call that is no evidence: it was cancelled before it was late, or a
    cold start, an unavailable process or a quarantined body may be the reason.
    """

    GOOD = "good"
    FAILED = "failed"
    LATE = "late"
    LEFT_OUT = "left_out"


COUNTED = (CallResult.GOOD, CallResult.FAILED, CallResult.LATE)


@dataclass(frozen=True)
class Evidence:
    """Calls that one VM has counted for one pipeline; the counts only grow.

    Parameters
    ----------
    log_bets : tuple of int
        The sums of the test's log bets, in hundredths of a nat: those on failures,
        then those on lateness.
    """

    new_good: int = 0
    new_failed: int = 0
    new_late: int = 0
    old_good: int = 0
    old_failed: int = 0
    old_late: int = 0
    log_bets: tuple[int, ...] = NO_BETS

    @property
    def new_total(self) -> int:
        """Return the number of counted calls of the new version."""
        return self.new_good + self.new_failed + self.new_late

    @property
    def total(self) -> int:
        """Return the number of counted calls of both versions."""
        return self.new_total + self.old_good + self.old_failed + self.old_late


def add(one: Evidence, other: Evidence) -> Evidence:
    """Return the sum of two VMs' evidence."""
    return Evidence(
        one.new_good + other.new_good,
        one.new_failed + other.new_failed,
        one.new_late + other.new_late,
        one.old_good + other.old_good,
        one.old_failed + other.old_failed,
        one.old_late + other.old_late,
        tuple(a + b for a, b in zip(one.log_bets, other.log_bets, strict=True)),
    )


@dataclass
class CallCounter:
    """Counts this VM's own calls of one move for one pipeline."""

    evidence: Evidence = Evidence()
    old_failed: BadFraction = field(default_factory=BadFraction)
    old_late: BadFraction = field(
        default_factory=lambda: BadFraction(bad=PRIOR_LATE_CALLS)
    )
    sums: list[float] = field(default_factory=lambda: [0.0] * len(NO_BETS))

    def count(self, result: CallResult, is_new: bool, share: float) -> None:
        """Count one call that went to the new version with probability `share`."""
        if result == CallResult.LEFT_OUT:
            return
        if 0.0 < share < 1.0:
            bets = self.bets_on(result, is_new, share)
            self.sums = [a + b for a, b in zip(self.sums, bets, strict=True)]
        if not is_new:
            self.record_old(result)
        rounded = tuple(round(value * LOG_UNITS_PER_NAT) for value in self.sums)
        self.evidence = add(self.evidence, one_call(result, is_new))
        self.evidence = replace(self.evidence, log_bets=rounded)

    def bets_on(
        self, result: CallResult, is_new: bool, share: float
    ) -> tuple[float, ...]:
        """Return the log bets on one call; those on lateness are 0 if it failed."""
        is_failed = result == CallResult.FAILED
        failed = log_bets(is_new, is_failed, share, self.old_failed.value())
        if is_failed:
            return failed + (0.0,) * len(EXTRA_BAD_FRACTIONS)
        is_late = result == CallResult.LATE
        return failed + log_bets(is_new, is_late, share, self.old_late.value())

    def record_old(self, result: CallResult) -> None:
        """Count one call of the old version for its usual fractions of bad calls."""
        is_failed = result == CallResult.FAILED
        self.old_failed.add(is_failed)
        if not is_failed:
            self.old_late.add(result == CallResult.LATE)


def one_call(result: CallResult, is_new: bool) -> Evidence:
    """Return the evidence of one call, without its bets."""
    good, failed, late = (int(result == kind) for kind in COUNTED)
    if is_new:
        return Evidence(good, failed, late)
    return Evidence(old_good=good, old_failed=failed, old_late=late)


@dataclass
class EvidenceTable:
    """All evidence on one move: this VM's own and what other VMs have sent.

    Parameters
    ----------
    own : dict of int to Counter
        By route number.
    others : dict of (str, int) to Evidence
        By the other VM's name with its incarnation, and by route number. The evidence
        with the largest total is the newest, in whatever order messages arrive.
    """

    own: dict[int, CallCounter] = field(default_factory=dict)
    others: dict[tuple[str, int], Evidence] = field(default_factory=dict)

    def apply_evidence(self, source: str, route: int, evidence: Evidence) -> None:
        """Store another VM's evidence unless newer evidence is stored."""
        stored = self.others.get((source, route))
        if stored is None or evidence.total > stored.total:
            self.others[source, route] = evidence

    def by_route(self) -> dict[int, Evidence]:
        """Return the sum over all VMs for each route."""
        sums = {route: counter.evidence for route, counter in self.own.items()}
        for (_, route), evidence in self.others.items():
            sums[route] = add(sums.get(route, Evidence()), evidence)
        return sums

    def total(self) -> Evidence:
        """Return the sum over all VMs and routes."""
        result = Evidence()
        for evidence in self.by_route().values():
            result = add(result, evidence)
        return result

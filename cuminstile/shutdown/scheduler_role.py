"""Decide which VM schedules the staged work of all while VMs shut down.

Designed for rolling restarts of a whole fleet: each VM decides from the heartbeats that
it receives, and a VM that shuts down keeps the role for most of its remaining time, as
each hand-over delays the work. Does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from math import inf
from typing import Generic, Protocol, TypeVar

from .schedule import ShutdownTimes

KEEP_MS = 4_500.0
"""How long a VM that has just got the work keeps it if its own end allows: most chains
end in that time, and so see one hand-over only."""
CALL_MS = 500.0
"""Time that a call in progress still takes; its chain is handed over after it."""
MOST_EARLY_MS = 1_500.0
"""How much earlier than at the latest a VM that shuts down, too, takes over."""
NOTICE_MS = 300.0
"""How long after its hand-over a VM still leads late chains to the next scheduler: one
heartbeat."""
MIN_GAIN_MS = 500
"""How much later than its predecessor a VM that shuts down must end to take over."""


class Member(Protocol):
    """What a VM says of itself in its heartbeats."""

    @property
    def address(self) -> str:
        """Return its address for other VMs."""

    @property
    def duty_order(self) -> int:
        """Return its number for duties; VMs with lower ones take them on first."""

    @property
    def leaving(self) -> bool:
        """Return whether it shuts down."""

    @property
    def schedules(self) -> bool:
        """Return whether it keeps the role of the scheduler while it shuts down."""

    @property
    def ends_at_ms(self) -> int:
        """Return when it ends, in ms since 1970 UTC.

        0 if it doesn't shut down, or takes over no work any more.
        """

    @property
    def can_schedule(self) -> bool:
        """Return whether it knows what it needs to schedule."""


M = TypeVar("M", bound=Member)


def choose_scheduler(members: Iterable[M]) -> M | None:
    """Return the VM that schedules, None if all have handed over.

    It is the one that keeps the role while it shuts down; without one the first of
    those that don't shut down and can schedule; then the one that ends last; and only
    then one that has just started. Only values that a VM sends unchanged are compared,
    never times of arrival, so that all VMs choose the same.
    """
    known = list(members)
    keeping = [member for member in known if member.leaving and member.schedules]
    if keeping:
        return max(keeping, key=last_to_end)
    staying = [member for member in known if not member.leaving]
    prepared = [member for member in staying if member.can_schedule]
    if prepared:
        return min(prepared, key=first_for_duties)
    able = [member for member in known if member.ends_at_ms]
    if able:
        return max(able, key=last_to_end)
    return min(staying, key=first_for_duties, default=None)


def first_for_duties(member: Member) -> tuple[int, str]:
    """Return the key by which VMs that don't shut down are compared."""
    return member.duty_order, member.address


def last_to_end(member: Member) -> tuple[int, int, str]:
    """Return the key by which VMs that shut down are compared."""
    return member.ends_at_ms, -member.duty_order, member.address


class StepKind(StrEnum):
    """What a VM that shuts down does about the role of the scheduler.

    `WAIT`: nothing. `KEEP`: say that it schedules. `HAND_OVER`: hand all work over.
    """

    WAIT = "wait"
    KEEP = "keep"
    HAND_OVER = "hand_over"


@dataclass(frozen=True, slots=True)
class RoleStep(Generic[M]):
    """The next step, and to whom the work goes if it is handed over."""

    kind: StepKind
    successor: M | None = None


@dataclass(frozen=True, slots=True)
class HandOverTime:
    """Whether a VM that shuts down hands its work over now.

    Parameters
    ----------
    is_due : bool
        Whether a VM that doesn't shut down takes the work over.
    left_ms : float
        Until when one that shuts down later takes it over, negative if that is past.
        Until then a restarted VM may come up, which spares the work a hand-over.
    """

    is_due: bool
    left_ms: float

    @property
    def is_overdue(self) -> bool:
        """Return whether it is too late to take any work over."""
        return self.left_ms <= 0.0


def hand_over_time(
    times: ShutdownTimes | None, since_ms: float, now_ms: float
) -> HandOverTime:
    """Return whether a VM hands its work over; times are monotonic ms.

    Parameters
    ----------
    times : ShutdownTimes or None
        Times of its planned stop, None without one.
    since_ms : float
        Since when it has the work.
    """
    if times is None:
        return HandOverTime(False, inf)
    left_ms = times.answer_by_ms - CALL_MS - now_ms
    due_ms = max(times.hand_over_at_ms, since_ms + KEEP_MS)
    return HandOverTime(now_ms >= due_ms or left_ms <= 0.0, left_ms)


def next_step(own: M, others: Iterable[M], time: HandOverTime) -> RoleStep[M]:
    """Return what a VM that shuts down does next.

    It keeps the role past its time as long as no other VM stays longer.

    Parameters
    ----------
    others : iterable of Member
        The other VMs that are alive and answer.
    """
    candidates = list(others)
    chosen = choose_scheduler((own, *candidates))
    if chosen is own and not own.schedules:
        return RoleStep(StepKind.KEEP)
    if chosen is own and time.is_due:
        chosen = successor_of(own, candidates, time)
    if chosen is None or chosen is own:
        return RoleStep(StepKind.WAIT)
    return RoleStep(StepKind.HAND_OVER, chosen)


def successor_of(own: M, others: Iterable[M], time: HandOverTime) -> M | None:
    """Return the VM that takes over from this one now, None if none does.

    One that shuts down later takes over as late as possible, but early enough to keep
    the work for `KEEP_MS` itself if it can.
    """
    chosen = choose_scheduler(others)
    if chosen is None:
        return None
    if not chosen.leaving:
        return chosen if chosen.can_schedule or time.is_overdue else None
    gain_ms = chosen.ends_at_ms - own.ends_at_ms
    early_ms = KEEP_MS - gain_ms
    if not 0.0 <= early_ms <= MOST_EARLY_MS:
        early_ms = 0.0
    return chosen if gain_ms >= MIN_GAIN_MS and time.left_ms <= early_ms else None


@dataclass(slots=True)
class SchedulerRole:
    """What this VM says of the role while it shuts down; see `Member`.

    Parameters
    ----------
    since_ms : float
        When it took the role over while it shut down, in monotonic ms.
    closed_ms : float
        When it gave the role up, in monotonic ms.
    """

    keeps: bool = False
    ends_at_ms: int = 0
    since_ms: float = -inf
    closed_ms: float = -inf

    @property
    def is_open(self) -> bool:
        """Return whether this VM shuts down and can still take work over."""
        return self.ends_at_ms > 0

    def keep(self, now_ms: float) -> None:
        """Take the role."""
        self.keeps = True
        self.since_ms = now_ms

    def close(self, now_ms: float) -> None:
        """Give the role up; this VM takes it no more."""
        if self.keeps:
            self.closed_ms = now_ms
        self.keeps = False
        self.ends_at_ms = 0

    def is_known_closed(self, now_ms: float) -> bool:
        """Return whether the other VMs have had time to hear that it is given up."""
        return not self.keeps and now_ms >= self.closed_ms + NOTICE_MS

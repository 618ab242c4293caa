"""Decide which versions are held back, from orders and from what other VMs know.

The store keeps the newest order of a service alone, so the versions of earlier orders
are marked. Designed for VMs that start late, restart together, miss an order or are cut
off: marks are merged, by version, in whatever order they come. Does no I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from ..eras.position import Position

NOT_STORED = -1
"""Era of marks that the store may not have."""


@dataclass(frozen=True, slots=True)
class VersionMark:
    """Whether a version of a service gets traffic.

    Parameters
    ----------
    since : Position
        Position of the first order of the service that the VM knew which made the
        mark. Of two marks the one whose VM knew an earlier order counts.
    in_service : bool
        Whether the version got traffic before that order, or was ordered back. If not,
        an order named it and nobody has judged it.
    """

    service: str
    version: str
    since: Position
    in_service: bool

    @property
    def weight(self) -> tuple[Position, bool]:
        """Return by what two marks of a version are compared; the lower one counts."""
        return (self.since, not self.in_service)


@dataclass
class VersionMarks:
    """The marks that a VM knows.

    Parameters
    ----------
    known : bool
        Whether what the fleet knew before this VM started is among them.
    is_waived : bool
        Whether this VM serves without them, as it could not learn them in time.
    stored_era : int
        The era in which the store has these marks, `NOT_STORED` if it may not.
    changed_ms : float
        When they changed last, in monotonic ms.
    on_change : callable
        Called when a mark, `known` or `is_waived` changed but for an order.
    """

    marks: dict[tuple[str, str], VersionMark] = field(default_factory=dict)
    known: bool = False
    is_waived: bool = False
    stored_era: int = NOT_STORED
    changed_ms: float = 0.0
    on_change: Callable[[], None] = lambda: None

    def all(self) -> tuple[VersionMark, ...]:
        """Return all marks, by service and version."""
        return tuple(self.marks[key] for key in sorted(self.marks))

    def of_service(self, service: str) -> list[VersionMark]:
        """Return the marks of a service."""
        return [mark for mark in self.all() if mark.service == service]

    def held_back(self) -> dict[str, frozenset[str]]:
        """Return by service the versions that get no traffic."""
        held: dict[str, frozenset[str]] = {}
        for mark in self.marks.values():
            if not mark.in_service:
                before = held.get(mark.service, frozenset())
                held[mark.service] = before | {mark.version}
        return held

    def apply_order(
        self,
        service: str,
        target: str,
        position: Position,
        listed: Collection[str],
        now_ms: float,
    ) -> None:
        """Mark the target of an order as held back, unless it is known already.

        An order back to the version that alone got traffic leaves that in service.

        Parameters
        ----------
        position : Position
            The order's position in the store.
        listed : collection of str
            The versions that upstreams of the service run.
        """
        known = self.of_service(service)
        if any(mark.version == target for mark in known):
            return
        since = min((mark.since for mark in known), default=position)
        if not known:
            for version in set(listed) - {target}:
                self.put(VersionMark(service, version, since, True), now_ms)
        held = {mark.version for mark in known if not mark.in_service}
        is_order_back = bool(held) and bool(listed) and set(listed) <= held | {target}
        self.put(VersionMark(service, target, since, is_order_back), now_ms)

    def put(self, mark: VersionMark, now_ms: float) -> bool:
        """Keep a mark unless a known one counts more; return whether that is new."""
        key = (mark.service, mark.version)
        before = self.marks.get(key)
        if before is not None and before.weight <= mark.weight:
            return False
        self.marks[key] = mark
        self.stored_era = NOT_STORED
        self.changed_ms = now_ms
        return True

    def waive(self) -> None:
        """Serve without the marks of before."""
        self.is_waived = True
        self.on_change()

    def learn(self, marks: Iterable[VersionMark], known: bool, now_ms: float) -> bool:
        """Merge the marks of another VM or of the store; return whether any is new.

        Parameters
        ----------
        known : bool
            Whether they hold what the fleet knew before.
        """
        news = [self.put(mark, now_ms) for mark in marks]
        became_known = known and not self.known
        self.known |= known
        if any(news) or became_known:
            self.on_change()
        return any(news)

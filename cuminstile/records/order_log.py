"""Projection of the platform's `orders` stream: who last ordered each upstream."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from pydantic.dataclasses import dataclass as wire_dataclass

from ..const import ORDER_STREAM
from ..events import Event
from ..exceptions import CuminstileError, TrimmedError
from ..wire import Message, make_codec
from .client import Record

if TYPE_CHECKING:
    from ..runtime import Vm

ORDER_FORMAT = 1


class Action(StrEnum):
    """What an upstream is ordered to do with a version."""

    LOAD = "load"
    UNLOAD = "unload"


@wire_dataclass(frozen=True)
class OrderRecord(Message):
    """Announcement of an order; the offset of the record is its fencing token.

    Parameters
    ----------
    vm, incarnation : str
        The VM that gives the order; only this process may give it.
    """

    format: int
    vm: str
    incarnation: str
    upstream: str
    action: Action
    version: str


RECORD_CODEC = make_codec(((1, OrderRecord),))


@dataclass(frozen=True)
class Announcement:
    """The VM that announced an order, and when this VM read it.

    Parameters
    ----------
    seen_ms : float
        Monotonic time at which this VM read the record; never before it was written.
    """

    vm: str
    incarnation: str
    offset: int
    seen_ms: float


@dataclass
class OrderLog:
    """The newest order of each VM to each upstream.

    Parameters
    ----------
    by_upstream : dict of str to dict
        For each upstream, the newest announcement of each VM, by the VM's name.
    """

    by_upstream: dict[str, dict[str, Announcement]] = field(default_factory=dict)
    next_offset: int = 0

    def apply(self, record: Record, now_ms: float) -> None:
        """Apply one record.

        Raises
        ------
        CuminstileError
            With `BAD_MESSAGE` if the record is malformed; every reader skips it.
        """
        self.next_offset = max(self.next_offset, record.offset + 1)
        order: OrderRecord = RECORD_CODEC.decode(record.payload)
        newest = self.by_upstream.setdefault(order.upstream, {})
        newest[order.vm] = Announcement(
            order.vm, order.incarnation, record.offset, now_ms
        )

    def others(self, upstream: str, incarnation: str) -> list[Announcement]:
        """Return the orders to an upstream that other processes announced."""
        every = self.by_upstream.get(upstream, {}).values()
        return [item for item in every if item.incarnation != incarnation]

    def forget(self, before_ms: float) -> None:
        """Drop announcements read before a time, which no VM acts on any more."""
        for upstream, newest in tuple(self.by_upstream.items()):
            kept = {
                vm: item for vm, item in newest.items() if item.seen_ms >= before_ms
            }
            if kept:
                self.by_upstream[upstream] = kept
            else:
                del self.by_upstream[upstream]


async def read_orders(vm: Vm) -> None:
    """Read the stream to its end.

    Raises
    ------
    PlatformUnavailableError
        If the platform doesn't answer.
    """
    log = vm.orders.log
    while True:
        try:
            batch = await vm.platform.read(ORDER_STREAM, log.next_offset)
        except TrimmedError as error:
            log.next_offset = error.first_offset
            continue
        if not batch.records:
            return
        for record in batch.records:
            apply(vm, record)


def apply(vm: Vm, record: Record) -> None:
    """Apply one record; a malformed one is logged and skipped."""
    try:
        vm.orders.log.apply(record, vm.clock.now_ms())
    except CuminstileError as error:
        vm.journal.record(
            Event.ORDER_RECORD_REFUSED, offset=record.offset, reason=error.message
        )

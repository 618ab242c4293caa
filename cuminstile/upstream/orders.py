"""Order upstreams to load the versions that their objects declare, and unload others.

The VM that polls an upstream sends its orders. For a while two VMs may both consider
themselves to be that VM. Each order is first announced in the platform's log, and the
offset of its record is the fencing number. An upstream that checks fencing numbers
refuses an older one. An upstream that does not check them gets no order while an order
announced by another process may still be in transit.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, Any

import anyio
import httpcore
import orjson

from ..const import CONNECT_TIMEOUT_MS, ORDER_STREAM
from ..events import Event
from ..exceptions import PlatformUnavailableError
from ..objects.model import Upstream
from ..records.order_log import (
    ORDER_FORMAT,
    RECORD_CODEC,
    Action,
    OrderLog,
    OrderRecord,
    read_orders,
)
from .client import UpstreamError
from .loaded_versions import LoadedVersions
from .peers import is_owner, upstreams_here

if TYPE_CHECKING:
    from ..runtime import Vm

ORDERS_INTERVAL_MS = 500
ORDER_SEND_LIMIT_MS = 3_000
ORDER_ANSWER_LIMIT_MS = 1_000
# An order is in transit for no longer than this after its announcement.
ORDER_VALID_MS = ORDER_SEND_LIMIT_MS + ORDER_ANSWER_LIMIT_MS + 1_000
ORDER_REPEAT_MS = 30_000
UNLOAD_AFTER_MS = 20_000
MAX_WEIGHTS_WAIT_MS = 60_000


class OrderResult(StrEnum):
    """How an order ended."""

    ACCEPTED = "taken"
    OLD_FENCING = "old_fencing"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    NOT_SENT = "not_sent"


@dataclass(frozen=True)
class DueOrder:
    """An order that is due.

    Parameters
    ----------
    incarnation : str
        Incarnation of the upstream whose report gave the reason for the order.
    needed_by_ms : float
        When the version is needed, in ms since 1970 UTC; infinity without a deadline.
    """

    upstream: Upstream
    action: Action
    version: str
    incarnation: str
    needed_by_ms: float


@dataclass
class Orders:
    """The orders that this VM has issued or read from the log.

    Parameters
    ----------
    issued_ms : dict of DueOrder to float
        When each order was last issued.
    undeclared_since_ms : dict of tuple to float
        Since when an upstream has loaded a version that its object does not declare, by
        the names of the upstream and the version.
    weights_retry_ms : float
        When the weight store may be asked again.
    """

    log: OrderLog = field(default_factory=OrderLog)
    issued_ms: dict[DueOrder, float] = field(default_factory=dict)
    undeclared_since_ms: dict[tuple[str, str], float] = field(default_factory=dict)
    weights_retry_ms: float = -math.inf


async def run_order_loop(vm: Vm) -> None:
    """Issue the orders that are due, one after the other, until cancelled."""
    while True:
        for order in due_orders(vm):
            try:
                await issue_order(vm, order)
            except PlatformUnavailableError:
                # Orders wait for the platform; the loaded versions keep serving.
                break
        await vm.clock.sleep_ms(ORDERS_INTERVAL_MS)


def due_orders(vm: Vm) -> list[DueOrder]:
    """Return the due orders for the upstreams of this VM, the most urgent first."""
    now_ms = vm.clock.now_ms()
    orders = vm.orders
    every = [
        order
        for upstream in upstreams_here(vm)
        if is_owner(vm, upstream.name)
        for order in due_orders_for(vm, upstream)
    ]
    previous = orders.issued_ms
    orders.issued_ms = {
        order: issued_ms
        for order, issued_ms in previous.items()
        if now_ms < issued_ms + ORDER_REPEAT_MS
    }
    orders.log.forget(now_ms - ORDER_VALID_MS)
    due = [order for order in every if order not in orders.issued_ms]
    return sorted(due, key=lambda order: order.needed_by_ms)


def due_orders_for(vm: Vm, upstream: Upstream) -> Iterable[DueOrder]:
    """Yield the orders that follow from the latest report of one upstream."""
    loaded = vm.upstreams.state_of(upstream).loaded
    if not loaded.is_fresh(vm.clock.now_ms()):
        return
    for version in upstream.versions:
        if version not in loaded.versions:
            needed_ms = needed_by_ms(vm, version)
            yield DueOrder(
                upstream, Action.LOAD, version, loaded.incarnation, needed_ms
            )
    for version in undeclared_versions(vm, upstream, loaded):
        yield DueOrder(upstream, Action.UNLOAD, version, loaded.incarnation, math.inf)


def needed_by_ms(vm: Vm, version: str) -> float:
    """Return when the traffic moves first need a version; infinity if none does."""
    ends = (
        float(move.finish_by_ms)
        for move in vm.objects.moves.values()
        if move.to_version == version
    )
    return min(ends, default=math.inf)


def undeclared_versions(
    vm: Vm, upstream: Upstream, loaded: LoadedVersions
) -> list[str]:
    """Return the undeclared versions that an upstream has had loaded for a while.

    Until other VMs get the new configuration, they may send calls for a version that it
    no longer declares.
    """
    now_ms = vm.clock.now_ms()
    since = vm.orders.undeclared_since_ms
    extra = loaded.versions.difference(upstream.versions)
    for name, version in tuple(since):
        if name == upstream.name and version not in extra:
            del since[name, version]
    return [
        version
        for version in sorted(extra)
        if now_ms - since.setdefault((upstream.name, version), now_ms)
        >= UNLOAD_AFTER_MS
    ]


async def issue_order(vm: Vm, order: DueOrder) -> None:
    """Announce and send one order, unless one of another VM may be in transit.

    Raises
    ------
    PlatformUnavailableError
        If the platform does not answer; the order is not sent.
    """
    await read_orders(vm)
    if conflicts_with_another(vm, order.upstream, math.inf):
        return
    if order.action is Action.LOAD and not await acquire_load_permit(vm, order):
        return
    announced_ms = vm.clock.now_ms()
    offset = await vm.platform.append(
        ORDER_STREAM, RECORD_CODEC.encode(record_of(vm, order))
    )
    await read_orders(vm)
    if conflicts_with_another(vm, order.upstream, offset):
        # The VM with the earlier record sends its order; this VM tries again later.
        return
    vm.orders.issued_ms[order] = vm.clock.now_ms()
    result = await send_order(vm, order, offset, announced_ms + ORDER_SEND_LIMIT_MS)
    vm.metrics.orders_total.inc({"action": order.action, "result": result})
    vm.journal.record(
        Event.ORDER_GIVEN,
        upstream=order.upstream.name,
        action=order.action.value,
        version=order.version,
        fencing=offset,
        result=result.value,
    )


def record_of(vm: Vm, order: DueOrder) -> OrderRecord:
    """Return the record that announces an order of this VM."""
    return OrderRecord(
        ORDER_FORMAT,
        vm.settings.name,
        vm.incarnation,
        order.upstream.name,
        order.action,
        order.version,
    )


def conflicts_with_another(vm: Vm, upstream: Upstream, before_offset: float) -> bool:
    """Return whether an earlier order of another process may still be in transit."""
    if upstream.checks_fencing:
        return False
    now_ms = vm.clock.now_ms()
    return any(
        other.offset < before_offset and now_ms < other.seen_ms + ORDER_VALID_MS
        for other in vm.orders.log.others(upstream.name, vm.incarnation)
    )


async def acquire_load_permit(vm: Vm, order: DueOrder) -> bool:
    """Acquire one load from the weight store's rate limit; return whether granted.

    A random delay spreads the retries of VMs that were refused together.

    Raises
    ------
    PlatformUnavailableError
        If the weight store does not answer.
    """
    if vm.clock.now_ms() < vm.orders.weights_retry_ms:
        return False
    version = vm.objects.versions.get(order.version)
    name = version.weights if version and version.weights else order.version
    wait_ms = await vm.platform.acquire_weights(name)
    if wait_ms:
        spread_ms = min(wait_ms, MAX_WEIGHTS_WAIT_MS) * (1.0 + vm.random.random())
        vm.orders.weights_retry_ms = vm.clock.now_ms() + spread_ms
    return not wait_ms


async def send_order(
    vm: Vm, order: DueOrder, fencing: int, until_ms: float
) -> OrderResult:
    """Send one order; no byte of it is sent after `until_ms`.

    Its answer names no order, so it gets a connection of its own.
    """

    async def check(name: str, info: dict[str, Any]) -> None:
        is_start = name.endswith("send_request_headers.started")
        if is_start and vm.clock.now_ms() >= until_ms:
            raise UpstreamError("lease", False)

    body = {"fencing": fencing, "order": order.action, "version": order.version}
    try:
        with anyio.fail_after(ORDER_ANSWER_LIMIT_MS / 1_000.0):
            response = await vm.upstream_pool.request(
                "POST",
                order.upstream.address,
                "/orders",
                alone=True,
                headers=[("content-type", "application/json")],
                content=orjson.dumps(body),
                extensions={
                    "trace": check,
                    "timeout": {"connect": CONNECT_TIMEOUT_MS / 1_000.0},
                },
            )
    except UpstreamError:
        return OrderResult.NOT_SENT
    except (
        OSError,
        TimeoutError,
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ):
        # A load may take longer than the timeout; its result shows in the load reports.
        return OrderResult.UNKNOWN
    if response.status == 409:
        return OrderResult.OLD_FENCING
    return OrderResult.ACCEPTED if response.status == 200 else OrderResult.REFUSED

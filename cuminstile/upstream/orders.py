"""Order upstreams to load the versions that their objects name, and to unload others.

One VM orders an upstream: the one that polls it. Two VMs may both think so for a
while. Each order is announced in the platform's log first, and the offset of its
record is the fencing number: an upstream that checks it refuses an older one. For an
upstream that checks nothing, a VM leaves the upstream alone while an order that
another process announced may still be on its way.
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
from .loaded_versions import Loaded
from .peers import is_owner, upstreams_here

if TYPE_CHECKING:
    from ..runtime import Vm

ORDERS_INTERVAL_MS = 500
ORDER_SEND_LIMIT_MS = 3_000
ORDER_ANSWER_LIMIT_MS = 1_000
# An order is on its way for no longer than this after it was announced.
ORDER_VALID_MS = ORDER_SEND_LIMIT_MS + ORDER_ANSWER_LIMIT_MS + 1_000
ORDER_AGAIN_MS = 30_000
UNLOAD_AFTER_MS = 20_000
MAX_WEIGHTS_WAIT_MS = 60_000


class Result(StrEnum):
    """Tell what became of an order."""

    TAKEN = "taken"
    OLD_FENCING = "old_fencing"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    NOT_SENT = "not_sent"


@dataclass(frozen=True)
class Wanted:
    """Hold an order that is due.

    Parameters
    ----------
    urgency_ms : float
        Until when the version is needed, in ms since 1970 UTC; infinity for any time.
    """

    upstream: Upstream
    action: Action
    version: str
    incarnation: str
    urgency_ms: float


@dataclass
class Orders:
    """Hold the orders that this VM has given and read of.

    Parameters
    ----------
    given_ms : dict of Wanted to float
        When each order was given last.
    undeclared_ms : dict of tuple to float
        Since when an upstream holds a version that its object doesn't name, by the
        names of both.
    weights_ms : float
        From when on the weight store may be asked again.
    """

    log: OrderLog = field(default_factory=OrderLog)
    given_ms: dict[Wanted, float] = field(default_factory=dict)
    undeclared_ms: dict[tuple[str, str], float] = field(default_factory=dict)
    weights_ms: float = -math.inf


async def run_order_loop(vm: Vm) -> None:
    """Give the orders that are due, one after the other, for ever."""
    while True:
        for wanted in wanted_here(vm):
            try:
                await give_order(vm, wanted)
            except PlatformUnavailableError:
                # Orders wait for the platform; what is loaded goes on serving.
                break
        await vm.clock.sleep_ms(ORDERS_INTERVAL_MS)


def wanted_here(vm: Vm) -> list[Wanted]:
    """Return the orders that are due to the upstreams of this VM, most urgent first."""
    now_ms = vm.clock.now_ms()
    orders = vm.orders
    every = [
        wanted
        for upstream in upstreams_here(vm)
        if is_owner(vm, upstream.name)
        for wanted in wanted_of(vm, upstream)
    ]
    given = orders.given_ms
    orders.given_ms = {
        wanted: given_ms
        for wanted, given_ms in given.items()
        if now_ms < given_ms + ORDER_AGAIN_MS
    }
    orders.log.forget(now_ms - ORDER_VALID_MS)
    due = [wanted for wanted in every if wanted not in orders.given_ms]
    return sorted(due, key=lambda wanted: wanted.urgency_ms)


def wanted_of(vm: Vm, upstream: Upstream) -> Iterable[Wanted]:
    """Yield the orders for which one upstream's newest report gives a reason."""
    loaded = vm.upstreams.state_of(upstream).loaded
    if not loaded.is_fresh(vm.clock.now_ms()):
        return
    for version in upstream.versions:
        if version not in loaded.versions:
            needed_ms = needed_by_ms(vm, version)
            yield Wanted(upstream, Action.LOAD, version, loaded.incarnation, needed_ms)
    for version in unneeded(vm, upstream, loaded):
        yield Wanted(upstream, Action.UNLOAD, version, loaded.incarnation, math.inf)


def needed_by_ms(vm: Vm, version: str) -> float:
    """Return by when the moves of the set need a version, infinity if none does."""
    ends = (
        float(move.finish_by_ms)
        for move in vm.objects.moves.values()
        if move.to_version == version
    )
    return min(ends, default=math.inf)


def unneeded(vm: Vm, upstream: Upstream, loaded: Loaded) -> list[str]:
    """Return the versions that an upstream has held for long without being told to.

    Other VMs may send it calls for a version until they know the new configuration.
    """
    now_ms = vm.clock.now_ms()
    since = vm.orders.undeclared_ms
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


async def give_order(vm: Vm, wanted: Wanted) -> None:
    """Announce one order and send it, unless another VM's may be on its way.

    Raises
    ------
    PlatformAwayError
        If the platform doesn't answer; the order is not sent.
    """
    await read_orders(vm)
    if may_meet_another(vm, wanted.upstream, math.inf):
        return
    if wanted.action is Action.LOAD and not await may_load(vm, wanted):
        return
    announced_ms = vm.clock.now_ms()
    offset = await vm.platform.append(
        ORDER_STREAM, RECORD_CODEC.encode(record_of(vm, wanted))
    )
    await read_orders(vm)
    if may_meet_another(vm, wanted.upstream, offset):
        # The VM whose record stands first goes ahead; this one waits for its turn.
        return
    vm.orders.given_ms[wanted] = vm.clock.now_ms()
    result = await send_order(vm, wanted, offset, announced_ms + ORDER_SEND_LIMIT_MS)
    vm.metrics.orders_total.inc({"action": wanted.action, "result": result})
    vm.journal.record(
        Event.ORDER_GIVEN,
        upstream=wanted.upstream.name,
        action=wanted.action.value,
        version=wanted.version,
        fencing=offset,
        result=result.value,
    )


def record_of(vm: Vm, wanted: Wanted) -> OrderRecord:
    """Return the record that announces an order of this VM."""
    return OrderRecord(
        ORDER_FORMAT,
        vm.settings.name,
        vm.incarnation,
        wanted.upstream.name,
        wanted.action,
        wanted.version,
    )


def may_meet_another(vm: Vm, upstream: Upstream, before_offset: float) -> bool:
    """Return whether an order announced before may still reach the upstream."""
    if upstream.checks_fencing:
        return False
    now_ms = vm.clock.now_ms()
    return any(
        other.offset < before_offset and now_ms < other.seen_ms + ORDER_VALID_MS
        for other in vm.orders.log.others(upstream.name, vm.incarnation)
    )


async def may_load(vm: Vm, wanted: Wanted) -> bool:
    """Take one load out of the weight store's rate; return whether it was granted.

    VMs that were all refused come back at different moments.

    Raises
    ------
    PlatformAwayError
        If the weight store doesn't answer.
    """
    if vm.clock.now_ms() < vm.orders.weights_ms:
        return False
    version = vm.objects.versions.get(wanted.version)
    name = version.weights if version and version.weights else wanted.version
    wait_ms = await vm.platform.acquire_weights(name)
    if wait_ms:
        spread_ms = min(wait_ms, MAX_WEIGHTS_WAIT_MS) * (1.0 + vm.random.random())
        vm.orders.weights_ms = vm.clock.now_ms() + spread_ms
    return not wait_ms


async def send_order(vm: Vm, wanted: Wanted, fencing: int, until_ms: float) -> Result:
    """Send one order; no byte of it leaves after `until_ms`."""

    async def check(name: str, info: dict[str, Any]) -> None:
        is_start = name.endswith("send_request_headers.started")
        if is_start and vm.clock.now_ms() >= until_ms:
            raise UpstreamError("lease", False)

    body = {"fencing": fencing, "order": wanted.action, "version": wanted.version}
    try:
        with anyio.fail_after(ORDER_ANSWER_LIMIT_MS / 1_000.0):
            response = await vm.upstream_pool.request(
                "POST",
                wanted.upstream.address,
                "/orders",
                headers=[("content-type", "application/json")],
                content=orjson.dumps(body),
                extensions={
                    "trace": check,
                    "timeout": {"connect": CONNECT_TIMEOUT_MS / 1_000.0},
                },
            )
    except UpstreamError:
        return Result.NOT_SENT
    except (
        OSError,
        TimeoutError,
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ):
        # A load may take longer than anyone waits: the load reports tell the end.
        return Result.UNKNOWN
    if response.status == 409:
        return Result.OLD_FENCING
    return Result.TAKEN if response.status == 200 else Result.REFUSED

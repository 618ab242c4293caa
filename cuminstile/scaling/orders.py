"""Order the number of upstreams while this VM holds that duty: the steps with I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from ..duties.messages import DemandEntry
from ..duties.types import ORDERS_DUTY, DutyHolder, Subject
from ..events import Event
from ..gateway.model import Manifest, Service
from ..gateway.state import Gateway
from ..gateway.upstreams import UpstreamState
from .decisions import decide_orders
from .demand import local_demand
from .pools import Order, Pool, ScalingState

DECIDE_INTERVAL_MS = 1_000.0
"""Interval of decisions; short against the time that an upstream takes to start."""
DEFAULT_TARGET_MS = 1_000.0
"""Latency target of a service to which no route leads."""


class OrderCall(Protocol):
    """A call of the platform that orders a number of upstreams."""

    @property
    def method(self) -> bytes:
        """Return the method of the HTTP request."""

    @property
    def path(self) -> bytes:
        """Return its path."""

    @property
    def body(self) -> bytes:
        """Return its body."""


MakeOrderCall = Callable[[str, str, int], OrderCall]
"""Returns the call for a service, a data centre and a number of upstreams."""


def scaled_services(manifest: Manifest | None) -> list[Service]:
    """Return the services of which the number of upstreams is ordered."""
    if manifest is None:
        return []
    services = manifest.services.values()
    return [service for service in services if service.scaling is not None]


def own_demand(vm: Gateway) -> tuple[DemandEntry, ...]:
    """Return what the callers of a VM demand of the upstreams that are ordered."""
    in_flight = {service.name: 0 for service in scaled_services(vm.manifest)}
    if not in_flight:
        return ()
    for state in vm.table.states.values():
        if state.info.service in in_flight:
            in_flight[state.info.service] += state.in_flight
    return local_demand(
        vm.demand, vm.settings.data_centre, in_flight, vm.clock.now_ms()
    )


def pools_of(vm: Gateway, known: Iterable[tuple[str, str]]) -> tuple[Pool, ...]:
    """Return the pools whose numbers are ordered.

    Parameters
    ----------
    known : iterable of tuple of str
        Service and data centre of pools that had upstreams earlier.
    """
    manifest = vm.manifest
    services = {service.name: service for service in scaled_services(manifest)}
    states: dict[tuple[str, str], list[UpstreamState]] = {
        pair: [] for pair in known if pair[0] in services
    }
    for state in vm.table.states.values():
        if state.info.service in services:
            pair = (state.info.service, state.info.data_centre)
            states.setdefault(pair, []).append(state)
    return tuple(
        pool_of(vm, services[service], data_centre, found)
        for (service, data_centre), found in sorted(states.items())
    )


def pool_of(
    vm: Gateway, service: Service, data_centre: str, states: list[UpstreamState]
) -> Pool:
    """Return one pool as this VM sees it."""
    assert service.scaling is not None
    now_ms = vm.clock.now_ms()
    running = [one for one in states if not one.info.leaving and not one.unconfirmed]
    running = [one for one in running if one.process not in vm.table.left]
    working = [one for one in running if one.ejected_until_ms <= now_ms]
    slots = max((one.info.slots for one in states), default=1)
    return Pool(
        service.name,
        data_centre,
        service.scaling.least,
        service.scaling.most,
        service.scaling.start_ms + service.cold_start_ms,
        service.engine.slots if service.engine else slots,
        len(running),
        len(working),
        shortest_target_ms(vm.manifest, service.name),
        data_centre in vm.table.taken_out,
    )


def shortest_target_ms(manifest: Manifest | None, service: str) -> float:
    """Return the shortest latency target of the routes to a service."""
    routes = manifest.routes if manifest else ()
    targets_ms = [
        route.target_ms
        for route in routes
        if any(target.service == service for target in route.targets)
    ]
    return min(targets_ms, default=DEFAULT_TARGET_MS)


async def run_orders(
    vm: Gateway, duties: DutyHolder, order_call: MakeOrderCall
) -> None:
    """Order upstreams while this VM holds the duty, in an endless loop.

    A VM that becomes the holder knows nothing of earlier demand, and therefore orders
    fewer upstreams only after it has watched for a while.
    """
    state = ScalingState()
    known: set[tuple[str, str]] = set()
    while True:
        await vm.clock.sleep_ms(DECIDE_INTERVAL_MS)
        pools = pools_of(vm, known)
        known = {(pool.service, pool.data_centre) for pool in pools}
        if not any(holds(duties, pool.name) for pool in pools):
            state = ScalingState()
            continue
        now_ms = vm.clock.now_ms()
        for order in decide_orders(state, pools, duties.demands(), now_ms):
            await send_order(vm, duties, order_call, state, order)


def holds(duties: DutyHolder, pool: str) -> bool:
    """Return whether this VM holds the duty for a pool."""
    return duties.token(Subject(ORDERS_DUTY, pool)) is not None


async def send_order(
    vm: Gateway,
    duties: DutyHolder,
    order_call: MakeOrderCall,
    state: ScalingState,
    order: Order,
) -> None:
    """Send one order, and record what became of it."""
    subject = Subject(ORDERS_DUTY, order.name)
    token = duties.token(subject)
    call = order_call(order.service, order.data_centre, order.wanted)
    answer = await duties.call(subject, call.method, call.path, call.body)
    state.record_answer(order, answer.accepted, vm.clock.now_ms())
    labels = {"service": order.service, "data_centre": order.data_centre}
    vm.metrics.upstreams_wanted.set(labels, order.wanted)
    vm.metrics.upstreams_needed.set(labels, order.needed)
    result = "accepted" if answer.accepted else "failed"
    vm.metrics.orders_total.inc({"reason": order.reason, "result": result})
    vm.journal.record(
        Event.UPSTREAMS_ORDERED,
        service=order.service,
        data_centre=order.data_centre,
        wanted=order.wanted,
        before=order.before,
        needed=order.needed,
        reason=order.reason,
        token=token,
        status=answer.status,
    )

"""Test cuminstile.scaling.orders without a network: a VM with the duty, and without."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

import anyio
import pytest

from cuminstile.clock import VirtualClock
from cuminstile.duties.messages import DemandEntry
from cuminstile.duties.types import DutyAnswer, Subject
from cuminstile.events import Event
from cuminstile.gateway.model import (
    EngineSpec,
    Limits,
    Manifest,
    ScalingSpec,
    Service,
)
from cuminstile.gateway.state import Gateway
from cuminstile.platform.duties import order_call
from cuminstile.scaling.orders import own_demand, pools_of, run_orders

from ..gateway.test_decisions import make_route
from ..gateway.test_state import make_upstream, make_vm

pytestmark = pytest.mark.anyio
ENGINE = Service(
    "s",
    50,
    cold_start_ms=3e3,
    engine=EngineSpec(8, 10_000),
    scaling=ScalingSpec(1, 9, 8e3),
)


@dataclass
class FakeDuties:
    """Holder of the duties with a load of its own; keeps the calls that it makes."""

    entry: DemandEntry
    held: bool = True
    status: int = 200
    calls: list[tuple[str, bytes]] = field(default_factory=list)

    def token(self, subject: Subject) -> int | None:
        """Return a token while the duty is held."""
        del subject
        return 7 if self.held else None

    async def call(
        self, subject: Subject, method: bytes, path: bytes, body: bytes
    ) -> DutyAnswer:
        """Keep the call."""
        assert (method, path) == (b"POST", b"/scale")
        self.calls.append((subject.name, body))
        return DutyAnswer(self.status, True)

    def demands(self) -> Mapping[str, tuple[DemandEntry, ...]]:
        """Return the load."""
        return {"vm": (self.entry,)}


def make_scaled_vm(service: Service = ENGINE) -> Gateway:
    vm = make_vm(VirtualClock(at_ms=100_000.0))
    routes = (make_route("/x/", target_ms=900.0), make_route("/y/", target_ms=400.0))
    vm.apply_manifest(Manifest(1, routes, {"s": service}, Limits()), "test")
    upstreams = [make_upstream(f"u{n}") for n in range(3)]
    vm.apply_upstreams({one.id: one for one in upstreams}, 0.0)
    return vm


def load(requests: float) -> DemandEntry:
    return DemandEntry("s", "a", requests, 0, 0, 0.0, 50.0)


async def run_for(vm: Gateway, duties: FakeDuties, ms: float) -> None:
    """Run the loop of orders for some virtual time."""
    assert isinstance(vm.clock, VirtualClock)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run_orders, vm, duties, order_call)
        await vm.clock.advance_ms(ms)
        tasks.cancel_scope.cancel()


async def test_holder_orders_what_callers_need_and_logs_why() -> None:
    vm, duties = make_scaled_vm(), FakeDuties(load(80.0))
    await run_for(vm, duties, 3_000.0)
    assert duties.calls[0][0] == "s/a"
    assert duties.calls[0][1].startswith(b'{"service":"s","zone":"a","desired":')
    event = next(one for one in vm.journal.ring if one.event is Event.UPSTREAMS_ORDERED)
    assert event.fields["reason"] == "demand"
    assert event.fields["token"] == 7
    assert event.fields["before"] == 3


async def test_vm_without_the_duty_orders_nothing() -> None:
    vm, duties = make_scaled_vm(), FakeDuties(load(80.0), held=False)
    await run_for(vm, duties, 60_000.0)
    assert duties.calls == []


async def test_order_is_sent_again_until_the_platform_accepts_it() -> None:
    vm, duties = make_scaled_vm(), FakeDuties(load(80.0), status=429)
    await run_for(vm, duties, 5_000.0)
    assert len(duties.calls) >= 3
    assert len({body for _, body in duties.calls}) == 1


async def test_service_without_bounds_is_left_alone() -> None:
    vm = make_scaled_vm(replace(ENGINE, scaling=None))
    duties = FakeDuties(load(80.0))
    await run_for(vm, duties, 60_000.0)
    assert duties.calls == []
    assert own_demand(vm) == ()


def test_pool_is_seen_as_its_upstreams_are() -> None:
    vm = make_scaled_vm()
    leaving = make_upstream("u0", leaving=True)
    rest = {f"u{n}": make_upstream(f"u{n}") for n in (1, 2)}
    vm.apply_upstreams({"u0": leaving, **rest}, 0.0)
    vm.table.states["u1"].ejected_until_ms = vm.clock.now_ms() + 1_000.0
    (pool,) = pools_of(vm, ())
    assert (pool.listed, pool.working) == (2, 1)
    assert (pool.start_ms, pool.slots, pool.target_ms) == (11_000.0, 8, 400.0)
    vm.table.taken_out = frozenset({"a"})
    assert pools_of(vm, ())[0].taken_out


def test_pool_of_which_all_upstreams_are_gone_is_still_one() -> None:
    vm = make_scaled_vm()
    vm.table.states.clear()
    assert [pool.name for pool in pools_of(vm, [("s", "a"), ("x", "a")])] == ["s/a"]


def test_own_demand_counts_what_upstreams_have() -> None:
    vm = make_scaled_vm()
    vm.table.states["u1"].in_flight = 2
    vm.demand.record_request("s", "/x/", vm.clock.now_ms())
    (entry,) = own_demand(vm)
    assert (entry.data_centre, entry.in_flight, entry.requests) == ("a", 2, 0.5)

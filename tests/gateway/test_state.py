"""Test cuminstile.gateway.state."""

from cuminstile.clock import VirtualClock
from cuminstile.gateway.model import Upstream
from cuminstile.gateway.state import Gateway, GatewaySettings
from cuminstile.platform.program import make_gateway
from cuminstile.platform.settings import PlatformSettings

DRAIN_MS = 2_000.0
"""How long a leaving upstream may still get requests, in ms."""


def make_vm(clock: VirtualClock) -> Gateway:
    settings = GatewaySettings(
        "vm",
        "a",
        "127.0.0.1:1",
        "127.0.0.1:2",
        "127.0.0.1:3",
        "127.0.0.1:5",
        (),
        8e3,
        2e3,
        0.2,
        50,
        1e4,
    )
    return make_gateway(PlatformSettings(settings, "127.0.0.1:4"), clock)


def make_upstream(name: str, **changes: object) -> Upstream:
    fields = {
        "id": name,
        "service": "s",
        "address": "10.0.0.1:80",
        "data_centre": "a",
        "version": "v1",
        "slots": 8,
        "leaving": False,
        "cold_ms": 0.0,
        "started_ms": 1,
    }
    return Upstream(**{**fields, **changes})


def both() -> dict[str, Upstream]:
    return {name: make_upstream(name) for name in ("u1", "u2")}


def one() -> dict[str, Upstream]:
    return {"u1": make_upstream("u1")}


def names(vm: Gateway) -> set[str]:
    return {state.info.id for state in vm.table.usable("s")}


def test_removed_upstream_gets_no_more_requests() -> None:
    clock = VirtualClock(at_ms=100_000.0)
    vm = make_vm(clock)
    vm.apply_upstreams(both(), back_ms=0.0)
    vm.apply_upstreams(one(), back_ms=0.0)
    assert names(vm) == {"u1"}
    assert set(vm.table.states) == {"u1"}


def test_upstream_that_leaves_right_after_an_outage_is_gone_in_time() -> None:
    """Guards against keeping an upstream that left as if its record had expired.

    Found by `trouble-1 --seed 449051606902` of falrend-hq.
    """
    clock = VirtualClock(at_ms=100_000.0)
    vm = make_vm(clock)
    vm.apply_upstreams(both(), back_ms=100_000.0)
    clock.at_ms += 700.0
    vm.apply_upstreams(one(), back_ms=100_000.0)
    assert names(vm) == {"u1"}
    clock.at_ms += DRAIN_MS - 700.0
    vm.apply_upstreams(one(), back_ms=100_000.0)
    assert set(vm.table.states) == {"u1"}


def test_upstreams_that_expired_in_an_outage_are_kept_until_they_are_back() -> None:
    clock = VirtualClock(at_ms=100_000.0)
    vm = make_vm(clock)
    vm.apply_upstreams(both(), back_ms=0.0)
    clock.at_ms += 5_000.0
    vm.apply_upstreams({}, back_ms=clock.at_ms, expired=both())
    clock.at_ms += 2_000.0
    vm.apply_upstreams({}, back_ms=clock.at_ms - 2_000.0, expired=both())
    assert names(vm) == {"u1", "u2"}
    vm.apply_upstreams(one(), back_ms=clock.at_ms - 2_000.0, expired=both())
    assert names(vm) == {"u1"}
    clock.at_ms += 1_000.0
    vm.apply_upstreams(one(), back_ms=clock.at_ms - 3_000.0, expired=both())
    assert set(vm.table.states) == {"u1"}

"""Test cuminstile.gateway.speeds: who tells whom, and the metric."""

from cuminstile.clock import Clock
from cuminstile.estimates.report import LoadReport
from cuminstile.estimates.sharing import Speed
from cuminstile.gateway.messages import CODEC, SpeedSamples, SpeedTable
from cuminstile.gateway.running import set_upstream_slowness
from cuminstile.gateway.speeds import on_speeds, send_speeds
from cuminstile.gateway.state import Gateway
from cuminstile.gateway.upstreams import UpstreamState, record_load

from .test_state import make_upstream, make_vm


def make_vm_with_upstreams(count: int = 3) -> tuple[Gateway, list[tuple[str, bytes]]]:
    vm = make_vm(Clock())
    for n in range(count):
        state = UpstreamState(make_upstream(f"u{n}"))
        vm.table.states[state.info.id] = state
    sent: list[tuple[str, bytes]] = []
    vm.send_datagram = lambda address, data: sent.append((address, data))
    return vm, sent


def report(vm: Gateway, name: str, load: LoadReport) -> None:
    state = vm.table.states[name]
    record_load(state, load, vm.clock.now_ms())
    vm.speeds.note_report(state.process, state.estimate)


def test_nothing_is_sent_where_reports_have_three_figures() -> None:
    vm, sent = make_vm_with_upstreams()
    report(vm, "u0", LoadReport(3, 0, 24))
    send_speeds(vm, vm.own_heartbeat(), ())
    assert sent == []


def test_speed_that_a_hub_tells_is_known_at_a_vm_that_had_no_report() -> None:
    hub, _ = make_vm_with_upstreams()
    vm, _ = make_vm_with_upstreams()
    process = hub.table.states["u1"].process
    for kind, receiver in ((SpeedSamples, hub), (SpeedTable, vm)):
        message = kind("10.0.0.1:1", (Speed(process, 1.7, 5),))
        on_speeds(receiver, CODEC.decode(CODEC.encode(message)))
    assert hub.table.states["u1"].estimate.samples_known == 1
    assert vm.table.states["u1"].estimate.samples_known == 5
    assert not vm.table.states["u0"].estimate.tells_speed


def test_metric_has_only_upstreams_that_are_there_and_report() -> None:
    vm, _ = make_vm_with_upstreams()
    for name in ("u0", "u1"):
        report(vm, name, LoadReport(3, 0, 24, 1.7))
    set_upstream_slowness(vm)
    del vm.table.states["u0"]
    set_upstream_slowness(vm)
    assert len(vm.metrics.upstream_slowness.values) == 1

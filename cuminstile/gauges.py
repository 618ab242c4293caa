"""Update a VM's gauges with current values; called at each scrape."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from .operator.report import UpstreamStatus
from .operator.upstreams import make_upstream_report, upstreams_here

if TYPE_CHECKING:
    from .runtime import Vm


def update_gauges(vm: Vm) -> None:
    """Set every gauge to its current value."""
    update_configuration_gauges(vm)
    update_session_gauges(vm)
    update_upstream_gauges(vm)
    for version, wait_queue in vm.wait_queue.by_version.items():
        vm.metrics.waiting_calls.set({"version": version}, len(wait_queue.waiting))
    vm.metrics.requests_in_progress.set({}, vm.activity.requests)
    vm.metrics.claims_streams.set({}, len(vm.claims.partitions))
    vm.metrics.claims_unrecorded.set({}, vm.activity.claims)


def update_configuration_gauges(vm: Vm) -> None:
    """Set the gauges of the configuration and of the platform's outage."""
    now_ms = vm.clock.now_ms()
    version = vm.configuration.version
    vm.metrics.config_version.set({}, version)
    if vm.configuration.current is not None:
        vm.metrics.config_age_ms.set({}, now_ms - vm.in_force.since_ms)
    since_ms = vm.platform_unavailable_since_ms
    away_ms = 0.0 if since_ms is None else now_ms - since_ms
    vm.metrics.platform_away_ms.set({}, away_ms)


def update_session_gauges(vm: Vm) -> None:
    """Set the number of open sessions per known data centre and the bytes sent."""
    centres = {item.data_centre for item in vm.members.by_name.values()}
    for centre in centres:
        count = len(vm.sessions.of_data_centre(centre))
        vm.metrics.sessions.set({"data_centre": centre}, count)
    vm.metrics.control_sent_bytes_total.set({}, vm.sessions.control_bytes())


def update_upstream_gauges(vm: Vm) -> None:
    """Set the number of upstreams in each state, including states with none."""
    found = Counter(make_upstream_report(vm, item).state for item in upstreams_here(vm))
    for status in UpstreamStatus:
        vm.metrics.upstreams.set({"state": status.value}, found[status])

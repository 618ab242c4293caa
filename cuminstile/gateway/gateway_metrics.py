"""Prometheus metrics of the gateway."""

from __future__ import annotations

from dataclasses import dataclass

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry

LATENCY_BUCKETS_MS = [10.0, 50.0, 100.0, 250.0, 500.0, 1e3, 1.8e3, 3e3, 6e3, 2e4]


@dataclass(frozen=True)
class GatewayMetrics:
    """Metrics of a gateway; names of timings end in their unit."""

    registry: Registry
    requests_total: Counter
    request_ms: Histogram
    sends_total: Counter
    staging_ms: Histogram
    manifest_version: Gauge
    live_vms: Gauge
    store_calls_total: Counter
    store_returns_total: Counter
    upstream_list_age_ms: Gauge
    store_reader: Gauge
    crashes_total: Counter
    words_total: Counter
    held_bytes: Gauge
    waiting_bodies: Gauge
    bodies_total: Counter
    caller_connections: Gauge
    displaced_total: Counter
    upstreams_wanted: Gauge
    upstreams_needed: Gauge
    orders_total: Counter
    duty_token: Gauge
    duty_calls_total: Counter
    hedges_total: Counter
    hedge_wasted_ms_total: Counter
    upstream_slowness: Gauge


def make_gateway_metrics() -> GatewayMetrics:
    """Return new metrics in a registry of their own."""
    registry = Registry()
    return GatewayMetrics(
        registry,
        Counter(
            "cuminstile_gateway_requests_total",
            "Requests by route and result",
            registry=registry,
        ),
        Histogram(
            "cuminstile_gateway_request_ms",
            "Time from a request's arrival to the end of its answer",
            registry=registry,
            buckets=LATENCY_BUCKETS_MS,
        ),
        Counter(
            "cuminstile_gateway_sends_total",
            "Requests sent to upstreams by service and result",
            registry=registry,
        ),
        Histogram(
            "cuminstile_gateway_staging_ms",
            "Time that a request waited for the results of its stages",
            registry=registry,
            buckets=LATENCY_BUCKETS_MS,
        ),
        Gauge(
            "cuminstile_gateway_manifest_version",
            "Version of the manifest in force, -1 for none",
            registry=registry,
        ),
        Gauge(
            "cuminstile_gateway_live_vms",
            "VMs that are heard of, this one included",
            registry=registry,
        ),
        Counter(
            "cuminstile_gateway_store_calls_total",
            "Calls that follow the platform's store by topic and result",
            registry=registry,
        ),
        Counter(
            "cuminstile_gateway_store_returns_total",
            "Returns of the platform's store from an older copy by topic",
            registry=registry,
        ),
        Gauge(
            "cuminstile_gateway_upstream_list_age_ms",
            "Time since the list of upstreams was last known to be the newest",
            registry=registry,
        ),
        Gauge(
            "cuminstile_gateway_store_reader",
            "Whether this VM reads a topic of the store for others, by topic",
            registry=registry,
        ),
        Counter(
            "cuminstile_gateway_cut_off_total",
            "Requests whose upstream ended the connection as they ran, by service",
            registry=registry,
        ),
        Counter(
            "cuminstile_gateway_upstream_words_total",
            "Upstreams that said that they leave or want no requests, by service",
            registry=registry,
        ),
        Gauge(
            "cuminstile_gateway_held_bytes",
            "Bytes held for others by kind",
            registry=registry,
        ),
        Gauge(
            "cuminstile_gateway_waiting_bodies",
            "Requests that wait for memory for their bodies",
            registry=registry,
        ),
        Counter(
            "cuminstile_gateway_bodies_total",
            "Requests refused or closed for want of memory by result",
            registry=registry,
        ),
        Gauge(
            "cuminstile_gateway_caller_connections",
            "Open connections of callers",
            registry=registry,
        ),
        Counter(
            "cuminstile_gateway_displaced_total",
            "Connections of callers closed because there were too many",
            registry=registry,
        ),
        Gauge(
            "cuminstile_gateway_upstreams_wanted",
            "Upstreams that this VM ordered last, by service and data centre",
            registry=registry,
        ),
        Gauge(
            "cuminstile_gateway_upstreams_needed",
            "Upstreams that callers needed at that order, by service and data centre",
            registry=registry,
        ),
        Counter(
            "cuminstile_gateway_orders_total",
            "Orders of a number of upstreams that this VM sent, by reason and result",
            registry=registry,
        ),
        Gauge(
            "cuminstile_gateway_duty_token",
            "Fencing token of the duties that this VM holds, 0 for none",
            registry=registry,
        ),
        Counter(
            "cuminstile_gateway_duty_calls_total",
            "Calls that are duties of one VM at a time by duty and result",
            registry=registry,
        ),
        Counter(
            "cuminstile_gateway_hedges_total",
            "Requests sent a second time, by service and whether that send answered",
            registry=registry,
        ),
        Counter(
            "cuminstile_gateway_hedge_wasted_ms_total",
            "Time that upstreams spent on sends whose request another one answered",
            registry=registry,
        ),
        Gauge(
            "cuminstile_gateway_upstream_slowness",
            "Time that work takes at an upstream now relative to the usual time",
            registry=registry,
        ),
    )

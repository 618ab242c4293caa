"""Prometheus metrics of a VM."""

from dataclasses import dataclass

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry

LATENCY_BUCKETS_MS = [5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 450.0, 1e3, 2e3, 4e3, 1e4]


@dataclass(frozen=True)
class Metrics:
    """The metrics of a VM; names of times and sizes end in the unit."""

    registry: Registry
    requests_total: Counter
    deadlines_total: Counter
    refusals_total: Counter
    request_ms: Histogram
    stage_ms: Histogram
    stage_attempts_total: Counter
    answers_dropped_total: Counter
    orders_total: Counter
    config_version: Gauge
    config_age_ms: Gauge
    platform_away_ms: Gauge
    sessions: Gauge
    control_sent_bytes_total: Counter
    upstreams: Gauge
    waiting_calls: Gauge
    requests_in_progress: Gauge
    claims_total: Counter
    claims_read_back_ms: Histogram
    claims_appends_total: Counter
    claims_appended_bytes_total: Counter
    claims_streams: Gauge
    claims_unrecorded: Gauge


def make_metrics() -> Metrics:
    """Return new metrics in their own registry."""
    registry = Registry()
    return Metrics(
        registry,
        Counter(
            "cuminstile_requests_total",
            "Requests by pipeline and result",
            registry=registry,
        ),
        Counter(
            "cuminstile_deadlines_total",
            "Admitted requests by pipeline and whether the deadline was met",
            registry=registry,
        ),
        Counter(
            "cuminstile_refusals_total",
            "Refusals to callers by code and by what is known about the run",
            registry=registry,
        ),
        Histogram(
            "cuminstile_request_ms",
            "Time from a request's arrival to its whole answer",
            registry=registry,
            buckets=LATENCY_BUCKETS_MS,
        ),
        Histogram(
            "cuminstile_stage_ms",
            "Time of a stage, attempts and waiting included",
            registry=registry,
            buckets=LATENCY_BUCKETS_MS,
        ),
        Counter(
            "cuminstile_stage_attempts_total",
            "Calls of upstreams by stage and result",
            registry=registry,
        ),
        Counter(
            "cuminstile_answers_dropped_total",
            "Answers that no call waited for, by reason",
            registry=registry,
        ),
        Counter(
            "cuminstile_orders_total",
            "Orders to upstreams by action and result",
            registry=registry,
        ),
        Gauge(
            "cuminstile_config_version",
            "Version of the configuration in force, -1 for none",
            registry=registry,
        ),
        Gauge(
            "cuminstile_config_age_ms",
            "Time since that version came into force on this VM",
            registry=registry,
        ),
        Gauge(
            "cuminstile_platform_away_ms",
            "Time since the platform has not answered, 0 while it does",
            registry=registry,
        ),
        Gauge(
            "cuminstile_sessions",
            "Open sessions with other VMs by data centre",
            registry=registry,
        ),
        Counter(
            "cuminstile_control_sent_bytes_total",
            "Bytes sent to other VMs, but for requests and their answers",
            registry=registry,
        ),
        Gauge(
            "cuminstile_upstreams",
            "Upstreams of this data centre by state",
            registry=registry,
        ),
        Gauge(
            "cuminstile_waiting_calls",
            "Calls that wait for an upstream by version",
            registry=registry,
        ),
        Gauge(
            "cuminstile_requests_in_progress",
            "Requests of callers that run now",
            registry=registry,
        ),
        Counter(
            "cuminstile_claims_total",
            "Claims of idempotency keys by what became of them",
            registry=registry,
        ),
        Histogram(
            "cuminstile_claims_read_back_ms",
            "Time from a claim to its place in the log",
            registry=registry,
            buckets=LATENCY_BUCKETS_MS,
        ),
        Counter(
            "cuminstile_claims_appends_total",
            "Appends to the streams of claims, repeated ones included",
            registry=registry,
        ),
        Counter(
            "cuminstile_claims_appended_bytes_total",
            "Bytes of those appends",
            registry=registry,
        ),
        Gauge(
            "cuminstile_claims_streams",
            "Streams of claims that this VM follows",
            registry=registry,
        ),
        Gauge(
            "cuminstile_claims_unrecorded",
            "Claims whose end does not stand in the log yet",
            registry=registry,
        ),
    )

"""Count and time what a VM does, for Prometheus."""

from dataclasses import dataclass

from aioprometheus.collectors import Counter, Histogram, Registry

LATENCY_BUCKETS_MS = [5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 450.0, 1e3, 2e3, 4e3, 1e4]


@dataclass(frozen=True)
class Metrics:
    """Hold the metrics of a VM; each name ends in its unit."""

    registry: Registry
    requests_total: Counter
    request_ms: Histogram
    stage_ms: Histogram
    stage_attempts_total: Counter
    answers_dropped_total: Counter


def make_metrics() -> Metrics:
    """Return fresh metrics in a registry of their own."""
    registry = Registry()
    return Metrics(
        registry,
        Counter(
            "cuminstile_requests_total",
            "Requests by pipeline and result",
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
            "Answers that no call waited for",
            registry=registry,
        ),
    )

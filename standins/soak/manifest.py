"""The routes and services of a soak, and the settings of its VMs."""

from __future__ import annotations

from typing import Any

KEY = "9dnn2ctnfzs989anu6ws"
ORGANISATION = "bozi300"
DEADLINE_MS = 3_000
SCAN_MS = 1_500.0
"""Work of the slow stage for one call."""
DRAIN_MS = 2_000
CONFIG_MS = 2_000
LONG_DEADLINE_MS = 20_000
"""Deadline of requests that wait for slow stages, far longer than a stop."""
RETRY_RATIO = 0.02
RETRY_SLACK = 20
RETRY_WINDOW_S = 10.0
"""Retries of a service in a window: far fewer than the faults would cause."""
POISON = "poison"
"""Beginning of the names of parts of prompts that end the upstreams that run them."""
DATA_CENTRES = ("a", "b")
PIECES = {"draft": "2,1", "note": "2", "album": "2,1"}
"""Number of pieces of each stage that callers ask for, by route."""
ROUTES = ("look", "book", "draft", "note", "chat")
SLOW_ROUTES = ("album", "album", "draft", "look", "book")
"""Routes of the callers whose bodies come slowly; `album` has a slow stage."""
STREAMS = frozenset({"draft", "note", "chat", "album"})
REPEATABLE = frozenset({"look", "note"})
"""Routes whose requests may run more than once."""
SERVICES = {
    "look": "desk",
    "book": "desk",
    "draft": "engines",
    "note": "engines",
    "chat": "engines",
    "album": "engines",
}


def make_route(name: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a route to its service."""
    route = {
        "name": name,
        "host": "shop.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": DEADLINE_MS,
        "target_latency_ms": 500,
        "priority": 1,
        "service": SERVICES[name],
        "max_attempts": 2 if name in REPEATABLE else 1,
        "public": False,
    }
    return {**route, **fields}


def make_service(name: str, **fields: Any) -> dict[str, Any]:
    """Return a service that is never cold."""
    service = {
        "name": name,
        "health_check": "/healthz",
        "max_connections": 200,
        "cold_start_s": 0.0,
        "cold_per_s": 0.0,
    }
    return {**service, **fields}


def make_stage(service: str, after: list[int]) -> dict[str, Any]:
    """Return a stage of a route."""
    return {"service": service, "after": after, "bytes": 1_000}


def make_manifest() -> dict[str, Any]:
    """Return the manifest of a soak."""
    batch = {
        "slots": 2,
        "queue": 8,
        "batch": 10,
        "call_ms": 10.0,
        "item_ms": 1.0,
        "headroom_mb": 10.0,
        "handle_s": 4.0,
        "link_mbps": 10_000,
    }
    slow_batch = {**batch, "slots": 1, "batch": 4, "call_ms": SCAN_MS}
    encode, rank = make_stage("encode", []), make_stage("rank", [0])
    scan = make_stage("scan", [])
    slow = {"timeout_ms": LONG_DEADLINE_MS, "target_latency_ms": LONG_DEADLINE_MS}
    stream = {"gap_aim_ms": 300}
    return {
        "version": 1,
        "routes": [
            make_route("look", "safe"),
            make_route("book", "unsafe"),
            make_route("draft", "streaming", stages=[encode, rank], **stream),
            make_route("note", "streaming", stages=[encode], resumable=True, **stream),
            make_route("chat", "streaming", **stream),
            make_route("album", "streaming", stages=[scan, rank], **stream, **slow),
        ],
        "services": [
            make_service("desk"),
            make_service("engines", engine={"slots": 16, "kv_capacity": 100_000}),
            make_service("encode", pieces=batch),
            make_service("rank", pieces=batch),
            make_service("scan", pieces=slow_batch),
        ],
        "limits": {"max_header_bytes": 4_096, "max_body_bytes": 131_072},
        "tenants": [{"name": ORGANISATION, "api_keys": [KEY], "priority": 1}],
    }


def make_settings(
    number: int, network: str, first_port: int, store: str
) -> dict[str, Any]:
    """Return the settings of a VM on a loopback address of its own."""
    host = f"{network}.{number + 1}"
    return {
        "node": f"vm-{number}",
        "ip": host,
        "zone": DATA_CENTRES[number % 2],
        "zones": dict.fromkeys(DATA_CENTRES, "r"),
        "listen": {
            "front": f"{host}:{first_port + 1}",
            "readiness": f"{host}:{first_port + 2}",
        },
        "port_range": [first_port + 10, first_port + 25],
        "seeds": [f"{network}.1:1", f"{network}.2:1"],
        "platform": {"address": store, "writes_per_s": 400, "reads_per_s": 2_000},
        "bounds": {
            "drain_ms": DRAIN_MS,
            "grace_s": 8,
            "config_ms": CONFIG_MS,
            "retry_budget_ratio": RETRY_RATIO,
            "retry_window_s": RETRY_WINDOW_S,
            "retry_slack": RETRY_SLACK,
        },
    }

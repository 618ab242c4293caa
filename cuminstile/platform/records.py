"""Decode the store's records into the types of this package.

The field names of records are used in this module only. An invalid record raises
`InvalidRecordError`; the caller logs it and keeps its previous state.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import orjson

from ..gateway.membership import is_address
from ..gateway.model import (
    BatchSpec,
    EngineSpec,
    Limits,
    Manifest,
    Organisation,
    Route,
    RouteKind,
    ScalingSpec,
    Service,
    StageSpec,
    Target,
    Upstream,
)
from .fields import (
    flag_at,
    integer_at,
    integers_at,
    items_at,
    number_at,
    optional_integer_at,
    optional_number_at,
    text_at,
    texts_at,
)

MANIFEST_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
ROLLOUT_PREFIX = "rollout/"
"""Orders to move the traffic of a service to the version in `target`; the rest of the
key is the service."""
ROUTE_KINDS = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.ONCE,
    "streaming": RouteKind.STREAM,
}
LEAVING_BY_STATE = {"ready": False, "draining": True}
BYTES_PER_MB = 1_000_000


class InvalidRecordError(Exception):
    """A record is invalid; the text says why."""


def load_object(payload: bytes) -> dict[str, Any]:
    """Return the JSON object in a record."""
    try:
        value = orjson.loads(payload)
    except orjson.JSONDecodeError as error:
        raise InvalidRecordError(f"record is not JSON: {error}") from error
    if not isinstance(value, dict):
        raise InvalidRecordError("record is not a JSON object")
    return value


def refuse_on_type_errors(decode: Callable[[], Any]) -> Any:
    """Call `decode`; a missing or mistyped field raises `InvalidRecordError`."""
    try:
        return decode()
    except KeyError as error:
        raise InvalidRecordError(f"field {error} is missing or unknown") from error
    except (TypeError, ValueError, AttributeError, OverflowError) as error:
        raise InvalidRecordError(f"{type(error).__name__}: {error}") from error


def decode_manifest(payload: bytes) -> Manifest:
    """Return the manifest in a record.

    Raises
    ------
    InvalidRecordError
        If a field is missing or has another type.
    """
    raw = load_object(payload)
    manifest: Manifest = refuse_on_type_errors(lambda: manifest_of(raw))
    return manifest


def manifest_order(payload: bytes) -> tuple[int, ...]:
    """Return the version of a manifest, empty for other records of the operator."""
    try:
        raw = orjson.loads(payload)
    except orjson.JSONDecodeError:
        return ()
    version = raw.get("version") if isinstance(raw, dict) else None
    return (version,) if type(version) is int and "routes" in raw else ()


def manifest_of(raw: dict[str, Any]) -> Manifest:
    """Return a manifest; missing or mistyped fields raise Python's own errors."""
    services = [service_of(item) for item in items_at(raw, "services")]
    return Manifest(
        version=integer_at(raw, "version"),
        routes=tuple(route_of(item) for item in items_at(raw, "routes")),
        services={service.name: service for service in services},
        limits=limits_of(raw.get("limits") or {}),
        organisations=organisations_of(raw) if "tenants" in raw else None,
    )


def organisations_of(raw: dict[str, Any]) -> dict[str, Organisation]:
    """Return the organisations by their keys; one may have none.

    A list of organisations or keys that is null is an empty one, so that no key of an
    earlier version stays in force.
    """
    organisations: dict[str, Organisation] = {}
    if raw["tenants"] is None:
        return organisations
    for item in items_at(raw, "tenants"):
        priority = optional_integer_at(item, "priority")
        organisation = Organisation(text_at(item, "name"), priority)
        for key in texts_at(item, "api_keys"):
            organisations[key] = organisation
    return organisations


def route_of(raw: dict[str, Any]) -> Route:
    """Return one route, which names either one service or several with weights."""
    if raw.get("service") is not None:
        targets: tuple[Target, ...] = (Target(text_at(raw, "service"), 1.0),)
    else:
        targets = tuple(
            Target(text_at(item, "service"), number_at(item, "weight"))
            for item in items_at(raw, "backends")
        )
    kind = ROUTE_KINDS.get(text_at(raw, "kind"), RouteKind.ONCE)
    target_ms = number_at(raw, "target_latency_ms")
    gap_ms = optional_number_at(raw, "gap_aim_ms", 0.0)
    return Route(
        name=text_at(raw, "name"),
        host=text_at(raw, "host").lower(),
        prefix=text_at(raw, "path_prefix"),
        kind=kind,
        timeout_ms=number_at(raw, "timeout_ms"),
        target_ms=target_ms,
        priority=optional_integer_at(raw, "priority") or 0,
        targets=targets,
        max_attempts=optional_integer_at(raw, "max_attempts") or 1,
        stages=tuple(stage_of(item) for item in raw.get("stages") or ()),
        public=flag_at(raw, "public"),
        sticky=flag_at(raw, "sticky"),
        resumable=flag_at(raw, "resumable"),
        gap_ms=gap_ms,
        event_timeout_ms=event_timeout_ms(target_ms, gap_ms)
        if kind is RouteKind.STREAM
        else math.inf,
    )


def event_timeout_ms(target_ms: float, gap_ms: float) -> float:
    """Return the idle time after which callers abort a stream; see PROTOCOL.md."""
    return max(2_000.0, 4 * target_ms, 8 * gap_ms)


def stage_of(raw: dict[str, Any]) -> StageSpec:
    """Return one stage of a route."""
    return StageSpec(
        text_at(raw, "service"),
        tuple(integers_at(raw, "after")),
        int(raw.get("bytes") or 0),
    )


def service_of(raw: dict[str, Any]) -> Service:
    """Return one service."""
    engine = raw.get("engine")
    batch_fields = raw.get("pieces")
    scaling_fields = raw.get("autoscale")
    return Service(
        name=text_at(raw, "name"),
        max_connections=int(raw.get("max_connections") or 0),
        cold_start_ms=float(raw.get("cold_start_s") or 0.0) * 1000.0,
        cold_per_s=float(raw.get("cold_per_s") or 0.0),
        engine=EngineSpec(int(engine["slots"]), int(engine["kv_capacity"]))
        if engine
        else None,
        batch=batch_of(batch_fields) if batch_fields else None,
        scaling=scaling_of(scaling_fields) if scaling_fields else None,
    )


def scaling_of(raw: dict[str, Any]) -> ScalingSpec:
    """Return the bounds of how many upstreams are ordered."""
    least, most = integer_at(raw, "min"), integer_at(raw, "max")
    start_ms = number_at(raw, "boot_s") * 1000.0
    if not 0 <= least <= most or not 0.0 <= start_ms < math.inf:
        raise ValueError("autoscale needs 0 <= min <= max and boot_s >= 0")
    return ScalingSpec(least, most, start_ms)


def batch_of(raw: dict[str, Any]) -> BatchSpec:
    """Return the batch limits and costs of an upstream that runs work items."""
    return BatchSpec(
        slots=int(raw["slots"]),
        queue=int(raw["queue"]),
        batch=int(raw["batch"]),
        call_ms=float(raw["call_ms"]),
        item_ms=float(raw["item_ms"]),
        memory_bytes=int(float(raw["headroom_mb"]) * BYTES_PER_MB),
        result_ttl_ms=float(raw["handle_s"]) * 1000.0,
    )


def limits_of(raw: dict[str, Any]) -> Limits:
    """Return the limits for callers' requests."""
    default = Limits()
    return Limits(
        int(raw.get("max_header_bytes") or default.max_header_bytes),
        int(raw.get("max_body_bytes") or default.max_body_bytes),
        float(raw.get("header_timeout_ms") or default.header_timeout_ms),
        float(raw.get("idle_timeout_ms") or default.idle_timeout_ms),
    )


def decode_move_target(payload: bytes) -> str:
    """Return the version to which an order moves the traffic of a service.

    Raises
    ------
    RecordRefusedError
        If the record is invalid.
    """
    target = load_object(payload).get("target")
    if not isinstance(target, str) or not target:
        raise InvalidRecordError("target must be a version name")
    return target


def decode_upstream(upstream_id: str, payload: bytes) -> Upstream:
    """Return the upstream in a record.

    Raises
    ------
    RecordRefusedError
        If a field is missing or has another type, as in a record of another writer.
    """
    raw = load_object(payload)
    upstream: Upstream = refuse_on_type_errors(lambda: upstream_of(upstream_id, raw))
    return upstream


def without_sequence(payload: bytes) -> bytes:
    """Return an upstream's record without its number, which each heartbeat changes.

    A record that can't be read or written again, or whose number is missing or of
    another type, is returned as it is.
    """
    try:
        raw = orjson.loads(payload)
    except orjson.JSONDecodeError:
        return payload
    if not isinstance(raw, dict) or type(raw.get("seq")) is not int:
        return payload
    raw["seq"] = 0
    try:
        return orjson.dumps(raw, option=orjson.OPT_SORT_KEYS)
    except orjson.JSONEncodeError:
        # Deeper nesting can be read than written.
        return payload


def writing_order(payload: bytes) -> tuple[int, ...]:
    """Return the start of an upstream's process and the number of its record.

    The numbers start anew with each process. Empty if the record doesn't name both.
    """
    try:
        raw = orjson.loads(payload)
    except orjson.JSONDecodeError:
        return ()
    if not isinstance(raw, dict):
        return ()
    born, number = raw.get("born"), raw.get("seq")
    if type(born) is not int or type(number) is not int:
        return ()
    return (born, number)


def upstream_of(upstream_id: str, raw: dict[str, Any]) -> Upstream:
    """Return an upstream; missing or mistyped fields raise Python's own errors."""
    address = text_at(raw, "address")
    if not address.isascii() or not is_address(address):
        raise ValueError("address must be an IP address and a port")
    if not upstream_id.isascii() or not upstream_id.isprintable():
        raise ValueError("key must be printable ASCII")
    integer_at(raw, "seq")
    return Upstream(
        id=upstream_id,
        service=text_at(raw, "service"),
        address=address,
        data_centre=text_at(raw, "zone"),
        version=text_at(raw, "version"),
        slots=integer_at(raw, "slots"),
        leaving=LEAVING_BY_STATE[raw["state"]],
        cold_ms=float(number_at(raw, "cold_remaining_ms")),
        started_ms=integer_at(raw, "born") if "born" in raw else 0,
    )

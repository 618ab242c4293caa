"""Find what can never match or contradicts itself in a manifest. Does no I/O."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, fields
from enum import StrEnum
from typing import Any

from ..gateway.model import Manifest, Route, RouteKind, Service
from ..gateway.routing import ROUTE_PRIORITIES


class Severity(StrEnum):
    """Whether a problem keeps a manifest from being published."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True, slots=True)
class Problem:
    """One problem of a manifest.

    Parameters
    ----------
    place : str
        The entry, for example `route r-1`; empty for the whole manifest.
    code : str
        A short constant identifier of the kind of problem.
    message : str
        What is wrong, and what would be expected.
    """

    severity: Severity
    place: str
    code: str
    message: str

    def __str__(self) -> str:
        """Return the problem as one line."""
        place = f"{self.place}: " if self.place else ""
        return f"{self.severity}: {place}{self.message} [{self.code}]"


Check = Callable[[Manifest], Iterator[Problem]]


def find_problems(manifest: Manifest) -> tuple[Problem, ...]:
    """Return all problems of a manifest, errors first."""
    found = [problem for check in CHECKS for problem in check(manifest)]
    return tuple(errors_first(found))


def errors_first(problems: Iterable[Problem]) -> list[Problem]:
    """Return problems in their order, errors before warnings."""
    return sorted(problems, key=lambda one: one.severity is not Severity.ERROR)


def error(place: str, code: str, message: str) -> Problem:
    """Return a problem that keeps a manifest from being published."""
    return Problem(Severity.ERROR, place, code, message)


def warning(place: str, code: str, message: str) -> Problem:
    """Return a problem that an operator may accept."""
    return Problem(Severity.WARNING, place, code, message)


def place_of(route: Route) -> str:
    """Return how problems name a route."""
    return f"route {route.name}"


def check_services_of_routes(manifest: Manifest) -> Iterator[Problem]:
    """Find routes and stages whose service is not defined or has no capacity."""
    for route in manifest.routes:
        for target in route.targets:
            if target.service not in manifest.services:
                yield error(
                    place_of(route),
                    "unknown_service",
                    f"there is no service {target.service}",
                )
        for number, stage in enumerate(route.stages):
            service = manifest.services.get(stage.service)
            if service is None or service.batch is None:
                yield error(
                    place_of(route),
                    "unknown_service",
                    f"stage {number} needs a service {stage.service} that takes pieces",
                )
            if any(not 0 <= other < number for other in stage.after):
                yield error(
                    place_of(route),
                    "bad_order",
                    f"stage {number} may only come after stages before it",
                )


def check_hidden_routes(manifest: Manifest) -> Iterator[Problem]:
    """Find routes that no request reaches."""
    first: dict[tuple[str, str], Route] = {}
    for route in manifest.routes:
        if not is_prefix(route.prefix):
            yield error(
                place_of(route),
                "bad_prefix",
                f"prefix {route.prefix} must begin and end with a slash, and be ASCII"
                " without spaces, ? and #",
            )
        if not is_host(route.host):
            yield error(
                place_of(route),
                "bad_host",
                f"host {route.host} must be an ASCII name without a port",
            )
        other = first.setdefault((route.host, route.prefix), route)
        if other is not route:
            yield error(
                place_of(route),
                "hidden_route",
                f"route {other.name} has the same host and prefix",
            )
        if any(target.weight < 0 for target in route.targets):
            yield error(place_of(route), "out_of_range", "a weight must not be below 0")
        if sum(target.weight for target in route.targets) <= 0:
            yield error(
                place_of(route), "no_target", "a target with a weight is expected"
            )


def is_prefix(text: str) -> bool:
    """Return whether paths of requests can begin with a text."""
    is_path = text.startswith("/") and text.endswith("/") and text.isascii()
    return is_path and not any(mark in text for mark in "?# ")


def is_host(text: str) -> bool:
    """Return whether a text can be a request's host, which is read without port."""
    return text.isascii() and not any(mark in text for mark in ":/ ")


def check_route_names(manifest: Manifest) -> Iterator[Problem]:
    """Find routes with the same name, which logs and metrics can't tell apart."""
    for name, count in Counter(route.name for route in manifest.routes).items():
        if count > 1:
            yield warning(
                f"route {name}", "repeated_name", f"{count} routes have this name"
            )


def check_targets(manifest: Manifest) -> Iterator[Problem]:
    """Find targets that get no request."""
    for route in manifest.routes:
        for target in route.targets:
            if target.weight == 0:
                yield warning(
                    place_of(route),
                    "unused_target",
                    f"service {target.service} has no weight and gets no request",
                )


def check_unused_services(manifest: Manifest) -> Iterator[Problem]:
    """Find services that no route uses."""
    used = {target.service for route in manifest.routes for target in route.targets}
    used |= {stage.service for route in manifest.routes for stage in route.stages}
    for name in manifest.services:
        if name not in used:
            yield warning(f"service {name}", "unused_service", "no route uses it")


def check_keys(manifest: Manifest) -> Iterator[Problem]:
    """Find closed routes that no caller can use."""
    if manifest.organisations is None or manifest.organisations:
        return
    closed = [route for route in manifest.routes if not route.public]
    if closed:
        yield warning(
            "",
            "no_keys",
            f"no organisation holds a key: {len(closed)} closed routes answer 401",
        )


def check_times(manifest: Manifest) -> Iterator[Problem]:
    """Find times that contradict each other."""
    for route in manifest.routes:
        place = place_of(route)
        if route.target_ms > route.timeout_ms:
            yield warning(
                place,
                "target_over_timeout",
                f"target {route.target_ms:g} ms is longer than the timeout"
                f" {route.timeout_ms:g} ms",
            )
        if route.gap_ms > route.timeout_ms:
            yield warning(
                place,
                "gap_over_timeout",
                f"gap {route.gap_ms:g} ms is longer than the timeout"
                f" {route.timeout_ms:g} ms",
            )
        stages_ms = shortest_stages_ms(manifest, route)
        if stages_ms > route.timeout_ms:
            yield error(
                place,
                "stages_over_timeout",
                f"its stages alone take {stages_ms:g} ms, the timeout is"
                f" {route.timeout_ms:g} ms",
            )
        elif stages_ms > route.target_ms:
            yield warning(
                place,
                "stages_over_target",
                f"its stages alone take {stages_ms:g} ms, the target is"
                f" {route.target_ms:g} ms",
            )
    limits = manifest.limits
    if limits.header_timeout_ms > limits.idle_timeout_ms:
        yield warning(
            "limits",
            "header_over_idle",
            f"header timeout {limits.header_timeout_ms:g} ms is longer than the idle"
            f" timeout {limits.idle_timeout_ms:g} ms",
        )


def shortest_stages_ms(manifest: Manifest, route: Route) -> float:
    """Return the least time of a request's stages, each with one item, in ms."""
    ends: list[float] = []
    for stage in route.stages:
        service = manifest.services.get(stage.service)
        batch = service.batch if service is not None else None
        own_ms = batch.call_ms + batch.item_ms if batch is not None else 0.0
        before = (ends[number] for number in stage.after if 0 <= number < len(ends))
        ends.append(max(before, default=0.0) + own_ms)
    return max(ends, default=0.0)


def check_attempts(manifest: Manifest) -> Iterator[Problem]:
    """Find attempts that never happen."""
    for route in manifest.routes:
        place = place_of(route)
        if route.max_attempts > 1 and not route.repeatable:
            yield warning(
                place,
                "attempts_unused",
                f"{route.max_attempts} attempts are allowed, but its requests may run"
                " once",
            )
        if route.resumable and route.kind is not RouteKind.STREAM:
            yield warning(place, "resumable_unused", "only streams can be resumed")


def check_cold_limits(manifest: Manifest) -> Iterator[Problem]:
    """Find cold starts that nothing limits, and limits that never hold."""
    for service in manifest.services.values():
        yield from check_cold_limit(service)


def check_cold_limit(service: Service) -> Iterator[Problem]:
    """Find what contradicts itself in the cold start of one service."""
    place = f"service {service.name}"
    if service.cold_start_ms > 0 and service.cold_per_s <= 0:
        yield warning(place, "cold_unlimited", "it has cold starts without a rate")
    if service.cold_per_s > 0 and service.cold_start_ms <= 0:
        yield warning(place, "cold_unused", "it has a rate for cold starts but none")


def check_ranges(manifest: Manifest) -> Iterator[Problem]:
    """Find numbers that are too small or not finite."""
    for route in manifest.routes:
        yield from check_numbers(place_of(route), route)
        if route.priority >= ROUTE_PRIORITIES:
            yield warning(
                place_of(route),
                "priority_reduced",
                f"priority {route.priority} counts as {ROUTE_PRIORITIES - 1}",
            )
    for service in manifest.services.values():
        for part in (service, service.batch, service.engine):
            yield from check_numbers(f"service {service.name}", part)
    yield from check_numbers("limits", manifest.limits)
    for organisation in dict.fromkeys((manifest.organisations or {}).values()):
        yield from check_numbers(f"organisation {organisation.name}", organisation)


def check_numbers(place: str, part: Any) -> Iterator[Problem]:
    """Find numbers out of range in the fields of a data class, if there is one."""
    for field in fields(part) if part is not None else ():
        value = getattr(part, field.name)
        if type(value) not in (int, float) or field.name in UNBOUNDED:
            continue
        is_positive = field.name in POSITIVE
        if not 0 <= value < math.inf or (is_positive and value == 0):
            expected = "above 0" if is_positive else "0 or more"
            yield error(
                place,
                "out_of_range",
                f"{field.name} is {value:g}; a finite number, {expected}, is expected",
            )


def check_version(in_force: Manifest, manifest: Manifest) -> Iterator[Problem]:
    """Find a version that no VM takes because it has one that is as new."""
    if manifest.version <= in_force.version:
        yield error(
            "",
            "old_version",
            f"version {manifest.version} does not replace version {in_force.version}",
        )


UNBOUNDED = frozenset({"version", "event_timeout_ms"})
"""`event_timeout_ms` is derived, and infinite where callers wait for no events."""
POSITIVE = frozenset({"timeout_ms", "slots", "batch", "kv_tokens"})
"""Fields with which 0 lets no request through."""
CHECKS: tuple[Check, ...] = (
    check_services_of_routes,
    check_hidden_routes,
    check_route_names,
    check_targets,
    check_unused_services,
    check_keys,
    check_times,
    check_attempts,
    check_cold_limits,
    check_ranges,
)

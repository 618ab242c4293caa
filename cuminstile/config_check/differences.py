"""Tell in words what a manifest changes for callers. Does no I/O."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import fields, is_dataclass
from typing import Any

from ..gateway.model import Manifest, Route, StageSpec
from ..gateway.routing import find_route, make_index

DERIVED = frozenset({"event_timeout_ms"})
"""Fields that follow from others, whose changes are told."""


def describe_changes(old: Manifest, new: Manifest) -> tuple[str, ...]:
    """Return a line for each change between the manifest in force and a new one."""
    return (
        *route_changes(old, new),
        *service_changes(old, new),
        *key_changes(old, new),
        *(f"limits: {change}" for change in field_changes(old.limits, new.limits)),
    )


def route_changes(old: Manifest, new: Manifest) -> Iterator[str]:
    """Yield a line for each kind of request that is served differently."""
    before, after = by_match(old), by_match(new)
    for match in sorted({*before, *after}):
        requests = f"requests for {''.join(match)}"
        if match not in after:
            yield f"{requests}: {served_without(new, *match)}"
        elif match not in before:
            yield f"{requests}: {served_before(old, *match)}, {sent_to(after[match])}"
        else:
            changes = field_changes(before[match], after[match])
            yield from (f"{requests}: {change}" for change in changes)


def by_match(manifest: Manifest) -> dict[tuple[str, str], Route]:
    """Return the routes by what they match: host and prefix."""
    found: dict[tuple[str, str], Route] = {}
    for route in manifest.routes:
        found.setdefault((route.host, route.prefix), route)
    return found


def served_without(manifest: Manifest, host: str, prefix: str) -> str:
    """Return what happens to requests whose route is gone."""
    other = find_route(make_index(manifest), host, prefix)
    if other is None:
        return "not served any more (404)"
    return f"go to route {other.name} now, {sent_to(other)}"


def served_before(manifest: Manifest, host: str, prefix: str) -> str:
    """Return what happened to requests that have a route of their own now."""
    other = find_route(make_index(manifest), host, prefix)
    return "new" if other is None else f"no longer on route {other.name}"


def sent_to(route: Route) -> str:
    """Return where the requests of a route go."""
    return f"to {describe_targets(route)}"


def describe_targets(route: Route) -> str:
    """Return the services of a route with their shares of its requests."""
    weights: dict[str, float] = {}
    for target in route.targets:
        weights[target.service] = weights.get(target.service, 0.0) + target.weight
    total = sum(weights.values()) or 1.0
    shares = {name: weight / total for name, weight in sorted(weights.items())}
    used = (f"{name} ({share:.4%})" for name, share in shares.items() if share)
    return ", ".join(used).replace(".0000%", "%") or "no service"


def describe_stages(stages: tuple[StageSpec, ...]) -> str:
    """Return the stages of a route with their inputs and the sizes of their results."""
    known = (
        f"{number}: {stage.service} after {list(stage.after)}, {stage.result_bytes} B"
        for number, stage in enumerate(stages)
    )
    return "; ".join(known) or "none"


def service_changes(old: Manifest, new: Manifest) -> Iterator[str]:
    """Yield a line for each service that comes, goes or changes."""
    for name in sorted({*old.services, *new.services}):
        before, after = old.services.get(name), new.services.get(name)
        if before is None:
            yield f"service {name}: new"
        elif after is None:
            yield f"service {name}: gone"
        else:
            for change in field_changes(before, after):
                yield f"service {name}: {change}"


def key_changes(old: Manifest, new: Manifest) -> Iterator[str]:
    """Yield a line for each organisation whose keys change; keys are not shown."""
    if old.organisations is None and new.organisations is not None:
        yield "closed routes ask for a key now"
    if old.organisations is not None and new.organisations is None:
        yield "no route asks for a key, unless the settings of the VMs require keys"
    before, after = keys_by_name(old), keys_by_name(new)
    for name in sorted({*before, *after}):
        own, kept = before.get(name, set()), after.get(name, set())
        added, gone = len(kept - own), own - kept
        moved = sum(key in (new.organisations or {}) for key in gone)
        dropped = len(gone) - moved
        if added:
            yield f"organisation {name}: keys added: {added}"
        if moved:
            yield f"organisation {name}: keys that another holds now: {moved}"
        if dropped and new.organisations is not None:
            left = f"left: {len(kept)}"
            yield f"organisation {name}: keys that get 401 now: {dropped}, {left}"
    yield from priority_changes(old, new)


def priority_changes(old: Manifest, new: Manifest) -> Iterator[str]:
    """Yield a line for each organisation whose priority changes."""
    before, after = priorities_by_name(old), priorities_by_name(new)
    for name in sorted(before.keys() & after.keys()):
        if before[name] != after[name]:
            change = f"priority {before[name]} -> {after[name]}"
            yield f"organisation {name}: {change}"


def priorities_by_name(manifest: Manifest) -> Mapping[str, int | None]:
    """Return the priorities of the organisations that hold a key."""
    organisations = (manifest.organisations or {}).values()
    return {one.name: one.priority for one in organisations}


def keys_by_name(manifest: Manifest) -> Mapping[str, set[str]]:
    """Return the keys of each organisation."""
    found: dict[str, set[str]] = {}
    for key, organisation in (manifest.organisations or {}).items():
        found.setdefault(organisation.name, set()).add(key)
    return found


def field_changes(before: Any, after: Any) -> Iterator[str]:
    """Yield a line for each field of a data class that differs."""
    for item in fields(before):
        old, new = getattr(before, item.name), getattr(after, item.name)
        if old == new or item.name in DERIVED:
            continue
        if item.name == "targets":
            old, new = describe_targets(before), describe_targets(after)
        elif item.name == "stages":
            old, new = describe_stages(old), describe_stages(new)
        elif is_dataclass(old) and is_dataclass(new):
            yield from (f"{item.name}.{change}" for change in field_changes(old, new))
            continue
        if old != new:
            yield f"{item.name} {old} -> {new}"

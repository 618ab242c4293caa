"""Tell in words what a manifest changes for callers. Does no I/O."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import fields
from typing import Any

from ..gateway.model import Manifest, Route


def describe_changes(old: Manifest, new: Manifest) -> tuple[str, ...]:
    """Return a line for each change between the manifest in force and a new one."""
    return (
        *version_changes(old, new),
        *route_changes(old, new),
        *service_changes(old, new),
        *key_changes(old, new),
        *(f"limits: {change}" for change in field_changes(old.limits, new.limits)),
    )


def version_changes(old: Manifest, new: Manifest) -> Iterator[str]:
    """Yield a line if the new version would not replace the old one."""
    if new.version <= old.version:
        yield f"version {new.version} does not replace version {old.version}"


def route_changes(old: Manifest, new: Manifest) -> Iterator[str]:
    """Yield a line for each kind of request that is served differently."""
    before, after = by_match(old), by_match(new)
    for match in sorted({*before, *after}):
        requests = f"requests for {''.join(match)}"
        if match not in after:
            yield f"{requests}: {served_without(new, *match)}"
        elif match not in before:
            yield f"{requests}: new, to {describe_targets(after[match])}"
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
    others = [
        route
        for route in manifest.routes
        if route.host == host and prefix.startswith(route.prefix)
    ]
    if not others:
        return "not served any more (404)"
    other = max(others, key=lambda route: len(route.prefix))
    return f"go to route {other.name} now, to {describe_targets(other)}"


def describe_targets(route: Route) -> str:
    """Return the services of a route with their shares of its requests."""
    total = sum(target.weight for target in route.targets) or 1.0
    return ", ".join(
        f"{target.service} ({target.weight / total:.0%})" for target in route.targets
    )


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
        yield "no route asks for a key any more"
    before, after = keys_by_name(old), keys_by_name(new)
    for name in sorted({*before, *after}):
        added = after.get(name, set()) - before.get(name, set())
        dropped = before.get(name, set()) - after.get(name, set())
        if added:
            yield f"organisation {name}: {len(added)} keys are added"
        if dropped:
            left = len(after.get(name, set()))
            yield f"organisation {name}: {len(dropped)} keys get 401 now, {left} left"


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
        if old == new:
            continue
        if item.name == "targets":
            old, new = describe_targets(before), describe_targets(after)
        yield f"{item.name} {old} -> {new}"

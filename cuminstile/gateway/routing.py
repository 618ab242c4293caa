"""Find the route and the organisation of a request in a manifest."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .model import Manifest, Organisation, Route, Target


@dataclass(frozen=True)
class RouteIndex:
    """Routes of a manifest by host, the longest prefix first."""

    manifest: Manifest
    by_host: dict[str, tuple[Route, ...]]


def make_index(manifest: Manifest) -> RouteIndex:
    """Return an index over the routes of a manifest."""
    hosts: dict[str, list[Route]] = {}
    for route in manifest.routes:
        hosts.setdefault(route.host, []).append(route)
    by_host = {
        host: tuple(sorted(routes, key=lambda route: -len(route.prefix)))
        for host, routes in hosts.items()
    }
    return RouteIndex(manifest, by_host)


def find_route(index: RouteIndex, host: str, path: str) -> Route | None:
    """Return the route of the host with the longest prefix of the path, if any."""
    for route in index.by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def needs_key(manifest: Manifest, route: Route) -> bool:
    """Return whether a request on the route must have a key."""
    return manifest.organisations is not None and not route.public


def find_organisation(manifest: Manifest, key: str | None) -> Organisation | None:
    """Return the organisation of a key, if any."""
    if key is None or manifest.organisations is None:
        return None
    return manifest.organisations.get(key)


ROUTE_PRIORITIES = 10
"""Number of priorities for the routes of one organisation: 0 to 9."""


def priority_of(route: Route, organisation: Organisation | None) -> int:
    """Return the rank of a request; lower ranks go first.

    The priority of the organisation decides; the priority of the route orders the
    requests of organisations with the same priority.
    """
    own = min(ROUTE_PRIORITIES - 1, max(0, route.priority))
    if organisation is None or organisation.priority is None:
        return own
    return organisation.priority * ROUTE_PRIORITIES + own


def pick_target(targets: Iterable[Target], draw: float) -> str:
    """Return the service for a random number from 0 to 1, by the targets' weights."""
    known = tuple(targets)
    remaining_weight = draw * sum(target.weight for target in known)
    for target in known:
        remaining_weight -= target.weight
        if remaining_weight < 0:
            return target.service
    return known[-1].service

"""Check a whole set of operators' objects before it is published."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

from ..exceptions import Finding
from .files import load_directory
from .model import (
    AnyObject,
    DataCentre,
    DataCentreState,
    Organisation,
    Pipeline,
    Role,
    Stage,
    TrafficMove,
    Upstream,
    UpstreamVersion,
)
from .parse import PlacedObject, RawObject, parse
from .pipelines import check_pipeline

MAX_PORT = 65_535
T = TypeVar("T")


@dataclass(frozen=True)
class CheckedSet:
    """Hold the valid objects of a set and every finding about the whole."""

    objects: tuple[AnyObject, ...]
    findings: tuple[Finding, ...]


@dataclass(frozen=True)
class Catalogue:
    """Hold the objects of a set with their places.

    Parameters
    ----------
    names : dict of str to set of str
        The names of each kind, those of invalid objects included, so that one
        mistake gives one finding.
    """

    objects: tuple[PlacedObject, ...]
    names: dict[str, set[str]]

    def items(self, kind: type[T]) -> Iterator[tuple[PlacedObject, T]]:
        """Yield the objects of one class, each with its place."""
        for placed in self.objects:
            if isinstance(placed.item, kind):
                yield placed, placed.item

    def has(self, kind: str, name: str) -> bool:
        """Return whether there is an object of that kind and name."""
        return name in self.names.get(kind, ())


Check = Callable[[Catalogue], Iterator[Finding]]


def check_directory(directory: Path) -> CheckedSet:
    """Read and check the objects in a directory of files."""
    loaded = load_directory(directory)
    checked = check_objects(loaded.raws)
    if loaded.findings and not loaded.raws:
        return CheckedSet((), loaded.findings)
    return CheckedSet(checked.objects, loaded.findings + checked.findings)


def check_objects(raws: Iterable[RawObject]) -> CheckedSet:
    """Check every object by itself and all of them together."""
    parsed = parse(raws)
    names: dict[str, set[str]] = {}
    for kind, name in parsed.bad_names:
        names.setdefault(kind, set()).add(name)
    for placed in parsed.objects:
        names.setdefault(placed.item.kind, set()).add(placed.item.name)
    catalogue = Catalogue(parsed.objects, names)
    findings = [finding for check in CHECKS for finding in check(catalogue)]
    objects = tuple(placed.item for placed in parsed.objects)
    return CheckedSet(objects, (*parsed.findings, *findings))


def check_not_empty(catalogue: Catalogue) -> Iterator[Finding]:
    """Refuse a set without objects: it would take everything away."""
    if not catalogue.names:
        yield Finding("", "", "empty_set", "at least one object is expected")


def check_names(catalogue: Catalogue) -> Iterator[Finding]:
    """Refuse two objects of one kind with the same name."""
    seen: dict[tuple[str, str], PlacedObject] = {}
    for placed in catalogue.objects:
        item = placed.item
        first = seen.setdefault((item.kind, item.name), placed)
        if first is not placed:
            yield placed.finding(
                "name",
                "duplicate_name",
                f"{item.kind} {item.name} is defined in {describe(first)} already;"
                " names differ within a kind",
            )


def check_data_centres(catalogue: Catalogue) -> Iterator[Finding]:
    """Refuse a set that takes every data centre out."""
    every = tuple(catalogue.items(DataCentre))
    if every and all(item.state == DataCentreState.OUT for _, item in every):
        yield every[-1][0].finding(
            "state", "all_out", "every data centre is out; at least one must be in"
        )


def check_stages(catalogue: Catalogue) -> Iterator[Finding]:
    """Refuse a stage that nothing can serve."""
    served = {version.stage for _, version in catalogue.items(UpstreamVersion)}
    for placed, stage in catalogue.items(Stage):
        if stage.role == Role.ENGINE and not stage.streams:
            yield placed.finding(
                "streams", "engine_streams", "a stage of engines streams; set it true"
            )
        if stage.name not in served:
            yield placed.finding(
                "name",
                "no_version",
                f"no upstream_version serves stage {stage.name}; define one",
            )


def check_versions(catalogue: Catalogue) -> Iterator[Finding]:
    """Refuse a version of an unknown stage, and one that no upstream serves."""
    served = {
        name for _, upstream in catalogue.items(Upstream) for name in upstream.versions
    }
    for placed, version in catalogue.items(UpstreamVersion):
        yield from known(catalogue, placed, "stage", "stage", version.stage)
        if version.name not in served:
            yield placed.finding(
                "name",
                "no_upstream",
                f"no upstream lists version {version.name}; add it to one",
            )


def check_upstreams(catalogue: Catalogue) -> Iterator[Finding]:
    """Refuse unknown references, shared addresses and odd capacities."""
    addresses: dict[str, PlacedObject] = {}
    for placed, upstream in catalogue.items(Upstream):
        yield from known(
            catalogue, placed, "data_centre", "data_centre", upstream.data_centre
        )
        for index, version in enumerate(upstream.versions):
            path = f"versions[{index}]"
            yield from known(catalogue, placed, path, "upstream_version", version)
            if version in upstream.versions[:index]:
                yield placed.finding(
                    path, "duplicate_version", f"{version} is listed already; once"
                )
        if upstream.cold_capacity > upstream.capacity:
            yield placed.finding(
                "cold_capacity",
                "cold_capacity",
                f"{upstream.cold_capacity} is above capacity {upstream.capacity};"
                " at most that",
            )
        if not 1 <= int(upstream.address.rpartition(":")[2]) <= MAX_PORT:
            yield placed.finding(
                "address", "bad_port", f"a port from 1 to {MAX_PORT} is expected"
            )
        first = addresses.setdefault(upstream.address, placed)
        if first is not placed:
            yield placed.finding(
                "address",
                "duplicate_address",
                f"{upstream.address} belongs to upstream {first.item.name};"
                " each upstream has its own",
            )


def check_pipelines(catalogue: Catalogue) -> Iterator[Finding]:
    """Refuse pipelines whose steps don't fit together."""
    for placed, pipeline in catalogue.items(Pipeline):
        yield from check_pipeline(placed, pipeline)
        for index, step in enumerate(pipeline.steps):
            path = f"steps[{index}].stage"
            yield from known(catalogue, placed, path, "stage", step.stage)


def check_organisations(catalogue: Catalogue) -> Iterator[Finding]:
    """Refuse a caller's key that stands for two organisations."""
    owners: dict[str, PlacedObject] = {}
    for placed, organisation in catalogue.items(Organisation):
        for index, digest in enumerate(organisation.key_digests):
            first = owners.setdefault(digest, placed)
            if first is not placed:
                yield placed.finding(
                    f"key_digests[{index}]",
                    "shared_key",
                    f"organisation {first.item.name} has this key too;"
                    " each organisation needs keys of its own",
                )


def check_moves(catalogue: Catalogue) -> Iterator[Finding]:
    """Refuse moves that can't be made, and two of one stage at the same time."""
    stages = {
        version.name: version.stage for _, version in catalogue.items(UpstreamVersion)
    }
    moves = tuple(catalogue.items(TrafficMove))
    for index, (placed, move) in enumerate(moves):
        yield from known(catalogue, placed, "stage", "stage", move.stage)
        for path in ("from_version", "to_version"):
            name = getattr(move, path)
            yield from known(catalogue, placed, path, "upstream_version", name)
            if stages.get(name, move.stage) != move.stage:
                yield placed.finding(
                    path,
                    "wrong_stage",
                    f"{name} is a version of stage {stages[name]};"
                    f" a version of {move.stage} is expected",
                )
        if move.from_version == move.to_version:
            yield placed.finding(
                "to_version", "same_version", "another version than from_version"
            )
        if move.finish_by_ms <= move.start_at_ms:
            yield placed.finding(
                "finish_by_ms", "no_time", "a time after start_at_ms is expected"
            )
        yield from (
            placed.finding(
                "start_at_ms",
                "overlapping_moves",
                f"move {other.name} of stage {move.stage} is under way then;"
                " one move of a stage at a time",
            )
            for _, other in moves[:index]
            if overlap(move, other)
        )


def check_settled(catalogue: Catalogue) -> Iterator[Finding]:
    """Refuse versions of a stage of which no move says when they are used."""
    moves = tuple(item for _, item in catalogue.items(TrafficMove))
    for _, stage in catalogue.items(Stage):
        versions = [
            (placed, item)
            for placed, item in catalogue.items(UpstreamVersion)
            if item.stage == stage.name
        ]
        own = sorted(
            (move for move in moves if move.stage == stage.name),
            key=lambda move: (move.start_at_ms, move.name),
        )
        named = {name for move in own for name in (move.from_version, move.to_version)}
        if len(versions) > 1:
            yield from (
                placed.finding(
                    "name",
                    "ambiguous_version",
                    f"stage {stage.name} has several versions, and no traffic_move"
                    f" names {item.name}; take it out or publish a move",
                )
                for placed, item in versions
                if item.name not in named
            )


def check_move_order(catalogue: Catalogue) -> Iterator[Finding]:
    """Refuse a move from a version that no move before it can have left in use."""
    reached: dict[str, set[str]] = {}
    ordered = sorted(
        catalogue.items(TrafficMove),
        key=lambda pair: (pair[1].start_at_ms, pair[1].name),
    )
    for placed, move in ordered:
        earlier = reached.get(move.stage)
        if earlier is not None and move.from_version not in earlier:
            yield placed.finding(
                "from_version",
                "unreached_version",
                f"no earlier move of stage {move.stage} can leave"
                f" {move.from_version} in use; one of"
                f" {', '.join(sorted(earlier))} is expected",
            )
        reached.setdefault(move.stage, {move.from_version}).add(move.to_version)


def overlap(move: TrafficMove, other: TrafficMove) -> bool:
    """Return whether two moves of one stage share a moment."""
    return (
        move.stage == other.stage
        and move.start_at_ms < other.finish_by_ms
        and other.start_at_ms < move.finish_by_ms
    )


def known(
    catalogue: Catalogue, placed: PlacedObject, path: str, kind: str, name: str
) -> Iterator[Finding]:
    """Yield a finding if an object refers to one that the set doesn't have."""
    if catalogue.has(kind, name):
        return
    names = ", ".join(sorted(catalogue.names.get(kind, ()))) or "none"
    yield placed.finding(
        path, "unknown_reference", f"no {kind} is named {name}; there are: {names}"
    )


def describe(placed: PlacedObject) -> str:
    """Return the place of an object for a message."""
    return f"{placed.file}{placed.path}" or "this set"


CHECKS: tuple[Check, ...] = (
    check_not_empty,
    check_names,
    check_data_centres,
    check_stages,
    check_versions,
    check_upstreams,
    check_pipelines,
    check_organisations,
    check_moves,
    check_settled,
    check_move_order,
)

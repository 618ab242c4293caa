"""Check a complete set of operators' objects before it is published."""

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
from .parse import LocatedObject, RawObject, parse
from .pipelines import check_pipeline

MAX_PORT = 65_535
T = TypeVar("T")


@dataclass(frozen=True)
class CheckedSet:
    """The valid objects of a set and every finding about the set."""

    objects: tuple[AnyObject, ...]
    findings: tuple[Finding, ...]


@dataclass(frozen=True)
class Catalogue:
    """The valid objects of a set with their locations.

    Parameters
    ----------
    names : dict of str to set of str
        The names of each kind. They include those of invalid objects, so that a
        reference to an invalid object gives no second finding.
    """

    objects: tuple[LocatedObject, ...]
    names: dict[str, set[str]]

    def items(self, kind: type[T]) -> Iterator[tuple[LocatedObject, T]]:
        """Yield the objects of one class, each with its location."""
        for located in self.objects:
            if isinstance(located.item, kind):
                yield located, located.item

    def has(self, kind: str, name: str) -> bool:
        """Return whether there is an object of that kind and name."""
        return name in self.names.get(kind, ())


Check = Callable[[Catalogue], Iterator[Finding]]


def check_directory(directory: Path) -> CheckedSet:
    """Read and check the objects in the files of a directory."""
    loaded = load_directory(directory)
    checked = check_objects(loaded.raws)
    if loaded.findings and not loaded.raws:
        return CheckedSet((), loaded.findings)
    return CheckedSet(checked.objects, loaded.findings + checked.findings)


def check_objects(raws: Iterable[RawObject]) -> CheckedSet:
    """Check each object separately and then the complete set."""
    parsed = parse(raws)
    names: dict[str, set[str]] = {}
    for kind, name in parsed.invalid_names:
        names.setdefault(kind, set()).add(name)
    for located in parsed.objects:
        names.setdefault(located.item.kind, set()).add(located.item.name)
    catalogue = Catalogue(parsed.objects, names)
    findings = [finding for check in CHECKS for finding in check(catalogue)]
    objects = tuple(located.item for located in parsed.objects)
    return CheckedSet(objects, (*parsed.findings, *findings))


def check_not_empty(catalogue: Catalogue) -> Iterator[Finding]:
    """Refuse an empty set, because publishing it would remove every object."""
    if not catalogue.names:
        yield Finding("", "", "empty_set", "at least one object is expected")


def check_names(catalogue: Catalogue) -> Iterator[Finding]:
    """Refuse objects of the same kind with the same name."""
    seen: dict[tuple[str, str], LocatedObject] = {}
    for located in catalogue.objects:
        item = located.item
        first = seen.setdefault((item.kind, item.name), located)
        if first is not located:
            yield located.finding(
                "name",
                "duplicate_name",
                f"{item.kind} {item.name} is already defined in"
                f" {describe_location(first)}; names must be unique within a kind",
            )


def check_data_centres(catalogue: Catalogue) -> Iterator[Finding]:
    """Refuse a set that takes every data centre out."""
    every = tuple(catalogue.items(DataCentre))
    if every and all(item.state == DataCentreState.OUT for _, item in every):
        yield every[-1][0].finding(
            "state", "all_out", "every data centre is out; at least one must be in"
        )


def check_stages(catalogue: Catalogue) -> Iterator[Finding]:
    """Refuse a stage without a version, and an engine stage that does not stream."""
    served = {version.stage for _, version in catalogue.items(UpstreamVersion)}
    for located, stage in catalogue.items(Stage):
        if stage.role == Role.ENGINE and not stage.streams:
            yield located.finding(
                "streams",
                "engine_streams",
                "a stage with role engine must stream; set streams to true",
            )
        if stage.name not in served:
            yield located.finding(
                "name",
                "no_version",
                f"no upstream_version serves stage {stage.name}; define one",
            )


def check_versions(catalogue: Catalogue) -> Iterator[Finding]:
    """Refuse a version of an unknown stage and a version that no upstream serves."""
    served = {
        name for _, upstream in catalogue.items(Upstream) for name in upstream.versions
    }
    for located, version in catalogue.items(UpstreamVersion):
        yield from check_reference(catalogue, located, "stage", "stage", version.stage)
        if version.name not in served:
            yield located.finding(
                "name",
                "no_upstream",
                f"no upstream lists version {version.name}; add it to one",
            )


def check_upstreams(catalogue: Catalogue) -> Iterator[Finding]:
    """Refuse unknown references, bad or duplicate addresses and bad capacities."""
    addresses: dict[str, LocatedObject] = {}
    for located, upstream in catalogue.items(Upstream):
        yield from check_reference(
            catalogue, located, "data_centre", "data_centre", upstream.data_centre
        )
        for index, version in enumerate(upstream.versions):
            path = f"versions[{index}]"
            yield from check_reference(
                catalogue, located, path, "upstream_version", version
            )
            if version in upstream.versions[:index]:
                yield located.finding(
                    path,
                    "duplicate_version",
                    f"{version} is already listed; list each version once",
                )
        if upstream.cold_capacity > upstream.capacity:
            yield located.finding(
                "cold_capacity",
                "cold_capacity",
                f"{upstream.cold_capacity} is greater than capacity"
                f" {upstream.capacity}, which is the maximum",
            )
        if not 1 <= int(upstream.address.rpartition(":")[2]) <= MAX_PORT:
            yield located.finding(
                "address", "bad_port", f"a port from 1 to {MAX_PORT} is expected"
            )
        first = addresses.setdefault(upstream.address, located)
        if first is not located:
            yield located.finding(
                "address",
                "duplicate_address",
                f"{upstream.address} is already the address of upstream"
                f" {first.item.name}; each upstream needs its own",
            )


def check_pipelines(catalogue: Catalogue) -> Iterator[Finding]:
    """Refuse pipelines with inconsistent steps or unknown stages."""
    for located, pipeline in catalogue.items(Pipeline):
        yield from check_pipeline(located, pipeline)
        for index, step in enumerate(pipeline.steps):
            path = f"steps[{index}].stage"
            yield from check_reference(catalogue, located, path, "stage", step.stage)


def check_organisations(catalogue: Catalogue) -> Iterator[Finding]:
    """Refuse a caller's key that belongs to two organisations."""
    owners: dict[str, LocatedObject] = {}
    for located, organisation in catalogue.items(Organisation):
        for index, digest in enumerate(organisation.key_digests):
            first = owners.setdefault(digest, located)
            if first is not located:
                yield located.finding(
                    f"key_digests[{index}]",
                    "shared_key",
                    f"organisation {first.item.name} has the same key;"
                    " each organisation needs its own keys",
                )


def check_moves(catalogue: Catalogue) -> Iterator[Finding]:
    """Refuse invalid moves and overlapping moves of the same stage."""
    stages = {
        version.name: version.stage for _, version in catalogue.items(UpstreamVersion)
    }
    moves = tuple(catalogue.items(TrafficMove))
    for index, (located, move) in enumerate(moves):
        yield from check_reference(catalogue, located, "stage", "stage", move.stage)
        for path in ("from_version", "to_version"):
            name = getattr(move, path)
            yield from check_reference(
                catalogue, located, path, "upstream_version", name
            )
            if stages.get(name, move.stage) != move.stage:
                yield located.finding(
                    path,
                    "wrong_stage",
                    f"{name} is a version of stage {stages[name]};"
                    f" a version of {move.stage} is expected",
                )
        if move.from_version == move.to_version:
            yield located.finding(
                "to_version",
                "same_version",
                "a version other than from_version is expected",
            )
        if move.finish_by_ms <= move.start_at_ms:
            yield located.finding(
                "finish_by_ms", "no_time", "a time after start_at_ms is expected"
            )
        yield from (
            located.finding(
                "start_at_ms",
                "overlapping_moves",
                f"it overlaps with move {other.name} of stage {move.stage};"
                " a stage can have only one move at a time",
            )
            for _, other in moves[:index]
            if overlaps(move, other)
        )


def check_ambiguous_versions(catalogue: Catalogue) -> Iterator[Finding]:
    """Refuse several versions of a stage if a version is not named by any move.

    Without a move it is not defined when the version is used.
    """
    moves = tuple(item for _, item in catalogue.items(TrafficMove))
    for _, stage in catalogue.items(Stage):
        versions = [
            (located, item)
            for located, item in catalogue.items(UpstreamVersion)
            if item.stage == stage.name
        ]
        own = sorted(
            (move for move in moves if move.stage == stage.name),
            key=lambda move: (move.start_at_ms, move.name),
        )
        named = {name for move in own for name in (move.from_version, move.to_version)}
        if len(versions) > 1:
            yield from (
                located.finding(
                    "name",
                    "ambiguous_version",
                    f"stage {stage.name} has several versions, and no traffic_move"
                    f" names {item.name}; remove it or publish a move",
                )
                for located, item in versions
                if item.name not in named
            )


def check_move_order(catalogue: Catalogue) -> Iterator[Finding]:
    """Refuse a move from a version that no earlier move can have left in use."""
    reached: dict[str, set[str]] = {}
    ordered = sorted(
        catalogue.items(TrafficMove),
        key=lambda pair: (pair[1].start_at_ms, pair[1].name),
    )
    for located, move in ordered:
        earlier = reached.get(move.stage)
        if earlier is not None and move.from_version not in earlier:
            yield located.finding(
                "from_version",
                "unreached_version",
                f"no earlier move of stage {move.stage} can leave"
                f" {move.from_version} in use; one of"
                f" {', '.join(sorted(earlier))} is expected",
            )
        reached.setdefault(move.stage, {move.from_version}).add(move.to_version)


def overlaps(move: TrafficMove, other: TrafficMove) -> bool:
    """Return whether two moves are of the same stage and overlap in time."""
    return (
        move.stage == other.stage
        and move.start_at_ms < other.finish_by_ms
        and other.start_at_ms < move.finish_by_ms
    )


def check_reference(
    catalogue: Catalogue, located: LocatedObject, path: str, kind: str, name: str
) -> Iterator[Finding]:
    """Yield a finding if an object refers to an object that is not in the set."""
    if catalogue.has(kind, name):
        return
    names = ", ".join(sorted(catalogue.names.get(kind, ()))) or "none"
    yield located.finding(
        path, "unknown_reference", f"there is no {kind} {name}; defined are: {names}"
    )


def describe_location(located: LocatedObject) -> str:
    """Return the location of an object for a message."""
    return f"{located.file}{located.path}" or "this set"


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
    check_ambiguous_versions,
    check_move_order,
)

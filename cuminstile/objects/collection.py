"""Index a complete set of operators' objects by kind and name."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import TypeVar

from .model import (
    AnyObject,
    DataCentre,
    Organisation,
    Pipeline,
    Stage,
    TrafficMove,
    Upstream,
    UpstreamVersion,
)

T = TypeVar(
    "T",
    DataCentre,
    Stage,
    UpstreamVersion,
    Upstream,
    Pipeline,
    Organisation,
    TrafficMove,
)


@dataclass(frozen=True)
class ObjectSet:
    """The objects of one configuration, indexed by kind and name.

    Parameters
    ----------
    organisations_by_digest : mapping of str to Organisation
        The organisation of each key, by the key's SHA-256 in hexadecimal.
    upstreams_by_version : mapping of str to tuple of Upstream
        The upstreams that serve each version, by the version's name.
    versions_by_stage : mapping of str to tuple of UpstreamVersion
        The versions of each stage, by the stage's name.
    """

    data_centres: Mapping[str, DataCentre] = field(default_factory=dict)
    stages: Mapping[str, Stage] = field(default_factory=dict)
    versions: Mapping[str, UpstreamVersion] = field(default_factory=dict)
    upstreams: Mapping[str, Upstream] = field(default_factory=dict)
    pipelines: Mapping[str, Pipeline] = field(default_factory=dict)
    organisations: Mapping[str, Organisation] = field(default_factory=dict)
    moves: Mapping[str, TrafficMove] = field(default_factory=dict)
    organisations_by_digest: Mapping[str, Organisation] = field(default_factory=dict)
    upstreams_by_version: Mapping[str, tuple[Upstream, ...]] = field(
        default_factory=dict
    )
    versions_by_stage: Mapping[str, tuple[UpstreamVersion, ...]] = field(
        default_factory=dict
    )


def of_kind(objects: Iterable[AnyObject], kind: type[T]) -> dict[str, T]:
    """Return the objects of one class by name."""
    return {item.name: item for item in objects if isinstance(item, kind)}


def index_objects(objects: Iterable[AnyObject]) -> ObjectSet:
    """Return the index of a checked set of objects."""
    every = tuple(objects)
    organisations = of_kind(every, Organisation)
    upstreams = of_kind(every, Upstream)
    versions = of_kind(every, UpstreamVersion)
    upstreams_by_version: dict[str, tuple[Upstream, ...]] = {}
    for upstream in upstreams.values():
        for name in upstream.versions:
            upstreams_by_version[name] = (*upstreams_by_version.get(name, ()), upstream)
    versions_by_stage: dict[str, tuple[UpstreamVersion, ...]] = {}
    for version in versions.values():
        versions_by_stage[version.stage] = (
            *versions_by_stage.get(version.stage, ()),
            version,
        )
    return ObjectSet(
        data_centres=of_kind(every, DataCentre),
        stages=of_kind(every, Stage),
        versions=versions,
        upstreams=upstreams,
        pipelines=of_kind(every, Pipeline),
        organisations=organisations,
        moves=of_kind(every, TrafficMove),
        organisations_by_digest={
            digest: organisation
            for organisation in organisations.values()
            for digest in organisation.key_digests
        },
        upstreams_by_version=upstreams_by_version,
        versions_by_stage=versions_by_stage,
    )

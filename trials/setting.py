"""Settings of the VMs and operators' objects for trials."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from cuminstile.objects.collection import index_objects
from cuminstile.objects.model import (
    AnyObject,
    DataCentre,
    Pipeline,
    Role,
    Stage,
    Step,
    TrafficMove,
    Upstream,
    UpstreamVersion,
)
from cuminstile.records.config_record import make_record
from cuminstile.records.configuration import Configuration
from cuminstile.runtime import Vm
from cuminstile.settings import Settings

OLD, NEW = "generate-1", "generate-2"
ROUTES = ("chat", "draft", "quote")


def publish(vm: Vm, objects: tuple[AnyObject, ...], version: int = 0) -> None:
    """Set the configuration of one VM directly, without a log."""
    record = make_record(-1, "trial", objects)
    vm.configuration.current = Configuration(version, index_objects(objects), record)


def make_settings(name: str, data_centre: str, **fields: Any) -> Settings:
    """Return settings of a VM that opens no port."""
    return Settings(
        name=name,
        data_centre=data_centre,
        host="127.0.0.1",
        caller_port=1,
        operator_port=2,
        vm_port=3,
        platform="127.0.0.1:4",
        operator_keys=("a-key-for-operators-1",),
        vm_keys=("a-key-for-the-vms-1",),
        **fields,
    )


def objects_with(
    data_centres: int, routes: Sequence[str], moves: Sequence[TrafficMove]
) -> tuple[AnyObject, ...]:
    """Return one stage with two versions, used by several pipelines."""
    centres = [f"dc{index}" for index in range(data_centres)]
    objects: list[AnyObject] = [
        DataCentre(kind="data_centre", name=name, region="r") for name in centres
    ]
    objects.append(Stage(kind="stage", name="generate", role=Role.ENGINE, streams=True))
    for version in (OLD, NEW):
        objects.append(
            UpstreamVersion(kind="upstream_version", name=version, stage="generate")
        )
    for index, name in enumerate(centres):
        objects.append(
            Upstream(
                kind="upstream",
                name=f"engine-{name}",
                data_centre=name,
                address=f"127.0.0.1:{9000 + index}",
                versions=(OLD, NEW),
            )
        )
    step = Step(name="generate", stage="generate")
    for name in routes:
        objects.append(Pipeline(kind="pipeline", name=name, steps=(step,)))
    return (*objects, *moves)

"""Small sets of operators' objects."""

from cuminstile.objects.model import (
    AnyObject,
    DataCentre,
    Organisation,
    Pipeline,
    Role,
    Stage,
    Step,
    Upstream,
    UpstreamVersion,
)

DIGEST = "0" * 64


def single_stage_objects(addresses: dict[str, str], repeatable: bool = True) -> tuple:
    """Return a pipeline with one streaming stage, and its upstreams.

    Parameters
    ----------
    addresses : dict of str to str
        The address of each upstream by its name. The last letter of the name is the
        data centre.
    """
    centres = sorted({name[-1] for name in addresses})
    objects: list[AnyObject] = [
        DataCentre(kind="data_centre", name=name, region="r") for name in centres
    ]
    objects += [
        Stage(
            kind="stage",
            name="generate",
            role=Role.ENGINE,
            repeatable=repeatable,
            streams=True,
        ),
        UpstreamVersion(kind="upstream_version", name="generate-1", stage="generate"),
        Pipeline(
            kind="pipeline", name="chat", steps=(Step(name="g", stage="generate"),)
        ),
        Organisation(kind="organisation", name="org", key_digests=(DIGEST,)),
    ]
    objects += [
        Upstream(
            kind="upstream",
            name=name,
            data_centre=name[-1],
            address=address,
            versions=("generate-1",),
        )
        for name, address in addresses.items()
    ]
    return tuple(objects)

"""Check the example objects and settings."""

import hashlib
from pathlib import Path

import pytest

from cuminstile.objects.checks import check_directory
from cuminstile.objects.collection import index_objects
from cuminstile.settings import load_settings
from standins.arrangement import caller_key, load_objects, objects_in_data_centres

EXAMPLES = Path(__file__).parent.parent / "examples"
FIRMS = ("falrendszer", "inzuki")
SMALL_VMS = ("vac-1", "cegled-1")


@pytest.mark.parametrize("firm", FIRMS)
def test_an_example_set_has_no_findings(firm: str) -> None:
    found = check_directory(EXAMPLES / firm)
    assert found.findings == ()
    objects = index_objects(found.objects)
    assert len(objects.organisations) == 5
    assert any(len(item.steps) == 4 for item in objects.pipelines.values())


def test_the_example_keys_belong_to_their_organisations() -> None:
    for firm in FIRMS:
        objects = index_objects(load_objects(EXAMPLES / firm))
        for name in objects.organisations:
            digest = hashlib.sha256(caller_key(name).encode()).hexdigest()
            assert objects.organisations_by_digest[digest].name == name


def test_two_data_centres_of_an_example_serve_every_stage() -> None:
    kept = objects_in_data_centres(
        load_objects(EXAMPLES / "falrendszer"), {"budapest", "budaors"}
    )
    objects = index_objects(kept)
    assert set(objects.versions_by_stage) == set(objects.stages)
    assert set(objects.data_centres) == {"budapest", "budaors"}


def test_the_small_example_can_be_published_and_its_vms_started() -> None:
    small = EXAMPLES / "small"
    assert check_directory(small / "objects").findings == ()
    names = [load_settings(small / f"{name}.json").name for name in SMALL_VMS]
    assert names == list(SMALL_VMS)

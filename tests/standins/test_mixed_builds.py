"""Test the parts of standins.mixed_builds that start no processes."""

import json
from pathlib import Path

from cuminstile.events import Event
from cuminstile.objects.collection import index_objects
from standins.fleet import Fleet, VmPorts
from standins.mixed_builds import (
    REFUSED_EVENTS,
    VM_COUNTS,
    Report,
    arrange,
    change_weights,
    environment_of,
    refused_events,
)


def fleet_in(folder: Path) -> Fleet:
    fleet = Fleet(arrange(), folder)
    fleet.objects = fleet.arrangement.objects
    fleet.vms = {"a-1": VmPorts(1, 2, 3), "b-1": VmPorts(4, 5, 6)}
    for path in fleet.logs():
        path.write_text(json.dumps({"event": "vm_started"}) + "\n")
    return fleet


def test_a_refused_message_in_a_log_is_counted(tmp_path: Path) -> None:
    fleet = fleet_in(tmp_path)
    assert refused_events(fleet) == {}
    with fleet.logs()[1].open("a") as log:
        log.write(json.dumps({"event": "peer_message_refused", "peer": "a-1"}) + "\n")
    assert refused_events(fleet) == {"b-1 peer_message_refused": 1}


def test_each_refusal_that_is_searched_for_is_an_event() -> None:
    assert set(REFUSED_EVENTS) <= {event.name.lower() for event in Event}


def test_a_failed_check_is_recorded() -> None:
    report = Report()
    report.check("passes", True)
    report.check("fails", False)
    assert report.failed == ["fails"]


def test_a_program_runs_from_the_checkout_alone() -> None:
    environment = environment_of(Path("/a/checkout"))
    assert environment["PYTHONPATH"] == "/a/checkout"
    assert environment["PYTHONSAFEPATH"] == "1"


def test_changed_weights_are_another_set_of_objects(tmp_path: Path) -> None:
    fleet = fleet_in(tmp_path)
    before = fleet.objects
    change_weights(fleet, 7)
    assert fleet.objects != before
    assert {
        org.weight for org in index_objects(fleet.objects).organisations.values()
    } == {7}
    assert {plan.data_centre for plan in fleet.arrangement.vms} == set(VM_COUNTS)

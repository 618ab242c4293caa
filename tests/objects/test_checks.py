"""Test cuminstile.objects.checks and cuminstile.objects.files."""

import copy
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cuminstile.objects.checks import check_directory, check_objects
from cuminstile.objects.files import raw_objects
from cuminstile.records.config_record import make_record, read_objects
from tests.objects.examples import GOOD_SET

Edit = Callable[[dict[str, Any]], object]


def found(objects: list[Any]) -> set[tuple[str, str]]:
    findings = check_objects(raw_objects(objects)).findings
    assert all(finding.message for finding in findings)
    return {(finding.path, finding.code) for finding in findings}


def edited(name: str, edit: Edit) -> list[Any]:
    objects = copy.deepcopy(GOOD_SET)
    edit(next(item for item in objects if item["name"] == name))
    return objects


def index_of(name: str) -> int:
    return next(i for i, item in enumerate(GOOD_SET) if item["name"] == name)


def test_the_valid_set_has_no_findings() -> None:
    checked = check_objects(raw_objects(GOOD_SET))
    assert checked.findings == ()
    assert len(checked.objects) == len(GOOD_SET)


@pytest.mark.parametrize(
    ("name", "edit", "path", "code"),
    [
        ("dc1", lambda o: o.update(state="gone"), "state", "enum"),
        ("dc1", lambda o: o.update(x=1), "x", "unexpected_keyword_argument"),
        ("dc1", lambda o: o.pop("kind"), "kind", "union_tag_not_found"),
        ("dc1", lambda o: o.update(kind="zone"), "kind", "union_tag_invalid"),
        ("dc1", lambda o: o.update(state="out"), "state", "all_out"),
        ("draft", lambda o: o.update(streams=False), "streams", "engine_streams"),
        ("draft-2", lambda o: o.update(stage="x"), "stage", "unknown_reference"),
        ("engine1", lambda o: o.update(data_centre="x"), "data_centre",
         "unknown_reference"),
        ("engine1", lambda o: o.update(versions=["draft-1", "x"]), "versions[1]",
         "unknown_reference"),
        ("engine1", lambda o: o.update(versions=["draft-1"] * 2), "versions[1]",
         "duplicate_version"),
        ("engine1", lambda o: o.update(cold_capacity=9), "cold_capacity",
         "cold_capacity"),
        ("engine1", lambda o: o.update(address="127.0.0.1:0"), "address", "bad_port"),
        ("engine2", lambda o: o.update(address="127.0.0.1:9001"), "address",
         "duplicate_address"),
        ("contract", lambda o: o["steps"][1].update(stage="x"), "steps[1].stage",
         "unknown_reference"),
        ("contract", lambda o: o["steps"][1].update(needs=["x"]), "steps[1].needs[0]",
         "unknown_reference"),
        ("contract", lambda o: o["steps"][0].update(needs=["write"]), "steps", "cycle"),
        ("contract", lambda o: o["steps"][1].update(name="embed"), "steps[1].name",
         "duplicate_name"),
        ("contract", lambda o: o.update(deadline_ms=1), "deadline_ms",
         "impossible_deadline"),
        ("contract", lambda o: o.update(deadline_ms=700_000), "deadline_ms",
         "impossible_deadline"),
        ("north", lambda o: o.update(key_digests=["b" * 64]), "key_digests[0]",
         "shared_key"),
        ("to-2", lambda o: o.update(stage="x"), "stage", "unknown_reference"),
        ("to-2", lambda o: o.update(to_version="x"), "to_version",
         "unknown_reference"),
        ("to-2", lambda o: o.update(to_version="embed-1"), "to_version",
         "wrong_stage"),
        ("to-2", lambda o: o.update(to_version="draft-1"), "to_version",
         "same_version"),
        ("to-2", lambda o: o.update(finish_by_ms=1_000), "finish_by_ms", "no_time"),
        ("back", lambda o: o.update(start_at_ms=1_500), "start_at_ms",
         "overlapping_moves"),
        ("embed-1", lambda o: o.update(stage="draft"), "name", "ambiguous_version"),
    ],
)  # fmt: skip
def test_each_mistake_is_reported_with_its_path(
    name: str, edit: Edit, path: str, code: str
) -> None:
    assert (f"[{index_of(name)}].{path}", code) in found(edited(name, edit))


def test_move_from_a_version_that_no_earlier_move_leaves_in_use_is_reported() -> None:
    third = {"kind": "upstream_version", "name": "draft-3", "stage": "draft"}
    objects = [*edited("back", lambda item: item.update(from_version="draft-3")), third]
    place = f"[{index_of('back')}].from_version"
    assert (place, "unreached_version") in found(objects)


def test_several_versions_without_a_move_are_reported() -> None:
    objects = [item for item in GOOD_SET if item["kind"] != "traffic_move"]
    assert found(objects) == {
        (f"[{index_of(name)}].name", "ambiguous_version")
        for name in ("draft-1", "draft-2")
    }


def test_unserved_stages_and_versions_are_reported() -> None:
    objects = [item for item in GOOD_SET if item["kind"] != "upstream"]
    assert (f"[{index_of('draft-1')}].name", "no_upstream") in found(objects)
    objects = [item for item in GOOD_SET if item["kind"] != "upstream_version"]
    assert (f"[{index_of('draft')}].name", "no_version") in found(objects)


def test_duplicate_names_within_a_kind_are_reported() -> None:
    objects = [*GOOD_SET, GOOD_SET[0]]
    assert found(objects) == {(f"[{len(GOOD_SET)}].name", "duplicate_name")}


def test_an_invalid_object_causes_no_findings_in_other_objects() -> None:
    objects = edited("draft", lambda item: item.update(role="x"))
    assert found(objects) == {(f"[{index_of('draft')}].role", "enum")}


def test_an_empty_set_is_refused() -> None:
    assert found([]) == {("", "empty_set")}


def test_the_findings_of_all_files_are_reported_together(tmp_path: Path) -> None:
    (tmp_path / "sub").mkdir()
    (tmp_path / "a.json").write_text(json.dumps(GOOD_SET[0] | {"state": 3}))
    (tmp_path / "b.json").write_text("[{")
    (tmp_path / "c.json").write_bytes(b"\xff")
    (tmp_path / "d.json").write_text('{"kind": "stage", "kind": "stage"}')
    (tmp_path / "sub" / "e.json").write_text(json.dumps(GOOD_SET[1:]))
    findings = check_directory(tmp_path).findings
    assert [(Path(item.file).name, item.path, item.code) for item in findings] == [
        ("b.json", "", "unreadable"),
        ("c.json", "", "unreadable"),
        ("d.json", "", "unreadable"),
        ("a.json", "state", "enum"),
    ]
    assert str(findings[-1]).startswith(f"{tmp_path}/a.json:state: ")


def test_a_directory_without_files_is_refused(tmp_path: Path) -> None:
    assert [item.code for item in check_directory(tmp_path).findings] == ["no_files"]
    missing = check_directory(tmp_path / "x").findings
    assert [item.code for item in missing] == ["no_directory"]


ANYTHING = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)
FIELDS = sorted({name for item in GOOD_SET for name in item})


@settings(max_examples=300, deadline=None)
@given(
    index=st.integers(0, len(GOOD_SET) - 1),
    name=st.sampled_from(FIELDS),
    value=ANYTHING | st.sampled_from([item["name"] for item in GOOD_SET]),
)
def test_any_value_of_a_field_gives_findings_or_a_valid_set(
    index: int, name: str, value: Any
) -> None:
    objects = copy.deepcopy(GOOD_SET)
    objects[index][name] = value
    checked = check_objects(raw_objects(objects))
    assert checked.findings or len(checked.objects) == len(GOOD_SET)
    if checked.objects and not checked.findings:
        record = make_record(-1, "n", checked.objects)
        assert set(read_objects(record, None)) == set(checked.objects)


@settings(max_examples=100, deadline=None)
@given(ANYTHING)
def test_arbitrary_data_gives_findings(data: Any) -> None:
    assert check_objects(raw_objects([data])).findings

"""Test what is found in a manifest, and what it changes, without any VM."""

import copy
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from cuminstile.platform.check_config import check_config, read_manifest
from tests.platform.site import KEY, make_manifest, make_route, make_service

Change = Callable[[dict[str, Any]], Any]


def run(
    capsys: pytest.CaptureFixture[str], path: Path, **options: Any
) -> tuple[int, str]:
    """Run the command; return its exit status and what it printed."""
    with pytest.raises(SystemExit) as caught:
        check_config(str(path), **options)
    return int(caught.value.code or 0), capsys.readouterr().out


def write(folder: Path, manifest: object, name: str = "manifest.json") -> Path:
    path = folder / name
    path.write_text(json.dumps(manifest))
    return path


def add_route(kind: str = "safe", **fields: Any) -> Change:
    """Return a change that adds a route, by default a sound one."""
    route = {**make_route("more", kind, "desk"), **fields}
    return lambda manifest: manifest["routes"].append(route)


def add_service(**fields: Any) -> Change:
    return lambda manifest: manifest["services"].append(make_service("more", **fields))


BROKEN: dict[str, tuple[Change, str, int]] = {
    "unknown service": (add_route(service="none"), "unknown_service", 2),
    "stage without pieces": (
        add_route(stages=[{"service": "desk", "after": [], "bytes": 1}]),
        "unknown_service",
        2,
    ),
    "stage after a later one": (
        add_route(stages=[{"service": "rank", "after": [1], "bytes": 1}]),
        "bad_order",
        2,
    ),
    "hidden route": (add_route(path_prefix="/look/"), "hidden_route", 2),
    "prefix without slash": (add_route(path_prefix="/more"), "bad_prefix", 2),
    "no weight": (
        add_route(service=None, backends=[{"service": "desk", "weight": 0}]),
        "no_target",
        2,
    ),
    "shared key": (
        lambda m: m["tenants"].append({"name": "p", "api_keys": [KEY]}),
        "shared_key",
        2,
    ),
    "stages longer than the timeout": (
        add_route(timeout_ms=5, stages=[{"service": "rank", "after": [], "bytes": 1}]),
        "stages_over_timeout",
        2,
    ),
    "mistyped field": (lambda m: m.update(version="2"), "invalid", 2),
    "missing field": (lambda m: m["routes"][0].pop("timeout_ms"), "invalid", 2),
    "target over timeout": (
        add_route(target_latency_ms=9000),
        "target_over_timeout",
        1,
    ),
    "attempts of requests that run once": (
        add_route(kind="unsafe", max_attempts=3),
        "attempts_unused",
        1,
    ),
    "unused service": (add_service(), "unused_service", 1),
    "cold starts without a rate": (
        add_service(cold_start_s=3.0),
        "cold_unlimited",
        1,
    ),
    "no keys": (lambda m: m.update(tenants=[]), "no_keys", 1),
    "organisation without keys": (
        lambda m: m["tenants"].append({"name": "p", "api_keys": []}),
        "no_keys",
        1,
    ),
    "unknown field": (lambda m: m["routes"][0].update(colour=1), "unknown_field", 1),
    "limits": (
        lambda m: m["limits"].update(header_timeout_ms=9e4),
        "header_over_idle",
        1,
    ),
}


@pytest.mark.parametrize("name", BROKEN)
def test_each_fault_is_found_with_its_code(
    name: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    change, code, status = BROKEN[name]
    manifest = copy.deepcopy(make_manifest())
    change(manifest)
    path = write(tmp_path, manifest)
    found, text = run(capsys, path, strict=True)
    assert f"[{code}]" in text
    assert found == status
    assert run(capsys, path)[0] == (2 if status == 2 else 0)


def test_sound_manifest_has_no_problem(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = write(tmp_path, make_manifest())
    assert run(capsys, path, strict=True) == (0, "")


@pytest.mark.parametrize(
    ("content", "code"),
    [(b"{", "invalid"), (b"[]", "invalid"), (b"\xff\xfe", "invalid"), (b"", "invalid")],
)
def test_file_that_is_no_manifest_gets_one_error(
    content: bytes, code: str, tmp_path: Path
) -> None:
    path = tmp_path / "manifest.json"
    path.write_bytes(content)
    manifest, problems = read_manifest(path)
    assert manifest is None
    assert [problem.code for problem in problems] == [code]


def test_missing_and_huge_files_get_one_error(tmp_path: Path) -> None:
    huge = tmp_path / "huge.json"
    with huge.open("wb") as file:
        file.truncate(100 * 1024 * 1024)
    codes = [read_manifest(path)[1][0].code for path in (tmp_path / "none", huge)]
    assert codes == ["unreadable", "too_large"]


def test_changes_are_told_by_what_callers_see(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    old = make_manifest()
    old["tenants"][0]["api_keys"].append("second")
    new = make_manifest(version=2)
    new["routes"][0]["timeout_ms"] = 2000
    del new["routes"][1]
    new["routes"].append(make_route("more", "safe", "desk"))
    new["services"].append(make_service("extra"))
    path = write(tmp_path, new)
    status, text = run(capsys, path, against=str(write(tmp_path, old, "old.json")))
    assert status == 0
    assert text.splitlines()[1:] == [
        "requests for shop.example/book/: not served any more (404)",
        "requests for shop.example/look/: timeout_ms 3000 -> 2000",
        "requests for shop.example/more/: new, to desk (100%)",
        "service extra: new",
        "organisation bozi300: 1 keys get 401 now, 1 left",
    ]


def test_outcome_as_json(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = write(tmp_path, make_manifest(tenants=[]))
    _, text = run(capsys, path, json=True)
    assert [one["code"] for one in json.loads(text)["problems"]] == ["no_keys"]

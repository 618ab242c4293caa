"""Test what is found in a manifest, and what it changes, without any VM."""

import copy
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import fire
import pytest

from cuminstile.config_check.differences import describe_changes
from cuminstile.platform.check_config import check_config, in_encoding, read_manifest
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
    "stage with an odd service": (
        add_route(stages=[{"service": {}, "after": []}]),
        "invalid",
        2,
    ),
    "stage after a name": (
        add_route(stages=[{"service": "rank", "after": ["x"]}]),
        "invalid",
        2,
    ),
    "stage after a fraction": (
        add_route(stages=[{"service": "rank", "after": [0.0]}]),
        "invalid",
        2,
    ),
    "host with a port": (add_route(host="shop.example:80"), "bad_host", 2),
    "prefix with a query": (add_route(path_prefix="/more?a/"), "bad_prefix", 2),
    "negative weight": (
        add_route(
            service=None,
            backends=[
                {"service": "desk", "weight": 2},
                {"service": "engines", "weight": -1},
            ],
        ),
        "out_of_range",
        2,
    ),
    "timeout of 0": (add_route(timeout_ms=0), "out_of_range", 2),
    "infinite cold start": (
        add_service(cold_start_s="1e400", cold_per_s=1),
        "out_of_range",
        2,
    ),
    "time that is no number": (
        lambda m: m["services"][2]["pieces"].update(call_ms="nan"),
        "out_of_range",
        2,
    ),
    "negative limit": (
        lambda m: m["limits"].update(max_body_bytes=-1),
        "out_of_range",
        2,
    ),
    "negative priority of an organisation": (
        lambda m: m["tenants"][0].update(priority=-1),
        "out_of_range",
        2,
    ),
    "priority beyond the last": (add_route(priority=12), "priority_reduced", 1),
    "service twice": (
        lambda m: m["services"].append(make_service("desk")),
        "repeated_name",
        2,
    ),
    "route name twice": (add_route(name="look"), "repeated_name", 1),
    "organisation twice": (
        lambda m: m["tenants"].append({**m["tenants"][0], "api_keys": ["second"]}),
        "repeated_name",
        1,
    ),
    "unknown kind": (add_route(kind="saef", max_attempts=1), "unknown_kind", 1),
    "service and backends": (
        add_route(backends=[{"service": "engines", "weight": 1}]),
        "unused_target",
        1,
    ),
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


def test_brief_manifest_without_optional_fields_has_no_problem(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    names = ("name", "host", "path_prefix", "kind", "timeout_ms", "target_latency_ms")
    full = make_route("look", "streaming", "desk", host="Shop.Example")
    route = {name: full[name] for name in names}
    backends = [{"service": "desk", "weight": 0.2}, {"service": "new", "weight": 7}]
    manifest = {
        "version": 1,
        "routes": [{**route, "backends": backends, "resumable": True}],
        "services": [{"name": "desk"}, {"name": "new"}],
    }
    path = write(tmp_path, manifest)
    assert run(capsys, path, strict=True) == (0, "")


def test_errors_come_before_warnings_of_the_file(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    manifest = make_manifest(colour=1)
    manifest["routes"][0]["service"] = "none"
    _, text = run(capsys, write(tmp_path, manifest))
    severities = [line.partition(":")[0] for line in text.splitlines()]
    assert severities == ["error", "warning"]


def test_fault_of_an_entry_names_the_entry(tmp_path: Path) -> None:
    manifest = make_manifest()
    del manifest["routes"][1]["timeout_ms"]
    _, problems = read_manifest(write(tmp_path, manifest))
    assert problems[0].place.endswith(" routes[1]")
    assert problems[0].message == "field 'timeout_ms' is missing or unknown"


def test_endless_file_gets_one_error() -> None:
    _, problems = read_manifest(Path("/dev/zero"))
    assert [problem.code for problem in problems] == ["too_large"]


def test_file_whose_name_is_a_number_is_read(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    write(tmp_path, make_manifest(), "7")
    monkeypatch.chdir(tmp_path)
    with pytest.raises(SystemExit) as caught:
        fire.Fire(check_config, ["7"])
    assert (caught.value.code, capsys.readouterr().out) == (0, "")


def test_names_are_shown_on_one_line_in_any_encoding(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = write(tmp_path, make_manifest(**{"a\nerror: b": 1}))
    assert len(run(capsys, path)[1].splitlines()) == 1
    assert in_encoding("b\u00fccher \udce9", "ascii") == "b\\xfccher \\udce9"


def changes_of(folder: Path, old: object, new: object) -> list[str]:
    """Return the lines that tell what a manifest changes."""
    before, _ = read_manifest(write(folder, old, "old.json"))
    after, _ = read_manifest(write(folder, new))
    assert before is not None
    assert after is not None
    return list(describe_changes(before, after))


def test_version_that_no_vm_takes_is_an_error(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = write(tmp_path, make_manifest())
    status, text = run(capsys, path, against=str(path))
    assert status == 2
    assert text == "error: version 1 does not replace version 1 [old_version]\n"


def test_weights_are_compared_by_their_shares(tmp_path: Path) -> None:
    old, same, new = make_manifest(), make_manifest(), make_manifest()
    for manifest, weights in ((old, (1, 1)), (same, (50, 50)), (new, (999, 1))):
        manifest["routes"][0]["service"] = None
        manifest["routes"][0]["backends"] = [
            {"service": "desk", "weight": weights[0]},
            {"service": "engines", "weight": weights[1]},
        ]
    same["routes"][0]["backends"].reverse()
    assert changes_of(tmp_path, old, same) == []
    assert changes_of(tmp_path, old, new) == [
        "requests for shop.example/look/: targets desk (50%), engines (50%)"
        " -> desk (99.9000%), engines (0.1000%)"
    ]


def test_route_split_from_another_is_not_told_as_new(tmp_path: Path) -> None:
    new = make_manifest()
    new["routes"].append(
        make_route("part", "safe", "engines", path_prefix="/look/part/")
    )
    requests = "requests for shop.example/look/part/"
    assert changes_of(tmp_path, make_manifest(), new) == [
        f"{requests}: no longer on route look, to engines (100%)"
    ]
    assert changes_of(tmp_path, new, make_manifest()) == [
        f"{requests}: go to route look now, to desk (100%)"
    ]


def test_keys_that_change_hands_are_not_told_as_refused(tmp_path: Path) -> None:
    new = make_manifest(
        tenants=[{"name": "p", "api_keys": [KEY]}, {"name": "bozi300", "api_keys": []}]
    )
    changes = changes_of(tmp_path, make_manifest(), new)
    assert changes == [
        "organisation bozi300: keys that another holds now: 1",
        "organisation p: keys added: 1",
    ]
    new["tenants"] = [{"name": "bozi300", "api_keys": [KEY], "priority": 4}]
    assert changes_of(tmp_path, make_manifest(), new) == [
        "organisation bozi300: priority 1 -> 4"
    ]
    del new["tenants"]
    assert changes_of(tmp_path, make_manifest(), new) == [
        "no route asks for a key, unless the settings of the VMs require keys"
    ]


def test_stages_and_batches_are_told_in_words(tmp_path: Path) -> None:
    new = make_manifest()
    new["services"][2]["pieces"]["call_ms"] = 20.0
    new["routes"][3]["stages"] = []
    new["routes"][3]["target_latency_ms"] = 900
    assert changes_of(tmp_path, make_manifest(), new) == [
        "requests for shop.example/note/: target_ms 500 -> 900",
        "requests for shop.example/note/: stages 0: encode after [], 1000 B -> none",
        "service encode: batch.call_ms 10.0 -> 20.0",
    ]


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
        "organisation bozi300: keys that get 401 now: 1, left: 1",
    ]


def test_outcome_as_json(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = write(tmp_path, make_manifest(tenants=[]))
    _, text = run(capsys, path, json=True)
    assert [one["code"] for one in json.loads(text)["problems"]] == ["no_keys"]

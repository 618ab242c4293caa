"""Test that an invalid scenario line is reported with its position and usage."""

from pathlib import Path

import pytest

from standins.scenario import ScenarioError
from standins.scenario_run import arrange, load_scenario

FOLDER = Path(__file__).parent
START = "start small a=2 b=1\n"


def findings(tmp_path: Path, text: str) -> list[str]:
    """Return the findings about an invalid scenario text."""
    (tmp_path / "objects").symlink_to(FOLDER / "objects")
    path = tmp_path / "try.scn"
    path.write_text(text)
    with pytest.raises(ScenarioError) as caught:
        load_scenario(path)
    return [str(finding) for finding in caught.value.findings]


@pytest.mark.parametrize(
    ("line", "place", "correction"),
    [
        ("kil a-1", "try.scn:line 2", "kill"),
        ("kill", "try.scn:line 2", "'kill PROGRAM'"),
        ("kill a-1 a-2", "try.scn:line 2", "'kill PROGRAM'"),
        ("kill a-9", "try.scn:line 2", "a-1, a-2, b-1"),
        ("take out c", "try.scn:line 2", "known names: a, b"),
        ("burst chat name=x rate=many", "try.scn:line 2", "rate=many is not a number"),
        ("burst chat rate=3", "try.scn:line 2", "name=NAME"),
        ("burst nothing name=x", "try.scn:line 2", "booking, chat, lookup"),
        ("burst chat name=x speed=3", "try.scn:line 2", "[rate=10.0]"),
        ("expect whole within soon", "try.scn:line 2", "within SECONDS"),
        ("expect answered unsent", "try.scn:line 2", "no earlier line sends unsent"),
        ("send chat 'name=x", "try.scn:line 2", "close the quotes"),
        ("turn cold engine-z", "try.scn:line 2", "engine-a1"),
    ],
)
def test_an_invalid_line_is_reported(
    tmp_path: Path, line: str, place: str, correction: str
) -> None:
    (found,) = findings(tmp_path, START + line + "\n")
    assert found.startswith(place)
    assert correction in found


def test_all_invalid_lines_are_reported_together(tmp_path: Path) -> None:
    text = START + "kil a-1\n\n# a remark\nfreeze\nwait 1\nheal a\n"
    found = findings(tmp_path, text)
    assert [item.split(":")[1] for item in found] == ["line 2", "line 5", "line 7"]


def test_a_scenario_without_a_start_line_is_reported(tmp_path: Path) -> None:
    (missing,) = findings(tmp_path, "publish\n")
    assert "start OBJECTS" in missing


@pytest.mark.parametrize(
    "line", ["start large a=1", "start small c=1", "start small a=x"]
)
def test_an_invalid_start_line_is_reported(tmp_path: Path, line: str) -> None:
    (found,) = findings(tmp_path, line + "\n")
    assert found.startswith("try.scn:line 1")


def test_no_scenario_starts_more_than_a_dozen_processes() -> None:
    for path in FOLDER.glob("*.scn"):
        step = next(s for s in load_scenario(path).steps if s.verb == "start")
        arrangement = arrange(path, step)
        upstreams = [item for item in arrangement.objects if item.kind == "upstream"]
        relays = 1 if arrangement.linked else 0
        assert 1 + relays + len(upstreams) + len(arrangement.vms) <= 12, path.name

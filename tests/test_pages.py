"""Hold the pages for operators and callers and the code together."""

import dataclasses
import json
import re
from pathlib import Path
from typing import Any

import pytest

from cuminstile.events import Event
from cuminstile.exceptions import HTTP_STATUS, ErrorCode
from cuminstile.objects.checks import check_objects
from cuminstile.objects.files import raw_objects
from cuminstile.objects.model import Step
from cuminstile.objects.parse import CLASSES
from cuminstile.operator.report import ProblemCode
from cuminstile.settings import (
    SETTINGS,
    LimitSettings,
    PeerSettings,
    Settings,
    TlsSettings,
)
from cuminstile.validation import validate

DOCS = Path(__file__).parent.parent / "docs"


SECTIONS: dict[str, type[Any]] = {
    **{
        re.sub(r"(?<=.)([A-Z])", r"_\1", kind.__name__).lower(): kind
        for kind in CLASSES
    },
    "step": Step,
    "settings": Settings,
    "peers": PeerSettings,
    "tls": TlsSettings,
    "limits": LimitSettings,
}


def rows_of(text: str) -> list[list[str]]:
    """Return the cells of each line of the tables in a text, without the headings."""
    lines = [line for line in text.splitlines() if line]
    rows = [line.strip("| ").split(" | ") for line in lines if line.startswith("|")]
    heads = {index - 1 for index, row in enumerate(rows) if row[0] == "---"}
    return [
        row for index, row in enumerate(rows) if row[0] != "---" and index not in heads
    ]


def check_catalogue(page: str, expected: list[tuple[str, str]]) -> None:
    """Compare a page with (number, name) pairs, in both directions and in order."""
    rows = rows_of((DOCS / page).read_text())
    found = [(row[0], row[1]) for row in rows]
    missing = set(expected) - set(found)
    unknown = set(found) - set(expected)
    assert not missing, f"{page} needs a line for each of {sorted(missing)}"
    assert not unknown, f"{page} has lines for what is not there: {sorted(unknown)}"
    assert found == expected, f"the lines of {page} are out of order or double"
    assert all(len(row) == 4 and all(row) for row in rows), "four cells in a line"


def test_every_event_has_its_line_and_no_other() -> None:
    events = [(str(event.value), event.name.lower()) for event in Event]
    check_catalogue("EVENTS.md", sorted(events))


def test_every_error_has_its_line_and_no_other() -> None:
    codes = [(str(HTTP_STATUS[code]), code.value) for code in ErrorCode]
    check_catalogue("ERRORS.md", codes)


def section_of(title: str) -> str:
    """Return the part of the page on configuration under one heading."""
    parts = re.split(r"^#+ (.*)$", (DOCS / "CONFIGURATION.md").read_text(), flags=re.M)
    headings = dict(zip(parts[1::2], parts[2::2], strict=True))
    return headings[title]


def default_of(field: dataclasses.Field[Any]) -> str:
    """Return how the page writes the default of a field."""
    if field.default_factory is not dataclasses.MISSING:
        return "the defaults below"
    if field.default is dataclasses.MISSING:
        return "required"
    return f"`{json.dumps(field.default)}`"


@pytest.mark.parametrize("title", SECTIONS)
def test_every_field_has_its_line_and_default_and_no_other(title: str) -> None:
    fields = dataclasses.fields(SECTIONS[title])
    expected = [(field.name, default_of(field)) for field in fields]
    found = [(row[0], row[2]) for row in rows_of(section_of(title))]
    assert found == expected, f"CONFIGURATION.md, {title}"


def example_of(title: str) -> Any:
    """Return the JSON that the page shows under one heading."""
    return json.loads(section_of(title).split("```json")[1].split("```")[0])


def test_the_example_set_is_valid() -> None:
    assert check_objects(raw_objects(example_of("A small whole set"))).findings == ()


def test_the_example_settings_are_valid() -> None:
    assert validate(SETTINGS, example_of("A VM's settings")).findings == ()


def test_every_problem_has_its_line_and_no_other() -> None:
    alarms = (DOCS / "OPERATIONS.md").read_text().split("\n## Alarms\n")[1]
    assert [row[0] for row in rows_of(alarms)] == [code.value for code in ProblemCode]

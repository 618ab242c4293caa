"""Check that the pages for operators and callers agree with the code."""

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
    """Return the cells of each table row in a text, without the header rows."""
    lines = [line for line in text.splitlines() if line]
    rows = [line.strip("| ").split(" | ") for line in lines if line.startswith("|")]
    heads = {index - 1 for index, row in enumerate(rows) if row[0] == "---"}
    return [
        row for index, row in enumerate(rows) if row[0] != "---" and index not in heads
    ]


def check_catalogue(page: str, expected: list[tuple[str, str]]) -> None:
    """Check that a page lists exactly the (number, name) pairs, in order."""
    rows = rows_of((DOCS / page).read_text())
    found = [(row[0], row[1]) for row in rows]
    missing = set(expected) - set(found)
    unknown = set(found) - set(expected)
    assert not missing, f"{page} has no row for {sorted(missing)}"
    assert not unknown, f"{page} has rows for unknown entries: {sorted(unknown)}"
    assert found == expected, f"the rows of {page} are out of order or duplicated"
    assert all(len(row) == 4 and all(row) for row in rows), "a row needs four cells"


def test_the_page_lists_exactly_the_events() -> None:
    events = [(str(event.value), event.name.lower()) for event in Event]
    check_catalogue("EVENTS.md", sorted(events))


def test_the_page_lists_exactly_the_errors() -> None:
    codes = [(str(HTTP_STATUS[code]), code.value) for code in ErrorCode]
    check_catalogue("ERRORS.md", codes)


def section_of(title: str) -> str:
    """Return the section of the page on configuration under one heading."""
    parts = re.split(r"^#+ (.*)$", (DOCS / "CONFIGURATION.md").read_text(), flags=re.M)
    headings = dict(zip(parts[1::2], parts[2::2], strict=True))
    return headings[title]


def default_of(field: dataclasses.Field[Any]) -> str:
    """Return the default of a field as the page writes it."""
    if field.default_factory is not dataclasses.MISSING:
        return "the defaults below"
    if field.default is dataclasses.MISSING:
        return "required"
    return f"`{json.dumps(field.default)}`"


@pytest.mark.parametrize("title", SECTIONS)
def test_the_page_lists_exactly_the_fields_with_their_defaults(title: str) -> None:
    fields = dataclasses.fields(SECTIONS[title])
    expected = [(field.name, default_of(field)) for field in fields]
    found = [(row[0], row[2]) for row in rows_of(section_of(title))]
    assert found == expected, f"CONFIGURATION.md, {title}"


def example_of(title: str) -> Any:
    """Return the JSON example under one heading of the page."""
    return json.loads(section_of(title).split("```json")[1].split("```")[0])


def test_the_example_set_is_valid() -> None:
    assert check_objects(raw_objects(example_of("A small whole set"))).findings == ()


def test_the_example_settings_are_valid() -> None:
    assert validate(SETTINGS, example_of("A VM's settings")).findings == ()


def test_the_page_lists_exactly_the_problems() -> None:
    alarms = (DOCS / "OPERATIONS.md").read_text().split("\n## Alarms\n")[1]
    assert [row[0] for row in rows_of(alarms)] == [code.value for code in ProblemCode]

"""Hold the pages for operators and callers and the code together."""

from pathlib import Path

from cuminstile.events import Event
from cuminstile.exceptions import HTTP_STATUS, ErrorCode

DOCS = Path(__file__).parent.parent / "docs"


def rows_of(page: str) -> list[list[str]]:
    """Return the cells of each line of the tables in a page, without the headings."""
    lines = [line for line in (DOCS / page).read_text().splitlines() if line]
    rows = [line.strip("| ").split(" | ") for line in lines if line.startswith("|")]
    heads = {index - 1 for index, row in enumerate(rows) if row[0] == "---"}
    return [
        row for index, row in enumerate(rows) if row[0] != "---" and index not in heads
    ]


def check_catalogue(page: str, expected: list[tuple[str, str]]) -> None:
    """Compare a page with (number, name) pairs, in both directions and in order."""
    rows = rows_of(page)
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

"""Merge the events of all processes into one timeline."""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import anyio

from ..events import Event, Stamp, Value
from ..exceptions import CuminstileError, ErrorCode, Finding
from .client import Target, UnreachableError, UsageError, call, checked_body
from .survey import survey

LOG_METADATA_FIELDS = {
    "message_type",
    "event",
    "vm",
    "stamp",
    "timestamp",
    "task_uuid",
    "task_level",
}
MESSAGE_PREFIX = "cuminstile:"


@dataclass(frozen=True)
class Entry:
    """One event of the timeline.

    Parameters
    ----------
    number : int
        The number of the event; a newer VM may send a number that is unknown here.
    name : str
        Its name in lower case.
    """

    stamp: Stamp
    vm: str
    number: int
    name: str
    fields: Mapping[str, Value]

    def sort_key(self) -> tuple[Stamp, str, int]:
        """Return the key that orders entries and identifies duplicates."""
        return (self.stamp, self.vm, self.number)


@dataclass(frozen=True)
class Selection:
    """Filter for the entries to show.

    Parameters
    ----------
    request : str
        Show only entries of this request; empty for all.
    events : frozenset of int
        Show only events with these numbers; empty for all.
    after_ms : int
        Show only entries later than this, in ms since 1970 UTC.
    """

    request: str = ""
    events: frozenset[int] = frozenset()
    after_ms: int = 0

    def matches(self, entry: Entry) -> bool:
        """Return whether an entry is selected."""
        if self.request and entry.fields.get("request") != self.request:
            return False
        if self.events and entry.number not in self.events:
            return False
        return entry.stamp.wall_ms > self.after_ms


@dataclass(frozen=True)
class Timeline:
    """Merged entries, and findings about what could not be read."""

    entries: tuple[Entry, ...]
    findings: tuple[Finding, ...]


def parse_events(text: str) -> frozenset[int]:
    """Return the event numbers in a comma-separated list of event names and numbers.

    Raises
    ------
    UsageError
        If a name is not the name of an event.
    """
    numbers: set[int] = set()
    for part in filter(None, (part.strip() for part in text.split(","))):
        if part.isdigit():
            numbers.add(int(part))
        elif part.upper() in Event.__members__:
            numbers.add(Event[part.upper()].value)
        else:
            raise UsageError(f"--event: {part!r} is not an event of docs/EVENTS.md")
    return frozenset(numbers)


def merge_entries(
    groups: Iterable[Iterable[Entry]], selection: Selection
) -> tuple[Entry, ...]:
    """Return the selected entries of all groups, sorted and without duplicates."""
    entries = {entry.sort_key(): entry for group in groups for entry in group}
    return tuple(
        entries[key] for key in sorted(entries) if selection.matches(entries[key])
    )


def parse_entry(data: Any) -> Entry:
    """Return the entry for one event from a VM's `/operator/events`.

    Raises
    ------
    TypeError, ValueError, KeyError
        If the data is not an event.
    """
    wall_ms, count = data["stamp"]
    return Entry(
        Stamp(int(wall_ms), int(count)),
        str(data["vm"]),
        int(data["event"]),
        str(data["name"]),
        dict(data["fields"]),
    )


def parse_log_line(line: str) -> Entry | None:
    """Return the entry in one line of a log, or `None` for other messages.

    Raises
    ------
    TypeError, ValueError, KeyError, AttributeError
        If the line is not a JSON object, or its type is an event's but it is not valid.
    """
    data = json.loads(line)
    kind = data.get("message_type", "")
    if not kind.startswith(MESSAGE_PREFIX):
        return None
    wall_ms, count = data["stamp"]
    return Entry(
        Stamp(int(wall_ms), int(count)),
        str(data["vm"]),
        int(kind.removeprefix(MESSAGE_PREFIX)),
        str(data["event"]),
        {
            name: value
            for name, value in data.items()
            if name not in LOG_METADATA_FIELDS
        },
    )


def read_log(path: Path) -> tuple[list[Entry], list[Finding]]:
    """Return the entries of a log file and a finding for each bad line."""
    entries: list[Entry] = []
    findings: list[Finding] = []
    try:
        lines = path.read_text("utf-8", errors="replace").splitlines()
    except OSError as error:
        return [], [Finding(str(path), "", "unreadable", str(error))]
    for number, line in enumerate(lines, 1):
        try:
            entry = parse_log_line(line)
        except (ValueError, TypeError, KeyError, AttributeError):
            message = "a JSON object with an event is expected"
            findings.append(Finding(str(path), f"line {number}", "bad_line", message))
            continue
        if entry is not None:
            entries.append(entry)
    return entries, findings


def read_logs(paths: Iterable[Path], selection: Selection) -> Timeline:
    """Return the timeline of the events in log files."""
    read = [read_log(path) for path in paths]
    entries = merge_entries((entries for entries, _ in read), selection)
    return Timeline(entries, tuple(item for _, found in read for item in found))


async def fetch(target: Target, selection: Selection, limit: int) -> Timeline:
    """Return the timeline of the events of all VMs that can be reached.

    `limit` is the number of events that is requested from each VM, the newest.
    """
    groups: list[list[Entry]] = []
    findings: list[Finding] = []

    async def ask(address: str) -> None:
        path = f"/operator/events?after_ms={selection.after_ms}&limit={limit}"
        try:
            body = checked_body(await call(target, address, "GET", path))
            groups.append([parse_entry(item) for item in body["events"]])
        except UnreachableError as error:
            findings.append(Finding(address, "", "unreachable", str(error)))
        except CuminstileError as error:
            findings.append(Finding(address, "", error.code.value, error.message))
        except (ValueError, TypeError, KeyError):
            text = "the response has events that are not valid"
            code = ErrorCode.BAD_MESSAGE.value
            findings.append(Finding(address, "", code, text))

    found = await survey(target)
    async with anyio.create_task_group() as tasks:
        for address in found.reports:
            tasks.start_soon(ask, address)
    findings += (
        Finding(address, "", "unreachable", reason)
        for address, reason in sorted(found.failures.items())
    )
    return Timeline(merge_entries(groups, selection), tuple(findings))


def format_line(entry: Entry) -> str:
    """Return an entry as one line of text."""
    moment = datetime.fromtimestamp(entry.stamp.wall_ms / 1000.0, UTC)
    time = moment.strftime("%Y-%m-%dT%H:%M:%S.") + f"{entry.stamp.wall_ms % 1000:03d}Z"
    fields = " ".join(f"{name}={value}" for name, value in entry.fields.items())
    return f"{time}+{entry.stamp.count} {entry.vm} {entry.name} {fields}".rstrip()


def format_json(entry: Entry) -> str:
    """Return an entry as one line of JSON."""
    stamp = [entry.stamp.wall_ms, entry.stamp.count]
    return json.dumps(
        {
            "stamp": stamp,
            "vm": entry.vm,
            "event": entry.number,
            "name": entry.name,
            "fields": dict(entry.fields),
        }
    )

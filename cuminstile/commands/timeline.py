"""Merge the events of all processes into one time line."""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import anyio

from ..events import Event, Stamp, Value
from ..exceptions import CuminstileError, ErrorCode, Finding
from .client import Target, UnreachableError, UsageError, call, checked
from .survey import survey

LOG_OWN_FIELDS = {
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
    """Hold one event of the time line.

    Parameters
    ----------
    number : int
        The number of the event; a newer VM may give one that isn't known here.
    name : str
        Its name in lower case.
    """

    stamp: Stamp
    vm: str
    number: int
    name: str
    fields: Mapping[str, Value]

    def key(self) -> tuple[Stamp, str, int]:
        """Return what orders entries and tells them apart."""
        return (self.stamp, self.vm, self.number)


@dataclass(frozen=True)
class Selection:
    """Choose the entries to show.

    Parameters
    ----------
    request : str
        Show only entries that name this request; empty for all.
    events : frozenset of int
        Show only these numbers; empty for all.
    after_ms : int
        Show only entries later than this, in ms since 1970 UTC.
    """

    request: str = ""
    events: frozenset[int] = frozenset()
    after_ms: int = 0

    def wants(self, entry: Entry) -> bool:
        """Return whether an entry is to be shown."""
        if self.request and entry.fields.get("request") != self.request:
            return False
        if self.events and entry.number not in self.events:
            return False
        return entry.stamp.wall_ms > self.after_ms


@dataclass(frozen=True)
class Timeline:
    """Hold merged entries and what could not be read."""

    entries: tuple[Entry, ...]
    findings: tuple[Finding, ...]


def parse_events(text: str) -> frozenset[int]:
    """Return the numbers of a comma list of event names and numbers.

    Raises
    ------
    UsageError
        If a name is not that of an event.
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


def merge(groups: Iterable[Iterable[Entry]], selection: Selection) -> tuple[Entry, ...]:
    """Return the selected entries of all groups in order, each once."""
    entries = {entry.key(): entry for group in groups for entry in group}
    return tuple(
        entries[key] for key in sorted(entries) if selection.wants(entries[key])
    )


def entry_of(data: Any) -> Entry:
    """Return the entry that a VM's event interface describes.

    Raises
    ------
    TypeError, ValueError, KeyError
        If the data are no entry.
    """
    wall_ms, count = data["stamp"]
    return Entry(
        Stamp(int(wall_ms), int(count)),
        str(data["vm"]),
        int(data["event"]),
        str(data["name"]),
        dict(data["fields"]),
    )


def entry_of_log(line: str) -> Entry | None:
    """Return the entry in one line of a log, or `None` for other lines.

    Raises
    ------
    TypeError, ValueError, KeyError
        If the line claims to be an event and isn't one.
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
        {name: value for name, value in data.items() if name not in LOG_OWN_FIELDS},
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
            entry = entry_of_log(line)
        except (ValueError, TypeError, KeyError, AttributeError):
            message = "a line of JSON with an event is expected"
            findings.append(Finding(str(path), f"line {number}", "bad_line", message))
            continue
        if entry is not None:
            entries.append(entry)
    return entries, findings


def read_logs(paths: Iterable[Path], selection: Selection) -> Timeline:
    """Return the time line in log files."""
    read = [read_log(path) for path in paths]
    entries = merge((entries for entries, _ in read), selection)
    return Timeline(entries, tuple(item for _, found in read for item in found))


async def fetch(target: Target, selection: Selection, limit: int) -> Timeline:
    """Return the time line of all VMs that can be reached."""
    groups: list[list[Entry]] = []
    findings: list[Finding] = []

    async def ask(address: str) -> None:
        path = f"/operator/events?after_ms={selection.after_ms}&limit={limit}"
        try:
            body = checked(await call(target, address, "GET", path))
            groups.append([entry_of(item) for item in body["events"]])
        except UnreachableError as error:
            findings.append(Finding(address, "", "unreachable", str(error)))
        except CuminstileError as error:
            findings.append(Finding(address, "", error.code.value, error.message))
        except (ValueError, TypeError, KeyError):
            text = "the events are not understood"
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
    return Timeline(merge(groups, selection), tuple(findings))


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

"""Format statuses, traffic moves and answers as text."""

import json
from collections.abc import Iterable, Mapping, Sequence
from datetime import UTC, datetime
from typing import Any

from ..operator.report import MoveReport, StatusReport


def table(rows: Sequence[Sequence[str]]) -> list[str]:
    """Return rows as lines with aligned columns."""
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        .rstrip()
        for row in rows
    ]  # fmt: skip


def show_status(report: StatusReport) -> list[str]:
    """Return a status as lines: the problems first, then the VMs and upstreams."""
    if report.ok:
        lines = [f"ok: version {report.version} is in force on {len(report.vms)} VMs"]
    else:
        count = len(report.problems)
        lines = [f"{count} problem{'s' if count > 1 else ''}:"]
        lines += (f"  {problem}" for problem in report.problems)
    rows = [("VM", "DATA CENTRE", "STATE", "VERSION", "INCARNATION")]
    rows += (
        (vm.name, vm.data_centre, vm.state.value, str(vm.version), vm.incarnation)
        for vm in report.vms
    )
    lines += ["", *table(rows)]
    if report.upstreams:
        rows = [("UPSTREAM", "DATA CENTRE", "STATE", "IN FLIGHT", "LIMIT")]
        rows += (
            (item.name, item.data_centre, item.state.value, str(item.in_flight),
             str(item.limit))
            for item in report.upstreams
        )  # fmt: skip
        lines += ["", *table(rows)]
    return lines


def show_moves(moves: Iterable[MoveReport]) -> list[str]:
    """Return traffic moves as lines of a table."""
    rows = [("MOVE", "STAGE", "FROM", "TO", "STATE", "SHARE", "FINISH BY", "REASON")]
    rows += (
        (
            move.name,
            move.stage,
            move.from_version,
            move.to_version,
            move.state,
            f"{move.share:.0%}",
            format_time(move.finish_by_ms),
            move.reason,
        )
        for move in moves
    )
    return table(rows) if len(rows) > 1 else ["no traffic moves"]


def format_time(wall_ms: int) -> str:
    """Return a wall-clock time in ms since 1970 UTC as ISO 8601 text, in seconds."""
    moment = datetime.fromtimestamp(wall_ms / 1000.0, UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")


def show_answer(answer: Mapping[str, Any]) -> list[str]:
    """Return an answer's output and a table of its steps, as lines."""
    rows = [("STEP", "STAGE", "VERSION", "UPSTREAM", "VM", "ATTEMPTS", "MS")]
    rows += (
        (
            step["step"],
            step["stage"],
            step["version"],
            step["upstream"],
            step["vm"],
            str(step["attempts"]),
            str(step["elapsed_ms"]),
        )
        for step in answer["steps"]
    )
    output = json.dumps(answer["output"], indent=2, ensure_ascii=False)
    return [output, *table(rows)]

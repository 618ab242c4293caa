"""What the checks of a soak share."""

from __future__ import annotations

import re
from collections.abc import Collection, Iterator

from .faults import TROUBLES
from .observations import Received, Record, Run, get_field

TROUBLE_S = 6.0
"""How long a fault can trouble VMs, and they what they do."""
Wrong = Iterator[tuple[float, str, str]]
"""Time, id of the request and what is wrong."""


def run_of_seal(record: Record, received: Received) -> Run | None:
    """Return the run whose seal an answer has."""
    match = re.fullmatch(
        r"3e1b\.07\.([0-9a-f]+)", get_field(received.fields, "response-seal")
    )
    return record.runs.get(int(match[1], 16)) if match else None


def successes(record: Record) -> Iterator[Received]:
    """Return the successes that callers received."""
    return (received for received in record.received if 200 <= received.status < 300)


def is_troubled(
    record: Record,
    since_s: float,
    until_s: float,
    faults: Collection[str] = TROUBLES,
) -> bool:
    """Return whether a fault that makes VMs late, or one of some, began in a time."""
    return any(
        disturbed.fault in faults and since_s <= disturbed.at_s <= until_s
        for disturbed in record.disturbed
    )

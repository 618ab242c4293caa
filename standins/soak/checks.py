"""What must hold of the observations of a soak."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .answer_checks import (
    answers_are_own,
    bodies_are_whole,
    idle_connections_are_quiet,
    statuses_are_first,
    streams_are_in_order,
    successes_have_runs,
    whole_answers_are_served,
)
from .evidence import Wrong
from .fleet_checks import (
    drains_hold,
    few_upstreams_end,
    memory_is_bounded,
    orders_hold,
    retries_are_bounded,
    sound_kinds_are_served,
    vms_live_on,
)
from .observations import Record
from .run_checks import (
    begun_connections_are_left,
    bodies_are_the_callers,
    heads_are_the_callers,
    inputs_are_own,
    key_changes_hold,
    keys_hold,
    promises_hold,
    runs_are_single,
    services_are_right,
)
from .stop_checks import stops_answer_requests

Check = Callable[[Record], Wrong]


@dataclass(frozen=True)
class Finding:
    """Something that must not be, at the time `at_s` of the record."""

    check: str
    at_s: float
    attempt: str
    text: str


CHECKS: tuple[Check, ...] = (
    answers_are_own,
    successes_have_runs,
    statuses_are_first,
    bodies_are_whole,
    streams_are_in_order,
    heads_are_the_callers,
    keys_hold,
    key_changes_hold,
    bodies_are_the_callers,
    runs_are_single,
    retries_are_bounded,
    promises_hold,
    services_are_right,
    drains_hold,
    orders_hold,
    inputs_are_own,
    whole_answers_are_served,
    begun_connections_are_left,
    idle_connections_are_quiet,
    few_upstreams_end,
    sound_kinds_are_served,
    memory_is_bounded,
    vms_live_on,
    stops_answer_requests,
)


def find(record: Record) -> list[Finding]:
    """Return what is wrong with the observations, in the sequence of time."""
    findings = [
        Finding(check.__name__, *wrong) for check in CHECKS for wrong in check(record)
    ]
    return sorted(findings, key=lambda finding: finding.at_s)

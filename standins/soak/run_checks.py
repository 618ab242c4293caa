"""Checks of what upstreams of a soak got; each check is one function."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable

from .evidence import TROUBLE_S, Wrong, is_troubled
from .manifest import CONFIG_MS, KEY, PIECES, REPEATABLE, SERVICES
from .observations import KeysChanged, Record, Run, Sent, get_field

PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that state that the request did not run and never will."""
CHANGED_FIELDS = frozenset({"authorization", "deadline-ms", "content-length"})
"""Fields that the program may take away or change."""
ADDED_FIELDS = frozenset(
    {
        "content-length",
        "expect-instance",
        "expect-version",
        "inputs",
        "last-event-id",
        "request-priority",
        "tenant",
    }
)
"""Fields that the program sets itself."""
FieldCounts = Counter[tuple[str, str]]
UNAUTHENTICATED_STATUS = 401
LONGEST_WAY_S = 3.0
"""A request that is sent so long before a change may be handled after it."""
REUSE_SLACK_S = 0.3
"""So long a request may be on its way on a link that no fault holds back."""
LINK_FAULTS = frozenset({"delay_link", "cut_link"})
LINK_FAULT_S = 2.5
"""So long after it began a fault may hold back the bytes of a link."""


def heads_are_the_callers(record: Record) -> Wrong:
    """Check that upstreams got the fields of the caller's head and no others."""
    for run in record.runs.values():
        sent = record.sent.get(run.attempt)
        if sent is None:
            yield run.at_s, run.attempt, "ran under an id that no caller sent"
            continue
        if (run.method, run.target) != (sent.method, sent.target):
            yield run.at_s, run.attempt, f"ran as {run.method} {run.target}"
        added, missing = compare_fields(sent, run)
        if added or missing:
            text = f"head with {sorted(added)} added and {sorted(missing)} missing"
            yield run.at_s, run.attempt, text


def compare_fields(sent: Sent, run: Run) -> tuple[FieldCounts, FieldCounts]:
    """Return the fields that were added to a head and those that are missing."""
    had = Counter(field for field in sent.fields if field[0] not in CHANGED_FIELDS)
    got = Counter(field for field in run.fields if field[0] not in CHANGED_FIELDS)
    added = got - had
    for name, value in list(added):
        if name in ADDED_FIELDS and sum(key == name for key, _ in run.fields) == 1:
            del added[(name, value)]
    return added, had - got


def keys_hold(record: Record) -> Wrong:
    """Check that no request runs without a valid key, and that none is passed on."""
    for run in record.runs.values():
        sent = record.sent.get(run.attempt)
        if sent and get_field(sent.fields, "authorization") != f"Bearer {KEY}":
            yield run.at_s, run.attempt, "ran with a key that was never valid"
        if get_field(run.fields, "authorization"):
            yield run.at_s, run.attempt, "got the caller's key"


def key_changes_hold(record: Record) -> Wrong:
    """Check that keys are withdrawn and given in time, unless VMs are troubled."""
    statuses = {received.attempt: received.status for received in record.received}
    for sent in record.sent.values():
        if get_field(sent.fields, "authorization") != f"Bearer {KEY}":
            continue
        are_valid = keys_in_force(record, sent.at_s)
        ran = sent.attempt in record.runs_of
        if are_valid and statuses.get(sent.attempt) == UNAUTHENTICATED_STATUS:
            yield sent.at_s, sent.attempt, "refused though its key is valid"
        if are_valid is False and ran:
            yield sent.at_s, sent.attempt, "ran with a key that was withdrawn"


def keys_in_force(record: Record, at_s: float) -> bool | None:
    """Return whether the key must be valid or must not be; None if either may be."""
    before = [change for change in record.keys_changed if change.at_s <= at_s]
    after = (change for change in record.keys_changed if change.at_s > at_s)
    newest = before[-1] if before else KeysChanged(-math.inf, True)
    is_new = newest.at_s > at_s - CONFIG_MS / 1000.0
    ends_soon = any(
        change.at_s < at_s + LONGEST_WAY_S and change.are_valid is not newest.are_valid
        for change in after
    )
    if is_new or ends_soon or is_troubled(record, newest.at_s - TROUBLE_S, at_s + 1):
        return None
    return newest.are_valid


def bodies_are_the_callers(record: Record) -> Wrong:
    """Check that upstreams got the body of the caller."""
    for run in record.runs.values():
        sent = record.sent.get(run.attempt)
        if sent is not None and run.body and run.body != sent.body:
            yield run.at_s, run.attempt, f"body {run.body[:80]!r}"


def runs_are_single(record: Record) -> Wrong:
    """Check that a request that is not idempotent runs at most once."""
    for attempt, runs in record.runs_of.items():
        sent = record.sent.get(attempt)
        if sent is not None and sent.route not in REPEATABLE and len(runs) > 1:
            places = [(run.at_s, run.upstream) for run in runs]
            yield (
                runs[-1].at_s,
                attempt,
                f"{sent.route} ran {len(runs)} times: {places}",
            )


def promises_hold(record: Record) -> Wrong:
    """Check that a request that is not idempotent has no run beside a promise."""
    for received in record.received:
        sent = record.sent[received.attempt]
        runs = record.runs_of.get(received.attempt, [])
        if received.status in PROMISES and sent.route not in REPEATABLE and runs:
            text = f"{sent.route} was told {received.status}, ran at {runs[0].upstream}"
            yield received.at_s, received.attempt, text


def services_are_right(record: Record) -> Wrong:
    """Check that a request runs at an upstream of its route's service alone."""
    for run in record.runs.values():
        sent = record.sent.get(run.attempt)
        if sent is not None and run.service != SERVICES[sent.route]:
            yield run.at_s, run.attempt, f"{sent.route} ran at {run.service}"


def inputs_are_own(record: Record) -> Wrong:
    """Check that stages and requests get all inputs of their own, each once."""
    for run in record.runs.values():
        sent = record.sent.get(run.attempt)
        if sent is None or sent.route not in PIECES:
            continue
        counts = [int(count) for count in PIECES[sent.route].split(",")]
        want = make_names(run.attempt, len(counts) - 1, counts[-1])
        handles = get_field(run.fields, "inputs").replace(" ", "").split(",")
        got = read_names(handles)
        if got != want:
            yield run.at_s, run.attempt, f"inputs {got}"
    for item in record.stage_items:
        sent = record.sent.get(item.attempt)
        if sent is None:
            yield item.at_s, item.attempt, "stage work of no request"
        elif item.stage == 0 and item.key != get_field(sent.fields, "piece-key"):
            yield item.at_s, item.attempt, f"stage work with the key {item.key!r}"
        elif item.stage == 1:
            got = read_names(item.inputs)
            if got != make_names(item.attempt, 0, 2):
                yield item.at_s, item.attempt, f"stage inputs {got}"


def read_names(handles: Iterable[str]) -> list[str]:
    """Return request, stage and piece of the results that handles are for."""
    paths = (handle.partition("/")[2] for handle in handles)
    return sorted(path.rpartition("-")[0] for path in paths)


def make_names(attempt: str, stage: int, count: int) -> list[str]:
    """Return the names of all results of a stage."""
    return sorted(f"{attempt}-{stage}-{piece}" for piece in range(count))


def begun_connections_are_left(record: Record) -> Wrong:
    """Check that no request is sent behind the start of another answer.

    Only while no link is held back: there that start comes late, after the request.
    """
    for reused in record.reused:
        since_s = reused.at_s - LINK_FAULT_S
        held_back = is_troubled(record, since_s, reused.at_s, LINK_FAULTS)
        if reused.after_s > REUSE_SLACK_S and not held_back:
            text = f"sent {reused.after_s:.3f} s behind the start of another answer"
            yield reused.at_s, reused.attempt, text

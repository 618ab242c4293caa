"""Checks of what callers of a soak received; each check is one function."""

from __future__ import annotations

import re

from .evidence import Wrong, run_of_seal, successes
from .manifest import STREAMS
from .observations import Received, Record, get_field
from .upstream import EVENTS

EVENT = re.compile(r"id: (\d+)\ndata: (\S+) (\d+)\n(?:data: .*\n)?\n")
"""An event of a stream, which may quote something in a second line."""
PLAIN_WAYS = frozenset({"succeed"})
ODD_WAYS = frozenset({"add_noise", "begin_another", "quote_answers"})
"""Ways to answer that are served as often as plain ones: their answers are whole."""
FEWEST_ANSWERS = 20
"""Answers of a kind of ways from which on its share is judged."""
LEAST_SHARE = 0.75
"""Share of the odd answers that are served, in terms of the share of plain ones."""


def answers_are_own(record: Record) -> Wrong:
    """Check that each answer has the id of its request, where it has one."""
    for received in record.received:
        other = get_field(received.fields, "attempt-id")
        needs_id = 200 <= received.status < 300
        if other != received.attempt and (other or needs_id):
            yield received.at_s, received.attempt, f"answer has the id {other!r}"


def successes_have_runs(record: Record) -> Wrong:
    """Check that each success bears the seal of a run of this very request."""
    for received in successes(record):
        run = run_of_seal(record, received)
        if run is None or run.attempt != received.attempt:
            yield received.at_s, received.attempt, f"success with the seal of {run}"


def statuses_are_first(record: Record) -> Wrong:
    """Check that a sealed answer has the status that its run answered first."""
    for received in record.received:
        run = run_of_seal(record, received)
        first = record.answered.get(run.run) if run else None
        if first is None and run is None:
            continue
        if first is None or first.status != received.status:
            text = f"status {received.status}, the upstream's answer was {first}"
            yield received.at_s, received.attempt, text


def bodies_are_whole(record: Record) -> Wrong:
    """Check that a complete success has the whole body of its run."""
    for received in successes(record):
        run = run_of_seal(record, received)
        first = record.answered.get(run.run) if run else None
        if first is None or not received.complete:
            continue
        if record.sent[received.attempt].route in STREAMS:
            continue
        if first.body != received.body:
            text = f"body {received.body!r}, the run's is {first.body!r}"
            yield received.at_s, received.attempt, text


def streams_are_in_order(record: Record) -> Wrong:
    """Check the events of each stream: its own, in order, all of them if complete."""
    for received in successes(record):
        if record.sent[received.attempt].route not in STREAMS:
            continue
        wrong = describe_events(received)
        if wrong:
            yield received.at_s, received.attempt, wrong


def describe_events(received: Received) -> str:
    """Return what is wrong with the events of a stream, or an empty text."""
    events = EVENT.findall(received.body)
    if any(owner != received.attempt for _, owner, _ in events):
        return f"events of another request: {received.body!r}"
    ids = [int(number) for number, _, _ in events]
    if ids != list(range(1, len(ids) + 1)):
        return f"events {ids}"
    if any(number != told for number, _, told in events):
        return f"events of other numbers: {received.body!r}"
    if received.complete and (
        len(ids) != EVENTS or EVENT.sub("", received.body).strip()
    ):
        return f"ended as complete with events {ids}: {received.body!r}"
    return ""


def whole_answers_are_served(record: Record) -> Wrong:
    """Check that whole answers of odd ways are served nearly as often as plain ones."""
    plain, plain_count = share_served(record, PLAIN_WAYS)
    odd, odd_count = share_served(record, ODD_WAYS)
    if min(plain_count, odd_count) < FEWEST_ANSWERS:
        return
    if odd < LEAST_SHARE * plain:
        text = f"{odd:.2f} of {odd_count} odd answers served, {plain:.2f} of the plain"
        yield record.observations[-1].at_s, "", text


def share_served(record: Record, ways: frozenset[str]) -> tuple[float, int]:
    """Return the share of the successes in some ways that callers got, and their count.

    Answers to callers that gave up are not served, in either kind of ways.
    """
    runs = {
        run
        for run, answered in record.answered.items()
        if answered.way in ways and answered.status == 200
    }
    seen = (run_of_seal(record, received) for received in successes(record))
    served = runs & {run.run for run in seen if run is not None}
    return len(served) / max(1, len(runs)), len(runs)


def idle_connections_are_quiet(record: Record) -> Wrong:
    """Check that no bytes come to a caller that waits for none."""
    for unasked in record.unasked:
        yield unasked.at_s, "", f"{unasked.vm} sent bytes that nobody waited for"

"""Checks of a soak around the stop of a VM; each is one function."""

from __future__ import annotations

from .evidence import TROUBLE_S, Wrong
from .faults import STOP_S, TROUBLES
from .observations import CutOff, Record, Sent, get_field

PLANNED_STOPS = frozenset({"stop_vm", "stop_series"})
READ_S = 0.5
"""So long after its last byte was written, a process has read a request."""
AFTER_STOP_S = 1.0
"""How long after the end of its time a stop can still be the cause."""
ANSWER_S = 1.0
"""Time for an answer that an upstream has begun to reach its caller."""
WHOLE_WAYS = frozenset({"succeed", "chunked", "fail"})
"""Ways of an upstream to answer that break nothing off."""


def stops_answer_requests(record: Record) -> Wrong:
    """Check that no request that a VM has read is cut around its SIGTERM.

    Excused are those whose time is up, whose upstream broke off or is at work, and
    those beside faults that nobody planned.
    """
    for cut in record.cut_off:
        sent = record.sent[cut.attempt]
        stop_s = stop_before(record, sent, cut)
        if stop_s is None or not was_read(record, cut) or is_excused(record, sent, cut):
            continue
        text = (
            f"{sent.route} at {sent.vm} got no answer: sent {sent.at_s - stop_s:+.3f} s"
            f" after SIGTERM, cut {cut.at_s - stop_s:.3f} s after it"
        )
        yield cut.at_s, cut.attempt, text


def stop_before(record: Record, sent: Sent, cut: CutOff) -> float | None:
    """Return when the SIGTERM came that a cut may be due to, or None."""
    since_s = cut.at_s - STOP_S - AFTER_STOP_S
    times_s = [
        signalled.at_s
        for signalled in record.signalled
        if signalled.vm == sent.vm
        and signalled.signal == "SIGTERM"
        and since_s <= signalled.at_s <= cut.at_s
    ]
    return max(times_s, default=None)


def was_read(record: Record, cut: CutOff) -> bool:
    """Return whether the VM had the whole request some time before the cut."""
    if cut.attempt in record.runs_of:
        return True
    written = record.written.get(cut.attempt)
    return written is not None and cut.at_s - written.at_s > READ_S


def is_excused(record: Record, sent: Sent, cut: CutOff) -> bool:
    """Return whether a request may end without an answer."""
    deadline_s = float(get_field(sent.fields, "deadline-ms")) / 1000.0
    if cut.at_s >= sent.at_s + deadline_s:
        return True
    for run in record.runs_of.get(cut.attempt, []):
        answered = record.answered.get(run.run)
        if answered is None or answered.way not in WHOLE_WAYS:
            return True
        if answered.at_s > cut.at_s - ANSWER_S:
            return True
    unplanned = TROUBLES - PLANNED_STOPS
    return any(
        disturbed.fault in unplanned
        and sent.at_s - TROUBLE_S <= disturbed.at_s <= cut.at_s
        for disturbed in record.disturbed
    )

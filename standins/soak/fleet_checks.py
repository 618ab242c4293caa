"""Checks of a soak over many requests, and of processes; each is one function."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter

from .evidence import TROUBLE_S, Wrong, is_troubled, successes
from .faults import RESTARTS, TROUBLES
from .manifest import DRAIN_MS, RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S, SERVICES
from .observations import Record

ENDS_TO_BLAME = 3
MOST_LATE_ENDS = 3
"""Upstreams that a part may end later than `CONTACT_S` after the third one."""
CONTACT_S = 3.0
LONGEST_REFUSAL_S = 10.0
"""How long after the last trouble a sound kind of request may be refused."""
FEWEST_TRIES = 10
"""Requests of a kind from which on it is judged."""
MOST_MEMORY_MB = 150.0
"""Memory of a process of a VM, with the buffers of 16 callers."""

HIDE_ORDERS = TROUBLES - {"stop_vm", "kill_vm", "stop_series"} - RESTARTS
"""Faults that can keep an order from VMs that go on."""


def retries_are_bounded(record: Record) -> Wrong:
    """Check that each service gets few repeats in any window of the limit's length."""
    for service in sorted(set(SERVICES.values())):
        sent_s = sorted(
            sent.at_s
            for sent in record.sent.values()
            if SERVICES[sent.route] == service
        )
        repeats_s = sorted(
            run.at_s
            for runs in record.runs_of.values()
            for run in runs[1:]
            if run.service == service
        )
        for number, at_s in enumerate(repeats_s):
            count = number + 1 - bisect_left(repeats_s, at_s - RETRY_WINDOW_S)
            most = RETRY_RATIO * most_requests(sent_s, at_s) + RETRY_SLACK
            if count > most:
                yield at_s, "", f"{service} got {count} repeats, at most {most:.1f}"
                break


def most_requests(sent_s: list[float], until_s: float) -> int:
    """Return the requests in a window, in that before or in that half a window before.

    The largest number of the three counts.
    """
    ends_s = [until_s - RETRY_WINDOW_S * windows for windows in (0.0, 0.5, 1.0)]
    return max(
        bisect_right(sent_s, end_s) - bisect_left(sent_s, end_s - RETRY_WINDOW_S)
        for end_s in ends_s
    )


def drains_hold(record: Record) -> Wrong:
    """Check that an upstream that leaves gets no requests after its time.

    Only if nothing has troubled VMs, links or the store in the meantime.
    """
    for run in record.runs.values():
        drained = record.drained.get(run.upstream)
        if drained is None or run.at_s <= drained.at_s + DRAIN_MS / 1000.0:
            continue
        if not is_troubled(record, drained.at_s - TROUBLE_S, run.at_s):
            late_s = run.at_s - drained.at_s
            yield run.at_s, run.attempt, f"ran {late_s:.3f} s after {drained}"


def orders_hold(record: Record) -> Wrong:
    """Check that an upstream of a version that nobody judged gets no requests.

    Whatever happens later; only if nothing kept the order from the VMs at first. A
    restart does not.
    """
    for run in record.runs.values():
        ordered = record.ordered.get(run.upstream)
        if ordered is None:
            continue
        since_s, until_s = ordered.at_s - TROUBLE_S, ordered.at_s + TROUBLE_S
        if not is_troubled(record, since_s, until_s, HIDE_ORDERS):
            late_s = run.at_s - ordered.at_s
            yield run.at_s, run.attempt, f"ran {late_s:.3f} s after {ordered}"


def few_upstreams_end(record: Record) -> Wrong:
    """Check that a part of a prompt is kept back soon after it has ended a few."""
    ends: dict[str, list[float]] = {}
    for crashed in record.crashed:
        times_s = ends.setdefault(crashed.poison, [])
        times_s.append(crashed.at_s)
        if len(times_s) <= ENDS_TO_BLAME:
            continue
        blamed_s = times_s[ENDS_TO_BLAME - 1] + CONTACT_S
        late = sum(at_s > blamed_s for at_s in times_s)
        if late > MOST_LATE_ENDS and not is_troubled(
            record, times_s[0] - TROUBLE_S, crashed.at_s
        ):
            text = f"{crashed.poison} ended {late} upstreams after {blamed_s:.1f} s"
            yield crashed.at_s, "", text


def sound_kinds_are_served(record: Record) -> Wrong:
    """Check that each route is served again some time after all faults."""
    faults_s = [disturbed.at_s for disturbed in record.disturbed]
    faults_s += [crashed.at_s for crashed in record.crashed]
    since_s = max(faults_s, default=0.0) + TROUBLE_S + LONGEST_REFUSAL_S
    succeeded = {
        record.sent[received.attempt].route
        for received in successes(record)
        if received.at_s > since_s
    }
    tries = Counter(sent.route for sent in record.sent.values() if sent.at_s > since_s)
    for route, count in tries.items():
        if count >= FEWEST_TRIES and route not in succeeded:
            yield since_s, "", f"none of {count} requests for {route} succeeded"


def memory_is_bounded(record: Record) -> Wrong:
    """Check that no process of a VM needs much more memory than when it was ready."""
    for used in record.memory_used:
        if used.most_mb > MOST_MEMORY_MB:
            text = f"process {used.pid} of {used.vm} has used {used.most_mb:.0f} MB"
            yield used.at_s, "", text


def vms_live_on(record: Record) -> Wrong:
    """Check that no process of a VM ended by itself."""
    for ended in record.ended:
        yield ended.at_s, "", f"{ended.vm} ended by itself with {ended.code}"

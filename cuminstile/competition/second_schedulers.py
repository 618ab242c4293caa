"""Decide what a second scheduler tells the first one about the stages' upstreams.

Designed for cuts between data centres and schedulers that were taken for lost: for some
seconds two VMs give the same upstreams work, and neither knows what the other has
stored there. Does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from ..gateway.handover import WorkerLoad

REPORT_INTERVAL_MS = 400.0
"""Interval of reports: about one call, after which the memory looks different."""
REPORT_LASTS_MS = 1_000.0
"""How long a reported result counts without another report: two reports, one of which
can be late. What the second scheduler frees is not reported any more."""


def reported_loads(loads: Iterable[WorkerLoad]) -> tuple[WorkerLoad, ...]:
    """Return what the first scheduler has to know of some loads; empty for nothing.

    Upstreams that are idle and store nothing are left out.
    """
    return tuple(
        replace(
            load,
            stored=tuple(
                replace(result, left_ms=min(result.left_ms, REPORT_LASTS_MS))
                for result in load.stored
            ),
        )
        for load in loads
        if load.stored or load.busy_ms > 0
    )

"""Reports on the upstreams of this VM's data centre for operators."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice
from typing import TYPE_CHECKING

from ..objects.model import Upstream
from ..upstream.ejection import is_ejected
from ..upstream.limits import own_limit
from ..upstream.table import NEVER_MS, Condition, UpstreamState
from ..upstream.taken_out import is_data_centre_out
from .report import (
    ComponentReport,
    Problem,
    ProblemCode,
    Reporter,
    UpstreamReport,
    UpstreamStatus,
)

if TYPE_CHECKING:
    from ..runtime import Vm

MAX_SHOWN_QUARANTINES = 20
SHOWN_FINGERPRINT_BYTES = 6
STATUS_BY_CONDITION = {
    Condition.COLD: UpstreamStatus.COLD,
    Condition.WARM: UpstreamStatus.WARM,
    Condition.UNAVAILABLE: UpstreamStatus.UNAVAILABLE,
}


def upstreams_reporter(vm: Vm) -> Reporter:
    """Return the function that reports the upstreams of one VM."""

    def report() -> ComponentReport:
        upstreams = tuple(make_upstream_report(vm, item) for item in upstreams_here(vm))
        problems = (*upstream_problems(vm, upstreams), *quarantine_problems(vm))
        return ComponentReport(problems=problems, upstreams=upstreams)

    return report


def upstreams_here(vm: Vm) -> list[Upstream]:
    """Return the upstreams of this VM's data centre, sorted by name."""
    current = vm.configuration.current
    every = current.objects.upstreams.values() if current else ()
    here = (item for item in every if item.data_centre == vm.settings.data_centre)
    return sorted(here, key=lambda item: item.name)


def make_upstream_report(vm: Vm, upstream: Upstream) -> UpstreamReport:
    """Return the report on one upstream; `UNKNOWN` if it was never called or probed."""
    state = vm.upstreams.by_name.get(upstream.name)
    if state is None:
        unknown = UpstreamStatus.UNKNOWN
        return UpstreamReport(upstream.name, upstream.data_centre, unknown)
    now_ms = vm.clock.now_ms()
    return UpstreamReport(
        upstream.name,
        upstream.data_centre,
        upstream_status(state, now_ms),
        state.in_flight,
        own_limit(vm, state, now_ms),
    )


def upstream_status(state: UpstreamState, now_ms: float) -> UpstreamStatus:
    """Return the status of an upstream; a state without calls takes precedence."""
    if state.condition is Condition.UNAVAILABLE:
        return UpstreamStatus.UNAVAILABLE
    if is_ejected(state, now_ms):
        return UpstreamStatus.EJECTED
    if max(state.evidence_ms, state.reported_ms) == NEVER_MS:
        return UpstreamStatus.UNKNOWN
    return STATUS_BY_CONDITION[state.condition]


def upstream_problems(
    vm: Vm, upstreams: tuple[UpstreamReport, ...]
) -> Iterator[Problem]:
    """Yield the upstreams that get few calls or none.

    Cold upstreams are no problem while the data centre is out: they are then treated
    as cold on purpose.
    """
    for item in upstreams:
        match item.state:
            case UpstreamStatus.UNAVAILABLE:
                text = "is shutting down or cannot be reached"
                yield Problem(ProblemCode.UPSTREAM_AWAY, item.name, text)
            case UpstreamStatus.EJECTED:
                text = "failed several times and gets no calls for now"
                yield Problem(ProblemCode.UPSTREAM_EJECTED, item.name, text)
            case UpstreamStatus.COLD if not is_data_centre_out(vm):
                text = "is cold and gets few calls"
                yield Problem(ProblemCode.UPSTREAM_COLD, item.name, text)


def quarantine_problems(vm: Vm) -> Iterator[Problem]:
    """Yield the quarantined requests, at most `MAX_SHOWN_QUARANTINES`.

    They are refused because they crashed upstreams.
    """
    now_ms = vm.clock.now_ms()
    refused = (
        (fingerprint, suspect)
        for fingerprint, suspect in vm.crashes.by_fingerprint.items()
        if now_ms < suspect.quarantined_until_ms
    )
    for fingerprint, suspect in islice(refused, MAX_SHOWN_QUARANTINES):
        left_s = (suspect.quarantined_until_ms - now_ms) / 1000.0
        yield Problem(
            ProblemCode.REQUEST_QUARANTINED,
            f"request {fingerprint[:SHOWN_FINGERPRINT_BYTES].hex()}",
            f"crashed upstreams and is refused for another {left_s:.0f} s",
        )

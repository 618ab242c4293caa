"""Simulated service whose calls are not idempotent, even with the same key."""

import fire

from .calls import ActiveCall, RunLog, marks_of
from .control import UpstreamControl
from .upstream import Upstream, make_upstream, wait_ms
from .upstream_program import make_program


async def take_effect(upstream: Upstream, active: ActiveCall) -> None:
    """Work for the configured time and number the run, to detect duplicate runs."""
    number = upstream.log.runs.index(active.run) + 1
    await wait_ms(upstream.work_time_ms(active.call.version))
    active.output = {
        "stage": active.call.stage,
        "service": upstream.name,
        "run": number,
        "marks": marks_of(active.call.input),
    }


def make_service(name: str, values: UpstreamControl, log: RunLog) -> Upstream:
    """Return a started service, which does not cancel accepted calls."""
    return make_upstream(name, values, take_effect, log, cancels=False)


if __name__ == "__main__":
    fire.Fire(make_program("service", make_service))

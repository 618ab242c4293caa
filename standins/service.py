"""Stand in for a plain service; every call has an effect, also the second of a key."""

import fire

from .calls import Active, RunLog, marks_of
from .control import UpstreamControl
from .upstream import Upstream, make_upstream, wait_ms
from .upstream_program import make_program


async def take_effect(upstream: Upstream, active: Active) -> None:
    """Work for a time and number the run, so that running twice shows."""
    number = upstream.log.runs.index(active.run) + 1
    await wait_ms(upstream.work_time_ms(active.call.version))
    active.output = {
        "stage": active.call.stage,
        "service": upstream.name,
        "run": number,
        "marks": marks_of(active.call.input),
    }


def make_service(name: str, values: UpstreamControl, log: RunLog) -> Upstream:
    """Return a service that has just started; it cancels nothing it has accepted."""
    return make_upstream(name, values, take_effect, log, cancels=False)


if __name__ == "__main__":
    fire.Fire(make_program("service", make_service))

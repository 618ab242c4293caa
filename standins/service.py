"""Stand in for a plain service; every call has an effect, also the second of a key."""

from pathlib import Path

import fire

from .calls import Active, RunLog, marks_of
from .control import UPSTREAM, read_control
from .upstream import Upstream, make_upstream, wait_ms
from .upstream_http import serve_upstream


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


def main(
    port: int = 0, control: str = "{}", name: str = "service", runs: str = ""
) -> None:
    """Serve a service until SIGTERM; it cancels nothing that it has accepted.

    Parameters
    ----------
    port : int
        TCP port; 0 takes a free one, which the line `ready PORT` tells.
    control : str
        Control values at the start, as JSON.
    name : str
        Name of the service.
    runs : str
        File that keeps the runs over restarts; empty for none.
    """
    values = read_control(UPSTREAM, control)
    log = RunLog(Path(runs) if runs else None)
    upstream = make_upstream(name, values, take_effect, log, cancels=False)
    serve_upstream(upstream, port)


if __name__ == "__main__":
    fire.Fire(main)

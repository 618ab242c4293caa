"""Stand in for a pool of encoders, retrievers or rerankers."""

import hashlib
import json
from pathlib import Path

import fire

from .calls import Active, RunLog, marks_of
from .control import UPSTREAM, read_control
from .upstream import Upstream, make_upstream, wait_ms
from .upstream_http import serve_upstream

DIGEST_DIGITS = 16


async def transform(upstream: Upstream, active: Active) -> None:
    """Work for a time and give an output that the input alone decides."""
    call = active.call
    await wait_ms(upstream.work_time_ms(call.version))
    text = json.dumps([call.stage, call.version, call.input], sort_keys=True)
    digest = hashlib.sha256(text.encode()).hexdigest()[:DIGEST_DIGITS]
    active.output = {
        "stage": call.stage,
        "digest": digest,
        "marks": marks_of(call.input),
    }


def main(
    port: int = 0, control: str = "{}", name: str = "pool", runs: str = ""
) -> None:
    """Serve a pool until SIGTERM.

    Parameters
    ----------
    port : int
        TCP port; 0 takes a free one, which the line `ready PORT` tells.
    control : str
        Control values at the start, as JSON.
    name : str
        Name of the pool.
    runs : str
        File that keeps the runs over restarts; empty for none.
    """
    values = read_control(UPSTREAM, control)
    log = RunLog(Path(runs) if runs else None)
    upstream = make_upstream(name, values, transform, log)
    serve_upstream(upstream, port)


if __name__ == "__main__":
    fire.Fire(main)

"""Simulated pool of encoders, retrievers or rerankers."""

import hashlib
import json

import fire

from .calls import ActiveCall, RunLog, marks_of
from .control import UpstreamControl
from .upstream import Upstream, make_upstream, wait_ms
from .upstream_program import make_program

DIGEST_DIGITS = 16


async def transform(upstream: Upstream, active: ActiveCall) -> None:
    """Work for the configured time and set an output that depends on the call alone."""
    call = active.call
    await wait_ms(upstream.work_time_ms(call.version))
    text = json.dumps([call.stage, call.version, call.input], sort_keys=True)
    digest = hashlib.sha256(text.encode()).hexdigest()[:DIGEST_DIGITS]
    active.output = {
        "stage": call.stage,
        "digest": digest,
        "marks": marks_of(call.input),
    }


def make_pool(name: str, values: UpstreamControl, log: RunLog) -> Upstream:
    """Return a started pool."""
    return make_upstream(name, values, transform, log)


if __name__ == "__main__":
    fire.Fire(make_program("pool", make_pool))

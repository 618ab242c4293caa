"""Steps of a scenario that send requests, one by one or in bursts."""

from dataclasses import replace

from .arrangement import caller_key
from .caller import CallerRequest, wall_ms
from .load import LoadProfile, RequestKind, run_load
from .scenario_session import SentRequests, Session, make_sender

PIPELINE_DEADLINE_MS = 4_000


async def send_one(
    session: Session,
    pipeline: str,
    *,
    name: str,
    via: str = "",
    key: str = "",
    resend: int = 0,
    deadline: int = PIPELINE_DEADLINE_MS,
    background: str = "no",
    mark: str = "",
) -> None:
    """Send one request; wait for its reply unless `background` is `yes`."""
    request_key = key or name
    request = CallerRequest(
        pipeline=pipeline,
        key=caller_key("north"),
        mark=mark or name,
        deadline_ms=deadline,
        stream=is_streaming(session, pipeline),
        idempotency_key=request_key if is_unrepeatable(session, pipeline) else "",
        issued_at_ms=wall_ms() if is_unrepeatable(session, pipeline) else 0,
        input={"prompt": "How many panels?"},
    )
    if request_key in session.issue_times_ms:
        issued_at_ms = session.issue_times_ms[request_key]
        request = replace(request, issued_at_ms=issued_at_ms, is_resend=True)
    elif request.issued_at_ms:
        session.issue_times_ms[request_key] = request.issued_at_ms
    sent = session.requests[name] = SentRequests()

    async def run() -> None:
        reply = await make_sender(session, via, resend)(request)
        sent.replies.append(reply)
        sent.done.set()

    if background == "yes":
        session.tasks.start_soon(run)
    else:
        await run()


def is_unrepeatable(session: Session, pipeline: str) -> bool:
    """Return whether a pipeline has a stage that must not be repeated."""
    index = session.index
    steps = index.pipelines[pipeline].steps
    return not all(index.stages[step.stage].repeatable for step in steps)


def is_streaming(session: Session, pipeline: str) -> bool:
    """Return whether the last stage of a pipeline streams tokens."""
    index = session.index
    return index.stages[index.pipelines[pipeline].steps[-1].stage].streams


async def burst(
    session: Session,
    pipeline: str,
    *,
    name: str,
    rate: float = 10.0,
    seconds: float = 3.0,
    via: str = "",
    resend: int = 0,
    seed: int = 1,
) -> None:
    """Send requests in the background for some seconds.

    Parameters
    ----------
    rate : float
        Mean number of requests per second.
    """
    kind = RequestKind(
        pipeline,
        PIPELINE_DEADLINE_MS,
        stream=is_streaming(session, pipeline),
        unrepeatable=is_unrepeatable(session, pipeline),
    )
    organisations = (("north", 1.0), ("south", 1.0))
    load = LoadProfile((kind,), organisations, rate, seconds * 1000.0, seed, name=name)
    sent = session.requests[name] = SentRequests()

    async def run() -> None:
        await run_load(load, make_sender(session, via, resend), sent.record)
        sent.done.set()

    session.tasks.start_soon(run)


async def settle(session: Session, *names: str) -> None:
    """Wait until all requests sent under the names have their last reply."""
    for name in names:
        await session.requests[name].done.wait()

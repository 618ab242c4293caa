"""Open-loop load generator: arrivals do not wait for responses."""

import math
import random
from collections.abc import Awaitable, Callable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any

import anyio

from .arrangement import caller_key
from .caller import CallerRequest, Reply, Result, now_ms, wall_ms

PROMPT_REPEATS = 20


@dataclass(frozen=True)
class RequestKind:
    """Kind of request in a load.

    Parameters
    ----------
    weight : float
        Share of the requests, relative to the other kinds.
    unrepeatable : bool
        Whether the requests have an idempotency key.
    max_tokens : int
        Maximum number of tokens requested; 0 uses the default of the engine.
    """

    pipeline: str
    deadline_ms: int
    weight: float = 1.0
    stream: bool = False
    unrepeatable: bool = False
    max_tokens: int = 0


@dataclass(frozen=True)
class Burst:
    """Period with a multiple of the rate; times in ms from the start of the load."""

    at_ms: float
    for_ms: float
    factor: float


@dataclass(frozen=True)
class LoadProfile:
    """Parameters of a load.

    Parameters
    ----------
    rate_per_s : float
        Mean number of arrivals per second outside bursts.
    organisations : tuple of (str, float)
        Each organisation and its share of the requests, relative to the others.
    """

    kinds: tuple[RequestKind, ...]
    organisations: tuple[tuple[str, float], ...]
    rate_per_s: float
    duration_ms: float
    seed: int
    bursts: tuple[Burst, ...] = ()
    name: str = "load"


@dataclass
class LoadRecord:
    """Replies of a load in the order in which the requests were sent.

    Parameters
    ----------
    sent_ms : list of float
        Time at which each request was sent, ms from the start of the load.
    """

    replies: list[Reply] = field(default_factory=list)
    sent_ms: list[float] = field(default_factory=list)


def rate_at(load: LoadProfile, at_ms: float) -> float:
    """Return the mean number of arrivals per second at a time."""
    rate = load.rate_per_s
    for burst in load.bursts:
        if burst.at_ms <= at_ms < burst.at_ms + burst.for_ms:
            rate *= burst.factor
    return rate


def arrivals(load: LoadProfile, rng: random.Random) -> Iterator[float]:
    """Yield the times of Poisson arrivals, ms from the start.

    Uses thinning: draws at the highest rate and keeps each arrival with the
    probability of the current rate divided by the highest.
    """
    highest = max([load.rate_per_s] + [rate_at(load, b.at_ms) for b in load.bursts])
    at_ms = 0.0
    while True:
        at_ms += rng.expovariate(highest) * 1000.0
        if at_ms >= load.duration_ms:
            return
        if rng.random() * highest < rate_at(load, at_ms):
            yield at_ms


def draw_request(load: LoadProfile, number: int, rng: random.Random) -> CallerRequest:
    """Draw the request with the given number."""
    kind = choose_weighted(load.kinds, [item.weight for item in load.kinds], rng)
    names = [name for name, _ in load.organisations]
    organisation = choose_weighted(
        names, [share for _, share in load.organisations], rng
    )
    mark = f"{load.name}-{load.seed}-{number}"
    body: dict[str, Any] = {"prompt": prompt(organisation, rng)}
    if kind.max_tokens:
        body["max_tokens"] = kind.max_tokens
    return CallerRequest(
        pipeline=kind.pipeline,
        key=caller_key(organisation),
        mark=mark,
        deadline_ms=kind.deadline_ms,
        stream=kind.stream,
        idempotency_key=mark if kind.unrepeatable else "",
        issued_at_ms=wall_ms() if kind.unrepeatable else 0,
        input=body,
    )


def choose_weighted(
    items: Sequence[Any], weights: Sequence[float], rng: random.Random
) -> Any:
    """Return a random item, chosen by weight."""
    return rng.choices(items, weights)[0]


def prompt(organisation: str, rng: random.Random) -> str:
    """Return a prompt that begins with the organisation's standard terms."""
    terms = f"Standard terms of {organisation}. " * PROMPT_REPEATS
    return f"{terms}Question {rng.randrange(10_000)}."


async def run_load(
    load: LoadProfile,
    send: Callable[[CallerRequest], Awaitable[Reply]],
    record: LoadRecord,
) -> None:
    """Send the requests of a load and wait for all replies."""
    rng = random.Random(load.seed)
    began_ms = now_ms()

    async def send_one(index: int, request: CallerRequest) -> None:
        record.replies[index] = await send(request)

    async with anyio.create_task_group() as tasks:
        for number, at_ms in enumerate(arrivals(load, rng)):
            request = draw_request(load, number, rng)
            await anyio.sleep(max(0.0, began_ms + at_ms - now_ms()) / 1000.0)
            record.sent_ms.append(now_ms() - began_ms)
            record.replies.append(pending_reply(request))
            tasks.start_soon(send_one, len(record.replies) - 1, request)


def pending_reply(request: CallerRequest) -> Reply:
    """Return the provisional reply of a request that has no response yet."""
    return Reply(request, "", Result.LOST, ran="unknown", latency_ms=math.inf)

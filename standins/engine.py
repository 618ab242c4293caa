"""Simulated model engine with continuous batching and token streams."""

import hashlib
import json
import random
from typing import Any

import fire
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from .calls import ActiveCall, Call, RunLog, marks_of, values_under
from .control import UpstreamControl
from .prefix_cache import PrefixCache
from .upstream import Upstream, make_upstream, now_ms, wait_ms
from .upstream_program import make_program

WORDS = (
    "panel",
    "depot",
    "crew",
    "hire",
    "quote",
    "terms",
    "branch",
    "foreman",
    "van",
    "stock",
    "hive",
    "roof",
    "keeper",
    "swarm",
    "frame",
    "honey",
)
DEFAULT_SLOWDOWN = 0.05
MAX_TOKENS = 100_000


def prompt_of(value: Any) -> str:
    """Return the value of the key `prompt` in an input, or else the whole input."""
    for prompt in values_under(value, "prompt"):
        return str(prompt)
    return json.dumps(value, sort_keys=True)


def token_count(call: Call, default: int) -> int:
    """Return the number of tokens in the complete answer."""
    for count in values_under(call.input, "max_tokens"):
        return max(1, min(int(count), MAX_TOKENS))
    return default


def tokens_of(call: Call, count: int) -> list[str]:
    """Return the complete answer, identical on every engine for the same input."""
    text = json.dumps([call.stage, call.version, call.input], sort_keys=True)
    rng = random.Random(hashlib.sha256(text.encode()).digest())
    return [rng.choice(WORDS) for _ in range(count)]


async def generate(upstream: Upstream, active: ActiveCall, cache: PrefixCache) -> None:
    """Process the prompt, then generate tokens; concurrent calls slow each other."""
    call, values = active.call, upstream.values
    tokens = tokens_of(call, token_count(call, values.tokens))
    prompt = prompt_of(call.input)
    missing = cache.use(prompt, values.cache_blocks, now_ms())
    prefill_ms = missing * values.prefill_ms * upstream.slowness()
    await wait_ms(upstream.work_time_ms(call.version) + prefill_ms)
    due_ms = now_ms()
    for token in tokens[call.resume_at :]:
        due_ms += token_time_ms(upstream, call)
        await wait_ms(due_ms - now_ms())
        active.tokens.append(token)
        active.wake()
    active.output = {"text": " ".join(tokens), "marks": marks_of(call.input)}


def token_time_ms(upstream: Upstream, call: Call) -> float:
    """Return the time to generate the next token at the current load, in ms."""
    fault_ms = upstream.version_fault(call.version).token_ms
    usual_ms = upstream.values.token_ms if fault_ms is None else fault_ms
    return usual_ms * upstream.slowness()


def cache_route(upstream: Upstream, cache: PrefixCache) -> Route:
    """Return the route of the cache events, delayed and with gaps."""

    async def cache_events(request: Request) -> Response:
        after = int(request.query_params.get("after", "0"))
        values = upstream.values
        events = cache.events_before(after, now_ms() - values.cache_lag_ms)
        kept = [
            {"seq": event.seq, "prefix": event.prefix, "added": event.added}
            for event in events
            if not is_left_out(event.seq, values.seed, values.cache_gap_fraction)
        ]
        following = events[-1].seq if events else after
        return JSONResponse({"next": following, "events": kept})

    return Route("/cache-events", cache_events, methods=["GET"])


def is_left_out(seq: int, seed: int, fraction: float) -> bool:
    """Return whether an event is omitted; the result is the same for every reader."""
    return random.Random(seed * 1_000_003 + seq).random() < fraction


def serve_engine() -> None:
    """Serve an engine with its prefix cache."""
    cache = PrefixCache()

    async def perform(upstream: Upstream, active: ActiveCall) -> None:
        await generate(upstream, active, cache)

    def make_engine(name: str, values: UpstreamControl, log: RunLog) -> Upstream:
        return make_upstream(name, values, perform, log)

    def more(upstream: Upstream) -> list[Route]:
        return [cache_route(upstream, cache)]

    fire.Fire(make_program("engine", make_engine, DEFAULT_SLOWDOWN, more))


if __name__ == "__main__":
    serve_engine()

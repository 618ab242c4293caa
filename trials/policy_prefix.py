"""Compare prefix affinity with other choices among engines that cache prefixes."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from cuminstile.calls import StageCall
from cuminstile.rendezvous import weight
from cuminstile.settings import LimitSettings
from cuminstile.upstream.choice import (
    CHOICES,
    PREFIX_CHARS,
    Choice,
    expected_load,
    least_loaded,
    make_round_robin,
    prefix_affinity,
    shortest_time,
)
from cuminstile.upstream.table import UpstreamState
from standins.prefix_cache import BLOCK_CHARS, PrefixCache

from .policy_tables import Study, figure
from .policy_trial import (
    Load,
    PolicyTrial,
    TrialUpstream,
    good_fraction,
    policy_trial,
    quantile,
    start_vms,
)

WARM_UP_MS = 6_000.0
RUN_MS = 8_000.0
DRAIN_MS = 5_000.0
LATENCY_TARGET_MS = 400.0
PREFILL_MS = 10.0
CACHE_BLOCKS = 200
COMMON_BLOCKS = 2
LOAD_BOUND = 1.25


@dataclass
class Engine:
    """Prefix cache of one engine, with counts of the blocks that it lacked.

    Parameters
    ----------
    asked, missing : int
        The number of blocks of all prompts, and of those not in the cache.
    """

    cache: PrefixCache = field(default_factory=PrefixCache)
    asked: int = 0
    missing: int = 0

    def prefill_ms(self, value: object) -> float:
        """Return the time to process the blocks of a prompt that the cache lacks."""
        prompt = str(value["prompt"]) if isinstance(value, dict) else ""
        missing = self.cache.use(prompt, CACHE_BLOCKS, 0.0)
        self.asked += len(prompt) // BLOCK_CHARS
        self.missing += missing
        return missing * PREFILL_MS


@dataclass(frozen=True)
class PrefixCase:
    """Conversations and load of a trial.

    Parameters
    ----------
    conversations : int
        Their number. Each has a prefix of 4 to 16 blocks; the first two blocks are
        the same for all.
    skew : float
        The exponent of the power law by which conversations are chosen: the first
        ones get more requests. 0 gives all the same.
    """

    calls_per_s: float
    conversations: int = 100
    skew: float = 0.5
    base_ms: tuple[float, ...] = (60.0,) * 6


@dataclass(frozen=True)
class PrefixResult:
    """Figures of one trial of a choice among engines."""

    hits: float = figure("blocks found in the cache")
    p50_ms: float = figure("p50, ms", 0)
    p95_ms: float = figure("p95, ms", 0)
    attained: float = figure("answered within 400 ms", 3)


def affinity_by_load(
    candidates: Sequence[UpstreamState], call: StageCall, now_ms: float
) -> UpstreamState:
    """Choose the engine of the prefix, or the least loaded one if it is overloaded.

    An engine is overloaded if its load is more than one call above `LOAD_BOUND` times
    the mean.
    """
    loads = {state.name: expected_load(state, now_ms) for state in candidates}
    bound = LOAD_BOUND * sum(loads.values()) / len(loads)
    beginning = call.input["prompt"][:PREFIX_CHARS]
    first = max(candidates, key=lambda state: weight(beginning, state.name))
    if loads[first.name] <= bound + 1.0 / first.capacity:
        return first
    return least_loaded(candidates, call, now_ms)


def make_prompt_generator(
    case: PrefixCase, seed: int
) -> Callable[[random.Random], str]:
    """Return a function that makes a prompt of a random conversation."""
    draws = random.Random(f"prompts-{seed}")
    common = "c" * BLOCK_CHARS * COMMON_BLOCKS
    prefixes = [
        common + f"{number:0{BLOCK_CHARS}d}" * draws.randint(2, 14)
        for number in range(case.conversations)
    ]
    weights = [1.0 / (number + 1) ** case.skew for number in range(len(prefixes))]

    def prompt_of(draws: random.Random) -> str:
        return draws.choices(prefixes, weights)[0] + f"{draws.random()}"

    return prompt_of


async def run(case: PrefixCase, make: Callable[[], Choice], seed: int) -> PrefixResult:
    """Run one trial and return its figures."""
    load = Load(case.base_ms, 8, case.calls_per_s, slowdown=0.05, report_lag_ms=1_000.0)
    async with policy_trial(load, seed) as trial:
        trial.patch.setitem(CHOICES, LimitSettings().engine_choice, make())
        trial.prompt_of = make_prompt_generator(case, seed)
        engines = attach_caches(trial)
        await start_vms(trial)
        await trial.offer(WARM_UP_MS)
        start_ms = trial.now_ms
        for engine in engines:
            engine.asked = engine.missing = 0
        await trial.offer(RUN_MS)
        end_ms = trial.now_ms
        await trial.centre.clock.advance_ms(DRAIN_MS)
    finished = trial.between(start_ms, end_ms)
    times = [item.elapsed_ms for item in finished]
    asked = sum(engine.asked for engine in engines)
    missing = sum(engine.missing for engine in engines)
    return PrefixResult(
        1.0 - missing / asked,
        quantile(times, 0.5),
        quantile(times, 0.95),
        good_fraction(finished, LATENCY_TARGET_MS),
    )


def attach_caches(trial: PolicyTrial) -> list[Engine]:
    """Attach a prefix cache to each upstream."""
    return [attach_cache(trial, fake) for fake in trial.upstreams]


def attach_cache(trial: PolicyTrial, fake: TrialUpstream) -> Engine:
    """Attach a prefix cache to one upstream."""
    engine = Engine()
    trial.patch.setattr(fake, "extra_ms", engine.prefill_ms)
    return engine


UNEQUAL_MS = (60.0, 60.0, 60.0, 120.0, 120.0, 240.0)

STUDY = Study(
    {
        "100 conversations, 80 calls/s": PrefixCase(80.0),
        "100 conversations, 180 calls/s": PrefixCase(180.0),
        "100 conversations, unequal speed": PrefixCase(120.0, base_ms=UNEQUAL_MS),
        "10,000 conversations, unequal speed": PrefixCase(
            80.0, 10_000, 0.0, UNEQUAL_MS
        ),
    },
    {
        "prefix_affinity": lambda: prefix_affinity,
        "shortest_time": lambda: shortest_time,
        "least_loaded": lambda: least_loaded,
        "round_robin": make_round_robin,
        "affinity bounded by load": lambda: affinity_by_load,
    },
    run,
)

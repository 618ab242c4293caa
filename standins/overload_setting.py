"""The small system and the load that are used to measure overload."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from cuminstile.objects.model import (
    AnyObject,
    DataCentre,
    Organisation,
    Pipeline,
    Role,
    Stage,
    Step,
    Upstream,
    UpstreamVersion,
)

from .arrangement import Arrangement, caller_key, plan_vms
from .load import Burst, LoadProfile, RequestKind

VM_COUNTS = {"north": 2, "south": 1}
LARGE = "large"
SMALL = ("small-a", "small-b", "small-c")
SMALL_SHARE = 0.3
PIPELINE = "answer"
STAGES = {
    "retrieve": (Role.POOL, 8),
    "generate": (Role.ENGINE, 4),
    "check": (Role.SERVICE, 4),
}
TOKENS = 20
CONTROLS: Mapping[str, Mapping[str, Any]] = {
    "retrieve": {"work_ms": 20, "jitter_ms": 10},
    "generate": {"work_ms": 100, "jitter_ms": 40, "token_ms": 8, "slowdown": 0.05},
    "check": {"work_ms": 80, "jitter_ms": 30},
}
GENERATE_MS = (100 + TOKENS * 8) * (1.0 + 3 * 0.05)
CAPACITY_PER_S = len(VM_COUNTS) * STAGES["generate"][1] / GENERATE_MS * 1000.0
DEADLINE_MS = 2_000
BURST_FACTOR = 2.0
BURST_DURATION_SHARE = 0.25
# The burst lies within the part of the run whose answers are counted.
BURST_START_SHARE = 0.4


@dataclass(frozen=True)
class Policy:
    """Named settings of the limits, to be compared with others."""

    name: str
    limits: Mapping[str, Any]


POLICIES = (
    Policy("predicted", {}),
    Policy("fair shares", {"predict": False}),
    Policy("first come", {"predict": False, "order": "first_come"}),
)


def arrange(policy: Policy) -> Arrangement:
    """Return two data centres that serve one pipeline of three stages."""
    return Arrangement(
        objects=all_objects(),
        vms=plan_vms(VM_COUNTS),
        controls={
            name: {"warm_after_runs": 0, **values} for name, values in CONTROLS.items()
        },
        settings={"shutdown_linger_ms": 0, "limits": dict(policy.limits)},
    )


def all_objects() -> tuple[AnyObject, ...]:
    """Return the operators' objects of the system."""
    objects: list[AnyObject] = []
    steps: list[Step] = []
    for stage, (role, capacity) in STAGES.items():
        needs = (steps[-1].name,) if steps else ()
        steps.append(Step(stage, stage, needs))
        version = f"{stage}-1"
        streams = role is Role.ENGINE
        objects.append(Stage("stage", stage, role, streams=streams))
        objects.append(UpstreamVersion("upstream_version", version, stage))
        objects += [upstream(stage, centre, capacity) for centre in VM_COUNTS]
    objects += [DataCentre("data_centre", name, "region") for name in VM_COUNTS]
    objects += [organisation(name) for name in (LARGE, *SMALL)]
    objects.append(Pipeline("pipeline", PIPELINE, tuple(steps), DEADLINE_MS))
    return tuple(objects)


def upstream(stage: str, centre: str, capacity: int) -> Upstream:
    """Return the upstream that serves a stage in a data centre."""
    return Upstream(
        "upstream",
        f"{stage}-{centre}",
        centre,
        "127.0.0.1:1",
        (f"{stage}-1",),
        capacity=capacity,
    )


def organisation(name: str) -> Organisation:
    """Return an organisation with the digest of its callers' key."""
    digest = hashlib.sha256(caller_key(name).encode()).hexdigest()
    return Organisation("organisation", name, (digest,))


def loads_at(
    factor: float, duration_ms: float, seed: int, capacity_per_s: float = CAPACITY_PER_S
) -> tuple[LoadProfile, ...]:
    """Return the loads that add up to a multiple of the capacity.

    The small organisations send the same number of requests at every factor, fewer
    than their fair shares allow. The large organisation sends the rest, with a burst.
    """
    small_per_s = SMALL_SHARE * capacity_per_s
    mean_per_s = factor * capacity_per_s - small_per_s
    base_per_s = mean_per_s / (1.0 + (BURST_FACTOR - 1.0) * BURST_DURATION_SHARE)
    burst = Burst(
        BURST_START_SHARE * duration_ms,
        BURST_DURATION_SHARE * duration_ms,
        BURST_FACTOR,
    )
    kinds = (RequestKind(PIPELINE, DEADLINE_MS, max_tokens=TOKENS),)
    name = f"{factor:.1f}"
    return (
        LoadProfile(
            kinds,
            tuple((item, 1.0) for item in SMALL),
            small_per_s,
            duration_ms,
            seed,
            name=f"small-{name}",
        ),
        LoadProfile(
            kinds,
            ((LARGE, 1.0),),
            base_per_s,
            duration_ms,
            seed + 1_000,
            (burst,),
            f"large-{name}",
        ),
    )

"""Test cuminstile.claims in seeded rounds of mixed faults.

CUMINSTILE_ROUNDS gives the number of rounds; the seeds are 0, 1, 2 and so on.
"""

import os
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace

import anyio
import pytest

from cuminstile.exceptions import ErrorCode, RunStatus
from cuminstile.records.claim_records import key_of, partition_of, stream_of

from .fakes.bookings import Cluster, Reply

ROUNDS = int(os.environ.get("CUMINSTILE_ROUNDS", "20"))
NAMES = ("a1", "a2", "b1", "b2")
KEYS = tuple(f"k{number}" for number in range(8))
ROUND_MS = 20_000.0
FINAL_SENDING = 9


async def call_until_known(cluster: Cluster, rng: random.Random, key: str) -> None:
    """Act as a caller: send a key several times, with deadlines and VMs at random."""
    await cluster.clock.sleep_ms(rng.uniform(0.0, 8_000.0))
    first = cluster.call(key)
    for number in range(4):
        deadline_ms = cluster.clock.now_ms() + rng.choice((300.0, 1_000.0, 4_000.0))
        call = replace(first, request=f"{key}.{number}", deadline_ms=deadline_ms)
        if number == 2 and rng.random() < 0.2:
            call = replace(call, input={"key": "other"})
        names = rng.sample(NAMES, rng.choice((1, 1, 2)))
        for position, name in enumerate(names):
            duplicate = replace(call, request=f"{call.request}.{position}")
            cluster.tasks.start_soon(cluster.send, name, duplicate)
        # The caller may send again while the previous attempt still runs.
        await cluster.clock.sleep_ms(rng.uniform(20.0, 2_500.0))


async def disturb(
    cluster: Cluster, rng: random.Random, scope: anyio.CancelScope
) -> None:
    """Cause faults at random times until `scope` ends; most of them end again."""
    with scope:
        await cause_faults(cluster, rng)


async def cause_faults(cluster: Cluster, rng: random.Random) -> None:
    """Cause several faults, one after another."""
    faults: tuple[Callable[[str], None], ...] = (
        cluster.kill,
        cluster.freeze,
        cluster.cut,
        lambda name: set_unavailable(cluster, (name,), True),
        lambda name: set_unavailable(cluster, NAMES, True),
        lambda name: trim_some(cluster, rng),
    )
    for _ in range(6):
        await cluster.clock.sleep_ms(rng.uniform(100.0, 2_500.0))
        name = rng.choice(NAMES)
        rng.choice(faults)(name)
        await cluster.clock.sleep_ms(rng.uniform(50.0, 2_500.0))
        if rng.random() < 0.7:
            await end_faults(cluster, name)


def set_unavailable(
    cluster: Cluster, names: tuple[str, ...], is_unavailable: bool
) -> None:
    """Disconnect VMs from the platform or connect them again."""
    for name in names:
        cluster.nodes[name].platform.is_unavailable = is_unavailable


def trim_some(cluster: Cluster, rng: random.Random) -> None:
    """Trim the stream of a random key to its last record."""
    stream = stream_of(partition_of(key_of(cluster.call(rng.choice(KEYS)))))
    cluster.log.trim(stream)


async def end_faults(cluster: Cluster, name: str) -> None:
    """End all faults of one VM and the platform's faults for all VMs."""
    set_unavailable(cluster, NAMES, False)
    cluster.thaw(name)
    if cluster.nodes[name].is_dead or not cluster.nodes[name].vm.sessions.by_name:
        await cluster.start(name, name[0])


async def run_round(seed: int) -> Cluster:
    """Run one round and return the cluster with its runs and replies."""
    rng = random.Random(seed)
    async with anyio.create_task_group() as tasks:
        cluster = Cluster(tasks, seed)
        cluster.fail_fraction = 0.1
        cluster.connect_ms = rng.choice((1.0, 20.0, 200.0))
        cluster.work_ms = rng.choice((5.0, 200.0, 1_500.0))
        for name in NAMES:
            node = await cluster.start(name, name[0])
            node.platform.lost_answer_fraction = rng.choice((0.0, 0.3))
            node.platform.late_append_fraction = rng.choice((0.0, 0.2))
            node.platform.late_ms = rng.choice((50.0, 700.0, 5_000.0))
            node.platform.delay_ms = rng.choice((1.0, 5.0, 100.0))
        for key in KEYS:
            tasks.start_soon(call_until_known, cluster, rng, key)
        faults = anyio.CancelScope()
        tasks.start_soon(disturb, cluster, rng, faults)
        await cluster.clock.advance_ms(ROUND_MS)
        faults.cancel()
        for name in NAMES:
            await end_faults(cluster, name)
        await cluster.clock.advance_ms(10_000.0)
        for key in KEYS:
            first = next(
                item for item in cluster.replies if item.call.idempotency_key == key
            )
            call = replace(cluster.resend(first, FINAL_SENDING), input={"key": key})
            tasks.start_soon(cluster.send, rng.choice(NAMES), call)
        await cluster.clock.advance_ms(10_000.0)
        tasks.cancel_scope.cancel()
    return cluster


def is_false_refusal(cluster: Cluster, reply: Reply) -> bool:
    """Return whether a refusal reports `not_run` although its attempt has run."""
    requests = {run.request for run in cluster.runs}
    return reply.ran is RunStatus.NOT_RUN and reply.call.request in requests


def has_run(cluster: Cluster, reply: Reply) -> bool:
    """Return whether the key of an attempt has run with the attempt's body."""
    return any(
        run.key == reply.call.idempotency_key and run.input == reply.call.input
        for run in cluster.runs
    )


def is_wrong_answer(reply: Reply) -> bool:
    """Return whether an answer belongs to another request."""
    if reply.outcome is None:
        return False
    return bool(reply.outcome.output != {"booked": reply.call.input})


def is_unresolved(cluster: Cluster, reply: Reply) -> bool:
    """Return whether the final attempt, after all faults, denies an earlier run.

    It must be answered or refused with `unknown`. `not_run` is allowed only if the key
    was claimed for another body and no run had this one.
    """
    if not reply.call.request.endswith(f".{FINAL_SENDING}"):
        return False
    if reply.outcome is not None or reply.ran is RunStatus.UNKNOWN:
        return False
    code = reply.error.code if reply.error else None
    return code is not ErrorCode.KEY_REUSED or has_run(cluster, reply)


@pytest.mark.parametrize("seed", range(ROUNDS))
async def test_no_run_is_repeated_and_no_refusal_or_answer_is_wrong(seed: int) -> None:
    cluster = await run_round(seed)
    runs = Counter(run.key for run in cluster.runs)
    assert [key for key, count in runs.items() if count > 1] == []
    assert [
        reply for reply in cluster.replies if is_false_refusal(cluster, reply)
    ] == []
    assert [reply for reply in cluster.replies if is_wrong_answer(reply)] == []
    assert [reply for reply in cluster.replies if is_unresolved(cluster, reply)] == []
    codes = {reply.error.code for reply in cluster.replies if reply.error}
    assert ErrorCode.INTERNAL not in codes

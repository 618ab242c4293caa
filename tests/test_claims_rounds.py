"""Test cuminstile.claims over seeded rounds of mixed faults.

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


async def call_until_known(made: Cluster, chance: random.Random, key: str) -> None:
    """Be a caller: send a key, and send it again until its fate is known."""
    await made.clock.sleep_ms(chance.uniform(0.0, 8_000.0))
    first = made.call(key)
    for number in range(4):
        deadline_ms = made.clock.now_ms() + chance.choice((300.0, 1_000.0, 4_000.0))
        call = replace(first, request=f"{key}.{number}", deadline_ms=deadline_ms)
        if number == 2 and chance.random() < 0.2:
            call = replace(call, input={"key": "other"})
        names = chance.sample(NAMES, chance.choice((1, 1, 2)))
        for position, name in enumerate(names):
            twin = replace(call, request=f"{call.request}.{position}")
            made.tasks.start_soon(made.send, name, twin)
        # An impatient caller sends again while the last sending still runs.
        await made.clock.sleep_ms(chance.uniform(20.0, 2_500.0))


async def disturb(
    made: Cluster, chance: random.Random, scope: anyio.CancelScope
) -> None:
    """Cause faults at random moments until `scope` ends, and end most of them."""
    with scope:
        await cause_faults(made, chance)


async def cause_faults(made: Cluster, chance: random.Random) -> None:
    """Cause several faults, one after another."""
    faults: tuple[Callable[[str], None], ...] = (
        made.kill,
        made.freeze,
        made.cut,
        lambda name: set_away(made, (name,), True),
        lambda name: set_away(made, NAMES, True),
        lambda name: trim_some(made, chance),
    )
    for _ in range(6):
        await made.clock.sleep_ms(chance.uniform(100.0, 2_500.0))
        name = chance.choice(NAMES)
        chance.choice(faults)(name)
        await made.clock.sleep_ms(chance.uniform(50.0, 2_500.0))
        if chance.random() < 0.7:
            await heal(made, name)


def set_away(made: Cluster, names: tuple[str, ...], is_unavailable: bool) -> None:
    """Cut VMs off from the platform, or let them reach it again."""
    for name in names:
        made.nodes[name].platform.is_unavailable = is_unavailable


def trim_some(made: Cluster, chance: random.Random) -> None:
    """Trim one stream to its last record."""
    stream = stream_of(partition_of(key_of(made.call(chance.choice(KEYS)))))
    made.log.trim(stream)


async def heal(made: Cluster, name: str) -> None:
    """End every fault of one VM, and the platform's for all."""
    set_away(made, NAMES, False)
    made.thaw(name)
    if made.nodes[name].is_dead or not made.nodes[name].vm.sessions.by_name:
        await made.start(name, name[0])


async def run_round(seed: int) -> Cluster:
    """Run one round and return all that happened."""
    chance = random.Random(seed)
    async with anyio.create_task_group() as tasks:
        made = Cluster(tasks, seed)
        made.fail_fraction = 0.1
        made.connect_ms = chance.choice((1.0, 20.0, 200.0))
        made.work_ms = chance.choice((5.0, 200.0, 1_500.0))
        for name in NAMES:
            node = await made.start(name, name[0])
            node.platform.lost_answer_fraction = chance.choice((0.0, 0.3))
            node.platform.late_append_fraction = chance.choice((0.0, 0.2))
            node.platform.late_ms = chance.choice((50.0, 700.0, 5_000.0))
            node.platform.delay_ms = chance.choice((1.0, 5.0, 100.0))
        for key in KEYS:
            tasks.start_soon(call_until_known, made, chance, key)
        faults = anyio.CancelScope()
        tasks.start_soon(disturb, made, chance, faults)
        await made.clock.advance_ms(ROUND_MS)
        faults.cancel()
        for name in NAMES:
            await heal(made, name)
        await made.clock.advance_ms(10_000.0)
        for key in KEYS:
            first = next(
                item for item in made.replies if item.call.idempotency_key == key
            )
            call = replace(made.resend(first, FINAL_SENDING), input={"key": key})
            tasks.start_soon(made.send, chance.choice(NAMES), call)
        await made.clock.advance_ms(10_000.0)
        tasks.cancel_scope.cancel()
    return made


def is_untrue(made: Cluster, reply: Reply) -> bool:
    """Return whether a refusal denies a run that this sending caused."""
    requests = {run.request for run in made.runs}
    return reply.ran is RunStatus.NOT_RUN and reply.call.request in requests


def has_run(made: Cluster, reply: Reply) -> bool:
    """Return whether the key of a sending has run with the body of that sending."""
    return any(
        run.key == reply.call.idempotency_key and run.input == reply.call.input
        for run in made.runs
    )


def is_crossed(reply: Reply) -> bool:
    """Return whether an answer belongs to another request."""
    if reply.outcome is None:
        return False
    return bool(reply.outcome.output != {"booked": reply.call.input})


def is_stuck(made: Cluster, reply: Reply) -> bool:
    """Return whether a last sending, after all faults, denies an earlier run.

    It is answered, or refused with `unknown`. It says `not_run` only where the key
    was claimed for another body, and then no run had this one.
    """
    if not reply.call.request.endswith(f".{FINAL_SENDING}"):
        return False
    if reply.outcome is not None or reply.ran is RunStatus.UNKNOWN:
        return False
    code = reply.error.code if reply.error else None
    return code is not ErrorCode.KEY_REUSED or has_run(made, reply)


@pytest.mark.parametrize("seed", range(ROUNDS))
async def test_nothing_doubled_untrue_or_crossed(seed: int) -> None:
    made = await run_round(seed)
    runs = Counter(run.key for run in made.runs)
    assert [key for key, count in runs.items() if count > 1] == []
    assert [reply for reply in made.replies if is_untrue(made, reply)] == []
    assert [reply for reply in made.replies if is_crossed(reply)] == []
    assert [reply for reply in made.replies if is_stuck(made, reply)] == []
    codes = {reply.error.code for reply in made.replies if reply.error}
    assert ErrorCode.INTERNAL not in codes

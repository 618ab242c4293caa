"""Test that an idempotency key never returns another organisation's answer."""

import hashlib
import itertools
from dataclasses import replace
from typing import Any

import anyio
import pytest
from anyio.abc import SocketStream
from hypothesis import given
from hypothesis import strategies as st

from cuminstile.caller.app import make_app
from cuminstile.calls import StageCall
from cuminstile.objects.model import Organisation
from cuminstile.records.claim_records import key_of
from cuminstile.runtime import Vm

from .fakes.asgi import send_request
from .fakes.bookings import Cluster
from .fakes.claim_log import claiming
from .fakes.objects import single_stage_objects
from .fakes.upstreams import send_json, upstream
from .fakes.vms import connected, make_test_vm, set_configuration

KEYS = {"owner": "key-of-the-owner", "thief": "key-of-the-thief"}
PATH = "/v1/pipelines/chat"
CLUSTER = Cluster(None)  # type: ignore[arg-type]


def output_for(call: StageCall) -> Any:
    return {"booked": call.input, "for": call.organisation}


async def answer_of(cluster: Cluster, name: str, call: StageCall) -> Any:
    """Send a call to a VM and return its output or error."""
    replies: list[Any] = []
    fresh = replace(call, deadline_ms=cluster.clock.now_ms() + 4_000.0)

    async def send() -> None:
        replies.append(await cluster.send(name, fresh))

    cluster.tasks.start_soon(send)
    await cluster.clock.advance_ms(5_000.0)
    (reply,) = replies
    return reply.outcome.output if reply.outcome else reply.error


@pytest.mark.parametrize("is_known_to", ["claimant", "log alone", "nobody yet"])
async def test_another_organisation_gets_its_own_run(is_known_to: str) -> None:
    async with anyio.create_task_group() as tasks:
        cluster = Cluster(tasks)
        cluster.output = output_for
        for name in ("a1", "a2", "b1"):
            await cluster.start(name, name[0])
        call = replace(cluster.call("k"), organisation="owner")
        if is_known_to == "nobody yet":
            tasks.start_soon(cluster.send, "a1", call)
        else:
            await answer_of(cluster, "a1", call)
        if is_known_to == "log alone":
            await cluster.start("a1", "a")
        for number, name in enumerate(("a1", "a2", "b1", "a1"), 1):
            theirs = replace(call, organisation="thief", request=f"t{number}")
            assert await answer_of(cluster, name, theirs) == output_for(theirs)
            mine = replace(theirs, organisation="owner", request=f"o{number}")
            assert await answer_of(cluster, name, mine) == output_for(mine)
        assert [run.request for run in cluster.runs] == ["k.0", "t1"]
        tasks.cancel_scope.cancel()


def split_text(text: str, positions: list[int]) -> tuple[str, ...]:
    """Split a text at three positions into four parts."""
    ends = [0, *sorted(positions), len(text)]
    return tuple(text[start:end] for start, end in itertools.pairwise(ends))


POSITIONS = st.lists(st.integers(0, 6), min_size=3, max_size=3)


@given(st.text(alphabet="ab/.-\0", min_size=6, max_size=6), POSITIONS, POSITIONS)
def test_only_the_same_four_names_are_one_key(
    text: str, positions: list[int], others: list[int]
) -> None:
    def key(names: tuple[str, ...]) -> bytes:
        organisation, idempotency_key, pipeline, step = names
        call = CLUSTER.call(idempotency_key)
        names_of_call = {"organisation": organisation, "pipeline": pipeline}
        return key_of(replace(call, step=step, **names_of_call))

    one, other = split_text(text, positions), split_text(text, others)
    assert (key(one) == key(other)) == (one == other)


def with_two_organisations(item: Any) -> tuple[Any, ...]:
    """Replace the organisation by two others; return other objects unchanged."""
    if not isinstance(item, Organisation):
        return (item,)
    return tuple(
        replace(
            item, name=name, key_digests=(hashlib.sha256(key.encode()).hexdigest(),)
        )
        for name, key in KEYS.items()
    )


async def send_booking(vm: Vm, caller: str, **more: Any) -> Any:
    """Send the owner's booking with the API key of an organisation."""
    body = {"input": "panels", "idempotency_key": "k", **more}
    reply = await send_request(make_app(vm), "POST", PATH, KEYS[caller], body)
    return reply.body.get("output", reply.body.get("error", {}).get("code"))


async def test_a_caller_cannot_forge_another_organisation() -> None:
    numbers = itertools.count(1)

    async def book(body: dict[str, Any], stream: SocketStream) -> None:
        output = [body["organisation"], next(numbers)]
        await send_json(stream, 200, {"attempt": body["attempt"], "output": output})

    vms = (make_test_vm("vm-a1", "a"), make_test_vm("vm-b1", "b"))
    async with upstream(book) as fake, connected(*vms), claiming(*vms):
        plain = single_stage_objects({"gen-a": fake.address}, repeatable=False)
        objects = tuple(item for one in plain for item in with_two_organisations(one))
        for vm in vms:
            set_configuration(vm, objects)
        times: dict[str, Any] = {"issued_at_ms": vms[0].clock.wall_ms()}
        assert await send_booking(vms[0], "owner", **times) == ["owner", 1]
        for vm in vms:
            again = {**times, "resend": True}
            assert await send_booking(vm, "thief", **again) == ["thief", 2]
            assert await send_booking(vm, "owner", **again) == ["owner", 1]
            for name in ("organisation", "step", "pipeline"):
                forged = {**again, name: "owner"}
                assert await send_booking(vm, "thief", **forged) == "malformed_body"

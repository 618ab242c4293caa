"""Test that an idempotency key gives no organisation the answer of another."""

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
MADE = Cluster(None)  # type: ignore[arg-type]


def output_for(call: StageCall) -> Any:
    return {"booked": call.input, "for": call.organisation}


async def answer_of(made: Cluster, name: str, call: StageCall) -> Any:
    """Send a call to a VM and return the output that it gives."""
    replies: list[Any] = []
    fresh = replace(call, deadline_ms=made.clock.now_ms() + 4_000.0)

    async def send() -> None:
        replies.append(await made.send(name, fresh))

    made.tasks.start_soon(send)
    await made.clock.advance_ms(5_000.0)
    (reply,) = replies
    return reply.outcome.output if reply.outcome else reply.error


@pytest.mark.parametrize("is_known_to", ["claimant", "log alone", "nobody yet"])
async def test_another_organisation_gets_its_own_run(is_known_to: str) -> None:
    async with anyio.create_task_group() as tasks:
        made = Cluster(tasks)
        made.output = output_for
        for name in ("a1", "a2", "b1"):
            await made.start(name, name[0])
        call = replace(made.call("k"), organisation="owner")
        if is_known_to == "nobody yet":
            tasks.start_soon(made.send, "a1", call)
        else:
            await answer_of(made, "a1", call)
        if is_known_to == "log alone":
            await made.start("a1", "a")
        for number, name in enumerate(("a1", "a2", "b1", "a1"), 1):
            theirs = replace(call, organisation="thief", request=f"t{number}")
            assert await answer_of(made, name, theirs) == output_for(theirs)
            mine = replace(theirs, organisation="owner", request=f"o{number}")
            assert await answer_of(made, name, mine) == output_for(mine)
        assert [run.request for run in made.runs] == ["k.0", "t1"]
        tasks.cancel_scope.cancel()


def cut(text: str, places: list[int]) -> tuple[str, ...]:
    """Return a text in four parts."""
    ends = [0, *sorted(places), len(text)]
    return tuple(text[start:end] for start, end in itertools.pairwise(ends))


PLACES = st.lists(st.integers(0, 6), min_size=3, max_size=3)


@given(st.text(alphabet="ab/.-\0", min_size=6, max_size=6), PLACES, PLACES)
def test_only_the_same_four_names_are_one_key(
    text: str, places: list[int], others: list[int]
) -> None:
    def key(names: tuple[str, ...]) -> bytes:
        organisation, idempotency_key, pipeline, step = names
        call = MADE.call(idempotency_key)
        names_of_call = {"organisation": organisation, "pipeline": pipeline}
        return key_of(replace(call, step=step, **names_of_call))

    one, other = cut(text, places), cut(text, others)
    assert (key(one) == key(other)) == (one == other)


def with_two(item: Any) -> tuple[Any, ...]:
    """Put two organisations in the place of the one there is."""
    if not isinstance(item, Organisation):
        return (item,)
    return tuple(
        replace(
            item, name=name, key_digests=(hashlib.sha256(key.encode()).hexdigest(),)
        )
        for name, key in KEYS.items()
    )


async def sent(vm: Vm, caller: str, **more: Any) -> Any:
    """Send the owner's booking, as it stands, under an organisation's key."""
    body = {"input": "panels", "idempotency_key": "k", **more}
    reply = await send_request(make_app(vm), "POST", PATH, KEYS[caller], body)
    return reply.body.get("output", reply.body.get("error", {}).get("code"))


async def test_a_caller_cannot_get_in_from_outside() -> None:
    numbers = itertools.count(1)

    async def book(body: dict[str, Any], stream: SocketStream) -> None:
        output = [body["organisation"], next(numbers)]
        await send_json(stream, 200, {"attempt": body["attempt"], "output": output})

    vms = (make_test_vm("vm-a1", "a"), make_test_vm("vm-b1", "b"))
    async with upstream(book) as fake, connected(*vms), claiming(*vms):
        plain = single_stage_objects({"gen-a": fake.address}, repeatable=False)
        objects = tuple(made for item in plain for made in with_two(item))
        for vm in vms:
            set_configuration(vm, objects)
        times: dict[str, Any] = {"issued_at_ms": vms[0].clock.wall_ms()}
        assert await sent(vms[0], "owner", **times) == ["owner", 1]
        for vm in vms:
            again = {**times, "resend": True}
            assert await sent(vm, "thief", **again) == ["thief", 2]
            assert await sent(vm, "owner", **again) == ["owner", 1]
            for name in ("organisation", "step", "pipeline"):
                forged = {**again, name: "owner"}
                assert await sent(vm, "thief", **forged) == "malformed_body"

"""Test cuminstile.vm.messages: no message from a peer makes the VM fail."""

import dataclasses
import typing
from enum import Enum
from typing import Any

import anyio
import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cuminstile.events import Event
from cuminstile.message_codec import MAX_MESSAGE_BYTES
from cuminstile.vm import sessions
from cuminstile.vm.messages import (
    CODEC,
    Challenge,
    Hello,
    RunStage,
    StageCancel,
)
from cuminstile.vm.sessions import receive_one
from cuminstile.wire import Message

from ..fakes.objects import single_stage_objects
from ..fakes.vms import add_members, connected, make_test_vm, set_configuration

NAME = "vm-a2"


MALFORMED_MESSAGES = [
    b"",
    b"\xff" * 10,
    b"\x81" * 100_000,
    cbor2.dumps([]),
    cbor2.dumps([99]),
    cbor2.dumps([10, "x", None, [], {}]),
    cbor2.dumps({"a": 1}),
    CODEC.encode(Challenge("0")),
    CODEC.encode(Hello(NAME, "a", "i", "127.0.0.1:9", "nonce", "")),
    CODEC.encode(StageCancel(7)),
    "text",
    "\ud83d\ude00".encode("utf-16", "surrogatepass").decode("utf-16"),
]


async def test_malformed_messages_do_not_close_a_session() -> None:
    vms = [make_test_vm(f"vm-a{number}", "a") for number in (1, 2, 3)]
    async with connected(*vms):
        before = dict(vms[0].sessions.by_name)
        sender = vms[1].sessions.by_name["vm-a1"]
        for data in MALFORMED_MESSAGES:
            await sender.connection.send(data)
        last_seen_ms = {name: item.last_seen_ms for name, item in before.items()}
        with anyio.fail_after(5.0):
            while any(
                before[name].last_seen_ms <= last_seen_ms[name] for name in before
            ):
                await anyio.sleep(0.02)
        assert vms[0].sessions.by_name == before
    events = [item.event for item in vms[0].journal.ring]
    assert events.count(Event.PEER_MESSAGE_REFUSED) == len(MALFORMED_MESSAGES) - 1
    assert Event.INTERNAL_ERROR not in events


async def test_too_large_message_closes_only_its_own_session() -> None:
    vms = [make_test_vm(f"vm-a{number}", "a") for number in (1, 2, 3)]
    async with connected(*vms):
        other = vms[0].sessions.by_name["vm-a3"]
        broken = vms[0].sessions.by_name["vm-a2"]
        sender = vms[1].sessions.by_name["vm-a1"]
        await sender.connection.send(b"\x00" * (MAX_MESSAGE_BYTES + 1))
        with anyio.fail_after(5.0):
            while vms[0].sessions.by_name.get("vm-a2") in (None, broken):
                await anyio.sleep(0.02)
        assert vms[0].sessions.by_name["vm-a3"] is other


VALUES: dict[Any, st.SearchStrategy[Any]] = {
    int: st.integers(-(2**70), 2**70),
    float: st.floats(allow_nan=False, allow_infinity=False),
    str: st.text(),
    bool: st.booleans(),
    bytes: st.binary(),
    Any: st.recursive(st.none() | st.floats() | st.text(), st.lists),
}


def values_of(hint: Any) -> st.SearchStrategy[Any]:
    """Return a strategy for the values of a message field."""
    if isinstance(hint, type) and issubclass(hint, Enum):
        return st.sampled_from(hint)
    if isinstance(hint, type) and dataclasses.is_dataclass(hint):
        return messages_of(hint)
    if typing.get_origin(hint) is tuple:
        inner, _ = typing.get_args(hint)
        return st.lists(values_of(inner), max_size=5).map(tuple)
    return VALUES[hint]


def messages_of(kind: type[Message]) -> st.SearchStrategy[Message]:
    """Return a strategy for messages of one type with any allowed values."""
    hints = typing.get_type_hints(kind)
    return st.builds(kind, **{name: values_of(hint) for name, hint in hints.items()})


PACKETS = (
    st.one_of(*map(messages_of, CODEC.numbers)).map(CODEC.encode)
    | st.binary()
    | st.recursive(
        st.none() | st.integers() | st.floats() | st.text() | st.binary(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    ).map(lambda value: cbor2.dumps([10, value]))
)


@settings(max_examples=300, deadline=None)
@given(packets=st.lists(PACKETS, min_size=1, max_size=8))
async def test_no_message_causes_an_internal_error(packets: list[bytes]) -> None:
    vm = make_test_vm("vm-a1", "a")
    set_configuration(vm, single_stage_objects({"gen-a": "127.0.0.1:9"}))
    add_members(vm, make_test_vm(NAME, "a"))
    sent: list[bytes] = []

    class FakeConnection:
        async def send(self, data: bytes) -> None:
            sent.append(data)

    async with anyio.create_task_group() as tasks:
        session = sessions.Session(NAME, "a", "i", FakeConnection(), tasks, 0.0)
        vm.sessions.by_name[NAME] = session
        for packet in packets:
            await receive_one(vm, session, packet)
    assert Event.INTERNAL_ERROR not in [item.event for item in vm.journal.ring]
    assert vm.configuration.version == 0
    assert vm.activity.total() == 0
    stamp = vm.journal.stamp()
    assert abs(stamp.wall_ms - vm.clock.wall_ms()) < 120_000
    for data in sent:
        CODEC.decode(data)


@pytest.mark.parametrize("kind", CODEC.numbers)
@settings(max_examples=50, deadline=None)
@given(data=st.data())
def test_message_round_trip(kind: type[Message], data: st.DataObject) -> None:
    message = data.draw(messages_of(kind))
    assert repr(CODEC.decode(CODEC.encode(message))) == repr(message)


def test_run_stage_with_nan_for_its_remaining_time_is_refused() -> None:
    values = ["r", "o", "p", "s", "s", "", 1, True, 0, float("nan"), 0, "", 0]
    with pytest.raises(Exception, match="fields are wrong"):
        CODEC.decode(cbor2.dumps([20, 1, *values]))
    assert RunStage in CODEC.numbers

"""Test cuminstile.vm.authentication with peers that try to log in without a key."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import anyio
import cbor2
import pytest
import websockets
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import serve

from cuminstile.events import Event
from cuminstile.runtime import Vm
from cuminstile.vm import sessions
from cuminstile.vm.authentication import make_proof
from cuminstile.vm.connecting import connect_once
from cuminstile.vm.messages import (
    CODEC,
    Challenge,
    Heartbeat,
    Hello,
    Welcome,
)
from cuminstile.vm.sessions import listen
from cuminstile.wire import Message

from ..fakes.vms import (
    OPERATOR_KEY,
    VM_KEY,
    connected,
    free_port,
    make_test_vm,
)

NAME = "vm-a2"
Answer = Callable[[Challenge], Message | bytes | str]


@asynccontextmanager
async def listening(vm: Vm) -> AsyncIterator[None]:
    """Run a VM's session listener until the block ends."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listen, vm)
        with anyio.fail_after(5.0):
            while True:
                try:
                    stream = await anyio.connect_tcp("127.0.0.1", vm.settings.vm_port)
                except OSError:
                    await anyio.sleep(0.01)
                    continue
                await stream.aclose()
                break
        yield
        tasks.cancel_scope.cancel()


def hello(proof: str, name: str = NAME) -> Hello:
    return Hello(name, "a", "i", "127.0.0.1:9", "nonce", proof)


async def connect_and_answer(vm: Vm, answer: Answer) -> int | None:
    """Answer a VM's challenge; return its close code, or `None` if it accepted."""
    async with connect(f"ws://{vm.own_address}", proxy=None) as connection:
        challenge = CODEC.decode(await connection.recv())
        reply = answer(challenge)
        data = CODEC.encode(reply) if isinstance(reply, Message) else reply
        try:
            with anyio.fail_after(5.0):
                await connection.send(data)
                welcome = CODEC.decode(await connection.recv())
        except websockets.ConnectionClosed:
            return connection.close_code
        assert isinstance(welcome, Welcome)
        return None


async def assert_refused(vm: Vm, answer: Answer) -> None:
    """Check that a VM refuses an answer to its challenge and stores nothing from it."""
    assert await connect_and_answer(vm, answer) == 4001
    assert vm.sessions.by_name == {}
    assert NAME not in vm.members.by_name
    refusal = vm.journal.ring[-1]
    assert refusal.event == Event.PEER_REFUSED
    assert len(str(refusal.fields)) < 300


def answer_with_key(key: str, role: str = "connect", name: str = NAME) -> Answer:
    return lambda challenge: hello(make_proof(key, role, name, challenge.nonce))


WRONG_ANSWERS: dict[str, Answer] = {
    "no proof": lambda challenge: hello(""),
    "zeros": lambda challenge: hello("0" * 64),
    "not ascii": lambda challenge: hello("\u00e9" * 64),
    "the key itself": lambda challenge: hello(VM_KEY),
    "the nonce": lambda challenge: hello(challenge.nonce),
    "an old challenge": lambda challenge: hello(
        make_proof(VM_KEY, "connect", NAME, "0" * 32)
    ),
    "truncated": lambda challenge: hello(
        make_proof(VM_KEY, "connect", NAME, challenge.nonce)[:-1]
    ),
    "lengthened": lambda challenge: hello(
        make_proof(VM_KEY, "connect", NAME, challenge.nonce) + "0"
    ),
    "a key with one letter less": answer_with_key(VM_KEY[:-1]),
    "an empty key": answer_with_key(""),
    "an operators' key": answer_with_key(OPERATOR_KEY),
    "a callers' key": answer_with_key("a-callers-key"),
    "the other role": answer_with_key(VM_KEY, "accept"),
    "another VM's proof": answer_with_key(VM_KEY, name="vm-a3"),
    "the VM's own name": lambda challenge: hello(
        make_proof(VM_KEY, "connect", "vm-a1", challenge.nonce), "vm-a1"
    ),
    "a huge name": lambda challenge: hello("", "x" * 1_000_000),
    "a heartbeat": lambda challenge: Heartbeat(1, 1, 1, False),
    "a welcome": lambda challenge: Welcome(NAME, "a", "i", ""),
    "its own challenge": lambda challenge: challenge,
    "a text": lambda challenge: "text",
    "nothing": lambda challenge: b"",
    "rubbish": lambda challenge: b"\xff\x00",
    "an unknown number": lambda challenge: cbor2.dumps([99, 1]),
    "a short hello": lambda challenge: cbor2.dumps([2, NAME]),
    "a deep nest": lambda challenge: b"\x81" * 100_000,
}


@pytest.mark.parametrize("answer", WRONG_ANSWERS.values(), ids=WRONG_ANSWERS.keys())
async def test_peer_without_valid_proof_is_refused(answer: Answer) -> None:
    vm = make_test_vm("vm-a1", "a")
    async with listening(vm):
        await assert_refused(vm, answer)
        assert await connect_and_answer(vm, answer_with_key(VM_KEY)) is None


async def test_replayed_proof_is_refused() -> None:
    vm = make_test_vm("vm-a1", "a")
    recorded: list[Hello] = []

    def answer(challenge: Challenge) -> Hello:
        recorded.append(hello(make_proof(VM_KEY, "connect", NAME, challenge.nonce)))
        return recorded[0]

    async with listening(vm):
        assert await connect_and_answer(vm, answer) is None
        with anyio.fail_after(5.0):
            while vm.sessions.by_name:
                await anyio.sleep(0.01)
        assert await connect_and_answer(vm, lambda challenge: recorded[0]) == 4001


async def test_silent_peer_is_disconnected_after_the_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(sessions, "HANDSHAKE_TIMEOUT_MS", 200)
    vm = make_test_vm("vm-a1", "a")
    async with (
        listening(vm),
        connect(f"ws://{vm.own_address}", proxy=None) as connection,
    ):
        await connection.recv()
        with anyio.fail_after(5.0), pytest.raises(websockets.ConnectionClosed):
            await connection.recv()
        assert connection.close_code == 4001


OLD, NEW = "the-old-key-of-the-vms", "the-new-key-of-the-vms"


@pytest.mark.parametrize(
    ("one", "other"),
    [
        ((OLD,), (OLD, NEW)),
        ((OLD, NEW), (OLD,)),
        ((OLD,), (NEW, OLD)),
        ((OLD, NEW), (NEW, OLD)),
        ((NEW, OLD), (OLD, NEW)),
        ((NEW, OLD), (NEW,)),
        ((NEW,), (NEW, OLD)),
    ],
)
async def test_key_rotation_keeps_the_session(
    one: tuple[str, ...], other: tuple[str, ...]
) -> None:
    vms = [
        make_test_vm("vm-a1", "a", vm_keys=one),
        make_test_vm("vm-a2", "a", vm_keys=other),
    ]
    async with connected(*vms):
        assert NAME in vms[0].sessions.by_name


async def connect_to_impostor(
    vm: Vm, behave: Callable[[Connection], Awaitable[None]]
) -> None:
    """Let a VM connect to a server that impersonates another VM."""
    port = free_port()
    vm.members.add(NAME, "a", f"127.0.0.1:{port}")
    async with serve(behave, "127.0.0.1", port):
        with anyio.fail_after(5.0):
            await connect_once(vm, vm.members.by_name[NAME])
    assert vm.sessions.by_name == {}
    assert Event.PEER_CONNECTED not in [item.event for item in vm.journal.ring]


IMPOSTORS: dict[str, Callable[[Hello], Message | bytes]] = {
    "no proof": lambda it: Welcome(NAME, "a", "i", ""),
    "its own proof": lambda it: Welcome(NAME, "a", "i", it.proof),
    "its own proof and name": lambda it: Welcome(it.name, "a", "i", it.proof),
    "another key": lambda it: Welcome(
        NAME, "a", "i", make_proof("another-key-of-no-vm", "accept", NAME, it.nonce)
    ),
    "the other role": lambda it: Welcome(
        NAME, "a", "i", make_proof(VM_KEY, "connect", NAME, it.nonce)
    ),
    "another VM": lambda it: Welcome(
        "vm-a3", "a", "i", make_proof(VM_KEY, "accept", "vm-a3", it.nonce)
    ),
    "its hello": lambda it: it,
    "rubbish": lambda it: b"\xff",
}


@pytest.mark.parametrize("answer", IMPOSTORS.values(), ids=IMPOSTORS.keys())
async def test_impersonated_vm_is_refused(
    answer: Callable[[Hello], Message | bytes],
) -> None:
    vm = make_test_vm("vm-a1", "a")

    async def behave(connection: Connection) -> None:
        await connection.send(CODEC.encode(Challenge("0" * 32)))
        reply = answer(CODEC.decode(await connection.recv()))
        data = CODEC.encode(reply) if isinstance(reply, Message) else reply
        await connection.send(data)
        await connection.wait_closed()

    await connect_to_impostor(vm, behave)


async def test_reflected_proof_is_refused() -> None:
    vm = make_test_vm("vm-a1", "a")

    async def reflect(connection: Connection) -> None:
        async with connect(f"ws://{vm.own_address}", proxy=None) as back:
            await connection.send(await back.recv())
            await back.send(await connection.recv())
            with pytest.raises(websockets.ConnectionClosed):
                await back.recv()

    async with listening(vm):
        await connect_to_impostor(vm, reflect)

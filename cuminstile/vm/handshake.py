"""Mutual authentication of two VMs with a shared VM key."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Any

from websockets.asyncio.connection import Connection

from ..exceptions import CuminstileError, ErrorCode
from ..tls import certificate_names
from .authentication import is_valid_proof, make_proof
from .membership import Member
from .messages import CODEC, Challenge, Hello, Welcome

if TYPE_CHECKING:
    from ..runtime import Vm

HANDSHAKE_TIMEOUT_MS = 2_000
SHOWN_NAME_LENGTH = 64


async def accept_handshake(vm: Vm, connection: Connection) -> Hello:
    """Challenge the connecting VM, check its proof and prove this VM's own key.

    Raises
    ------
    CuminstileError
        With `UNAUTHENTICATED` for a wrong proof or certificate, or `BAD_MESSAGE`.
    """
    nonce = secrets.token_hex(16)
    await connection.send(CODEC.encode(Challenge(nonce)))
    hello: Hello = await receive(connection, Hello)
    keys = vm.settings.vm_keys
    own = vm.settings.name
    is_valid = is_valid_proof(keys, hello.proof, "connect", hello.name, nonce)
    if not is_valid or hello.name == own:
        raise unauthenticated(hello.name)
    if vm.server_tls and hello.name not in certificate_names(connection.transport):
        raise CuminstileError(
            ErrorCode.UNAUTHENTICATED,
            f"{hello.name!r} presented the certificate of another VM",
        )
    proof = make_proof(key_of(keys, hello, nonce), "accept", own, hello.nonce)
    welcome = Welcome(
        own, vm.settings.data_centre, vm.incarnation, proof, vm.own_operator_address
    )
    await connection.send(CODEC.encode(welcome))
    return hello


def key_of(keys: tuple[str, ...], hello: Hello, nonce: str) -> str:
    """Return the key that the connecting VM has proved, so that it can verify ours."""
    proved = (
        key
        for key in keys
        if is_valid_proof((key,), hello.proof, "connect", hello.name, nonce)
    )
    return next(proved)


async def initiate_handshake(vm: Vm, connection: Connection, member: Member) -> Welcome:
    """Answer the challenge as the connecting VM and check the accepting VM's proof.

    Raises
    ------
    CuminstileError
        With `UNAUTHENTICATED` for a wrong proof, or `BAD_MESSAGE`.
    """
    challenge = await receive(connection, Challenge)
    own = vm.settings
    nonce = secrets.token_hex(16)
    hello = Hello(
        own.name,
        own.data_centre,
        vm.incarnation,
        vm.own_address,
        nonce,
        make_proof(own.vm_keys[0], "connect", own.name, challenge.nonce),
        vm.own_operator_address,
    )
    await connection.send(CODEC.encode(hello))
    welcome: Welcome = await receive(connection, Welcome)
    if not is_valid_proof(own.vm_keys, welcome.proof, "accept", welcome.name, nonce):
        raise unauthenticated(welcome.name)
    if welcome.name != member.name:
        raise CuminstileError(
            ErrorCode.BAD_MESSAGE, "a different VM answered at the member's address"
        )
    return welcome


async def receive(connection: Connection, kind: type[Any]) -> Any:
    """Return the next message, which must be of type `kind`."""
    data = await connection.recv()
    message = CODEC.decode(data if isinstance(data, bytes) else b"")
    if not isinstance(message, kind):
        raise CuminstileError(
            ErrorCode.BAD_MESSAGE,
            f"expected a {kind.__name__} message",
        )
    return message


def unauthenticated(name: str) -> CuminstileError:
    """Return the error for a VM without proof of a valid key."""
    return CuminstileError(
        ErrorCode.UNAUTHENTICATED,
        f"{name[:SHOWN_NAME_LENGTH]!r} did not prove a valid VM key",
    )

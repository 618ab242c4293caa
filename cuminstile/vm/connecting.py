"""Connect to the VMs that this VM needs a session with, and reconnect."""

from __future__ import annotations

import ssl
from typing import TYPE_CHECKING

import anyio
import websockets
from websockets.asyncio.client import connect

from ..const import (
    CONNECT_TIMEOUT_MS,
    MEMBERSHIP_INTERVAL_MS,
    RECONNECT_MAX_MS,
    RECONNECT_MIN_MS,
)
from ..events import Event
from ..exceptions import CuminstileError
from ..message_codec import MAX_MESSAGE_BYTES
from ..pipeline import internal_error
from .handshake import HANDSHAKE_TIMEOUT_MS, initiate_handshake
from .membership import Member
from .sessions import CLOSE_TIMEOUT_MS, run_session
from .topology import needs_session

if TYPE_CHECKING:
    from ..runtime import Vm


async def run_connect_loop(vm: Vm) -> None:
    """Start one connection task for each VM that this one connects to; never returns.

    Of two VMs, the one whose name sorts first opens the connection.
    """
    async with anyio.create_task_group() as tasks:
        while True:
            for name in tuple(vm.members.by_name):
                if name in vm.sessions.connecting or not should_connect(vm, name):
                    continue
                vm.sessions.connecting.add(name)
                tasks.start_soon(maintain_session, vm, name)
            await vm.clock.sleep_ms(MEMBERSHIP_INTERVAL_MS)


def should_connect(vm: Vm, name: str) -> bool:
    """Return whether this VM opens the connection to the named one."""
    member = vm.members.by_name.get(name)
    if member is None or name <= vm.settings.name:
        return False
    own = vm.settings
    return needs_session(own.name, own.data_centre, member, vm.members.by_name.values())


async def maintain_session(vm: Vm, name: str) -> None:
    """Keep a session with one VM open for as long as this VM should connect to it."""
    try:
        await reconnect_until_unneeded(vm, name)
    finally:
        vm.sessions.connecting.discard(name)


async def reconnect_until_unneeded(vm: Vm, name: str) -> None:
    """Connect, and reconnect after each session with exponential backoff and jitter.

    The backoff starts again from its minimum after a session that lasted longer than
    the longest backoff.
    """
    backoff_ms = float(RECONNECT_MIN_MS)
    while should_connect(vm, name):
        member = vm.members.by_name[name]
        started_ms = vm.clock.now_ms()
        try:
            await connect_once(vm, member)
        except Exception as error:
            internal_error(vm, error)
        if vm.clock.now_ms() - started_ms > RECONNECT_MAX_MS:
            backoff_ms = float(RECONNECT_MIN_MS)
        await vm.clock.sleep_ms(backoff_ms * (0.5 + vm.random.random()))
        backoff_ms = min(backoff_ms * 2, RECONNECT_MAX_MS)


async def connect_once(vm: Vm, member: Member) -> None:
    """Connect once and run the session until it ends."""
    scheme = "wss" if vm.client_tls else "ws"
    try:
        async with connect(
            f"{scheme}://{member.address}",
            ssl=vm.client_tls,
            server_hostname=member.name if vm.client_tls else None,
            max_size=MAX_MESSAGE_BYTES,
            compression=None,
            ping_interval=None,
            proxy=None,
            open_timeout=CONNECT_TIMEOUT_MS / 1000.0,
            close_timeout=CLOSE_TIMEOUT_MS / 1000.0,
        ) as connection:
            with anyio.fail_after(HANDSHAKE_TIMEOUT_MS / 1000.0):
                welcome = await initiate_handshake(vm, connection, member)
            await run_session(vm, connection, welcome)
    except CuminstileError as error:
        vm.journal.record(Event.PEER_REFUSED, peer=member.name, reason=error.message)
    except ssl.SSLError as error:
        reason = f"TLS failed: {error.reason}"
        vm.journal.record(Event.PEER_REFUSED, peer=member.name, reason=reason)
    except (OSError, TimeoutError, websockets.WebSocketException):
        return

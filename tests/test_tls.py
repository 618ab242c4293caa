"""Test cuminstile.tls: which peers are accepted if TLS is configured."""

import ssl
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import anyio
import httpcore
import pytest
import trustme
import websockets
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import serve

from cuminstile.daemon import check_machine, make_server
from cuminstile.events import Event
from cuminstile.exceptions import CuminstileError
from cuminstile.operator.app import make_app
from cuminstile.settings import TlsSettings
from cuminstile.tls import client_context
from cuminstile.vm.authentication import make_proof
from cuminstile.vm.connecting import connect_once
from cuminstile.vm.messages import CODEC, Hello, Welcome

from .fakes.vms import (
    OPERATOR_KEY,
    VM_KEY,
    connected,
    free_port,
    make_settings,
    make_test_vm,
)
from .vm.test_authentication import listening

NAME = "vm-a2"


class Authority:
    """Certificate authority that writes its certificates to files."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.own = trustme.CA()
        self.file = directory / "authority.pem"
        self.own.cert_pem.write_to_path(self.file)

    def issue(self, name: str) -> TlsSettings:
        """Issue a certificate for a name; return its files."""
        issued = self.own.issue_cert(name)
        certificate = self.directory / f"{name}.pem"
        key = self.directory / f"{name}.key"
        issued.cert_chain_pems[0].write_to_path(certificate)
        issued.private_key_pem.write_to_path(key)
        return TlsSettings(certificate, key, self.file)


@pytest.fixture
def authority(tmp_path: Path) -> Iterator[Authority]:
    yield Authority(tmp_path)


@pytest.fixture
def other_authority(tmp_path: Path) -> Authority:
    directory = tmp_path / "stranger"
    directory.mkdir()
    return Authority(directory)


async def test_vms_of_one_authority_connect(authority: Authority) -> None:
    vms = [
        make_test_vm(name, "a", tls=authority.issue(name)) for name in ("vm-a1", NAME)
    ]
    async with connected(*vms):
        transport = vms[0].sessions.by_name[NAME].connection.transport
        assert transport.get_extra_info("ssl_object") is not None


async def is_accepted(address: str, name: str, context: ssl.SSLContext | None) -> bool:
    """Connect with the valid VM key; return whether the VM accepts the session."""
    scheme = "wss" if context else "ws"
    hostname = "vm-a1" if context else None
    try:
        async with connect(
            f"{scheme}://{address}", ssl=context, server_hostname=hostname, proxy=None
        ) as connection:
            challenge = CODEC.decode(await connection.recv())
            proof = make_proof(VM_KEY, "connect", name, challenge.nonce)
            hello = Hello(name, "a", "i", "127.0.0.1:9", "nonce", proof)
            await connection.send(CODEC.encode(hello))
            return isinstance(CODEC.decode(await connection.recv()), Welcome)
    except (OSError, websockets.WebSocketException):
        return False


async def test_only_a_certificate_for_the_own_name_is_accepted(
    authority: Authority, other_authority: Authority
) -> None:
    vm = make_test_vm("vm-a1", "a", tls=authority.issue("vm-a1"))
    foreign = other_authority.issue(NAME)
    without = ssl.create_default_context(cafile=str(authority.file))
    with_foreign = ssl.create_default_context(cafile=str(authority.file))
    with_foreign.load_cert_chain(foreign.certificate, foreign.key)
    good = client_context(authority.issue(NAME))
    async with listening(vm):
        for context in (None, without, with_foreign):
            assert not await is_accepted(vm.own_address, NAME, context)
        assert not await is_accepted(vm.own_address, "vm-a3", good)
        assert vm.sessions.by_name == {}
        assert await is_accepted(vm.own_address, NAME, good)


@pytest.mark.parametrize("kind", ["foreign", "another name", "plain"])
async def test_vm_connects_only_to_a_certificate_for_the_peers_name(
    authority: Authority, other_authority: Authority, kind: str
) -> None:
    vm = make_test_vm("vm-a1", "a", tls=authority.issue("vm-a1"))
    shown = {
        "foreign": other_authority.issue(NAME),
        "another name": authority.issue("vm-a3"),
    }
    context: ssl.SSLContext | None = None
    if kind in shown:
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.load_cert_chain(shown[kind].certificate, shown[kind].key)
    connections: list[Any] = []

    async def record_connection(connection: Connection) -> None:
        connections.append(connection)

    port = free_port()
    vm.members.add(NAME, "a", f"127.0.0.1:{port}")
    async with serve(record_connection, "127.0.0.1", port, ssl=context):
        await connect_once(vm, vm.members.by_name[NAME])
    assert connections == []
    assert vm.sessions.by_name == {}
    events = [item.event for item in vm.journal.ring]
    assert Event.PEER_CONNECTED not in events
    assert (Event.PEER_REFUSED in events) == (kind != "plain")


async def test_operators_are_served_over_tls_only(authority: Authority) -> None:
    vm = make_test_vm("vm-a1", "a", tls=authority.issue("vm-a1"))
    server = make_server(vm.settings, make_app(vm), vm.settings.operator_port)
    context = ssl.create_default_context(cafile=str(authority.file))
    url = f"://127.0.0.1:{vm.settings.operator_port}/operator/status"
    options = {
        "headers": [("authorization", f"Bearer {OPERATOR_KEY}")],
        "extensions": {"sni_hostname": "vm-a1"},
    }
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve)
        while not server.started:
            await anyio.sleep(0.01)
        async with httpcore.AsyncConnectionPool(ssl_context=context) as pool:
            reply = await pool.request("GET", f"https{url}", **options)
            assert reply.status == 200
            with pytest.raises(httpcore.ProtocolError):
                await pool.request("GET", f"http{url}", **options)
        tasks.cancel_scope.cancel()


def test_unusable_tls_files_are_findings(authority: Authority, tmp_path: Path) -> None:
    empty = tmp_path / "empty.pem"
    empty.write_text("")
    bad = TlsSettings(tmp_path / "none.pem", authority.issue("vm-a1").key, empty)
    with pytest.raises(CuminstileError) as caught:
        check_machine(make_settings("vm-a1", "a", tls=bad))
    places = [finding.path for finding in caught.value.findings]
    assert places == ["tls.authority", "tls.certificate"]
    good = authority.issue("vm-a1")
    check_machine(make_settings("vm-a1", "a", tls=good))

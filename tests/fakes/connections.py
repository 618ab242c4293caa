"""Connect VMs in memory, so that their sessions run on a virtual clock."""

from dataclasses import dataclass

import anyio

from cuminstile.runtime import Vm
from cuminstile.vm.sessions import Session, receive_one, registered, send_heartbeats

CONFIG_SPREAD_LIMIT_MS = 7_000.0


@dataclass
class FakeConnection:
    """State of a connection between two VMs, which tests can cut."""

    cut: bool = False


@dataclass
class ConnectionEnd:
    """One VM's end of a connection to another VM."""

    connection: FakeConnection
    sender: str
    receiver: Vm

    async def send(self, data: bytes) -> None:
        """Deliver one message, or drop it if the connection is cut."""
        session = self.receiver.sessions.by_name.get(self.sender)
        if self.connection.cut or session is None:
            return
        session.last_seen_ms = self.receiver.clock.now_ms()
        self.receiver.members.mark_seen(self.sender, session.last_seen_ms)
        await receive_one(self.receiver, session, data)


async def run_connection_end(vm: Vm, other: Vm, connection: FakeConnection) -> None:
    """Run one VM's side of the session; open it again after it was lost."""
    own = other.settings
    vm.members.add(own.name, own.data_centre, other.own_address)
    while True:
        async with anyio.create_task_group() as tasks:
            end = ConnectionEnd(connection, vm.settings.name, other)
            session = Session(
                own.name,
                own.data_centre,
                other.incarnation,
                end,  # type: ignore[arg-type]
                tasks,
                vm.clock.now_ms(),
            )
            async with registered(vm, session):
                await send_heartbeats(vm, session)
        while connection.cut:
            await vm.clock.sleep_ms(100.0)


async def run_connection(one: Vm, other: Vm, connection: FakeConnection) -> None:
    """Run the session between two VMs until cancelled."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run_connection_end, one, other, connection)
        tasks.start_soon(run_connection_end, other, one, connection)

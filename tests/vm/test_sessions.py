"""Test cuminstile.vm.sessions on real sockets in one process."""

import anyio

from cuminstile.events import Event
from cuminstile.runtime import Vm
from cuminstile.vm.connecting import run_connect_loop, should_connect
from cuminstile.vm.sessions import Session, listen

from ..fakes.vms import add_members, connected, make_test_vm

# Target: a data centre that comes back has its sessions again within 7 s.
BACK_WITHIN_S = 7.0


async def until_session(vm: Vm, name: str, old: Session | None = None) -> Session:
    """Wait for an open session with the named VM other than `old`."""
    with anyio.fail_after(BACK_WITHIN_S):
        while True:
            session = vm.sessions.by_name.get(name)
            if session is not None and session is not old:
                return session
            await anyio.sleep(0.01)


async def test_lost_session_is_reopened() -> None:
    one, two = make_test_vm("vm-a1", "a"), make_test_vm("vm-a2", "a")
    async with connected(one, two):
        old = one.sessions.by_name["vm-a2"]
        old.connection.transport.abort()
        session = await until_session(one, "vm-a2", old)
        assert session.incarnation == two.incarnation


async def test_vm_replaced_at_the_same_address_is_another_incarnation() -> None:
    one, two = make_test_vm("vm-a1", "a"), make_test_vm("vm-a2", "a")
    replacement = make_test_vm("vm-a2", "a", vm_port=two.settings.vm_port)
    add_members(one, two)
    async with connected(one, two):
        old = one.sessions.by_name["vm-a2"]
        one.members.by_name["vm-a2"].leaving = True
    async with connected(one, replacement):
        session = one.sessions.by_name["vm-a2"]
        assert session.incarnation == replacement.incarnation != old.incarnation
        member = one.members.by_name["vm-a2"]
        with anyio.fail_after(BACK_WITHIN_S):
            while member.leaving or member.incarnation != replacement.incarnation:
                await anyio.sleep(0.01)


async def test_only_one_of_two_vms_connects() -> None:
    vms = [make_test_vm(name, "a") for name in ("vm-a1", "vm-a2", "vm-a3")]
    add_members(*vms)
    for one in vms:
        for other in vms:
            if one is other:
                continue
            pair = (
                should_connect(one, other.settings.name),
                should_connect(other, one.settings.name),
            )
            assert sorted(pair) == [False, True]


async def test_a_vm_with_this_vms_own_name_is_refused() -> None:
    one, two = make_test_vm("vm-a2", "a"), make_test_vm("vm-a2", "a")
    one.members.add("vm-a1", "a", two.own_address)
    two.members.add("vm-a3", "a", one.own_address)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listen, one)
        tasks.start_soon(listen, two)
        tasks.start_soon(run_connect_loop, two)
        await anyio.sleep(1.0)
        events = {record.event for record in one.journal.ring}
        assert Event.PEER_REFUSED in events
        assert Event.PEER_CONNECTED not in events
        tasks.cancel_scope.cancel()

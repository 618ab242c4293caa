"""VMs that run in the process of the test."""

import itertools
import os
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from cuminstile.daemon import make_vm
from cuminstile.objects.collection import index_objects
from cuminstile.objects.model import AnyObject
from cuminstile.records.config_record import make_record
from cuminstile.records.configuration import Configuration
from cuminstile.runtime import Vm
from cuminstile.settings import Settings
from cuminstile.upstream.leases import run_lease_loop
from cuminstile.upstream.load import run_polling_loop
from cuminstile.vm.connecting import run_connect_loop
from cuminstile.vm.sessions import listen

VM_KEY = "a-key-for-the-vms-1"
OPERATOR_KEY = "a-key-for-operators-1"


FIRST_PORT = 12_000
"""Below the kernel's ephemeral ports, so that no outgoing connection uses one."""
PORTS_PER_PROCESS = 500
PROCESSES = 40
numbers = itertools.count()


def free_port() -> int:
    """Return a loopback TCP port that is unused now and that no other call returns.

    Each process of the tests has a range of its own.
    """
    first = FIRST_PORT + os.getpid() % PROCESSES * PORTS_PER_PROCESS
    for _ in range(PORTS_PER_PROCESS):
        port = first + next(numbers) % PORTS_PER_PROCESS
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise OSError(f"no unused port from {first} on")


def make_settings(name: str, data_centre: str, **fields: object) -> Settings:
    """Return settings with free ports and the address of a platform that is not run."""
    values: dict[str, object] = {
        "host": "127.0.0.1",
        "caller_port": free_port(),
        "operator_port": free_port(),
        "vm_port": free_port(),
        "platform": f"127.0.0.1:{free_port()}",
        "operator_keys": (OPERATOR_KEY,),
        "vm_keys": (VM_KEY,),
        "shutdown_linger_ms": 0,
        **fields,
    }
    return Settings(name=name, data_centre=data_centre, **values)  # type: ignore


def set_configuration(vm: Vm, objects: tuple[AnyObject, ...], version: int = 0) -> None:
    """Set the configuration of a VM directly, without a log."""
    record = make_record(-1, "test", objects)
    vm.configuration.current = Configuration(version, index_objects(objects), record)


def add_members(*vms: Vm) -> None:
    """Add each VM to the members of the others."""
    for vm in vms:
        for other in vms:
            own = other.settings
            vm.members.add(own.name, own.data_centre, other.own_address)


@asynccontextmanager
async def connected(*vms: Vm) -> AsyncIterator[None]:
    """Run VMs with sessions to each other until the block ends."""
    add_members(*vms)
    async with anyio.create_task_group() as tasks:
        for vm in vms:
            tasks.start_soon(listen, vm)
            tasks.start_soon(run_connect_loop, vm)
            tasks.start_soon(run_polling_loop, vm)
            tasks.start_soon(run_lease_loop, vm)
        with anyio.fail_after(5.0):
            while not all(len(vm.sessions.by_name) == len(vms) - 1 for vm in vms):
                await anyio.sleep(0.01)
        yield
        tasks.cancel_scope.cancel()


def make_test_vm(name: str, data_centre: str, **fields: object) -> Vm:
    """Return a VM with free ports; none of its tasks runs."""
    return make_vm(make_settings(name, data_centre, **fields))

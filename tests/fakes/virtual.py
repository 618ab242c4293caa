"""VMs for tests, with a virtual clock and an in-memory platform."""

import random
from typing import Any

from cuminstile.clock import VirtualClock
from cuminstile.daemon import make_vm
from cuminstile.events import Journal
from cuminstile.runtime import Vm
from cuminstile.settings import Settings
from tests.fakes.platform import FakePlatform

OPERATOR_KEYS = ("operators-key-one", "operators-key-two")
VM_KEYS = ("vms-key-number-one",)


def make_settings(name: str, **values: Any) -> Settings:
    fields = {
        "name": name,
        "data_centre": "dc1",
        "host": "127.0.0.1",
        "caller_port": 1,
        "operator_port": 2,
        "vm_port": 3,
        "platform": "127.0.0.1:4",
        "operator_keys": OPERATOR_KEYS,
        "vm_keys": VM_KEYS,
    }
    return Settings(**(fields | values))


def make_test_vm(name: str, platform: FakePlatform, **values: Any) -> Vm:
    vm = make_vm(make_settings(name, **values))
    vm.clock = platform.clock
    vm.journal = Journal(name, platform.clock)
    vm.platform = platform  # type: ignore[assignment]
    vm.random = random.Random(name)
    return vm


def make_platform() -> FakePlatform:
    return FakePlatform(VirtualClock())

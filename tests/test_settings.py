"""Test cuminstile.settings."""

import json
import socket
from pathlib import Path

import pytest

from cuminstile.exceptions import CuminstileError, ErrorCode
from cuminstile.settings import check_ports, load_settings

from .fakes.vms import make_settings

BAD = {"name": "VM 1", "host": "localhost", "caller_port": 70_000, "colour": "red"}


def test_every_finding_is_reported_with_its_place(tmp_path: Path) -> None:
    path = tmp_path / "vm.json"
    path.write_text(json.dumps(BAD))
    with pytest.raises(CuminstileError) as caught:
        load_settings(path)
    assert caught.value.code is ErrorCode.BAD_SETTINGS
    places = {finding.path for finding in caught.value.findings}
    assert {"name", "host", "caller_port", "colour", "vm_keys"} <= places
    assert all(finding.file == str(path) for finding in caught.value.findings)


@pytest.mark.parametrize("text", ["", "{", "[]", "null", "\ud800"])
def test_no_settings_at_all_is_one_clear_error(tmp_path: Path, text: str) -> None:
    path = tmp_path / "vm.json"
    path.write_bytes(text.encode("utf-8", "surrogatepass"))
    with pytest.raises(CuminstileError) as caught:
        load_settings(path)
    assert len(caught.value.findings) == 1


def test_ports_in_use_are_reported_together() -> None:
    with socket.create_server(("127.0.0.1", 0)) as busy:
        port = busy.getsockname()[1]
        settings = make_settings("vm-a1", "a", caller_port=port, vm_port=port)
        with pytest.raises(CuminstileError) as caught:
            check_ports(settings)
    assert [item.path for item in caught.value.findings] == ["caller_port", "vm_port"]

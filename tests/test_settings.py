"""Test cuminstile.settings."""

import dataclasses
import json
import socket
from pathlib import Path
from typing import Any

import hypothesis
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cuminstile.exceptions import CuminstileError, ErrorCode
from cuminstile.settings import SETTINGS, Settings, load_settings, port_findings

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
def test_unreadable_settings_are_one_finding(tmp_path: Path, text: str) -> None:
    path = tmp_path / "vm.json"
    path.write_bytes(text.encode("utf-8", "surrogatepass"))
    with pytest.raises(CuminstileError) as caught:
        load_settings(path)
    assert len(caught.value.findings) == 1


def test_shutdown_that_leaves_no_time_for_requests_is_a_finding(
    tmp_path: Path,
) -> None:
    path = tmp_path / "vm.json"
    settings = make_settings("vm-a1", "a", shutdown_linger_ms=2_000, shutdown_ms=3_000)
    path.write_bytes(SETTINGS.dump_json(settings))
    with pytest.raises(CuminstileError) as caught:
        load_settings(path)
    assert [item.path for item in caught.value.findings] == ["shutdown_ms"]


def test_ports_in_use_are_reported_together() -> None:
    with socket.create_server(("127.0.0.1", 0)) as busy:
        port = busy.getsockname()[1]
        settings = make_settings("vm-a1", "a", caller_port=port, vm_port=port)
        findings = port_findings(settings)
    assert [item.path for item in findings] == ["caller_port", "vm_port"]


ANY_JSON_VALUE = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)
NAMES = [field.name for field in dataclasses.fields(Settings)]


@hypothesis.settings(
    max_examples=200,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@given(changes=st.dictionaries(st.sampled_from(NAMES), ANY_JSON_VALUE, min_size=1))
def test_any_settings_are_valid_or_have_findings(
    tmp_path: Path, changes: dict[str, Any]
) -> None:
    path = tmp_path / "vm.json"
    valid = SETTINGS.dump_python(make_settings("vm-a1", "a"), mode="json")
    path.write_text(json.dumps(valid | changes))
    try:
        settings = load_settings(path)
    except CuminstileError as error:
        assert error.code is ErrorCode.BAD_SETTINGS
        assert error.findings
    else:
        assert isinstance(settings, Settings)


@given(data=st.binary())
@hypothesis.settings(
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture]
)
def test_any_bytes_are_rejected_with_findings(tmp_path: Path, data: bytes) -> None:
    path = tmp_path / "vm.json"
    path.write_bytes(data)
    with pytest.raises(CuminstileError) as caught:
        load_settings(path)
    assert caught.value.findings

"""Test cuminstile.cli and cuminstile.commands against served applications."""

import copy
import hashlib
import json
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import replace
from pathlib import Path

import anyio
import eliot
import pytest
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from cuminstile import cli
from cuminstile.events import Event
from cuminstile.operator.app import make_app
from cuminstile.records.config_record import OBJECTS
from cuminstile.records.follow import read_configuration
from cuminstile.runtime import Vm
from tests.fakes import vms as sessions
from tests.fakes.asgi import serving
from tests.fakes.platform import FakePlatform
from tests.fakes.virtual import OPERATOR_KEYS, make_platform, make_test_vm
from tests.objects.examples import GOOD_SET


@pytest.fixture
def keys(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("CUMINSTILE_OPERATOR_KEY", OPERATOR_KEYS[0])
    monkeypatch.setenv("CUMINSTILE_CALLER_KEY", "a-callers-key")


@pytest.fixture
def directory(tmp_path: Path) -> Path:
    (tmp_path / "objects").mkdir()
    (tmp_path / "objects" / "all.json").write_text(json.dumps(GOOD_SET))
    return tmp_path / "objects"


def run(*arguments: str) -> int:
    with pytest.raises(SystemExit) as caught:
        cli.main(list(arguments))
    return int(caught.value.code or 0)


async def run_async(*arguments: str) -> int:
    return await anyio.to_thread.run_sync(run, *arguments)


@asynccontextmanager
async def served(*vms: Vm) -> AsyncIterator[list[str]]:
    """Serve the operators' applications of some VMs; yield their addresses."""
    async with anyio.create_task_group() as tasks:
        addresses: list[str] = []

        async def serve(vm: Vm) -> None:
            async with serving(make_app(vm)) as address:
                addresses.append(address)
                await anyio.sleep_forever()

        for vm in vms:
            tasks.start_soon(serve, vm)
            while len(addresses) <= vms.index(vm):
                await anyio.sleep(0.01)
        yield addresses
        tasks.cancel_scope.cancel()


@contextmanager
def logged_to(path: Path) -> Iterator[None]:
    """Write the log to a file."""
    with path.open("w") as target:
        destination = eliot.FileDestination(file=target)
        eliot.add_destinations(destination)
        try:
            yield
        finally:
            eliot.remove_destination(destination)


def test_check_prints_one_finding_per_line(
    directory: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run("check", str(directory)) == 0
    (directory / "all.json").write_text(json.dumps([{**GOOD_SET[0], "state": "x"}]))
    capsys.readouterr()
    assert run("check", str(directory)) == 1
    lines = capsys.readouterr().out.splitlines()
    assert len(lines) == 1
    assert lines[0].startswith(f"{directory}/all.json:[0].state: ")
    assert run("check", str(directory), "--json") == 1
    found = json.loads(capsys.readouterr().out)
    assert found[0]["path"] == "[0].state"


@pytest.mark.parametrize(
    "arguments",
    [
        ("nope",),
        ("status",),
        ("status", "--vm", "nowhere"),
        ("status", "--vm", "127.0.0.1:1", "--key_file", "/nonexistent"),
        ("timeline", "--vm", "127.0.0.1:1", "--event", "nope"),
        ("send", "p", "--vm", "127.0.0.1:1", "--input", "{"),
        ("status", "--vm", "127.0.0.1:1", "--bogus"),
    ],
)
@pytest.mark.usefixtures("keys")
def test_bad_input_gives_status_2(arguments: tuple[str, ...]) -> None:
    assert run(*arguments) == 2


def test_a_missing_key_gives_status_2(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("CUMINSTILE_OPERATOR_KEY", raising=False)
    assert run("status", "--vm", "127.0.0.1:1") == 2


@pytest.mark.parametrize("command", sorted(cli.COMMANDS))
def test_every_command_has_help(
    command: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run(command, "--help") == 0
    text = capsys.readouterr().err
    assert f"cuminstile {command} - " in text
    assert "GROUP" not in text


def test_digest_is_sha_256(capsys: pytest.CaptureFixture[str]) -> None:
    assert run("digest", "0x10") == 0
    shown = capsys.readouterr().out.strip()
    assert shown == hashlib.sha256(b"0x10").hexdigest()


@pytest.mark.usefixtures("keys")
async def test_a_misspelt_option_publishes_nothing(directory: Path) -> None:
    platform = make_platform()
    async with served(make_test_vm("vm1", platform)) as (address,):
        status = await run_async("publish", str(directory), "--vm", address, "--bas=3")
    assert status == 2
    assert platform.end("config") == 0


@pytest.mark.usefixtures("keys")
async def test_publish_names_lagging_vms_and_is_idempotent(
    directory: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    platform = make_platform()
    one, other = make_test_vm("vm1", platform), make_test_vm("vm2", platform)
    async with served(one, other) as addresses:
        vm = ",".join(addresses)
        command = ("publish", str(directory), "--vm", vm, "--wait_s", "0.3")
        assert await run_async(*command) == 1
        out = capsys.readouterr().out
        assert out.splitlines() == [
            "version 0 published",
            "not in force yet on vm2",
        ]
        await read_configuration(other, 0)
        await read_configuration(other, 0)
        assert await run_async(*command) == 0
        out = capsys.readouterr().out
        assert out.splitlines() == ["version 0 in force already"]
    assert platform.end("config") == 1


@pytest.mark.usefixtures("keys")
async def test_publish_is_retried_on_another_vm(directory: Path) -> None:
    platform = make_platform()
    leaving, vm = make_test_vm("vm1", platform), make_test_vm("vm2", platform)
    leaving.leaving = True
    async with served(leaving, vm) as addresses:
        command = ("publish", str(directory), "--vm", f"127.0.0.1:9,{addresses[0]}")
        assert await run_async(*command, "--wait_s", "0") == 1
        assert platform.end("config") == 0
        vms = ",".join(addresses)
        await run_async("publish", str(directory), "--vm", vms, "--wait_s", "0")
    assert platform.end("config") == 1


@pytest.mark.usefixtures("keys")
async def test_publish_shows_a_conflict(
    directory: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    platform = make_platform()
    async with served(make_test_vm("vm1", platform)) as (address,):
        assert await run_async("publish", str(directory), "--vm", address) == 0
        objects = copy.deepcopy(GOOD_SET)
        objects[0]["region"] = "r2"
        (directory / "all.json").write_text(json.dumps(objects))
        capsys.readouterr()
        command = ("publish", str(directory), "--vm", address, "--base=-1")
        assert await run_async(*command) == 1
    err = capsys.readouterr().err
    assert "upstream engine1: added since the base [added]" in err
    assert "version 0 is in force, not -1 (not run) [publish_conflict]" in err


@pytest.mark.usefixtures("keys")
async def test_status_shows_problems_first(
    directory: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    platform = make_platform()
    vm = make_test_vm("vm1", platform)
    async with served(vm) as (address,):
        assert await run_async("status", "--vm", address) == 1
        lines = capsys.readouterr().out.splitlines()
        assert lines[0] == "1 problem:"
        assert lines[1] == "  vm1: has no configuration in force [no_configuration]"
        await run_async("publish", str(directory), "--vm", address)
        capsys.readouterr()
        assert await run_async("status", "--vm", address) == 0
        lines = capsys.readouterr().out.splitlines()
        assert lines[0] == "ok: version 0 is in force on 1 VMs"
        assert await run_async("status", "--vm", f"{address},127.0.0.1:9") == 1
        lines = capsys.readouterr().out.splitlines()
        assert "127.0.0.1:9" in lines[1] and "[vm_unreachable]" in lines[1]
        assert await run_async("moves", "--vm", address, "--json") == 0
        moves = json.loads(capsys.readouterr().out)
        assert [move["name"] for move in moves] == ["back", "to-2"]


@pytest.mark.usefixtures("keys")
async def test_a_wrong_key_is_refused_and_not_printed(
    directory: Path, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "key").write_text("not-the-operators-key\n")
    platform: FakePlatform = make_platform()
    async with served(make_test_vm("vm1", platform)) as (address,):
        options = ("--vm", address, "--key_file", str(tmp_path / "key"))
        assert await run_async("publish", str(directory), *options) == 1
        assert await run_async("status", *options) == 1
    shown = capsys.readouterr()
    assert "an operators' key is required" in shown.err
    assert "not-the-operators-key" not in shown.out + shown.err
    assert platform.end("config") == 0


@pytest.mark.usefixtures("keys")
async def test_the_timeline_merges_all_vms_by_stamp(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    platform = make_platform()
    one, other = make_test_vm("vm1", platform), make_test_vm("vm2", platform)
    log = tmp_path / "log.json"
    with logged_to(log):
        one.journal.record(Event.REQUEST_STARTED, request="r1")
        other.journal.observe(one.journal.last)
        other.journal.record(Event.STAGE_STARTED, request="r1")
        one.journal.observe(other.journal.last)
        one.journal.record(Event.REQUEST_ANSWERED, request="r1")
        one.journal.record(Event.REQUEST_STARTED, request="r2")
    expected = ["vm1 request_started", "vm2 stage_started", "vm1 request_answered"]
    async with served(one, other) as addresses:
        vm = ",".join(addresses)
        assert await run_async("timeline", "--vm", vm, "--request", "r1") == 0
        lines = capsys.readouterr().out.splitlines()
        assert [" ".join(line.split()[1:3]) for line in lines] == expected
        command = ("timeline", "--vm", vm, "--event", "2101,request_answered")
        await run_async(*command, "--json")
        lines = capsys.readouterr().out.splitlines()
        assert [json.loads(line)["event"] for line in lines] == [2101, 2002]
    count = len(log.read_text().splitlines())
    log.write_text(log.read_text() + "not json\n")
    assert await run_async("timeline", str(log), "--request", "r1") == 1
    shown = capsys.readouterr()
    lines = shown.out.splitlines()
    assert [" ".join(line.split()[1:3]) for line in lines] == expected
    assert f"log.json:line {count + 1}: " in shown.err


WHOLE = {
    "request": "r1",
    "output": {"text": "ab"},
    "steps": [
        {
            "step": "write",
            "stage": "draft",
            "version": "draft-1",
            "upstream": "engine1",
            "data_centre": "dc1",
            "vm": "vm1",
            "attempts": 1,
            "elapsed_ms": 3.5,
        }
    ],
}
REFUSAL = {"code": "overloaded", "message": "try later", "ran": "not_run"}


def caller_app(received: list[dict]) -> Starlette:
    """Return a fake of the application at a VM's caller port."""

    async def answer(http: Request) -> Response:
        received.append({**await http.json(), "key": http.headers["authorization"]})
        if http.path_params["name"] == "busy":
            return JSONResponse({"error": REFUSAL}, 503)
        if not received[-1].get("stream"):
            return JSONResponse(WHOLE)
        parts = [("tokens", {"index": 0, "tokens": ["a", "b"]}), ("done", WHOLE)]
        if http.path_params["name"] == "late":
            parts[-1] = ("error", {"error": REFUSAL | {"ran": "unknown"}})
        if http.path_params["name"] == "cut":
            del parts[-1]
        lines = (f"event: {name}\ndata: {json.dumps(data)}\n\n" for name, data in parts)
        return StreamingResponse(iter(list(lines)), media_type="text/event-stream")

    return Starlette(routes=[Route("/v1/pipelines/{name}", answer, methods=["POST"])])


@pytest.mark.usefixtures("keys")
async def test_send_shows_complete_and_streamed_answers(
    capsys: pytest.CaptureFixture[str],
) -> None:
    received: list[dict] = []
    async with serving(caller_app(received)) as address:
        options = ("--vm", f"127.0.0.1:9,{address}", "--input", '{"x": null}')
        key = ("--idempotency_key", "17")
        assert await run_async("send", "contract", *options, *key) == 0
        assert await run_async("send", "contract", *options, *key, "--resend") == 0
        assert "engine1" in capsys.readouterr().out
        assert await run_async("send", "contract", *options, "--stream", "--json") == 0
        lines = capsys.readouterr().out.splitlines()
        assert [json.loads(line)["event"] for line in lines] == ["tokens", "done"]
    assert received[0]["input"] == {"x": None}
    assert received[0]["idempotency_key"] == "17"
    assert received[0]["issued_at_ms"] > 0
    assert received[0]["key"] == "Bearer a-callers-key"
    assert [body.get("resend", False) for body in received] == [False, True, False]


@pytest.mark.usefixtures("keys")
async def test_send_reports_refusals_and_incomplete_streams(
    capsys: pytest.CaptureFixture[str],
) -> None:
    received: list[dict] = []
    async with serving(caller_app(received)) as address:
        vm = ("--vm", address, "--stream")
        assert await run_async("send", "busy", *vm) == 1
        err = capsys.readouterr().err
        assert "try later (not run) [overloaded]" in err
        assert await run_async("send", "late", *vm) == 1
        err = capsys.readouterr().err
        assert "try later (unknown) [overloaded]" in err
        assert await run_async("send", "cut", *vm) == 1
        err = capsys.readouterr().err
        assert "the stream ended early" in err
    assert len(received) == 3


async def test_status_reaches_every_vm_from_one_and_names_lagging_vms(
    keys: None, capsys: pytest.CaptureFixture[str]
) -> None:
    names = ("vm-a1", "vm-a2", "vm-b1")
    vms = [sessions.make_test_vm(name, name[3]) for name in names]
    async with served(*vms) as addresses:
        for number, (vm, address) in enumerate(zip(vms, addresses, strict=True)):
            port = int(address.rpartition(":")[2])
            vm.settings = replace(
                vm.settings, operator_port=port, operator_keys=OPERATOR_KEYS
            )
            sessions.set_configuration(
                vm, OBJECTS.validate_python(GOOD_SET), number // 2
            )
        async with sessions.connected(*vms):
            assert await run_async("status", "--vm", addresses[0], "--json") == 1
    report = json.loads(capsys.readouterr().out)
    assert [(vm["name"], vm["version"]) for vm in report["vms"]] == [
        ("vm-a1", 0),
        ("vm-a2", 0),
        ("vm-b1", 1),
    ]
    assert [vm["operator_address"] for vm in report["vms"]] == addresses
    assert [(item["code"], item["subject"]) for item in report["problems"]] == [
        ("vm_lagging", "vm-a1"),
        ("vm_lagging", "vm-a2"),
    ]

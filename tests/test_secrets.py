"""Test that no secret leaves a VM in logs, statuses, events, metrics or answers."""

import hashlib
import io
import json
from dataclasses import replace
from typing import Any

import anyio
import eliot
import pytest
import websockets
from websockets.asyncio.client import connect

from cuminstile.caller.app import make_app as make_caller_app
from cuminstile.daemon import make_vm
from cuminstile.events import Event
from cuminstile.objects.model import Organisation
from cuminstile.operator.app import make_app
from cuminstile.records.follow import follow_vm_list
from cuminstile.runtime import Vm
from cuminstile.settings import load_settings
from cuminstile.vm.messages import CODEC, Heartbeat

from .fakes.asgi import send_request
from .fakes.objects import single_stage_objects
from .fakes.vms import make_settings, set_configuration
from .vm.test_authentication import hello, listening

OPERATOR = "secret-of-operators"
OTHER_OPERATOR = "secret-of-operators-2"
PEERS = "secret-of-the-vms"
PLATFORM = "secret-of-the-platform"
CALLER = "secret-of-the-caller"
GUESS = "secret-guessed-by-somebody"
INPUT = "secret-in-an-input"
EVERY = (OPERATOR, OTHER_OPERATOR, PEERS, PLATFORM, CALLER, GUESS, INPUT)


async def fail(vm: Vm, call: Any, *others: Any) -> Any:
    """Raise an error with everything that an unexpected error might contain."""
    raise ValueError(f"{call.input} {vm.settings} {vm} {EVERY}")


def make_secret_vm() -> Vm:
    """Return a VM that holds every secret."""
    vm = make_vm(
        make_settings(
            "vm-a1",
            "a",
            operator_keys=(OPERATOR, OTHER_OPERATOR),
            vm_keys=(PEERS,),
            platform_key=PLATFORM,
        )
    )
    digest = hashlib.sha256(CALLER.encode()).hexdigest()
    objects = tuple(
        replace(item, key_digests=(digest,)) if isinstance(item, Organisation) else item
        for item in single_stage_objects({"gen-a": "127.0.0.1:9"})
    )
    set_configuration(vm, objects)
    vm.run_stage = fail
    return vm


async def send_all_requests(vm: Vm) -> list[str]:
    """Send a VM valid and invalid requests; return all answers."""
    callers, operators = make_caller_app(vm), make_app(vm)
    answers = []
    path = "/v1/pipelines/chat"
    for key in (CALLER, GUESS, OPERATOR, PEERS, ""):
        for body in ({"input": INPUT}, {"input": 1, "colour": INPUT}, b"{", [INPUT]):
            reply = await send_request(callers, "POST", path, key, body)
            answers.append(json.dumps(reply.body))
    for key in (OPERATOR, OTHER_OPERATOR, GUESS, PEERS, CALLER, ""):
        for name in ("status", "moves", "events", "nothing", f"status?key={GUESS}"):
            reply = await send_request(operators, "GET", f"/operator/{name}", key)
            answers.append(json.dumps(reply.body))
        body = {"base": 5, "nonce": "nonce-number-1", "objects": []}
        reply = await send_request(operators, "POST", "/operator/publish", key, body)
        answers.append(json.dumps(reply.body))
    return answers


async def send_bad_handshakes(vm: Vm) -> None:
    """Try to open a session with wrong keys and messages."""
    async with listening(vm):
        for message in (hello(GUESS), hello(PEERS), Heartbeat(1, 1, 1, False)):
            async with connect(f"ws://{vm.own_address}", proxy=None) as connection:
                await connection.recv()
                await connection.send(CODEC.encode(message))
                with pytest.raises(websockets.ConnectionClosed):
                    await connection.recv()


async def test_no_secret_is_exposed(capfd: pytest.CaptureFixture[str]) -> None:
    vm = make_secret_vm()
    log = io.StringIO()
    destination = eliot.FileDestination(file=log)
    eliot.add_destinations(destination)
    try:
        answers = await send_all_requests(vm)
        await send_bad_handshakes(vm)
        with anyio.move_on_after(0.3):
            await follow_vm_list(vm)
    finally:
        eliot.remove_destination(destination)
    metrics = await request_text(make_caller_app(vm), "/metrics")
    shown = capfd.readouterr()
    events = [str(record) for record in vm.journal.ring]
    everything = [*answers, *events, log.getvalue(), metrics, shown.out, shown.err]
    for secret in EVERY:
        found = [text[:300] for text in everything if secret in text]
        assert not found, secret
    assert Event.INTERNAL_ERROR in [record.event for record in vm.journal.ring]
    assert Event.PLATFORM_LOST in [record.event for record in vm.journal.ring]


async def request_text(app: Any, path: str) -> str:
    """Return the text of an answer that is not JSON."""
    sent: list[bytes] = []

    async def receive() -> dict:
        return {"type": "http.request", "body": b"", "more_body": False}

    async def send(message: dict) -> None:
        sent.append(message.get("body", b""))

    scope = {"type": "http", "method": "GET", "path": path, "headers": []}
    await app({**scope, "query_string": b"", "raw_path": path.encode()}, receive, send)
    return b"".join(sent).decode()


@pytest.mark.parametrize(
    "change",
    [
        {"operator_keys": [OPERATOR, "short"]},
        {"operator_keys": [OPERATOR, OPERATOR, OPERATOR]},
        {"vm_keys": PEERS},
        {"vm_keys": [PEERS + "\u00e9" * 8]},
        {"platform_key": PLATFORM + "\n"},
        {"platform_key": [PLATFORM]},
    ],
)
def test_findings_about_keys_do_not_contain_the_keys(
    change: dict, tmp_path: Any
) -> None:
    path = tmp_path / "vm.json"
    valid = {
        "name": "vm-a1",
        "data_centre": "a",
        "host": "127.0.0.1",
        "caller_port": 1,
        "operator_port": 2,
        "vm_port": 3,
        "platform": "127.0.0.1:4",
        "operator_keys": [OPERATOR],
        "vm_keys": [PEERS],
    }
    path.write_text(json.dumps(valid))
    assert OPERATOR not in repr(load_settings(path))
    path.write_text(json.dumps(valid | change))
    with pytest.raises(Exception) as caught:
        load_settings(path)
    text = " ".join(map(str, caught.value.findings))
    assert text
    assert not any(secret in text for secret in EVERY)

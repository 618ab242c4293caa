"""Test cuminstile.head_protocol on the daemon's own server."""

import hashlib
from dataclasses import replace
from typing import Any

import anyio
import pytest

from cuminstile.caller.app import make_app
from cuminstile.daemon import make_server
from cuminstile.objects.model import Organisation

from .fakes.objects import single_stage_objects
from .fakes.vms import make_test_vm, set_configuration

pytestmark = pytest.mark.anyio
START = b"POST %b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
BODY = b"c\r\n" + b'{"input": 1}' + b"\r\n0\r\n"
KEY = "a-callers-key"
DIGEST = hashlib.sha256(KEY.encode()).hexdigest()
TRAILERS = b"Authorization: Bearer %b\r\nX-Foo: 1\r\n\r\n" % KEY.encode()


async def send(app: Any, parts: list[bytes]) -> bytes:
    """Serve an application as the daemon does and send it parts of one request."""
    vm = make_test_vm("vm-a1", "a")
    server = make_server(vm.settings, app, vm.settings.caller_port)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve)
        with anyio.fail_after(5.0):
            while not server.started:
                await anyio.sleep(0.01)
            port = vm.settings.caller_port
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                for part in parts:
                    await stream.send(part)
                    await anyio.sleep(0.05)
                answer = await stream.receive()
        tasks.cancel_scope.cancel()
    return answer


# Guards against fields after a body that count as those of the head, such as a key.
@pytest.mark.parametrize("at_once", [True, False])
async def test_trailers_are_no_headers(at_once: bool) -> None:
    seen: list[bytes] = []

    async def record_headers(scope: Any, receive: Any, send: Any) -> None:
        while (await receive()).get("more_body"):
            pass
        seen.extend(name for name, _ in scope["headers"])
        await send({"type": "http.response.start", "status": 204, "headers": []})
        await send({"type": "http.response.body", "body": b""})

    parts = [START % b"/", BODY, TRAILERS]
    answer = await send(record_headers, [b"".join(parts)] if at_once else parts)
    assert answer.startswith(b"HTTP/1.1 204")
    assert seen == [b"host", b"transfer-encoding"]


@pytest.mark.parametrize("at_once", [True, False])
async def test_key_in_a_trailer_is_no_key(at_once: bool) -> None:
    """Guards against a request that is served for a key behind its body."""
    vm = make_test_vm("vm-a1", "a")
    objects = tuple(
        replace(item, key_digests=(DIGEST,)) if isinstance(item, Organisation) else item
        for item in single_stage_objects({"gen-a": "127.0.0.1:9"})
    )
    set_configuration(vm, objects)
    parts = [START % b"/v1/pipelines/chat", BODY, TRAILERS]
    answer = await send(make_app(vm), [b"".join(parts)] if at_once else parts)
    assert answer.startswith(b"HTTP/1.1 401")

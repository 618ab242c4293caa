"""Test which forms of an upstream's answer are forwarded, and which end its send."""

import pytest

from cuminstile.clock import Clock
from cuminstile.gateway.model import RouteKind
from cuminstile.gateway.send_state import Outcome

from .servers import serving
from .test_sending import answering_in_turn, send
from .test_state import make_vm

pytestmark = pytest.mark.anyio
FIELDS = b"Attempt-Id: %s\r\nResponse-Seal: s\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n" + FIELDS
LENGTH = b"Content-Length: 2\r\n\r\nok"
CHUNKS = b"\r\n2\r\nok\r\n0\r\n\r\n"

SOUND = {
    "length": HEAD + LENGTH,
    "chunked": HEAD + b"Transfer-Encoding: chunked\r\n" + CHUNKS,
    "chunked in capitals": HEAD + b"Transfer-Encoding: Chunked\r\n" + CHUNKS,
    "chunk extension": HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n2;a=b\r\nok\r\n0\r\n\r\n",
    "trailer": HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nAttempt-Id: b\r\n\r\n",
    "interim answer": b"HTTP/1.1 103 Early Hints\r\nAttempt-Id: b\r\n\r\n"
    + HEAD
    + LENGTH,
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n" + FIELDS + LENGTH,
    "empty line first": b"\r\n" + HEAD + LENGTH,
    "no reason phrase": b"HTTP/1.1 200\r\n" + FIELDS + LENGTH,
    "space around the id": b"HTTP/1.1 200 OK\r\nAttempt-Id: \t %s \t \r\n"
    b"Response-Seal: s\r\n" + LENGTH,
    "the id twice": HEAD + b"Attempt-Id: %s\r\n" + LENGTH,
}
UNSOUND = {
    "length and chunks": HEAD
    + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n"
    + CHUNKS,
    "two lengths": HEAD + b"Content-Length: 3\r\n" + LENGTH,
    "compressed on the way": HEAD + b"Transfer-Encoding: gzip, chunked\r\n" + CHUNKS,
    "chunked twice": HEAD
    + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"
    + CHUNKS,
    "another id behind its own": HEAD + b"Attempt-Id: b\r\n" + LENGTH,
    "another id before its own": b"HTTP/1.1 200 OK\r\nAttempt-Id: b\r\n"
    + FIELDS
    + LENGTH,
    "no id": b"HTTP/1.1 200 OK\r\nResponse-Seal: s\r\n" + LENGTH,
    "no seal": b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n" + LENGTH,
}


@pytest.mark.parametrize("form", SOUND)
async def test_sound_answer_is_forwarded(form: str) -> None:
    """Guards against a whole answer that its caller never gets for its form alone."""
    vm = make_vm(Clock())
    async with serving(answering_in_turn(SOUND[form], b"")) as (address, _):
        sent = await send(vm, address, "a1", RouteKind.ONCE)
    assert sent.outcome is Outcome.FORWARDED
    assert sent.caller.body == b"ok"


@pytest.mark.parametrize("form", UNSOUND)
async def test_ambiguous_answer_reaches_no_caller(form: str) -> None:
    """Guards against an answer of which it isn't sure whose it is or what it says."""
    vm = make_vm(Clock())
    async with serving(answering_in_turn(UNSOUND[form], b"")) as (address, _):
        sent = await send(vm, address, "a1", RouteKind.ONCE)
    assert sent.outcome is Outcome.UNKNOWN
    assert sent.caller.body == b""

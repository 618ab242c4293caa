"""Test cuminstile.platform as a program with unusual heads of callers' requests."""

import asyncio
import json

import pytest

from .site import Answer, Site, draft_fields, fields, read_answer

pytestmark = [pytest.mark.anyio, pytest.mark.process]
LOGGED_S = 2.0
TRAILERS = {
    "Attempt-Id": "31337",
    "Host": "other.example",
    "Model": "other",
    "Token-Count": "1,1",
    "Prompt-Prefix": "ff:1",
    "Last-Event-Id": "7",
    "Idempotency-Key": "k",
    "Cookie": "c=1",
}
REPEATED = {
    "Attempt-Id": "a2",
    "Authorization": "Bearer other",
    "Deadline-Ms": "9000",
    "Model": "other",
    "Token-Count": "1,1",
    "Prompt-Prefix": "ff:1",
    "Pieces": "1,1",
    "Piece-Key": "7c1e",
    "Last-Event-Id": "7",
}


def render_fields(sent: dict[str, str]) -> bytes:
    return "".join(f"{name}: {value}\r\n" for name, value in sent.items()).encode()


async def send_bytes(site: Site, data: bytes) -> Answer:
    """Send the bytes of one request on a new connection and return its answer."""
    host, port = site.vms[0].address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        async with asyncio.timeout(5.0):
            return await read_answer(reader)
    finally:
        writer.close()


async def received_headers(
    site: Site, target: str, attempt: str, trailers: dict[str, str]
) -> dict[str, str]:
    """Return the headers that an upstream gets of a request with such trailers."""
    sent = draft_fields(attempt, **{"Transfer-Encoding": "chunked"})
    start = f"POST {target} HTTP/1.1\r\n".encode() + render_fields(sent)
    end = b"0\r\n" + render_fields(trailers) + b"\r\n"
    answer = await send_bytes(site, start + b"\r\n4\r\nbody\r\n" + end)
    assert (answer.status, answer.complete) == (200, True)
    assert answer.headers["attempt-id"] == attempt
    received = [one for up in site.upstreams.values() for one in up.received]
    found = [one for one in received if one.target == target and one.body == b"body"]
    headers = dict(max(found, key=lambda one: one.at_s).headers)
    assert headers.pop("attempt-id") == attempt
    del headers["deadline-ms"], headers["expect-instance"]
    headers.pop("inputs", None)
    return headers


@pytest.mark.parametrize("target", ["/look/x", "/book/x", "/draft/x", "/note/x"])
async def test_trailers_change_nothing_for_the_upstream(
    site: Site, target: str
) -> None:
    """Guards against fields after a body that run it under another id or model."""
    sound = await received_headers(site, target, "a1", {})
    assert await received_headers(site, target, "a2", TRAILERS) == sound


def repeating(attempt: str, name: str, *values: str) -> bytes:
    """Return the bytes of a request with one field once more for each value."""
    sent = draft_fields(attempt, **{"Last-Event-Id": "0"})
    again = b"".join(render_fields({name: value}) for value in values)
    return b"GET /note/x HTTP/1.1\r\n" + render_fields(sent) + again + b"\r\n"


async def test_request_with_a_repeated_field_is_refused(site: Site) -> None:
    """Guards against a second id, key, deadline or prompt that nothing has checked."""
    for number, (name, other) in enumerate(REPEATED.items()):
        same = draft_fields(f"a{number}", **{"Last-Event-Id": "0"})[name]
        for value in (same, other):
            answer = await send_bytes(site, repeating(f"a{number}", name, value))
            assert (answer.status, name) == (400, name)
            assert json.loads(answer.body)["code"] == "repeated_field"
    assert not any(upstream.received for upstream in site.upstreams.values())
    async with asyncio.timeout(LOGGED_S):
        while len(site.vms[0].events("request_refused")) < 2 * len(REPEATED):
            await asyncio.sleep(0.05)
    refused = site.vms[0].events("request_refused")
    assert {event["code"] for event in refused} == {"repeated_field"}


async def test_request_that_repeats_another_field_is_served(site: Site) -> None:
    """Guards against a sound request that is refused for a list on two lines."""
    for name in ("Accept", "Cookie", "X-Foo"):
        answer = await send_bytes(site, repeating(f"s{name}", name, "a", "b"))
        assert (answer.status, answer.complete) == (200, True)


async def test_head_is_answered_without_a_body(site: Site) -> None:
    """Guards against HEAD that fails, or whose body is read as the next answer."""
    host, port = site.vms[0].address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    length = len("answer to h0")
    for number, target in enumerate(["/look/x", "/none/x", "/look/y", "/look/z"]):
        method = "GET" if target == "/look/z" else "HEAD"
        head = render_fields(fields(f"h{number}")) + b"\r\n"
        writer.write(f"{method} {target} HTTP/1.1\r\n".encode() + head)
        async with asyncio.timeout(5.0):
            if method == "GET":
                answer = await read_answer(reader)
                assert (answer.status, answer.complete) == (200, True)
                break
            head = await reader.readuntil(b"\r\n\r\n")
        assert int(head.split(b" ")[1]) == (404 if target == "/none/x" else 200)
        states_length = b"Content-Length: %d\r\n" % length in head
        assert states_length == (target != "/none/x")
    writer.close()


async def test_fields_of_the_callers_connection_end_at_the_vm(site: Site) -> None:
    """Guards against such fields at an upstream, and an id that is taken away so."""
    sent = fields("n1", Connection="close, X-Foo, Attempt-Id")
    sent |= {"X-Foo": "1", "X-Bar": "2"}
    start = b"GET /look/x HTTP/1.1\r\n" + render_fields(sent)
    answer = await send_bytes(site, start + b"\r\n")
    assert (answer.status, answer.body) == (200, b"answer to n1")
    received = [one for up in site.upstreams.values() for one in up.received]
    headers = next(one.headers for one in received if one.target == "/look/x")
    assert headers["attempt-id"] == "n1"
    assert headers["x-bar"] == "2"
    assert not {"x-foo", "connection"} & set(headers)

"""Write a whole session as text with times and ids normalised."""

import re
from collections.abc import Iterable, Mapping
from typing import Any

import cbor2
import httpcore

from cuminstile.commands.timeline import Entry

from .fleet import PLATFORM
from .scenario_session import Session
from .serving import HOST

# Events whose number and order depend on timers alone; golden files leave them out.
TIMER_EVENTS = frozenset(
    {
        "peer_connected",
        "peer_lost",
        "peer_refused",
        "platform_lost",
        "platform_back",
        "upstream_cold",
        "upstream_warm",
    }
)
ID_PATTERN = re.compile(r"\b[0-9a-f]{8,64}\b")
TIME_PATTERN = re.compile(r"\b1[6-9]\d{11}\b")
MILLISECONDS_PATTERN = re.compile(r"(_ms['\"]?[=:] ?)-?\d+(\.\d+)?")
ADDRESS_PATTERN = re.compile(rf"{re.escape(HOST)}:\d+")
CLAIM_STREAM_PATTERN = re.compile(r"^claims-\d+")
MAX_TEXT_CHARS = 200
READ_TIMEOUT_S = 2.0


class Normaliser:
    """Replaces times and ids in text; the same id always gets the same name."""

    def __init__(self) -> None:
        self.ids: dict[str, str] = {}

    def text(self, text: str) -> str:
        """Return a text with its times, ids and addresses replaced."""
        text = CLAIM_STREAM_PATTERN.sub("claims-N", TIME_PATTERN.sub("TIME", text))
        text = ID_PATTERN.sub(self.id, text)
        text = ADDRESS_PATTERN.sub("ADDRESS", text)
        return MILLISECONDS_PATTERN.sub(r"\1N", text)

    def id(self, found: re.Match[str]) -> str:
        """Return the name that replaces an id."""
        return self.ids.setdefault(found[0], f"ID{len(self.ids) + 1}")


async def session_text(session: Session) -> str:
    """Return replies, VM events and platform records as one text."""
    await session.fleet.control(PLATFORM, outage=False)
    normaliser = Normaliser()
    parts = [
        "callers",
        *(f"  {normaliser.text(line)}" for line in caller_lines(session)),
        "vms",
        *(f"  {normaliser.text(line)}" for line in vm_lines(session)),
        "platform",
        *(f"  {normaliser.text(line)}" for line in await platform_lines(session)),
    ]
    return "\n".join(parts) + "\n"


def caller_lines(session: Session) -> Iterable[str]:
    """Yield the lines of each request and its reply."""
    for reply in session.all_replies:
        sent = reply.sent
        yield f"{sent.pipeline} {sent.mark} key={sent.idempotency_key or 'none'}"
        yield f"  {reply.result} {reply.code} {reply.ran}".rstrip()
        if reply.tokens:
            yield f"  tokens {' '.join(reply.tokens)}"
        for step in (reply.body or {}).get("steps", ()):
            names = ("step", "version", "upstream", "vm", "attempts")
            yield "  " + " ".join(f"{name}={step[name]}" for name in names)


def vm_lines(session: Session) -> Iterable[str]:
    """Yield each VM's events without a request, then each request's over all VMs."""
    entries = [entry for entry in session.entries() if entry.name not in TIMER_EVENTS]
    for vm in session.fleet.vms:
        for entry in entries:
            if entry.vm == vm and "request" not in entry.fields:
                yield event_line(entry)
    requests = dict.fromkeys(
        str(entry.fields["request"]) for entry in entries if "request" in entry.fields
    )
    for request in requests:
        for entry in entries:
            if entry.fields.get("request") == request:
                yield event_line(entry)


def event_line(entry: Entry) -> str:
    """Return one event as a line."""
    fields = " ".join(f"{name}={value}" for name, value in entry.fields.items())
    return f"{entry.vm} {entry.name} {fields}".rstrip()


async def platform_lines(session: Session) -> list[str]:
    """Return one line for each record of the platform's streams."""
    lines: list[str] = []
    pool, port = session.fleet.pool, session.fleet.platform_port
    for stream in await read_stream_names(pool, port):
        for offset, payload in await read_records(pool, port, stream):
            lines.append(f"{stream} {offset} {format_value(cbor2.loads(payload))}")
    return lines


async def read_stream_names(pool: httpcore.AsyncConnectionPool, port: int) -> list[str]:
    """Return the names of the platform's streams, sorted."""
    body = await read_cbor(pool, port, "/streams")
    return sorted(body["streams"])


async def read_records(
    pool: httpcore.AsyncConnectionPool, port: int, stream: str
) -> list[tuple[int, bytes]]:
    """Return offset and payload of each record that a stream still retains."""
    body = await read_cbor(pool, port, f"/streams/{stream}?offset=0")
    if "first" in body and "records" not in body:
        body = await read_cbor(pool, port, f"/streams/{stream}?offset={body['first']}")
    return [(offset, payload) for offset, _, payload in body["records"]]


async def read_cbor(pool: httpcore.AsyncConnectionPool, port: int, path: str) -> Any:
    """Send a GET request to the platform and return its decoded CBOR body."""
    timeout = {"timeout": {"read": READ_TIMEOUT_S}}
    url = f"http://{HOST}:{port}{path}"
    response = await pool.request("GET", url, extensions=timeout)
    return cbor2.loads(response.content)


def format_value(value: Any) -> str:
    """Return a record as one line; bytes and long texts become placeholders."""
    if isinstance(value, Mapping):
        return (
            "{" + ", ".join(f"{k}: {format_value(v)}" for k, v in value.items()) + "}"
        )
    if isinstance(value, list | tuple):
        return "[" + ", ".join(format_value(item) for item in value) + "]"
    if isinstance(value, bytes):
        return "BYTES"
    text = str(value)
    return text if len(text) <= MAX_TEXT_CHARS else "LONG TEXT"

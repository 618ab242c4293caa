"""Write a whole session down with times and ids normalised."""

import re
from collections.abc import Iterable, Mapping
from typing import Any

import cbor2
import httpcore

from cuminstile.commands.timeline import Entry

from .fleet import PLATFORM
from .scenario_session import Session
from .serving import HOST

# What timers alone decide is left out of golden files.
UNTIMED = frozenset(
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
IDS = re.compile(r"\b[0-9a-f]{8,64}\b")
TIMES = re.compile(r"\b1[6-9]\d{11}\b")
MILLISECONDS = re.compile(r"(_ms['\"]?[=:] ?)-?\d+(\.\d+)?")
PORTS = re.compile(rf"{re.escape(HOST)}:\d+")
SHARDS = re.compile(r"^claims-\d+")
LONG = 200
READ_LIMIT_S = 2.0


class Normaliser:
    """Hold the ids seen so far, so that the same id gets the same name."""

    def __init__(self) -> None:
        self.ids: dict[str, str] = {}

    def text(self, text: str) -> str:
        """Return a text without its times and ids."""
        text = SHARDS.sub("claims-N", TIMES.sub("TIME", text))
        text = IDS.sub(self.id, text)
        text = PORTS.sub("ADDRESS", text)
        return MILLISECONDS.sub(r"\1N", text)

    def id(self, found: re.Match[str]) -> str:
        """Return the name of an id."""
        return self.ids.setdefault(found[0], f"ID{len(self.ids) + 1}")


async def session_text(session: Session) -> str:
    """Return callers, VMs and platform as one text."""
    await session.fleet.control(PLATFORM, outage=False)
    normal = Normaliser()
    parts = [
        "callers",
        *(f"  {normal.text(line)}" for line in caller_lines(session)),
        "vms",
        *(f"  {normal.text(line)}" for line in vm_lines(session)),
        "platform",
        *(f"  {normal.text(line)}" for line in await platform_lines(session)),
    ]
    return "\n".join(parts) + "\n"


def caller_lines(session: Session) -> Iterable[str]:
    """Yield each request with its reply."""
    for reply in session.every:
        sent = reply.sent
        yield f"{sent.pipeline} {sent.mark} key={sent.idempotency_key or 'none'}"
        yield f"  {reply.result} {reply.code} {reply.ran}".rstrip()
        if reply.tokens:
            yield f"  tokens {' '.join(reply.tokens)}"
        for step in (reply.body or {}).get("steps", ()):
            names = ("step", "version", "upstream", "vm", "attempts")
            yield "  " + " ".join(f"{name}={step[name]}" for name in names)


def vm_lines(session: Session) -> Iterable[str]:
    """Yield the events of each VM, and then those of each request over all VMs."""
    entries = [entry for entry in session.entries() if entry.name not in UNTIMED]
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
    """Return the records of the platform's streams."""
    lines: list[str] = []
    pool, port = session.fleet.pool, session.fleet.platform_port
    for stream in await stream_names(pool, port):
        for offset, payload in await records_of(pool, port, stream):
            lines.append(f"{stream} {offset} {shown(cbor2.loads(payload))}")
    return lines


async def stream_names(pool: httpcore.AsyncConnectionPool, port: int) -> list[str]:
    """Return the streams that the platform has."""
    body = await read_cbor(pool, port, "/streams")
    return sorted(body["streams"])


async def records_of(
    pool: httpcore.AsyncConnectionPool, port: int, stream: str
) -> list[tuple[int, bytes]]:
    """Return the records of a stream that are still kept."""
    body = await read_cbor(pool, port, f"/streams/{stream}?offset=0")
    if "first" in body and "records" not in body:
        body = await read_cbor(pool, port, f"/streams/{stream}?offset={body['first']}")
    return [(offset, payload) for offset, _, payload in body["records"]]


async def read_cbor(pool: httpcore.AsyncConnectionPool, port: int, path: str) -> Any:
    """Return the body of a request to the platform."""
    timeout = {"timeout": {"read": READ_LIMIT_S}}
    url = f"http://{HOST}:{port}{path}"
    response = await pool.request("GET", url, extensions=timeout)
    return cbor2.loads(response.content)


def shown(value: Any) -> str:
    """Return a record in one line, with long parts by their length only."""
    if isinstance(value, Mapping):
        return "{" + ", ".join(f"{k}: {shown(v)}" for k, v in value.items()) + "}"
    if isinstance(value, list | tuple):
        return "[" + ", ".join(shown(item) for item in value) + "]"
    if isinstance(value, bytes):
        return "BYTES"
    text = str(value)
    return text if len(text) <= LONG else "LONG TEXT"

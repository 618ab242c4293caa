"""Test cuminstile.platform as a program beside an upstream whose bytes never end."""

import asyncio
import itertools
import time
from dataclasses import dataclass
from pathlib import Path

import pytest

from standins.gateway_upstream import read_request
from standins.keyed_store import OPERATOR_TOPIC

from .crash_site import headers_for
from .own_upstreams import replace_upstreams
from .site import Answer, RunningVm, Site, call, make_manifest, make_route, make_service

pytestmark = [pytest.mark.anyio, pytest.mark.process]
DURATION_S = 4.0
SOUND_INTERVAL_S = 0.05
SERVED_SHARE = 0.95
MAX_ADDED_S = 0.5
"""How much later than without the endless answers sound requests may be answered."""
MAX_ADDED_MB = 100.0
BLOCK_BYTES = 60_000
HEAD = "HTTP/1.1 {status} A\r\nAttempt-Id: {id}\r\nResponse-Seal: s\r\n{framing}\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"


def chunks_of(data: bytes) -> bytes:
    """Return about a block of chunks with the same content."""
    one = b"%x\r\n%b\r\n" % (len(data), data)
    return one * (BLOCK_BYTES // len(one))


@dataclass(frozen=True)
class Kind:
    """One kind of bytes without end."""

    block: bytes
    status: int = 200
    framing: str = CHUNKED


KINDS = {
    "bytes": Kind(chunks_of(b"x")),
    "empty event lines": Kind(chunks_of(b"\n")),
    "comments": Kind(chunks_of(b":\n\n")),
    "failure in bytes": Kind(chunks_of(b"x"), 500),
    "lines in big chunks": Kind(chunks_of(b"\n" * 8_000)),
    "whole events": Kind(chunks_of(b"data: x\n\n" * 800)),
    "big pieces": Kind(chunks_of(b"x" * 8_000)),
    "no length": Kind(b"data: x\n\n" * 6_000, framing=""),
    "chunk extension": Kind(b"a" * BLOCK_BYTES, framing=CHUNKED + "\r\n5;"),
    "interim heads": Kind(b"HTTP/1.1 100 A\r\n\r\n" * 3_000, 100, ""),
}


class EndlessUpstream:
    """An upstream that answers each request with bytes until its channel is closed."""

    def __init__(self, kind: Kind) -> None:
        self.kind = kind
        self.requests = 0
        self.open = 0

    async def session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request."""
        try:
            received = await read_request(reader)
            self.requests += 1
            self.open += 1
            head = HEAD.format(
                status=self.kind.status,
                id=received.headers.get("attempt-id", ""),
                framing=self.kind.framing,
            )
            writer.write(head.encode())
            while True:
                writer.write(self.kind.block)
                await writer.drain()
                await asyncio.sleep(0)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open -= 1
            writer.close()


async def prepare(site: Site, upstream: EndlessUpstream) -> None:
    """Let the upstream serve whole answers and streams; add a sound service."""
    manifest = make_manifest(2)
    manifest["routes"].append(make_route("fine", "safe", "fine"))
    manifest["routes"].append(make_route("chat", "streaming", "engines"))
    manifest["services"].append(make_service("fine"))
    await site.store.put_json(OPERATOR_TOPIC, "config", manifest)
    services = {f"{service}-bad": service for service in ("desk", "engines")}
    await replace_upstreams(site, upstream.session, services)
    await site.add_upstream("fine-1", "fine")
    await asyncio.sleep(2.5)


def memory_mb(vm: RunningVm) -> float:
    """Return the resident memory of a VM's process."""
    status = Path(f"/proc/{vm.process.pid}/status").read_text()
    line = next(one for one in status.splitlines() if one.startswith("VmRSS"))
    return int(line.split()[1]) / 1024.0


async def send(site: Site, target: str, attempt: str) -> Answer | None:
    """Send one request; None is a connection that ends without a complete answer."""
    headers = headers_for(target, attempt)
    try:
        async with asyncio.timeout(5.0):
            return await call(site.vms[0].address, "POST", target, headers, b"x")
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return None


async def time_sound(site: Site, name: str, duration_s: float) -> list[float]:
    """Send sound requests; return the time that each took, infinity if not served."""

    async def one(number: int) -> float:
        began_s = time.monotonic()
        answer = await send(site, "/fine/x", f"{name}{number}")
        served = answer is not None and answer.status == 200 and answer.complete
        return time.monotonic() - began_s if served else float("inf")

    tasks = []
    end_s = time.monotonic() + duration_s
    for number in itertools.count():
        if time.monotonic() > end_s:
            break
        tasks.append(asyncio.create_task(one(number)))
        await asyncio.sleep(SOUND_INTERVAL_S)
    return list(await asyncio.gather(*tasks))


# Guards against one upstream's answers that take the processor and memory of their VM
# from the requests to all others.
@pytest.mark.parametrize(
    ("kind", "target", "at_once"),
    [
        *itertools.product(KINDS, ["/look/x", "/chat/x"], [40]),
        ("bytes", "/look/x", 1),
        ("bytes", "/chat/x", 4),
    ],
)
async def test_bytes_without_end_take_nothing_from_other_requests(
    site: Site, kind: str, target: str, at_once: int
) -> None:
    upstream = EndlessUpstream(KINDS[kind])
    await prepare(site, upstream)
    vm = site.vms[0]
    calm = await time_sound(site, "c", 1.0)
    calm_mb = memory_mb(vm)
    bad = [
        asyncio.create_task(send(site, target, f"b{number}"))
        for number in range(at_once)
    ]
    times = await time_sound(site, "s", DURATION_S)
    most_mb = memory_mb(vm)
    for task in bad:
        task.cancel()
    served = [one for one in times if one < float("inf")]
    print(
        f"FIG {kind} {target} {at_once} served={len(served) / len(times):.2f}"
        f" longest={max(served, default=0.0):.2f} calm={max(calm):.2f}"
        f" mb={most_mb - calm_mb:.0f} requests={upstream.requests}"
    )
    assert upstream.requests >= 1
    assert len(served) / len(times) >= SERVED_SHARE
    assert max(served) <= max(calm) + MAX_ADDED_S
    assert most_mb <= calm_mb + MAX_ADDED_MB
    assert at_once < 40 or vm.events("upstream_ejected")

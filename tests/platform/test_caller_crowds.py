"""Test cuminstile.platform as a program beside a crowd of callers that nobody controls.

Only what the users ask is checked: the process lives, its memory and descriptors stay
in the bounds of its settings, and an ordinary request is answered afterwards.
"""

import asyncio
import fcntl
import tempfile
from collections.abc import AsyncIterator, Iterator
from pathlib import Path

import pytest

from standins.keyed_store import OPERATOR_TOPIC

from .site import RunningVm, Site, call, fields, make_manifest

pytestmark = [pytest.mark.anyio, pytest.mark.process]
MEMORY_MB = 80
"""The memory of the VM, and the bound of its process."""
MAX_FDS = 300
"""The descriptors of the VM, and the bound of its process."""
BODY_BYTES = 1_048_576
MANY = 100
CROWD_S = 4.0
ANSWER_S = 30.0
"""Ends the test of a VM that hangs; how soon it answers isn't checked."""
PIECE_BYTES = 65_536
CHUNKED = "Transfer-Encoding: chunked\r\n"
LENGTH = f"Content-Length: {BODY_BYTES}\r\n"
BIG_CHUNK = b"10000\r\n" + b"x" * PIECE_BYTES + b"\r\n"
SMALL_CHUNKS = b"1\r\nx\r\n" * 10_000


def pieces(count: int) -> Iterator[bytes]:
    """Return a body of `count` bytes in pieces."""
    while count > 0:
        yield b"x" * min(PIECE_BYTES, count)
        count -= PIECE_BYTES


def endless(data: bytes) -> Iterator[bytes]:
    while True:
        yield data


def body_of(kind: str) -> tuple[str, Iterator[bytes]]:
    """Return the framing of a body and the parts that are sent of it."""
    match kind:
        case "trailers without end":
            return CHUNKED, endless(b"0\r\n" + b"A: b\r\n" * 10_000)
        case "one trailer without end":
            return CHUNKED, endless(b"0\r\nA: " + b"b" * 60_000)
        case "whole":
            return LENGTH, iter([b"x" * BODY_BYTES])
        case "one byte short":
            return LENGTH, iter([b"x" * (BODY_BYTES - 1)])
        case "piece by piece":
            return LENGTH, pieces(BODY_BYTES)
        case "piece by piece, one byte short":
            return LENGTH, pieces(BODY_BYTES - 1)
        case "big chunks":
            return CHUNKED, iter([*[BIG_CHUNK] * 16, b"0\r\n\r\n"])
        case "big chunks, stopping short":
            return CHUNKED, iter([BIG_CHUNK] * 16)
        case "chunks of one byte":
            return CHUNKED, iter([*[SMALL_CHUNKS] * 10, b"0\r\n\r\n"])
        case "chunks of one byte, stopping short":
            return CHUNKED, iter([SMALL_CHUNKS] * 100)
        case _:
            return "X-More: ", iter([])


KINDS = {
    "trailers without end": MANY,
    "one trailer without end": MANY,
    "whole": MANY,
    "one byte short": MANY,
    "piece by piece": MANY,
    "piece by piece, one byte short": MANY,
    "big chunks": MANY,
    "big chunks, stopping short": MANY,
    "chunks of one byte": MANY,
    "chunks of one byte, stopping short": MANY,
    "heads that stop short": 400,
}


@pytest.fixture
def alone() -> Iterator[None]:
    """Run one such test at a time, whatever the number of workers."""
    with (Path(tempfile.gettempdir()) / "cuminstile-crowds.lock").open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


@pytest.fixture
async def small_site(alone: None, tmp_path: Path) -> AsyncIterator[Site]:
    """Run a site with one small VM, and upstreams that answer slowly enough."""
    site = Site(tmp_path, limits={"memory_mb": MEMORY_MB, "max_fds": MAX_FDS})
    try:
        await site.start()
        manifest = make_manifest(2)
        manifest["limits"]["max_body_bytes"] = BODY_BYTES
        await site.store.put_json(OPERATOR_TOPIC, "config", manifest)
        async with asyncio.timeout(ANSWER_S):
            while len(site.vms[0].events("manifest_in_force")) < 2:
                await asyncio.sleep(0.1)
        yield site
    finally:
        await site.stop()


async def send_one(site: Site, number: int, kind: str, key: dict[str, str]) -> None:
    """Send one request of a crowd, then keep its connection open and read nothing."""
    host, port = site.vms[0].address.split(":")
    framing, parts = body_of(kind)
    head = "POST /look/x HTTP/1.1\r\n"
    for name, value in fields(f"c{number}", **key).items():
        head += f"{name}: {value}\r\n"
    end = "" if kind == "heads that stop short" else "\r\n"
    writer = None
    try:
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write((head + framing + end).encode())
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0)
        await asyncio.sleep(ANSWER_S)
    except OSError:
        pass
    finally:
        if writer is not None:
            writer.close()


async def most_descriptors(vm: RunningVm) -> int:
    """Return the largest number of descriptors seen while the crowd sends."""
    most = 0
    for _ in range(round(CROWD_S / 0.05)):
        most = max(most, len(list(Path(f"/proc/{vm.process.pid}/fd").iterdir())))
        await asyncio.sleep(0.05)
    return most


def peak_mb(vm: RunningVm) -> float:
    """Return the largest resident memory of a VM's process so far."""
    status = Path(f"/proc/{vm.process.pid}/status").read_text()
    line = next(one for one in status.splitlines() if one.startswith("VmHWM"))
    return int(line.split()[1]) / 1024.0


async def is_answered(site: Site, attempt: str) -> bool:
    """Return whether an ordinary request is served, on whichever of its tries."""
    for number in range(100):
        try:
            headers = fields(f"{attempt}{number}")
            async with asyncio.timeout(4.0):
                address = site.vms[0].address
                answer = await call(address, "POST", "/look/x", headers, b"x")
            if answer.status == 200 and answer.complete:
                return True
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        await asyncio.sleep(0.05)
    return False


async def check_crowd(site: Site, kind: str, key: dict[str, str]) -> None:
    """Let a crowd send, and check the VM while the crowd is still there."""
    vm = site.vms[0]
    assert await is_answered(site, "before")
    crowd = [
        asyncio.create_task(send_one(site, number, kind, key))
        for number in range(KINDS[kind])
    ]
    try:
        descriptors = await most_descriptors(vm)
        async with asyncio.timeout(ANSWER_S):
            answered = await is_answered(site, "after")
    except TimeoutError:
        answered = False
    finally:
        for task in crowd:
            task.cancel()
        await asyncio.gather(*crowd, return_exceptions=True)
    assert vm.process.poll() is None
    print(f"FIG {kind}: {peak_mb(vm):.0f} MB, {descriptors} descriptors")
    assert peak_mb(vm) <= MEMORY_MB
    assert descriptors <= MAX_FDS
    assert answered


# Guards against a process that runs out of memory, descriptors or processor time.
@pytest.mark.parametrize("kind", KINDS)
async def test_process_stands_a_crowd(small_site: Site, kind: str) -> None:
    await check_crowd(small_site, kind, {})


@pytest.mark.parametrize("kind", ["one byte short", "big chunks, stopping short"])
async def test_process_stands_a_crowd_without_a_key(
    small_site: Site, kind: str
) -> None:
    """Guards against bodies that are kept although their head is enough to refuse."""
    await check_crowd(small_site, kind, {"Authorization": "Bearer unknown"})


async def test_largest_body_is_served_in_calm(small_site: Site) -> None:
    """Guards against limits that refuse what a caller may send."""
    address = small_site.vms[0].address
    for number in range(3):
        headers = fields(f"m{number}")
        body = b"x" * BODY_BYTES
        answer = await call(address, "POST", "/look/x", headers, body)
        assert (answer.status, answer.complete) == (200, True)

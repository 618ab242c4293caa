"""Test cuminstile.platform as a program with prompts whose part crashes upstreams."""

import asyncio
import itertools
import random
import time
from dataclasses import dataclass, field

import pytest

from standins.keyed_store import OPERATOR_TOPIC

from .crash_site import CrashSite, stream_routes
from .site import Answer, call, fields, make_manifest

pytestmark = [pytest.mark.anyio, pytest.mark.process]
UPSTREAMS = 6
CONTACT_S = 3.0
"""How long after the fifth crash the VMs may still send requests with the part."""
MAX_LATE_SENDS = 3
MAX_CRASHES = 5
SHARED = ("11:800", "22:400")
"""Parts that all requests of the caller have in common."""
BAD_PART = "bad0"
SOUND_INTERVAL_S = 0.025
SOUND_SHARE = 0.9
"""Share of sound requests to begin at the first attempt from the third crash on."""
SETTLED_SHARE = 0.95
"""The same from twice `CONTACT_S` after the fifth crash, or the last, on."""


@dataclass(frozen=True)
class Case:
    """Requests with a bad part in their prompts.

    Parameters
    ----------
    place : int or None
        Position of the part in the prompt, None for any but the last.
    crash_after_events : int
        Events that an upstream sends before it ends; 0 to end before the head.
    interval_s : float
        Time between two requests with the part.
    """

    target: str
    service: str = "engines"
    place: int | None = 2
    crash_after_events: int = 1
    count: int = 32
    interval_s: float = 0.35


@dataclass
class Sound:
    """When sound requests were sent, and whether they were answered."""

    sent: list[tuple[float, Answer | None]] = field(default_factory=list)

    def begun_share(self, from_s: float) -> float:
        """Return the share of those sent since a time that began with success."""
        answers = [answer for at_s, answer in self.sent if at_s >= from_s]
        begun = [a for a in answers if a is not None and a.status == 200]
        return len(begun) / max(1, len(answers))


async def prepare(crash_site: CrashSite, case: Case) -> None:
    """Start the upstreams, and add routes of streams without stages."""
    manifest = make_manifest(2)
    manifest["routes"] += stream_routes()
    await crash_site.site.store.put_json(OPERATOR_TOPIC, "config", manifest)
    crash_site.crash_part = BAD_PART
    crash_site.crash_after_events = case.crash_after_events
    await crash_site.fill(case.service, UPSTREAMS)
    await asyncio.sleep(2.5)


async def send_prompt(
    crash_site: CrashSite, target: str, attempt: str, parts: list[str], number: int
) -> Answer | None:
    """Send one request to one of the VMs; None is a connection without answer."""
    vms = [vm for n, vm in enumerate(crash_site.site.vms) if n not in crash_site.down]
    vm = vms[number % len(vms)]
    headers = fields(
        attempt,
        **{
            "Model": "m",
            "Token-Count": f"{1300 + number},10",
            "Prompt-Prefix": ",".join(parts),
            "Pieces": "2,1",
            "Piece-Key": f"key-{attempt}",
        },
    )
    try:
        return await call(vm.address, "POST", target, headers, attempt.encode())
    except (OSError, asyncio.IncompleteReadError):
        return None


async def send_sound(
    crash_site: CrashSite, case: Case, until: asyncio.Event, sound: Sound
) -> None:
    """Send sound requests until an event."""

    async def send(number: int) -> None:
        at_s = time.monotonic()
        parts = [*SHARED, f"50{number % 20}:100"]
        target = f"{case.target}{number}"
        answer = await send_prompt(crash_site, target, f"s{number}", parts, number)
        sound.sent.append((at_s, answer))

    tasks = []
    for number in itertools.count():
        if until.is_set():
            break
        tasks.append(asyncio.create_task(send(number)))
        await asyncio.sleep(SOUND_INTERVAL_S)
    await asyncio.gather(*tasks)


async def send_bad(crash_site: CrashSite, case: Case) -> list[Answer | None]:
    """Send requests with the bad part, no two of them alike, and wait for all."""
    source = random.Random(7)
    tasks = []
    for number in range(case.count):
        parts = [*SHARED, f"e{number}:{100 + number}"]
        place = source.randrange(3) if case.place is None else case.place
        parts.insert(place, f"{BAD_PART}:300")
        target = f"{case.target}b{number}"
        job = send_prompt(crash_site, target, f"b{number}", parts, number)
        tasks.append(asyncio.create_task(job))
        await asyncio.sleep(case.interval_s)
    return list(await asyncio.gather(*tasks))


def bad_arrivals(crash_site: CrashSite) -> list[float]:
    """Return when requests with the bad part reached upstreams."""
    return sorted(
        received.at_s
        for upstream in crash_site.servers
        for received in upstream.received
        if BAD_PART in received.shared_parts()
    )


async def run_case(
    crash_site: CrashSite, case: Case
) -> tuple[list[Answer | None], Sound]:
    """Send both kinds of requests, the sound ones until the others are settled."""
    await prepare(crash_site, case)
    done, sound = asyncio.Event(), Sound()
    others = asyncio.create_task(send_sound(crash_site, case, done, sound))
    await asyncio.sleep(1.0)
    answers = await send_bad(crash_site, case)
    settled_s = crash_site.crashes[min(len(crash_site.crashes), 5) - 1] + 2 * CONTACT_S
    await asyncio.sleep(max(1.0, settled_s + 1.0 - time.monotonic()))
    done.set()
    await others
    return answers, sound


def check(crash_site: CrashSite, answers: list[Answer | None], sound: Sound) -> None:
    """Check the bounds on the part, and that sound requests are served."""
    crashes = crash_site.crashes
    arrivals = bad_arrivals(crash_site)
    last_s = crashes[min(len(crashes), 5) - 1]
    third_s = crashes[min(len(crashes), 3) - 1]
    late = [at_s for at_s in arrivals if at_s > last_s + CONTACT_S]
    figures = (
        f"FIG ended={len(crashes)} reached={len(arrivals)} late={len(late)}"
        f" third={sound.begun_share(third_s):.3f}"
        f" settled={sound.begun_share(last_s + 2 * CONTACT_S):.3f}"
    )
    print(figures)
    if len(crashes) >= 5:
        assert len(late) <= MAX_LATE_SENDS
    assert 1 <= len(crashes) <= MAX_CRASHES
    assert sound.begun_share(third_s) >= SOUND_SHARE
    assert sound.begun_share(last_s + 2 * CONTACT_S) >= SETTLED_SHARE
    assert answers[-1] is not None
    assert answers[-1].status == 500
    assert b"quarantined" in answers[-1].body


# Guards against sending requests on and on that share a part which crashes upstreams.
@pytest.mark.parametrize(
    ("crash_site", "case"),
    [
        pytest.param(3, Case("/chat/"), id="stream"),
        pytest.param(1, Case("/again/", place=1), id="resumable"),
        pytest.param(3, Case("/again/", place=None), id="resumable-3"),
        pytest.param(
            3,
            Case("/look/", "desk", place=0, crash_after_events=0),
            id="safe-before-head",
        ),
        pytest.param(
            3,
            Case("/book/", "desk", place=1, crash_after_events=0),
            id="unsafe-before-head",
        ),
        pytest.param(3, Case("/note/"), id="stages"),
        pytest.param(3, Case("/chat/", count=60, interval_s=0.05), id="burst"),
    ],
    indirect=["crash_site"],
)
async def test_part_that_crashes_upstreams_is_stopped(
    crash_site: CrashSite, case: Case
) -> None:
    answers, sound = await run_case(crash_site, case)
    check(crash_site, answers, sound)


# Guards against forgetting a part when one of the VMs is killed and starts again.
@pytest.mark.parametrize("crash_site", [3], indirect=True)
async def test_part_is_stopped_while_a_vm_is_killed_and_restarted(
    crash_site: CrashSite,
) -> None:
    case = Case("/chat/", place=None, interval_s=0.4)

    async def kill_and_restart() -> None:
        await asyncio.sleep(7.0)
        crash_site.down.add(0)
        vm = crash_site.site.vms[0]
        vm.process.kill()
        vm.process.wait()
        await asyncio.sleep(1.0)
        again = crash_site.site.start_process(vm.settings_file, vm.log_file)
        vm.process = again.process
        await crash_site.site.wait_ready(vm)
        crash_site.down.clear()

    killer = asyncio.create_task(kill_and_restart())
    answers, sound = await run_case(crash_site, case)
    await killer
    check(crash_site, answers, sound)


# Guards against clearing or excusing the part as an engine ends for another reason.
@pytest.mark.parametrize("crash_site", [3], indirect=True)
async def test_part_is_stopped_while_an_upstream_ends_for_another_reason(
    crash_site: CrashSite,
) -> None:
    other: list[float] = []

    async def end_one() -> None:
        await asyncio.sleep(4.0)
        upstream = next(u for u in reversed(crash_site.servers) if u.server is not None)
        upstream.crash()
        other.append(crash_site.crashes.pop())

    ender = asyncio.create_task(end_one())
    answers, sound = await run_case(crash_site, Case("/chat/"))
    await ender
    assert other
    check(crash_site, answers, sound)

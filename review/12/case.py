"""Crash a runner while it runs prompts of many parts; CONFIG: answers in time."""

from __future__ import annotations

import asyncio
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from site_3 import (
    Outcome,
    Runner,
    Site,
    Vm,
    has_trouble,
    make_manifest,
    make_route,
    make_service,
    run_case,
)

VMS = 3
ENGINES = 6
PER_S = 60.0
TIMEOUT_S = 1.0
LATE_S = 0.5
LONG_PER_S = 12.0
MANY_PARTS = 2200
"""Of seven bytes each: the head stays below `max_header_bytes`."""
SUBJECTS = 24


def prompt_of(subject: int) -> str:
    """Return what all requests about a subject begin with."""
    first = 0x1000 + subject * MANY_PARTS
    return ",".join(f"{first + number:x}:1" for number in range(MANY_PARTS))


async def play(site: Site) -> bool:
    """Return whether too many requests have no answer half a second late."""
    chat = make_route("chat", "streaming", "llm", timeout_ms=20000, sticky=True)
    look = make_route("look", "safe", "desk", timeout_ms=TIMEOUT_S * 1000)
    engine = {"slots": 128, "kv_capacity": 500000}
    services = [make_service("llm", engine=engine), make_service("desk")]
    await site.start(make_manifest([chat, look], services))
    engines = []
    for number in range(2):
        desk = Runner(f"i-desk{number}", "desk", site.store, site.record)
        await site.add_runner(desk)
    for number in range(ENGINES):
        llm = Runner(f"i-llm{number}", "llm", site.store, site.record)
        llm.slots, llm.events, llm.work_s = 128, 56, 0.15
        llm.__post_init__()
        engines.append(await site.add_runner(llm))
    for number in range(VMS):
        site.start_vm(number)
    site.spawn(site.run_balancer())
    await site.wait_ready(range(VMS))
    sound: list[asyncio.Task] = []

    def send(vm: Vm) -> None:
        sound.append(site.spawn(site.request(vm, "GET", "/look/1", timeout_s=3.0)))

    site.spawn(site.run_traffic(PER_S, send))
    await asyncio.sleep(4.0)

    subjects = itertools.count()

    def send_long(vm: Vm) -> None:
        prompt = prompt_of(next(subjects) % SUBJECTS)
        job = site.request(
            vm,
            "POST",
            "/chat/1",
            timeout_s=18.0,
            body=b"x",
            Model="m",
            Token_Count=f"{MANY_PARTS},200",
            Prompt_Prefix=f"{prompt},{next(site.attempts):x}:1",
        )
        site.spawn(job)

    site.spawn(site.run_traffic(LONG_PER_S, send_long))
    await asyncio.sleep(8.0)
    if has_trouble():
        crashed = max(engines, key=lambda one: one.running)
        site.record.line("engine chosen", running=crashed.running)
        crashed.crash()
        site.spawn(crashed.lapse())
    await asyncio.sleep(12.0)
    done: list[Outcome] = [task.result() for task in sound if task.done()]
    late = [one for one in done if one.took_s >= TIMEOUT_S or not one.status]
    missing = [one for one in late if one.took_s >= TIMEOUT_S + LATE_S]
    longest = max(one.took_s for one in done)
    site.record.say(
        f"{len(done)} requests, {len(late)} unanswered at the timeout, "
        f"{len(missing)} half a second later; longest {longest:.2f} s"
    )
    return len(missing) > len(late) / 2


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, VMS, play)

"""A key is taken away after the store has come back from a copy."""

from __future__ import annotations

import asyncio
import copy
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from site_2 import (  # noqa: E402
    BOUNDS,
    KEY,
    TENANT,
    Site,
    ask,
    consumer,
    make_route,
    make_service,
    run_case,
    trouble_wanted,
)

LOST_KEY = "jnbanfqasnmgkcuyj8pj"
COPY_AGE_S = 5.0
AWAY_S = 1.0
SETTLED_S = 10.0
"""From the store's return to the next manifest: more than `contact_ms`, so that the
core is stable again."""
WATCHED_S = 15.0
VMS = 3


def make_manifest(version: int, timeout_ms: int, keys: list[str]) -> dict[str, object]:
    """Return a manifest."""
    return {
        "version": version,
        "routes": [
            make_route("look", "safe", "desk", timeout_ms=timeout_ms),
            make_route("book", "unsafe", "desk", timeout_ms=timeout_ms),
        ],
        "services": [make_service("desk")],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": keys, "priority": 1}],
    }


async def ask_all(site: Site, label: str, key: str) -> list[int]:
    """Send each VM one request with a key; return the answers' statuses."""
    calls = [
        ask(
            site.record,
            vm,
            "POST",
            "/book/x",
            consumer(f"{label}-{vm.name}", key),
            b"one place",
        )
        for vm in site.vms
    ]
    return list(await asyncio.gather(*calls))


async def lose_some_seconds(site: Site, before: dict[str, int]) -> None:
    """Let the store be away for a moment and come back from a copy."""
    record, store = site.record, site.store
    record.line(f"the store is away; ends {[t.end for t in store.topics.values()]}")
    newest = store.topic("keyed.op").records[-1]
    store.leave()
    await asyncio.sleep(AWAY_S)
    for name, end in before.items():
        del store.topic(name).records[end:]
    store.era += 1
    store.away = False
    # The operator and the runners write again what they wrote.
    store.topic("keyed.op").records.append(newest)
    for runner in site.runners.values():
        runner.write()
    store.wake()
    record.line(f"the store is back; ends {[t.end for t in store.topics.values()]}")


async def play(site: Site) -> bool:
    """Return whether the rule was broken."""
    record, store = site.record, site.store
    both = [KEY, LOST_KEY]
    await site.start(make_manifest(1, 3000, both), VMS)
    for number in range(3):
        await site.add_runner(f"desk-{number}", "desk")
    for vm in site.vms:
        vm.start()
    await site.wait_ready()
    await asyncio.sleep(3.0)
    before = {name: topic.end for name, topic in store.topics.items()}
    for version in (2, 3, 4):
        store.put("keyed.op", "config", make_manifest(version, 3000 + version, both))
        record.line(f"manifest {version} is confirmed")
        await asyncio.sleep(COPY_AGE_S / 3)
    calm = await ask_all(site, "calm", LOST_KEY)
    record.line(f"in calm: {calm}")
    if trouble_wanted():
        await lose_some_seconds(site, before)
    else:
        await asyncio.sleep(AWAY_S)
    await asyncio.sleep(SETTLED_S)
    calls = copy.copy(store.calls)
    served = await ask_all(site, "after", LOST_KEY)
    record.line(f"after the return: {served}")
    store.put("keyed.op", "config", make_manifest(5, 3000, [KEY]))
    record.line("manifest 5 without the key is confirmed")
    await asyncio.sleep(BOUNDS["config_ms"] / 1000.0 + 0.5)
    late = []
    for number in range(int(WATCHED_S)):
        late += await ask_all(site, f"late-{number}", LOST_KEY)
        await asyncio.sleep(1.0)
    late_runs = [run for run in site.runs if run.attempt.startswith("late-")]
    for name, count in store.calls.items():
        record.line(f"{name}: {count - calls.get(name, 0)} calls in the last part")
    record.line(f"calls that the store turned away with 429: {store.refused}")
    record.line(f"requests with the key that ran too late: {len(late_runs)}")
    return bool(late_runs)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))

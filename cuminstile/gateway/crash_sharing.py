"""Tell other VMs which requests, and parts of prompts, may crash upstreams.

In a large fleet a VM tells the hubs (see `hubs`), which add the crashes up and tell the
VMs of their data centre about the suspected requests alone. A VM that is new, restarted
or back is sent what is known. Suspicions are repeated every few seconds, and a VM that
receives less than it knows answers with that, so lost datagrams are made up for.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import replace

from ..crash_blame import Suspect
from ..crash_limits import Suspicion
from ..crash_merging import merge_suspect
from ..events import Event
from .crash_state import SUSPECT_AFTER
from .hubs import FULL_MESH_VMS, hub_addresses
from .messages import CODEC, CrashEntry, Heartbeat, SuspectEntry, SuspectUpdate
from .state import Gateway
from .unframed_answers import settle_old

SHARE_INTERVAL_MS = 20.0
"""How long changes are collected before they are sent: less than a caller's retry."""
REPEAT_INTERVAL_MS = 2_000.0
ENTRIES_PER_DATAGRAM = 24
CRASHES_PER_DATAGRAM = 384
MAX_SENT_SUSPECTS = 480
"""Most entries that a VM sends to one that is new or back; the newest ones."""
NEVER = -1.0


async def run_crash_sharing_loop(vm: Gateway) -> None:
    """Send the changed entries to the other VMs that need them, without end."""
    while True:
        await vm.clock.sleep_ms(SHARE_INTERVAL_MS)
        settle_old(vm)
        repeat_suspicions(vm)
        if vm.crash_guard.unsent or vm.crash_guard.unsent_survivors:
            share_changes(vm)


def repeat_suspicions(vm: Gateway) -> None:
    """Have the newest suspicions sent again from time to time."""
    guard, now_ms = vm.crash_guard, vm.clock.now_ms()
    if not guard.table.by_fingerprint or now_ms < guard.repeat_at_ms:
        return
    guard.repeat_at_ms = now_ms + REPEAT_INTERVAL_MS
    suspected = guard.table.suspected(guard.table.by_fingerprint, now_ms)
    guard.unsent.update(dict.fromkeys(suspected[-ENTRIES_PER_DATAGRAM:]))


def share_changes(vm: Gateway) -> None:
    """Send the changed entries to the other VMs that need them."""
    changed = list(vm.crash_guard.unsent)
    vm.crash_guard.unsent.clear()
    now_ms = vm.clock.now_ms()
    live = vm.membership.live(now_ms)
    everyone = [heartbeat.address for heartbeat in live]
    send_survivors(vm, everyone)
    if len(everyone) < FULL_MESH_VMS:
        send_entries(vm, everyone, changed)
        return
    own = vm.own_heartbeat()
    hubs = hub_addresses((own, *live))
    send_entries(vm, sorted(hubs - {own.address}), changed)
    if own.address in hubs:
        members = own_members(own, live, hubs)
        send_entries(vm, members, [f for f in changed if concerns_all(vm, f, now_ms)])


def own_members(own: Heartbeat, live: Iterable[Heartbeat], hubs: set[str]) -> list[str]:
    """Return the addresses of the VMs of this data centre that are no hubs."""
    return [
        heartbeat.address
        for heartbeat in live
        if heartbeat.data_centre == own.data_centre and heartbeat.address not in hubs
    ]


def concerns_all(vm: Gateway, fingerprint: bytes, now_ms: float) -> bool:
    """Return whether every VM has to know an entry, and not the hubs alone."""
    table = vm.crash_guard.table
    suspect = table.by_fingerprint.get(fingerprint)
    if suspect is None or suspect.ran_well:
        return True
    return table.get(fingerprint, now_ms) is not Suspicion.NONE


def send_entries(
    vm: Gateway, addresses: Sequence[str], fingerprints: Sequence[bytes]
) -> None:
    """Send entries to some VMs as datagrams."""
    if not addresses:
        return
    now_ms = vm.clock.now_ms()
    entries = [entry_of(vm, fingerprint, now_ms) for fingerprint in fingerprints]
    for part in in_datagrams(entries):
        data = CODEC.encode(SuspectUpdate(vm.settings.peer_address, part, ()))
        for address in addresses:
            vm.send_datagram(address, data)


def in_datagrams(entries: Sequence[SuspectEntry]) -> Iterator[tuple[SuspectEntry, ...]]:
    """Yield the entries in groups that fit into one datagram each."""
    group: list[SuspectEntry] = []
    crashes = 0
    for entry in entries:
        full = crashes + len(entry.crashes) > CRASHES_PER_DATAGRAM
        if group and (full or len(group) == ENTRIES_PER_DATAGRAM):
            yield tuple(group)
            group, crashes = [], 0
        group.append(entry)
        crashes += len(entry.crashes)
    if group:
        yield tuple(group)


def send_survivors(vm: Gateway, addresses: Sequence[str]) -> None:
    """Send which upstream processes turned out to be alive."""
    survivors = tuple(vm.crash_guard.unsent_survivors)
    vm.crash_guard.unsent_survivors.clear()
    if not survivors:
        return
    data = CODEC.encode(SuspectUpdate(vm.settings.peer_address, (), survivors))
    for address in addresses:
        vm.send_datagram(address, data)


def send_suspects(vm: Gateway, address: str) -> None:
    """Send what is known to a VM that is new, restarted or back."""
    now_ms = vm.clock.now_ms()
    table = vm.crash_guard.table
    known = [f for f in table.by_fingerprint if concerns_all(vm, f, now_ms)]
    if known:
        send_entries(vm, (address,), known[-MAX_SENT_SUSPECTS:])


def entry_of(vm: Gateway, fingerprint: bytes, now_ms: float) -> SuspectEntry:
    """Return the message form of what is known of a request."""
    table = vm.crash_guard.table
    suspect = table.by_fingerprint.get(fingerprint, Suspect())
    cleared_ms = table.cleared_at_ms(fingerprint)
    return SuspectEntry(
        fingerprint,
        suspect.service,
        tuple(
            CrashEntry(process, now_ms - at_ms, process in suspect.proofs)
            for process, at_ms in suspect.crashes.items()
        ),
        suspect.trial_crashes,
        suspect.trial_until_ms - now_ms,
        suspect.quarantined_until_ms - now_ms,
        suspect.quarantines,
        suspect.expires_ms - now_ms,
        NEVER if cleared_ms is None else now_ms - cleared_ms,
        suspect.is_part or fingerprint in table.answered_ms,
        suspect.ran_well,
        suspect.trial_by,
        now_ms - suspect.blamed_ms if suspect.blamed_ms else NEVER,
        suspect.doubt,
    )


def on_suspect_update(vm: Gateway, update: SuspectUpdate) -> None:
    """Apply what another VM knows; pass on what was new, and correct what is old."""
    now_ms = vm.clock.now_ms()
    stale = []
    for process in update.survivors:
        vm.crash_guard.table.retract_crash(process, now_ms)
    for entry in update.entries:
        before = vm.crash_guard.table.get(entry.fingerprint, now_ms)
        if apply_entry(vm, entry, update.address, now_ms):
            vm.crash_guard.unsent[entry.fingerprint] = None
            record_change(vm, entry, before, update.address)
        elif knows_more(vm, entry) or is_cleared_here(vm, entry, now_ms):
            stale.append(entry.fingerprint)
    send_entries(vm, (update.address,), stale)


def apply_entry(vm: Gateway, entry: SuspectEntry, address: str, now_ms: float) -> bool:
    """Apply an entry of another VM; return whether it was new."""
    table = vm.crash_guard.table
    changed = False
    if entry.cleared_age_ms >= 0.0:
        cleared_ms = now_ms - entry.cleared_age_ms
        known = table.by_fingerprint.get(entry.fingerprint)
        if known and all(at <= cleared_ms for at in known.crashes.values()):
            changed = table.record_good_run(
                entry.fingerprint, cleared_ms, entry.is_part
            )
    if entry.trial_by == vm.settings.peer_address:
        entry = replace(entry, trial_left_ms=0.0)
    other = suspect_of(entry, address, now_ms)
    return merge_suspect(table, entry.fingerprint, other, now_ms) or changed


def is_cleared_here(vm: Gateway, entry: SuspectEntry, now_ms: float) -> bool:
    """Return whether this VM saw an answer after all crashes that an entry tells."""
    cleared_ms = vm.crash_guard.table.cleared_at_ms(entry.fingerprint)
    if cleared_ms is None or not entry.crashes:
        return False
    return all(now_ms - crash.age_ms <= cleared_ms for crash in entry.crashes)


def suspect_of(entry: SuspectEntry, address: str, now_ms: float) -> Suspect:
    """Return an entry of another VM with times of this VM's clock."""
    return Suspect(
        service=entry.service,
        crashes={crash.process: now_ms - crash.age_ms for crash in entry.crashes},
        trial_crashes=entry.trial_crashes,
        trial_until_ms=now_ms + entry.trial_left_ms if entry.trial_left_ms > 0 else 0.0,
        quarantined_until_ms=now_ms + entry.quarantine_left_ms,
        quarantines=entry.quarantines,
        expires_ms=now_ms + entry.left_ms,
        is_part=entry.is_part,
        ran_well=entry.ran_well,
        told_by=address,
        trial_by=entry.trial_by,
        blamed_ms=now_ms - entry.blamed_age_ms if entry.blamed_age_ms >= 0 else 0.0,
        doubt=entry.doubt,
        proofs={crash.process for crash in entry.crashes if crash.on_trial},
    )


def knows_more(vm: Gateway, entry: SuspectEntry) -> bool:
    """Return whether this VM knows more of a request or part than the sender does."""
    suspect = vm.crash_guard.table.by_fingerprint.get(entry.fingerprint)
    if suspect is None:
        return False
    if suspect.ran_well and not entry.ran_well:
        return True
    known, told = len(suspect.crashes), len(entry.crashes)
    return suspect.quarantines > entry.quarantines or told < SUSPECT_AFTER <= known


def record_change(
    vm: Gateway, entry: SuspectEntry, before: Suspicion, address: str
) -> None:
    """Log that another VM changed the suspicion of a request here."""
    after = vm.crash_guard.table.get(entry.fingerprint, vm.clock.now_ms())
    if after is before:
        return
    vm.journal.record(
        Event.SUSPICION_TAKEN,
        fingerprint=entry.fingerprint.hex(),
        service=entry.service,
        suspicion=after.name.lower(),
        peer=address,
    )

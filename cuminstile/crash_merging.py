"""Merge what another VM knows of crashes into the table of this one. Does no I/O."""

from __future__ import annotations

from collections.abc import Mapping

from .crash_blame import Suspect, excuse_explained, merge_trial
from .crash_quarantine import quarantine_until, relax_quarantine
from .crash_suspects import MAX_CRASHES, CrashTable


def merge_suspect(
    table: CrashTable, fingerprint: bytes, other: Suspect, now_ms: float
) -> bool:
    """Merge what another VM knows of a request; return whether it was new."""
    cleared_ms = table.cleared_at_ms(fingerprint) or -1.0
    crashes = {
        process: at_ms
        for process, at_ms in other.crashes.items()
        if at_ms > max(cleared_ms, table.survived_ms.get(process, -1.0))
    }
    for process, at_ms in crashes.items():
        table.record_ended(other.service, process, at_ms)
    if not crashes or other.expires_ms <= now_ms:
        return False
    known = table.by_fingerprint.get(fingerprint)
    before = None if known is None else summary_of(known)
    expires_ms = 0.0 if known is None else known.expires_ms
    suspect = table.touch(fingerprint, now_ms, other.is_part)
    suspect.expires_ms = max(expires_ms, other.expires_ms)
    suspect.service = other.service
    if known is None:
        suspect.told_by = other.told_by
    merge_crashes(suspect.crashes, crashes)
    suspect.proofs |= other.proofs & suspect.crashes.keys()
    if other.trial_crashes:
        suspect.doubt = min(suspect.doubt, other.doubt)
    merge_trial(suspect, other)
    merge_quarantine(suspect, other, now_ms)
    table.quarantine_if_proved(suspect, False, now_ms)
    excuse_explained(table.by_fingerprint, (fingerprint,))
    if fingerprint not in table.by_fingerprint:
        return known is not None
    return summary_of(suspect) != before


def merge_quarantine(suspect: Suspect, other: Suspect, now_ms: float) -> None:
    """Take over the quarantine that another VM reports.

    It is left out if only this VM knows that requests with the part ran well.
    """
    if other.ran_well and not suspect.ran_well:
        suspect.ran_well = True
        relax_quarantine(suspect, now_ms)
    if suspect.ran_well and not other.ran_well:
        return
    suspect.quarantines = max(suspect.quarantines, other.quarantines)
    blamed_ms = [one for one in (suspect.blamed_ms, other.blamed_ms) if one]
    suspect.blamed_ms = min(blamed_ms, default=0.0)
    if now_ms < other.quarantined_until_ms:
        quarantine_until(suspect, other.quarantined_until_ms)


def merge_crashes(crashes: dict[str, float], others: Mapping[str, float]) -> None:
    """Add crashes that are not known yet, up to the limit."""
    for process, at_ms in others.items():
        if process not in crashes and len(crashes) < MAX_CRASHES:
            crashes[process] = at_ms


def summary_of(suspect: Suspect) -> tuple[frozenset[str], int, int, bool, bool]:
    """Return what of an entry other VMs have to know.

    These are the crashed processes, the crashes on trial, the quarantines, whether a
    trial goes on and whether requests ran well before.
    """
    return (
        frozenset(suspect.crashes),
        suspect.trial_crashes,
        suspect.quarantines,
        suspect.trial_until_ms > 0.0,
        suspect.ran_well,
    )

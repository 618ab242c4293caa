"""Decide from crashes of upstreams which request causes them, and quarantine it.

Designed for a request that ends each process which begins to run it, and that callers
send again. A crash makes every request suspected that ran there; a complete answer
clears it. A request that stays suspected runs on trial, one run at a time, and is
quarantined if the upstream crashes again. So requests that only shared an upstream with
the cause, or ran where upstreams end for other reasons, are cleared by their next run.
Does no I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum

FINGERPRINT_BYTES = 16
SUSPICION_VALID_MS = 600_000.0
"""How long a suspicion is kept after the last crash or the end of a quarantine."""
QUARANTINE_MS = 600_000.0
"""Duration of the first quarantine; a trial is allowed after it."""
QUARANTINE_FACTOR = 6
"""Factor by which each further quarantine is longer."""
QUARANTINE_MAX_MS = 86_400_000.0
MAX_SUSPECTS = 4_096
MAX_CRASHES = 16
"""Crashes that are remembered of one request."""
MAX_ENDED = 256
"""Ended upstreams that are remembered of one service."""
UNRELATED_MS = 2_000.0
"""How long before the first crash of a request other crashes count as unrelated."""


class Suspicion(IntEnum):
    """Whether a request is suspected or known to crash upstreams.

    The numbers are sent between VMs.
    """

    NONE = 0
    SUSPECTED = 1
    QUARANTINED = 2


@dataclass(slots=True)
class Suspect:
    """What is known of one request; times are monotonic ms.

    Parameters
    ----------
    service : str
        The service whose upstreams crashed.
    crashes : dict of str to float
        Time of the crash by upstream process, see `CrashTable.record_crash`.
    trial_crashes : int
        How many of them ended a run on trial.
    trial_until_ms : float
        Until when a VM runs the request on trial, 0 for none.
    quarantined_until_ms : float
        End of the quarantine, 0 for none.
    quarantines : int
        How often the request was quarantined.
    suspected : bool
        Whether another VM reported the request as suspected.
    expires_ms : float
        When the suspicion is forgotten.
    """

    service: str = ""
    crashes: dict[str, float] = field(default_factory=dict)
    trial_crashes: int = 0
    trial_until_ms: float = 0.0
    quarantined_until_ms: float = 0.0
    quarantines: int = 0
    suspected: bool = False
    expires_ms: float = 0.0


@dataclass
class CrashTable:
    """The requests that ran at upstreams as these crashed.

    Parameters
    ----------
    suspect_after : int
        Crashes after which a request is suspected.
    quarantine_after : int
        Crashes, one of them of a run on trial, after which it is quarantined.
    by_fingerprint : OrderedDict
        The requests, ordered by their last change.
    cleared_ms : OrderedDict
        When requests were cleared; older crashes of them no longer count.
    ended_ms : dict of str to OrderedDict
        By service, when each of its upstream processes crashed.
    survived_ms : OrderedDict
        When processes turned out to be alive; older crashes of them no longer count.
    """

    suspect_after: int = 1
    quarantine_after: int = 1
    by_fingerprint: OrderedDict[bytes, Suspect] = field(default_factory=OrderedDict)
    cleared_ms: OrderedDict[bytes, float] = field(default_factory=OrderedDict)
    ended_ms: dict[str, OrderedDict[str, float]] = field(default_factory=dict)
    survived_ms: OrderedDict[str, float] = field(default_factory=OrderedDict)

    def get(self, fingerprint: bytes, now_ms: float) -> Suspicion:
        """Return the suspicion of a request, `NONE` if it has expired."""
        suspect = self.by_fingerprint.get(fingerprint)
        if suspect is None or suspect.expires_ms <= now_ms:
            return Suspicion.NONE
        if now_ms < suspect.quarantined_until_ms:
            return Suspicion.QUARANTINED
        if suspect.suspected or len(suspect.crashes) >= self.suspect_after:
            return Suspicion.SUSPECTED
        return Suspicion.NONE

    def crash_count(self, fingerprint: bytes, now_ms: float) -> int:
        """Return at how many crashes a request ran that was not cleared since."""
        suspect = self.by_fingerprint.get(fingerprint)
        if suspect is None or suspect.expires_ms <= now_ms:
            return 0
        return len(suspect.crashes)

    def record_crash(
        self,
        fingerprint: bytes,
        service: str,
        process: str,
        now_ms: float,
        on_trial: bool = False,
    ) -> Suspicion:
        """Record that an upstream crashed while it ran a request.

        Parameters
        ----------
        process : str
            The upstream and its incarnation; each process counts once.
        on_trial : bool
            Whether it was the request's only run then.

        Returns
        -------
        Suspicion
            The suspicion of the request from now on.
        """
        self.record_ended(service, process, now_ms)
        suspect = self.touch(fingerprint, now_ms)
        suspect.service = service
        if process in suspect.crashes:
            return self.get(fingerprint, now_ms)
        if len(suspect.crashes) < MAX_CRASHES:
            suspect.crashes[process] = now_ms
        if on_trial:
            suspect.trial_crashes += 1
            suspect.trial_until_ms = 0.0
        self.quarantine_if_proved(suspect, on_trial, now_ms)
        return self.get(fingerprint, now_ms)

    def quarantine_if_proved(
        self, suspect: Suspect, on_trial: bool, now_ms: float
    ) -> None:
        """Quarantine a request whose crashes have no other explanation.

        A single crash on trial proves nothing while most upstreams of the service crash
        without the request; a second one does.
        """
        if not suspect.trial_crashes or len(suspect.crashes) < self.quarantine_after:
            return
        if now_ms < suspect.quarantined_until_ms:
            return
        if suspect.quarantines and not on_trial:
            return
        unrelated = self.unrelated_crashes(suspect)
        if suspect.trial_crashes == 1 and unrelated > len(suspect.crashes):
            return
        length_ms = min(
            QUARANTINE_MAX_MS, QUARANTINE_MS * QUARANTINE_FACTOR**suspect.quarantines
        )
        suspect.quarantines += 1
        self.quarantine_until(suspect, now_ms + length_ms)

    def quarantine_until(self, suspect: Suspect, until_ms: float) -> None:
        """Quarantine a request until a time; it stays suspected for longer."""
        suspect.quarantined_until_ms = max(suspect.quarantined_until_ms, until_ms)
        suspect.expires_ms = max(suspect.expires_ms, until_ms + SUSPICION_VALID_MS)

    def unrelated_crashes(self, suspect: Suspect) -> int:
        """Return how many upstreams of the service crashed for no known reason.

        Those under this request, or under another one that crashed an upstream on
        trial, don't count.
        """
        since_ms = min(suspect.crashes.values(), default=0.0) - UNRELATED_MS
        explained = set(suspect.crashes)
        for other in self.by_fingerprint.values():
            if other.trial_crashes:
                explained.update(other.crashes)
        return sum(
            1
            for process, at_ms in self.ended_ms.get(suspect.service, {}).items()
            if at_ms >= since_ms and process not in explained
        )

    def record_ended(self, service: str, process: str, at_ms: float) -> None:
        """Record that an upstream process crashed, whatever it ran."""
        ended = self.ended_ms.setdefault(service, OrderedDict())
        ended.setdefault(process, at_ms)
        while len(ended) > MAX_ENDED:
            ended.popitem(last=False)

    def record_good_run(self, fingerprint: bytes, now_ms: float) -> bool:
        """Clear a request that was answered; return whether it was recorded."""
        if self.by_fingerprint.pop(fingerprint, None) is None:
            return False
        self.cleared_ms.pop(fingerprint, None)
        self.cleared_ms[fingerprint] = now_ms
        while len(self.cleared_ms) > MAX_SUSPECTS:
            self.cleared_ms.popitem(last=False)
        return True

    def retract_crash(self, process: str, now_ms: float) -> None:
        """Forget a crash of an upstream that turns out to be alive."""
        for ended in self.ended_ms.values():
            ended.pop(process, None)
        self.survived_ms.pop(process, None)
        self.survived_ms[process] = now_ms
        while len(self.survived_ms) > MAX_ENDED:
            self.survived_ms.popitem(last=False)
        for fingerprint, suspect in list(self.by_fingerprint.items()):
            if suspect.crashes.pop(process, None) is None:
                continue
            if not suspect.crashes:
                del self.by_fingerprint[fingerprint]
            elif len(suspect.crashes) < self.quarantine_after:
                suspect.quarantined_until_ms = 0.0

    def begin_trial(self, fingerprint: bytes, until_ms: float) -> None:
        """Reserve the trial of a request until a monotonic time."""
        suspect = self.by_fingerprint.get(fingerprint)
        if suspect is not None:
            suspect.trial_until_ms = until_ms

    def end_trial(self, fingerprint: bytes) -> None:
        """End the trial of a request that neither crashed nor was answered."""
        self.begin_trial(fingerprint, 0.0)

    def trial_left_ms(self, fingerprint: bytes, now_ms: float) -> float:
        """Return how long a trial of a request still goes on, 0 for none."""
        suspect = self.by_fingerprint.get(fingerprint)
        return 0.0 if suspect is None else max(0.0, suspect.trial_until_ms - now_ms)

    def put(self, fingerprint: bytes, suspicion: Suspicion, now_ms: float) -> None:
        """Take over the suspicion of a request from another VM."""
        if suspicion is Suspicion.NONE:
            self.by_fingerprint.pop(fingerprint, None)
            return
        suspect = self.touch(fingerprint, now_ms)
        suspect.suspected = True
        if suspicion is Suspicion.QUARANTINED:
            self.quarantine_until(suspect, now_ms + QUARANTINE_MS)

    def merge(self, fingerprint: bytes, other: Suspect, now_ms: float) -> bool:
        """Merge what another VM knows of a request; return whether it was new."""
        cleared_ms = self.cleared_ms.get(fingerprint, -1.0)
        crashes = {
            process: at_ms
            for process, at_ms in other.crashes.items()
            if at_ms > max(cleared_ms, self.survived_ms.get(process, -1.0))
        }
        for process, at_ms in crashes.items():
            self.record_ended(other.service, process, at_ms)
        if not crashes or other.expires_ms <= now_ms:
            return False
        known = self.by_fingerprint.get(fingerprint)
        before = None if known is None else summary_of(known)
        expires_ms = 0.0 if known is None else known.expires_ms
        suspect = self.touch(fingerprint, now_ms)
        suspect.expires_ms = max(expires_ms, other.expires_ms)
        suspect.service = other.service
        merge_crashes(suspect.crashes, crashes)
        suspect.trial_crashes = max(suspect.trial_crashes, other.trial_crashes)
        suspect.trial_until_ms = max(suspect.trial_until_ms, other.trial_until_ms)
        suspect.quarantines = max(suspect.quarantines, other.quarantines)
        if now_ms < other.quarantined_until_ms:
            self.quarantine_until(suspect, other.quarantined_until_ms)
        self.quarantine_if_proved(suspect, False, now_ms)
        return summary_of(suspect) != before

    def touch(self, fingerprint: bytes, now_ms: float) -> Suspect:
        """Return the entry of a request as the newest one; create it if needed."""
        suspect = self.by_fingerprint.pop(fingerprint, None)
        if suspect is None or suspect.expires_ms <= now_ms:
            suspect = Suspect()
        suspect.expires_ms = max(suspect.expires_ms, now_ms + SUSPICION_VALID_MS)
        self.by_fingerprint[fingerprint] = suspect
        self.discard_old(now_ms)
        return suspect

    def discard_old(self, now_ms: float) -> None:
        """Discard the oldest entries above the limit, those in quarantine last."""
        for _ in range(len(self.by_fingerprint) - MAX_SUSPECTS):
            oldest = next(
                (
                    fingerprint
                    for fingerprint, suspect in self.by_fingerprint.items()
                    if suspect.quarantined_until_ms <= now_ms
                ),
                next(iter(self.by_fingerprint)),
            )
            del self.by_fingerprint[oldest]


def merge_crashes(crashes: dict[str, float], others: Mapping[str, float]) -> None:
    """Add crashes that are not known yet, up to the limit."""
    for process, at_ms in others.items():
        if process not in crashes and len(crashes) < MAX_CRASHES:
            crashes[process] = at_ms


def summary_of(suspect: Suspect) -> tuple[frozenset[str], int, int, bool]:
    """Return what of an entry other VMs have to know.

    These are the crashed processes, the crashes on trial, the quarantines and whether a
    trial goes on.
    """
    return (
        frozenset(suspect.crashes),
        suspect.trial_crashes,
        suspect.quarantines,
        suspect.trial_until_ms > 0.0,
    )

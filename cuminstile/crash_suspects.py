"""Decide from crashes of upstreams which requests cause them, and quarantine these.

Designed for a request that ends each process which begins to run it, and that callers
send again, and for a part of prompts that does so with any request. Each has a name, a
digest. A crash makes every name suspected that ran there; a complete answer clears it.
What stays suspected runs on trial, one run at a time, and is quarantined if that ends
its upstream too. So requests that only shared an upstream with the cause, or ran where
upstreams end for other reasons, are cleared by their next run. Does no I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from .crash_blame import Suspect, excuse_explained, is_proved
from .crash_chance import EndedUpstreams, unrelated_crashes
from .crash_limits import (
    PART_LIMITS,
    PROVEN_PART_LIMITS,
    QUARANTINE_MS,
    SUSPICION_VALID_MS,
    CrashLimits,
    Suspicion,
    quarantine_length_ms,
)
from .crash_quarantine import quarantine_until, relax_quarantine
from .recency import remember

FINGERPRINT_BYTES = 16
MAX_SUSPECTS = 4_096
MAX_ANSWERED = 8_192
"""Parts of which it is remembered that requests with them were answered."""
MAX_CRASHES = 64
"""Crashes that are remembered of one name."""
MAX_ENDED = 256
"""Ended upstreams that are remembered of one service."""
MAX_DOUBT = 0.1
"""Chance of all crashes on trial for other reasons above which they prove nothing."""
LIKELY_CHANCE = 0.5
"""Chance from which on a crash doesn't count as that of a trial in quarantine."""


@dataclass
class CrashTable:
    """The names of requests, and of parts of prompts, under which upstreams crashed.

    Parameters
    ----------
    suspect_after : int
        Crashes after which a request is suspected.
    quarantine_after : int
        Crashes, one of them of a run on trial, after which it is quarantined.
    retests_ms : tuple of float
        In quarantine, after how long without a crash a request runs on trial for the
        first time, the second one and so on.
    by_fingerprint : OrderedDict
        The suspects by name, ordered by their last change.
    cleared_ms : OrderedDict
        When requests were cleared; older crashes of them no longer count.
    answered_ms : OrderedDict
        When a request with a part was last answered in full; older crashes of the part
        no longer count.
    ended_ms : dict of str to OrderedDict
        By service, when each of its upstream processes crashed.
    survived_ms : OrderedDict
        When processes turned out to be alive; older crashes of them no longer count.
    excused : list of bytes
        Names that are no longer suspected since the last recorded crash.
    """

    suspect_after: int = 1
    quarantine_after: int = 1
    retests_ms: tuple[float, ...] = ()
    by_fingerprint: OrderedDict[bytes, Suspect] = field(default_factory=OrderedDict)
    cleared_ms: OrderedDict[bytes, float] = field(default_factory=OrderedDict)
    answered_ms: OrderedDict[bytes, float] = field(default_factory=OrderedDict)
    ended_ms: EndedUpstreams = field(default_factory=dict)
    survived_ms: OrderedDict[str, float] = field(default_factory=OrderedDict)
    excused: list[bytes] = field(default_factory=list)

    def get(self, fingerprint: bytes, now_ms: float) -> Suspicion:
        """Return the suspicion of a name, `NONE` if it has expired."""
        suspect = self.by_fingerprint.get(fingerprint)
        if suspect is None or suspect.expires_ms <= now_ms:
            return Suspicion.NONE
        if now_ms < suspect.quarantined_until_ms:
            return Suspicion.QUARANTINED
        limits = self.limits_of(suspect)
        if suspect.suspected or len(suspect.crashes) >= limits.suspect_after:
            return Suspicion.SUSPECTED
        return Suspicion.NONE

    def limits_of(self, suspect: Suspect) -> CrashLimits:
        """Return the limits that apply to a suspect."""
        if not suspect.is_part:
            return CrashLimits(self.suspect_after, self.quarantine_after, QUARANTINE_MS)
        return PROVEN_PART_LIMITS if suspect.ran_well else PART_LIMITS

    def suspected(self, names: Iterable[bytes], now_ms: float) -> list[bytes]:
        """Return the names of a request that are suspected or quarantined."""
        return [name for name in names if self.get(name, now_ms) is not Suspicion.NONE]

    def quarantined(self, names: Sequence[bytes], now_ms: float) -> bytes | None:
        """Return the first name for which a request is refused, if there is one."""
        return next(self.each_quarantined(names, now_ms), None)

    def each_quarantined(
        self, names: Sequence[bytes], now_ms: float
    ) -> Iterator[bytes]:
        """Yield the names for which a request with these names is refused.

        A request that holds only some of the names that are blamed together may run on
        trial.
        """
        for name in names:
            if self.get(name, now_ms) is Suspicion.QUARANTINED and is_proved(
                self.by_fingerprint, name, names
            ):
                yield name

    def may_retest(self, name: bytes, now_ms: float) -> bool:
        """Return whether a request with a quarantined name may run on trial."""
        suspect = self.by_fingerprint[name]
        retests = suspect.retests
        if retests >= len(self.retests_ms) or suspect.trial_until_ms > now_ms:
            return False
        last_ms = max(suspect.crashes.values(), default=now_ms)
        return now_ms >= last_ms + self.retests_ms[retests]

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
        parts: Sequence[bytes] = (),
        chance: float = 0.0,
    ) -> Suspicion:
        """Record that an upstream crashed while it ran a request.

        Parameters
        ----------
        process : str
            The upstream and its incarnation; each process counts once.
        on_trial : bool
            Whether it was the only run then of the names whose trial goes on.
        parts : sequence of bytes
            Names of the parts of its prompt.
        chance : float
            How likely it had crashed without them, see `chance_of_unrelated_crash`.

        Returns
        -------
        Suspicion
            The suspicion of the request from now on.
        """
        self.record_ended(service, process, now_ms)
        changed = [
            name
            for name in (fingerprint, *parts)
            if self.add_crash(
                name,
                service,
                process,
                now_ms,
                on_trial,
                name is not fingerprint,
                chance,
            )
        ]
        for name in changed:
            suspect = self.by_fingerprint.get(name)
            if suspect is not None:
                self.quarantine_if_proved(suspect, on_trial, now_ms)
        self.excused = excuse_explained(self.by_fingerprint, changed)
        return self.get(fingerprint, now_ms)

    def add_crash(
        self,
        name: bytes,
        service: str,
        process: str,
        now_ms: float,
        on_trial: bool,
        is_part: bool,
        chance: float,
    ) -> bool:
        """Add a crash to one name; return whether it is a new one."""
        suspect = self.touch(name, now_ms, is_part)
        suspect.service = service
        ends_trial = on_trial and (not is_part or suspect.trial_until_ms > 0.0)
        if ends_trial:
            suspect.trial_until_ms = 0.0
        if process in suspect.crashes:
            return False
        suspect.add_crash(process, now_ms, MAX_CRASHES)
        if ends_trial and chance < LIKELY_CHANCE:
            suspect.proofs.add(process)
        if ends_trial:
            suspect.trial_crashes += 1
            suspect.doubt *= chance
        return True

    def quarantine_if_proved(
        self, suspect: Suspect, on_trial: bool, now_ms: float
    ) -> None:
        """Quarantine a name whose crashes have no other explanation.

        A single crash on trial proves nothing while most upstreams of the service crash
        without the request; a second one does.
        """
        limits = self.limits_of(suspect)
        if not suspect.trial_crashes or len(suspect.crashes) < limits.quarantine_after:
            return
        if now_ms < suspect.quarantined_until_ms or suspect.doubt > MAX_DOUBT:
            return
        if suspect.quarantines and not on_trial:
            return
        unrelated = self.unrelated_crashes(suspect)
        if suspect.trial_crashes == 1 and unrelated > len(suspect.crashes):
            return
        length_ms = quarantine_length_ms(limits, suspect.quarantines)
        suspect.quarantines += 1
        suspect.blamed_ms = suspect.blamed_ms or now_ms
        quarantine_until(suspect, now_ms + length_ms)

    def unrelated_crashes(self, suspect: Suspect) -> int:
        """Return how many upstreams of the service crashed for no known reason.

        Those under this request, or under another one that crashed an upstream on
        trial, don't count.
        """
        return unrelated_crashes(self.by_fingerprint, self.ended_ms, suspect)

    def crashed_at_ms(self, service: str, process: str) -> float | None:
        """Return when an upstream process crashed, None if it is not known to have."""
        return self.ended_ms.get(service, OrderedDict()).get(process)

    def record_ended(self, service: str, process: str, at_ms: float) -> None:
        """Record that an upstream process crashed, whatever it ran."""
        ended = self.ended_ms.setdefault(service, OrderedDict())
        if process not in ended:
            remember(ended, process, at_ms, MAX_ENDED)

    def record_good_run(
        self, fingerprint: bytes, now_ms: float, is_part: bool = False
    ) -> bool:
        """Clear a name whose request was answered; return whether it was recorded."""
        known = self.by_fingerprint.pop(fingerprint, None) is not None
        if is_part:
            newest_ms = max(now_ms, self.answered_ms.get(fingerprint, now_ms))
            remember(self.answered_ms, fingerprint, newest_ms, MAX_ANSWERED)
        elif known:
            remember(self.cleared_ms, fingerprint, now_ms, MAX_SUSPECTS)
        return known

    def record_long_run(self, part: bytes, now_ms: float) -> None:
        """Record that a run with a part has gone well for long.

        It clears nothing, as the answer was not complete, but takes more crashes then.
        """
        suspect = self.touch(part, now_ms, is_part=True)
        suspect.ran_well = True
        relax_quarantine(suspect, now_ms)

    def cleared_at_ms(self, name: bytes) -> float | None:
        """Return when a name was last cleared, in monotonic ms; None for never."""
        return self.answered_ms.get(name, self.cleared_ms.get(name))

    def retract_crash(self, process: str, now_ms: float) -> None:
        """Forget a crash of an upstream that turns out to be alive."""
        for ended in self.ended_ms.values():
            ended.pop(process, None)
        remember(self.survived_ms, process, now_ms, MAX_ENDED)
        for fingerprint, suspect in list(self.by_fingerprint.items()):
            if suspect.crashes.pop(process, None) is None:
                continue
            suspect.drop_proofs({process})
            if not suspect.crashes:
                del self.by_fingerprint[fingerprint]
            elif len(suspect.crashes) < self.limits_of(suspect).quarantine_after:
                suspect.quarantined_until_ms = suspect.blamed_ms = 0.0
                suspect.quarantines = 0

    def begin_trial(self, fingerprint: bytes, until_ms: float) -> None:
        """Reserve the trial of a request until a monotonic time."""
        suspect = self.by_fingerprint.get(fingerprint)
        if suspect is not None:
            suspect.trial_until_ms = until_ms
            suspect.trial_by = ""

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
            quarantine_until(suspect, now_ms + QUARANTINE_MS)

    def touch(
        self, fingerprint: bytes, now_ms: float, is_part: bool = False
    ) -> Suspect:
        """Return the entry of a name as the newest one; create it if needed."""
        suspect = self.by_fingerprint.pop(fingerprint, None)
        if suspect is None or suspect.expires_ms <= now_ms:
            answered_ms = self.answered_ms.get(fingerprint, -SUSPICION_VALID_MS)
            ran_well = is_part and now_ms - answered_ms < SUSPICION_VALID_MS
            suspect = Suspect(is_part=is_part, ran_well=ran_well)
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

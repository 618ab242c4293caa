"""Tell apart the names that crashed the same upstreams.

A name stands for a request or for a part of its prompt. A crash under a request counts
for all its names, so names that always come together have the same crashes. Needs no
network.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

LATE_TRIALS_MS = 1_000.0
"""How long after a quarantine began trials may end that had begun before."""


@dataclass(slots=True)
class Suspect:
    """What is known of one name; times are monotonic ms.

    Parameters
    ----------
    service : str
        The service whose upstreams crashed.
    crashes : dict of str to float
        Time of the crash by upstream process, see `CrashTable.record_crash`.
    trial_crashes : int
        How many of them ended a run on trial.
    trial_until_ms : float
        Until when a VM runs a request with the name on trial, 0 for none.
    quarantined_until_ms : float
        End of the quarantine, 0 for none.
    quarantines : int
        How often the name was quarantined.
    blamed_ms : float
        When it was quarantined first, 0 for never.
    proofs : set of str
        The processes that crashed under a run on trial and hardly for another reason;
        VMs add theirs up.
    doubt : float
        How likely all crashes on trial had other reasons.
    suspected : bool
        Whether another VM reported the name as suspected.
    expires_ms : float
        When the suspicion is forgotten.
    is_part : bool
        Whether the name stands for a part of prompts.
    ran_well : bool
        Whether requests with the part ran well before its crashes.
    told_by : str
        Address of the VM that reported it first, empty if this VM saw it itself.
    trial_by : str
        Address of the VM that holds the trial, empty for this VM.
    """

    service: str = ""
    crashes: dict[str, float] = field(default_factory=dict)
    trial_crashes: int = 0
    trial_until_ms: float = 0.0
    quarantined_until_ms: float = 0.0
    quarantines: int = 0
    blamed_ms: float = 0.0
    proofs: set[str] = field(default_factory=set)
    doubt: float = 1.0
    suspected: bool = False
    expires_ms: float = 0.0
    is_part: bool = False
    ran_well: bool = False
    told_by: str = ""
    trial_by: str = ""

    @property
    def retests(self) -> int:
        """Return how many upstreams crashed on trial in quarantine."""
        since_ms = self.blamed_ms + LATE_TRIALS_MS
        return sum(self.crashes[process] > since_ms for process in self.proofs)

    def add_crash(self, process: str, at_ms: float, limit: int) -> None:
        """Add a crash; above a limit the oldest one is forgotten."""
        while len(self.crashes) >= limit:
            oldest = min(self.crashes, key=self.crashes.__getitem__)
            del self.crashes[oldest]
            self.proofs.discard(oldest)
        self.crashes[process] = at_ms

    def drop_proofs(self, processes: Collection[str]) -> None:
        """Forget what crashes on trial proved that no longer count."""
        self.proofs -= set(processes)
        self.trial_crashes = min(self.trial_crashes, len(self.crashes))
        if not self.trial_crashes:
            self.doubt = 1.0

    @property
    def blamed(self) -> bool:
        """Return whether crashes on trial proved that the name causes them."""
        return self.quarantines > 0


def merge_trial(suspect: Suspect, other: Suspect) -> None:
    """Take over whether a trial goes on from what another VM reports.

    A trial of this VM is not touched. The end of another one is believed from the VM
    that holds it, or if a crash on trial is reported that was not known.
    """
    new_crash = other.trial_crashes > suspect.trial_crashes
    suspect.trial_crashes = max(suspect.trial_crashes, other.trial_crashes)
    if suspect.trial_until_ms > 0.0 and not suspect.trial_by:
        return
    longer = other.trial_until_ms > suspect.trial_until_ms
    if new_crash or longer or other.told_by == suspect.trial_by:
        suspect.trial_until_ms = max(0.0, other.trial_until_ms)
        suspect.trial_by = other.trial_by or other.told_by


def blamed_together(suspects: Mapping[bytes, Suspect], name: bytes) -> set[bytes]:
    """Return the blamed names with the same crashes as a blamed one, and itself.

    Crashes alone can't tell which of them causes these.
    """
    crashes = suspects[name].crashes.keys()
    return {
        other
        for other, suspect in suspects.items()
        if suspect.blamed and suspect.crashes.keys() == crashes
    }


def is_proved(
    suspects: Mapping[bytes, Suspect], name: bytes, names: Collection[bytes]
) -> bool:
    """Return whether a request with some names holds all that may be to blame.

    A request with some of them alone is not refused: its run tells them apart.
    """
    return blamed_together(suspects, name).issubset(names)


def excuse_explained(
    suspects: dict[bytes, Suspect], names: Iterable[bytes]
) -> list[bytes]:
    """Drop crashes that a blamed name explains, after some names have changed.

    A blamed one among these excuses others, and each of them may be excused itself.
    Returns the names that have no crash left and were forgotten.
    """
    forgotten: list[bytes] = []
    for name in names:
        suspect = suspects.get(name)
        if suspect is None:
            continue
        if suspect.blamed:
            others = [other for other in suspects if excuse_one(suspects, other, name)]
            forgotten += others
        for culprit in [one for one, other in suspects.items() if other.blamed]:
            if excuse_one(suspects, name, culprit):
                forgotten.append(name)
                break
        for one in forgotten:
            suspects.pop(one, None)
    return forgotten


def excuse_one(suspects: Mapping[bytes, Suspect], name: bytes, culprit: bytes) -> bool:
    """Excuse one name; return whether no crash is left of it."""
    if name == culprit or not excuse(suspects[name], suspects[culprit]):
        return False
    return not suspects[name].crashes and not suspects[name].suspected


def excuse(suspect: Suspect, culprit: Suspect) -> bool:
    """Drop the crashes of a name that another one explains; return if there are any.

    Of two blamed names one is excused that has fewer crashes, or with which alone
    requests ran well; that one explains nothing for the other.
    """
    if culprit.ran_well and not suspect.ran_well:
        return False
    proven = suspect.ran_well and not culprit.ran_well
    explained = suspect.crashes.keys() & culprit.crashes.keys()
    if not explained:
        return False
    if suspect.blamed:
        if not proven and not suspect.crashes.keys() < culprit.crashes.keys():
            return False
        suspect.quarantines = 0
        suspect.quarantined_until_ms = suspect.blamed_ms = 0.0
    for process in explained:
        del suspect.crashes[process]
    suspect.drop_proofs(explained)
    return True

"""Tell how likely an upstream would have crashed whatever it ran. Does no I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from .crash_blame import Suspect

UNRELATED_MS = 2_000.0
"""How long before the first crash of a request other crashes count as unrelated."""
SAME_TIME_MS = 500.0
"""Upstreams that end within this time may have ended for the same reason."""
LATELY_MS = 4_000.0
"""Time in which ends of upstreams are counted to tell how often they end."""

EndedUpstreams = dict[str, OrderedDict[str, float]]
"""By service, when each of its upstream processes crashed, in monotonic ms."""


@dataclass(frozen=True, slots=True)
class UpstreamCrash:
    """The crash of an upstream while it ran a request for a time."""

    service: str
    process: str
    took_ms: float


def chance_of_unrelated_crash(
    suspects: Mapping[bytes, Suspect],
    ended: EndedUpstreams,
    names: Iterable[bytes],
    crash: UpstreamCrash,
    others: Iterable[str],
    now_ms: float,
) -> float:
    """Return how likely an upstream would have crashed without the names it ran.

    It is the share of the other upstreams of its service that ended at the same time,
    or that ended lately times the duration of the run. Those that crashed under the
    same names say nothing.

    Parameters
    ----------
    others : iterable of str
        The other listed processes of the service, whether they run or not.
    """
    known = [suspects[name] for name in names if name in suspects]
    explained = {*explained_crashes(suspects, known), crash.process}
    lately = ended_since(ended, crash.service, now_ms - LATELY_MS)
    together = ended_since(ended, crash.service, now_ms - SAME_TIME_MS)
    running = len(set(others) - lately - {crash.process})
    at_once = share_of(len(together - explained), running)
    in_run = share_of(len(lately - explained), running) * crash.took_ms / LATELY_MS
    return min(1.0, max(at_once, in_run))


def unrelated_crashes(
    suspects: Mapping[bytes, Suspect], ended: EndedUpstreams, suspect: Suspect
) -> int:
    """Return how many upstreams of its service crashed for no known reason.

    Those under this name, or under another one that crashed an upstream on trial, don't
    count.
    """
    since_ms = min(suspect.crashes.values(), default=0.0) - UNRELATED_MS
    known = ended_since(ended, suspect.service, since_ms)
    return len(known - explained_crashes(suspects, (suspect,)))


def explained_crashes(
    suspects: Mapping[bytes, Suspect], names: Iterable[Suspect]
) -> set[str]:
    """Return the processes that crashed under some names, or under one on trial."""
    explained = {process for suspect in names for process in suspect.crashes}
    for other in suspects.values():
        if other.trial_crashes:
            explained.update(other.crashes)
    return explained


def ended_since(ended: EndedUpstreams, service: str, since_ms: float) -> set[str]:
    """Return the upstream processes of a service that ended since a time."""
    known = ended.get(service)
    if known is None:
        return set()
    return {process for process, at_ms in known.items() if at_ms >= since_ms}


def share_of(ended: int, running: int) -> float:
    """Return the share of upstreams that ended, 0 if none is known."""
    return ended / max(1, ended + running)

"""Hold the claims of a VM and the streams that it follows."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from .calls import StageOutcome
from .exceptions import CuminstileError
from .records.claim_log import Partition
from .records.claim_records import ClaimEntry


@dataclass
class Held:
    """Hold a claim of this VM.

    Parameters
    ----------
    finished : anyio.Event
        Set when the claim was given up, or its run has ended.
    recorded : bytes
        The encoded outcome; empty if the claim was given up.
    is_abandoned : bool
        Whether its caller left before a byte of the call did.
    """

    entry: ClaimEntry
    part: Partition
    finished: anyio.Event = field(default_factory=anyio.Event)
    finished_ms: float = math.inf
    recorded: bytes = b""
    outcome: StageOutcome | None = None
    error: CuminstileError | None = None
    is_abandoned: bool = False

    def is_finished(self) -> bool:
        """Return whether the claim was given up or its run has ended."""
        return self.finished.is_set()


@dataclass
class Claims:
    """Hold this VM's claims and the streams that it follows.

    Parameters
    ----------
    tasks : TaskGroup or None
        Runs what has to outlive the caller's request; None while not started.
    """

    partitions: dict[int, Partition] = field(default_factory=dict)
    held: dict[bytes, Held] = field(default_factory=dict)
    tasks: TaskGroup | None = None

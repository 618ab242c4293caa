"""State of a VM's claims and of the claim streams that it follows."""

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
class HeldClaim:
    """A claim of this VM.

    Parameters
    ----------
    finished : anyio.Event
        Set when the claim was released or its run has ended.
    finished_ms : float
        Monotonic time of that; infinite before.
    recorded : bytes
        The encoded outcome; empty if the claim was released.
    is_abandoned : bool
        Whether the caller has disconnected; a call of which no byte has been sent is
        then not sent any more.
    """

    entry: ClaimEntry
    partition: Partition
    finished: anyio.Event = field(default_factory=anyio.Event)
    finished_ms: float = math.inf
    recorded: bytes = b""
    outcome: StageOutcome | None = None
    error: CuminstileError | None = None
    is_abandoned: bool = False

    def is_finished(self) -> bool:
        """Return whether the claim was released or its run has ended."""
        return self.finished.is_set()


@dataclass
class Claims:
    """Claims of this VM and the claim streams that it follows.

    Parameters
    ----------
    partitions : dict of int to Partition
        The followed streams, by partition number.
    held : dict of bytes to HeldClaim
        This VM's claims, by claim id.
    tasks : TaskGroup or None
        Runs tasks that outlive the caller's request; None before the claims loop has
        started.
    """

    partitions: dict[int, Partition] = field(default_factory=dict)
    held: dict[bytes, HeldClaim] = field(default_factory=dict)
    tasks: TaskGroup | None = None

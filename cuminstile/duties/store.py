"""Define what the duties need of the platform's store and of its calls."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from ..eras.position import Position
from .lease import LeaseRecord
from .types import DutyAnswer
from .usage import Report


@dataclass(frozen=True)
class LeasePage:
    """The newest records: where the log ends, the lease, the ledger of reports.

    Parameters
    ----------
    era_since_ms : float
        Since when this process knows that the store is in the era of `end`, in
        monotonic ms.
    """

    end: Position
    record: LeaseRecord | None
    ledger: tuple[Report, ...]
    era_since_ms: float = 0.0


class DutyStore(Protocol):
    """The log of the lease; calls without an answer raise `PlatformUnavailableError`.

    A call without an answer may take effect later, if its condition still holds.
    """

    async def read(self) -> LeasePage:
        """Return the newest records, which are those up to the page's end."""

    async def append(
        self, at: Position, record: LeaseRecord, ledger: tuple[Report, ...] | None
    ) -> Position | None:
        """Append both if the log ends at `at`; return the new end, None if not.

        None too if the store is in another era than that of `at`: what it has appended
        then is not the lease's next record.
        """


@dataclass(frozen=True)
class DutyCall:
    """A call of a duty in the platform's words."""

    method: bytes
    path: bytes
    body: bytes


class DutyPlatform(Protocol):
    """The platform's calls that are the duty of one VM at a time."""

    async def call(
        self,
        call: DutyCall,
        token: int,
        may_send: Callable[[], bool],
        timeout_ms: float,
    ) -> DutyAnswer:
        """Make a call; `may_send` is asked when the next step is to write the bytes.

        What was not delivered by the end of the timeout is never sent.
        """

    def usage_call(self, window: int, counts: Mapping[str, int]) -> DutyCall:
        """Return the call that reports the usage of a window."""

    def usage_repeat(self, body: str) -> DutyCall:
        """Return the call that sends a report from the ledger once more."""

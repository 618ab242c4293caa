"""Define the subjects of duties and the interface of the VM that holds them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from .messages import DemandEntry

USAGE_DUTY = "usage"
"""Reports of how many requests of each organisation upstreams began."""
ORDERS_DUTY = "orders"
"""Orders of how many upstreams run."""


@dataclass(frozen=True)
class Subject:
    """What a duty is about, such as all usage or the upstreams of one pool.

    Parameters
    ----------
    duty : str
        `USAGE_DUTY` or `ORDERS_DUTY`.
    name : str
        "SERVICE/DATA_CENTRE" for the upstreams of a pool, empty for the usage.
    """

    duty: str
    name: str = ""


@dataclass(frozen=True)
class DutyAnswer:
    """Outcome of a call of a duty.

    Parameters
    ----------
    status : int or None
        Status of the answer, None if there was none.
    sent : bool
        Whether bytes left: then a call without an answer may have been accepted.
    """

    status: int | None
    sent: bool

    @property
    def accepted(self) -> bool:
        """Return whether the platform said that it accepted the call."""
        return self.status is not None and 200 <= self.status < 300


class DutyHolder(Protocol):
    """What this VM may do for all others at the moment."""

    def token(self, subject: Subject) -> int | None:
        """Return the fencing token, None unless this VM holds the lease with time left.

        Ask again after each pause: the lease may have ended meanwhile.
        """

    async def call(
        self, subject: Subject, method: bytes, path: bytes, body: bytes
    ) -> DutyAnswer:
        """Make one call of a duty; without the lease nothing is sent.

        The lease is checked right before the bytes leave. The rate of all calls stays
        within the platform's limit; the call waits for its turn a short time.
        """

    def demands(self) -> Mapping[str, tuple[DemandEntry, ...]]:
        """Return the latest demand entries by VM address, this VM's included."""

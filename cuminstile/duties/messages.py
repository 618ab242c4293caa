"""Define what VMs tell each other about duties, sent as datagrams.

Lost datagrams repair themselves: counts are totals of their window, demand is replaced
by the next report.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class DemandEntry:
    """Demand for the upstreams of a service in one data centre, as one VM sees it.

    Parameters
    ----------
    requests : float
        Requests that arrived per second.
    queued, in_flight : int
        Requests that wait for an upstream, and those that one has.
    refused : float
        Requests per second that were refused because no upstream was free.
    work_ms : float
        Expected time of one request at an upstream.
    """

    service: str
    data_centre: str
    requests: float
    queued: int
    in_flight: int
    refused: float
    work_ms: float


@dataclass(frozen=True)
class UsageEntry:
    """Requests of an organisation that upstreams began in a window, at one VM so far.

    Parameters
    ----------
    window : int
        Number of the window since 1970 UTC.
    """

    window: int
    organisation: str
    count: int


@dataclass(frozen=True)
class DutyReport:
    """What one VM has counted, for the VM that holds the duties and some others.

    Parameters
    ----------
    address : str
        `host:port` of the sender for other VMs.
    incarnation : str
        The process that counted; counts of a restarted one start at 0.
    counted_ms : int
        Up to when the counts are whole, in ms since 1970 UTC; 0 if others follow.
    wall_ms : int
        The sender's corrected wall-clock time in ms since 1970 UTC, 0 if these are the
        counts of another VM, told on.
    reported : int
        The last window whose report may have left as far as the sender knows, -1 for
        none, or from a build that doesn't tell.
    """

    address: str
    incarnation: str
    counted_ms: int
    wall_ms: int
    usage: tuple[UsageEntry, ...]
    demand: tuple[DemandEntry, ...]
    reported: int = -1


@dataclass(frozen=True)
class DutyBeat:
    """Word of the VM that holds the duties that it lives.

    Parameters
    ----------
    address : str
        `host:port` of the sender for other VMs.
    token : int
        Its fencing token, higher than those of earlier holders.
    wall_ms : int
        The sender's corrected wall-clock time in ms since 1970 UTC.
    reported : int
        The last window whose report is in the ledger; older counts are not needed.
    released : bool
        Whether the sender has given the lease back.
    """

    address: str
    name: str
    token: int
    wall_ms: int
    reported: int
    released: bool

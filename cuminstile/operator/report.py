"""Data classes of the status report for operators.

Components of the daemon each contribute a `ComponentReport`.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum


class VmState(StrEnum):
    """State of a VM, as another VM or a command sees it.

    A `LISTED` VM is in another data centre and the reporting VM keeps no session with
    it, so its version is not known there. A `MISSING` VM should have a session but
    sends no messages.
    """

    LIVE = "live"
    LISTED = "listed"
    LEAVING = "leaving"
    MISSING = "missing"


class UpstreamStatus(StrEnum):
    """Status of an upstream, as a VM sees it.

    An `UNAVAILABLE` upstream is shutting down or cannot be reached; an `EJECTED` one
    failed several times.
    """

    UNKNOWN = "unknown"
    WARM = "warm"
    COLD = "cold"
    EJECTED = "ejected"
    UNAVAILABLE = "away"


class ProblemCode(StrEnum):
    """Codes of all problems; docs/OPERATIONS.md says what to do about each."""

    NO_CONFIGURATION = "no_configuration"
    PLATFORM_AWAY = "platform_away"
    VM_MISSING = "vm_missing"
    VM_LAGGING = "vm_lagging"
    VM_UNREACHABLE = "vm_unreachable"
    RECORD_REFUSED = "record_refused"
    DATA_CENTRE_OUT = "data_centre_out"
    UPSTREAM_AWAY = "upstream_away"
    UPSTREAM_COLD = "upstream_cold"
    UPSTREAM_EJECTED = "upstream_ejected"
    REQUEST_QUARANTINED = "request_quarantined"
    MOVE_AT_RISK = "move_at_risk"
    MOVE_TAKEN_BACK = "move_taken_back"


@dataclass(frozen=True)
class Problem:
    """One thing that is wrong.

    Parameters
    ----------
    code : ProblemCode
        The kind of problem.
    subject : str
        The name of the VM, data centre, upstream or move that it is about.
    message : str
        One sentence about the subject, without secrets.
    """

    code: ProblemCode
    subject: str
    message: str

    def __str__(self) -> str:
        """Return the problem as one line."""
        return f"{self.subject}: {self.message} [{self.code.value}]"


@dataclass(frozen=True)
class VmReport:
    """Report on one VM.

    Parameters
    ----------
    version : int
        The version of the configuration in force on it, -1 for none.
    operator_address : str
        `host:port` of its operator interface, empty if not known.
    silent_ms : int
        Time since its last message; 0 for the VM that reports.
    """

    name: str
    data_centre: str
    incarnation: str
    state: VmState
    version: int
    operator_address: str = ""
    silent_ms: int = 0


@dataclass(frozen=True)
class UpstreamReport:
    """Report on one upstream, as this VM uses it.

    Parameters
    ----------
    state : UpstreamStatus
        Its status as this VM sees it.
    in_flight : int
        This VM's calls in flight at the upstream.
    limit : int
        This VM's limit of calls in flight at the upstream.
    """

    name: str
    data_centre: str
    state: UpstreamStatus
    in_flight: int = 0
    limit: int = 0


@dataclass(frozen=True)
class MoveReport:
    """Report on one traffic move.

    Parameters
    ----------
    state : str
        `waiting`, `moving`, `done`, `taken_back` or `unknown`.
    share : float
        The fraction of the stage's traffic that the new version gets, 0 to 1.
    reason : str
        The reason for the state.
    """

    name: str
    stage: str
    from_version: str
    to_version: str
    start_at_ms: int
    finish_by_ms: int
    state: str = "unknown"
    share: float = 0.0
    reason: str = ""


@dataclass(frozen=True)
class ComponentReport:
    """What one component of the daemon adds to the status."""

    problems: tuple[Problem, ...] = ()
    vms: tuple[VmReport, ...] = ()
    upstreams: tuple[UpstreamReport, ...] = ()
    moves: tuple[MoveReport, ...] = ()


Reporter = Callable[[], ComponentReport]


@dataclass(frozen=True)
class StatusReport:
    """Status of the whole system, as one VM sees it.

    Parameters
    ----------
    ok : bool
        Whether there are no problems.
    version : int
        The version of the configuration in force on the VM that reports, -1 for none.
    vm : VmReport
        The VM that reports.
    vms : tuple of VmReport
        Every VM that it knows, including itself.
    """

    ok: bool
    version: int
    problems: tuple[Problem, ...]
    vm: VmReport
    vms: tuple[VmReport, ...]
    upstreams: tuple[UpstreamReport, ...] = ()
    moves: tuple[MoveReport, ...] = ()

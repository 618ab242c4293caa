"""Define what a VM reports to operators; each part of the daemon fills its share."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum


class VmState(StrEnum):
    """Tell how a VM stands, as another VM or a command sees it.

    A `LISTED` VM is one of another data centre with which the reporting VM keeps
    no session; its version is not known there. A `MISSING` one should be heard.
    """

    LIVE = "live"
    LISTED = "listed"
    LEAVING = "leaving"
    MISSING = "missing"


class UpstreamStatus(StrEnum):
    """Tell how an upstream stands, as a VM sees it.

    An `AWAY` one leaves or can't be reached; an `EJECTED` one failed several times.
    """

    UNKNOWN = "unknown"
    WARM = "warm"
    COLD = "cold"
    EJECTED = "ejected"
    UNAVAILABLE = "away"


class ProblemCode(StrEnum):
    """Enumerate what can be wrong at a glance; docs/OPERATIONS.md says what to do."""

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
    """Describe one thing that is wrong.

    Parameters
    ----------
    code : ProblemCode
        The kind of problem.
    subject : str
        The VM, data centre, upstream or move that it is about.
    message : str
        One sentence; never a secret.
    """

    code: ProblemCode
    subject: str
    message: str

    def __str__(self) -> str:
        """Return the problem as one line."""
        return f"{self.subject}: {self.message} [{self.code.value}]"


@dataclass(frozen=True)
class VmReport:
    """Describe one VM.

    Parameters
    ----------
    version : int
        The configuration in force on it, -1 for none.
    operator_address : str
        `host:port` of its operator interface, empty if not known.
    silent_ms : int
        How long nothing has been heard from it; 0 for the VM that reports.
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
    """Describe one upstream as this VM uses it.

    Parameters
    ----------
    state : UpstreamStanding
        How it stands for this VM.
    in_flight : int
        This VM's calls at the upstream.
    limit : int
        How many calls this VM would have there at once.
    """

    name: str
    data_centre: str
    state: UpstreamStatus
    in_flight: int = 0
    limit: int = 0


@dataclass(frozen=True)
class MoveReport:
    """Describe one traffic move.

    Parameters
    ----------
    state : str
        `waiting`, `moving`, `done`, `taken_back` or `unknown`.
    share : float
        The fraction of the stage's traffic that the new version gets, 0 to 1.
    reason : str
        Why the move stands as it does.
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
class PartReport:
    """Hold what one part of the daemon has to report."""

    problems: tuple[Problem, ...] = ()
    vms: tuple[VmReport, ...] = ()
    upstreams: tuple[UpstreamReport, ...] = ()
    moves: tuple[MoveReport, ...] = ()


Reporter = Callable[[], PartReport]


@dataclass(frozen=True)
class StatusReport:
    """Hold what one VM sees of the whole system.

    Parameters
    ----------
    ok : bool
        Whether there is no problem.
    version : int
        The configuration in force on the VM that reports, -1 for none.
    vm : VmReport
        The VM that reports.
    vms : tuple of VmReport
        Every VM it knows, itself included.
    """

    ok: bool
    version: int
    problems: tuple[Problem, ...]
    vm: VmReport
    vms: tuple[VmReport, ...]
    upstreams: tuple[UpstreamReport, ...] = ()
    moves: tuple[MoveReport, ...] = ()

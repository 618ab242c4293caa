"""Load and validate the settings of a VM."""

import socket
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from typing import Annotated, Any

from pydantic import ConfigDict, Field, TypeAdapter, with_config

from .const import SHUTDOWN_LIMIT_MS
from .exceptions import CuminstileError, ErrorCode, Finding
from .objects.model import Name
from .strict_json import loads
from .validation import validate

STRICT = ConfigDict(extra="forbid")
MIN_DRAIN_MS = 1_500
"""Least time after the linger in which requests in progress are finished or refused."""


class ChoicePolicy(StrEnum):
    """Policies for choosing an upstream; see `upstream/choice.py`."""

    LEAST_LOADED = "least_loaded"
    LEAST_IN_FLIGHT = "least_in_flight"
    ROUND_ROBIN = "round_robin"
    SHORTEST_TIME = "shortest_time"
    PREFIX_AFFINITY = "prefix_affinity"


class QueueOrder(StrEnum):
    """Orders in which queued calls are served; see `queueing.py`."""

    FAIR_THEN_EARLIEST = "fair_then_earliest"
    EARLIEST_FIRST = "earliest_first"
    FIRST_COME = "first_come"


Port = Annotated[int, Field(ge=0, le=65_535)]
Address = Annotated[str, Field(pattern=r"^[0-9a-f.:\[\]]+:\d{1,5}$")]
Key = Annotated[str, Field(min_length=16, max_length=256, pattern=r"^[!-~]+$")]
OptionalKey = Annotated[str, Field(max_length=256, pattern=r"^[!-~]*$")]
Keys = Annotated[tuple[Key, ...], Field(min_length=1, max_length=2)]


@with_config(STRICT)
@dataclass(frozen=True)
class TlsSettings:
    """Files for TLS: this VM's certificate and key, and the CA certificate."""

    certificate: Path
    key: Path
    authority: Path


@with_config(STRICT)
@dataclass(frozen=True)
class PeerSettings:
    """A VM to request the configuration from while the platform is unavailable."""

    name: Name
    data_centre: Name
    address: Address


@with_config(STRICT)
@dataclass(frozen=True)
class LimitSettings:
    """Policies for limits, upstream choice and retries; the defaults are recommended.

    Parameters
    ----------
    choice, engine_choice : ChoicePolicy
        How an upstream is chosen; `engine_choice` applies to stages of engines.
    order : QueueOrder
        The order in which calls that wait for an upstream are served.
    predict : bool
        Whether to reject work that, by recent durations, would miss its deadline.
    """

    spill: bool = True
    choice: ChoicePolicy = ChoicePolicy.SHORTEST_TIME
    engine_choice: ChoicePolicy = ChoicePolicy.PREFIX_AFFINITY
    order: QueueOrder = QueueOrder.FAIR_THEN_EARLIEST
    predict: bool = True
    retry_fraction: Annotated[float, Field(ge=0.0, le=1.0)] = 0.1
    queue_length: Annotated[int, Field(ge=0, le=100_000)] = 256


@with_config(STRICT)
@dataclass(frozen=True)
class Settings:
    """Settings of one VM.

    Parameters
    ----------
    name, data_centre : str
        Name of this VM and of its data centre.
    host : str
        The IP address on which the VM listens.
    caller_port, operator_port, vm_port : int
        TCP ports for callers, operators and other VMs.
    platform : str
        `host:port` of the platform.
    operator_keys, vm_keys : tuple of str
        Up to two keys each, so that they can be rotated; all are accepted, and the
        first of `vm_keys` is used to authenticate to other VMs.
    platform_key : str
        Sent to the platform; empty if it requires none.
    log_file : str
        Path of the log file; `-` is standard error.
    shutdown_linger_ms : int
        How long a VM that shuts down still accepts requests from the load balancer.
    shutdown_ms : int or None
        Time from SIGTERM to the forced end of the process; None: long enough for
        requests of `SHUTDOWN_LIMIT_MS` after that.
    """

    name: Name
    data_centre: Name
    host: Annotated[str, Field(pattern=r"^[0-9a-f.:]+$")]
    caller_port: Port
    operator_port: Port
    vm_port: Port
    platform: Address
    operator_keys: Keys = field(repr=False)
    vm_keys: Keys = field(repr=False)
    platform_key: OptionalKey = field(default="", repr=False)
    peers: tuple[PeerSettings, ...] = ()
    tls: TlsSettings | None = None
    log_file: str = "-"
    shutdown_linger_ms: Annotated[int, Field(ge=0, le=60_000)] = 3_000
    shutdown_ms: Annotated[int, Field(ge=2_000, le=900_000)] | None = None
    limits: LimitSettings = field(default_factory=LimitSettings)

    @property
    def stop_ms(self) -> int:
        """Return the time from SIGTERM to the forced end of the process."""
        if self.shutdown_ms is not None:
            return self.shutdown_ms
        return self.shutdown_linger_ms + SHUTDOWN_LIMIT_MS


SETTINGS: TypeAdapter[Settings] = TypeAdapter(Settings)


def load_settings(path: Path) -> Settings:
    """Return the settings in a JSON file.

    Raises
    ------
    CuminstileError
        With `BAD_SETTINGS` and every finding.
    """
    try:
        data: Any = loads(path.read_bytes())
    except (OSError, ValueError) as error:
        finding = Finding(str(path), "", "unreadable", str(error))
        raise bad_settings((finding,)) from error
    checked = validate(SETTINGS, data, str(path))
    if checked.value is None:
        raise bad_settings(checked.findings)
    if findings := shutdown_findings(checked.value, str(path)):
        raise bad_settings(findings)
    return checked.value


def shutdown_findings(settings: Settings, file: str) -> tuple[Finding, ...]:
    """Return a finding if a shutdown leaves no time for the requests in progress."""
    least_ms = settings.shutdown_linger_ms + MIN_DRAIN_MS
    if settings.stop_ms >= least_ms:
        return ()
    text = f"shutdown_linger_ms leaves less than {MIN_DRAIN_MS} ms of it"
    return (Finding(file, "shutdown_ms", "too_short", text),)


def port_findings(settings: Settings) -> tuple[Finding, ...]:
    """Return a finding for each port on which the VM cannot listen."""
    names = ("caller_port", "operator_port", "vm_port")
    findings = [port_finding(settings, name) for name in names]
    return tuple(finding for finding in findings if finding is not None)


def port_finding(settings: Settings, name: str) -> Finding | None:
    """Return a finding if the VM cannot listen on one of its ports."""
    port = getattr(settings, name)
    try:
        with socket.create_server((settings.host, port), family=family_of(settings)):
            return None
    except OSError as error:
        text = f"cannot listen on {settings.host}:{port}: {error.strerror}"
        return Finding("", name, "port", text)


def family_of(settings: Settings) -> socket.AddressFamily:
    """Return the address family of the settings' host."""
    return socket.AF_INET6 if ":" in settings.host else socket.AF_INET


def bad_settings(findings: tuple[Finding, ...]) -> CuminstileError:
    """Return the error with every finding about the settings."""
    return CuminstileError(
        ErrorCode.BAD_SETTINGS, "the settings are invalid", findings=findings
    )

"""Control values of the simulated programs, which requests can change at run time."""

import dataclasses
import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Annotated, Any, Generic, Literal, TypeVar

from pydantic import ConfigDict, Field, TypeAdapter, with_config
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from cuminstile.validation import validate

STRICT = ConfigDict(extra="forbid")
Fraction = Annotated[float, Field(ge=0.0, le=1.0)]
DurationMs = Annotated[float, Field(ge=0.0)]
Count = Annotated[int, Field(ge=0)]

T = TypeVar("T")


@with_config(STRICT)
@dataclass(frozen=True)
class ListedVm:
    """VM as it appears in the platform's list."""

    name: str
    data_centre: str
    address: str
    state: Literal["live", "leaving"] = "live"


@with_config(STRICT)
@dataclass(frozen=True)
class PlatformControl:
    """Control values of the platform.

    Parameters
    ----------
    outage : bool or str
        `"refuse"` (or true) responds with 503, `"hang"` does not respond at all.
    append_delay_ms : float
        Delay before an append takes effect, ms.
    answer_delay_ms : float
        Delay between the append and its response, ms.
    read_delay_ms : float
        Delay before every read and every list of VMs, ms.
    lose_answers : float
        Fraction of the appends that take effect but get no response.
    lose_by : str
        Whether the connection is then closed or left open without a response.
    retain : int or None
        Number of records retained for each stream.
    retain_ms : float or None
        Retention time of records, ms.
    seen_addresses : mapping
        For a client that authenticates with the key `K`, `seen_addresses[K][NAME]`
        replaces the address of the VM NAME, as with network address translation.
    """

    outage: bool | Literal["refuse", "hang"] = False
    append_delay_ms: DurationMs = 0.0
    answer_delay_ms: DurationMs = 0.0
    read_delay_ms: DurationMs = 0.0
    lose_answers: Fraction = 0.0
    lose_by: Literal["close", "hang"] = "close"
    appends_per_s: Annotated[float, Field(gt=0.0)] = 400.0
    retain: Annotated[int, Field(ge=1)] | None = None
    retain_ms: DurationMs | None = None
    vm_lag_ms: DurationMs = 0.0
    vms: tuple[ListedVm, ...] = ()
    seen_addresses: Mapping[str, Mapping[str, str]] = field(default_factory=dict)
    weights_per_s: Annotated[float, Field(gt=0.0)] = 1.0
    key: str = ""
    seed: int = 0


@with_config(STRICT)
@dataclass(frozen=True)
class VersionFault:
    """Faults of one version.

    Parameters
    ----------
    work_ms : float or None
        Work time that replaces the default, ms.
    token_ms : float or None
        Time per token that replaces the default, ms.
    after_runs : int
        Number of runs of this version before the faults begin.
    above_in_flight : int
        Number of calls in flight up to which the version has no faults.
    """

    fail_fraction: Fraction = 0.0
    drop_fraction: Fraction = 0.0
    work_ms: DurationMs | None = None
    token_ms: DurationMs | None = None
    after_runs: Count = 0
    above_in_flight: Count = 0


@with_config(STRICT)
@dataclass(frozen=True)
class UpstreamControl:
    """Control values of an engine, a pool or a service.

    Parameters
    ----------
    work_ms, jitter_ms : float
        Work time of a call and its maximum deviation, ms; for an engine, the time to
        the first token.
    token_ms : float
        Time per token of a call that runs alone, ms.
    tokens : int
        Number of tokens generated if the input has no `max_tokens`.
    slowdown : float
        Fraction by which each additional concurrent call slows down the work.
    cold_slowdown : float
        Factor applied to the work time while cold.
    drop_fraction, drop_by
        Fraction of the calls that run but get no response, and whether the connection
        closes or hangs.
    late_ms, late_fraction
        Delay of the response, ms, and the fraction of the calls that have it.
    crash_on : str
        Text in the input that crashes the process; empty for none.
    turn_cold : bool
        Makes the upstream cold immediately; resets itself.
    warm_after_runs : int
        Number of answered runs after which it is warm; 0 starts it warm.
    queue : int
        Number of calls beyond `capacity` that can be queued while warm.
    refuse_when_cold : bool
        While cold, refuse calls above `cold_capacity` instead of failing all calls.
    versions : tuple of str
        Loaded versions; empty serves any version.
    load_ms : float
        Time to load a version, ms.
    cache_blocks : int
        Number of prompt prefixes that an engine caches.
    prefill_ms : float
        Time to process one prompt block that is not cached, ms.
    cache_lag_ms, cache_gap_fraction
        Delay of cache events, ms, and the fraction of them that is missing.
    leave : bool
        Report that the upstream is leaving; it continues to serve.
    """

    work_ms: DurationMs = 10.0
    jitter_ms: DurationMs = 0.0
    token_ms: DurationMs = 5.0
    tokens: Annotated[int, Field(ge=1)] = 24
    slowdown: DurationMs = 0.0
    cold_slowdown: Annotated[float, Field(ge=1.0)] = 4.0
    fail_fraction: Fraction = 0.0
    drop_fraction: Fraction = 0.0
    drop_by: Literal["close", "hang"] = "close"
    late_ms: DurationMs = 0.0
    late_fraction: Fraction = 1.0
    cross_fraction: Fraction = 0.0
    truncate_fraction: Fraction = 0.0
    repeat_fraction: Fraction = 0.0
    crash_on: str = ""
    turn_cold: bool = False
    warm_after_runs: Count = 3
    capacity: Annotated[int, Field(ge=1)] = 8
    cold_capacity: Annotated[int, Field(ge=1)] = 1
    queue: Count = 16
    refuse_when_cold: bool = False
    report_lag_ms: DurationMs = 500.0
    versions: tuple[str, ...] = ()
    version_faults: Mapping[str, VersionFault] = field(default_factory=dict)
    checks_fencing: bool = False
    load_ms: DurationMs = 200.0
    cache_blocks: Count = 512
    prefill_ms: DurationMs = 2.0
    cache_lag_ms: DurationMs = 500.0
    cache_gap_fraction: Fraction = 0.0
    leave: bool = False
    seed: int = 0


PLATFORM: TypeAdapter[PlatformControl] = TypeAdapter(PlatformControl)
UPSTREAM: TypeAdapter[UpstreamControl] = TypeAdapter(UpstreamControl)


@dataclass
class ControlState(Generic[T]):
    """Current control values of a program.

    Parameters
    ----------
    adapter : TypeAdapter
        Validates new values.
    values : data class
        Current values.
    on_change : callable
        Called with the values before and after a change.
    """

    adapter: TypeAdapter[T]
    values: T
    on_change: Callable[[T, T], None] = lambda before, after: None

    def change(self, changes: Mapping[str, Any]) -> tuple[str, ...]:
        """Apply new values; if one is invalid, apply none and return the findings."""
        present = self.adapter.dump_python(self.values, mode="json")
        checked = validate(self.adapter, {**present, **changes})
        if checked.value is None:
            return tuple(str(finding) for finding in checked.findings)
        before, self.values = self.values, checked.value
        self.on_change(before, self.values)
        return ()


def read_control(
    adapter: TypeAdapter[T], control: str | Mapping[str, Any], **defaults: Any
) -> T:
    """Return the values of the flag `--control`, as JSON or already parsed by fire.

    Raises
    ------
    pydantic.ValidationError
        If a value is invalid.
    """
    data = json.loads(control) if isinstance(control, str) else control
    return adapter.validate_python({**defaults, **data})


def control_route(controlled: ControlState[T]) -> Route:
    """Return the route that reads and changes the control values."""

    async def control(request: Request) -> JSONResponse:
        if request.method == "POST":
            findings = controlled.change(await request.json())
            if findings:
                return JSONResponse({"findings": findings}, status_code=400)
        values = controlled.adapter.dump_python(controlled.values, mode="json")
        return JSONResponse(values)

    return Route("/control", control, methods=["GET", "POST"])


def without_actions(values: UpstreamControl) -> UpstreamControl:
    """Return the values with all one-time actions reset."""
    return dataclasses.replace(values, turn_cold=False)

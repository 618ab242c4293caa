"""Hold the values that a control request may change while a stand-in runs."""

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
Duration = Annotated[float, Field(ge=0.0)]
Count = Annotated[int, Field(ge=0)]

T = TypeVar("T")


@with_config(STRICT)
@dataclass(frozen=True)
class ListedVm:
    """Describe a VM as the platform's list gives it."""

    name: str
    data_centre: str
    address: str
    state: Literal["live", "leaving"] = "live"


@with_config(STRICT)
@dataclass(frozen=True)
class PlatformControl:
    """Hold the control values of the platform.

    Parameters
    ----------
    outage : bool or str
        `"refuse"` (or true) answers 503, `"hang"` does not answer at all.
    append_delay_ms : float
        Wait before an append takes effect.
    answer_delay_ms : float
        Wait after an append took effect, before its answer.
    read_delay_ms : float
        Wait before every read and every list.
    lose_answers : float
        Fraction of the appends that take effect and whose answer never comes.
    lose_by : str
        Whether the connection closes or stays open without an answer.
    retain : int or None
        Records kept for each stream.
    retain_ms : float or None
        Time for which records are kept.
    seen_addresses : mapping
        For a reader that shows the key `K`, `seen_addresses[K][NAME]` stands in for
        the address of the VM NAME, as behind a network that translates addresses.
    """

    outage: bool | Literal["refuse", "hang"] = False
    append_delay_ms: Duration = 0.0
    answer_delay_ms: Duration = 0.0
    read_delay_ms: Duration = 0.0
    lose_answers: Fraction = 0.0
    lose_by: Literal["close", "hang"] = "close"
    appends_per_s: Annotated[float, Field(gt=0.0)] = 400.0
    retain: Annotated[int, Field(ge=1)] | None = None
    retain_ms: Duration | None = None
    vm_lag_ms: Duration = 0.0
    vms: tuple[ListedVm, ...] = ()
    seen_addresses: Mapping[str, Mapping[str, str]] = field(default_factory=dict)
    weights_per_s: Annotated[float, Field(gt=0.0)] = 1.0
    key: str = ""
    seed: int = 0


@with_config(STRICT)
@dataclass(frozen=True)
class VersionFault:
    """Describe how one version is bad.

    Parameters
    ----------
    work_ms : float or None
        Work time in place of the usual one, ms.
    token_ms : float or None
        Time for one token in place of the usual one, ms.
    after_runs : int
        Runs of this version that are still good.
    above_in_flight : int
        Calls in flight up to which the version is still good.
    """

    fail_fraction: Fraction = 0.0
    drop_fraction: Fraction = 0.0
    work_ms: Duration | None = None
    token_ms: Duration | None = None
    after_runs: Count = 0
    above_in_flight: Count = 0


@with_config(STRICT)
@dataclass(frozen=True)
class UpstreamControl:
    """Hold the control values of an engine, a pool or a service.

    Parameters
    ----------
    work_ms, jitter_ms : float
        Work time of a call, and what may be added or taken away; for an engine
        this is the time before the first token.
    token_ms : float
        Time for one token of a call that runs alone, ms.
    tokens : int
        Tokens of an answer whose input has no `max_tokens`.
    slowdown : float
        Fraction by which every call besides makes the work slower.
    cold_slowdown : float
        Factor on the work time while cold.
    drop_fraction, drop_by
        Calls that run and get no answer, and how: the connection closes or hangs.
    late_ms, late_fraction
        Wait before the answer of a fraction of the calls.
    crash_on : str
        Text in the input that ends the process; empty for none.
    turn_cold : bool
        Makes the upstream cold at once.
    warm_after_runs : int
        Answered runs after which it is warm; 0 starts it warm.
    queue : int
        Calls that may wait above `capacity` while warm.
    refuse_when_cold : bool
        Refuse above `cold_capacity` instead of falling over.
    versions : tuple of str
        Versions loaded; empty serves any.
    load_ms : float
        Time that an order to load takes.
    cache_blocks : int
        Prompt prefixes that an engine keeps.
    prefill_ms : float
        Time for one prompt block that the cache does not hold.
    cache_lag_ms, cache_gap_fraction
        How late cache events are, and how many are left out.
    leave : bool
        Report that the upstream is leaving; it goes on working.
    """

    work_ms: Duration = 10.0
    jitter_ms: Duration = 0.0
    token_ms: Duration = 5.0
    tokens: Annotated[int, Field(ge=1)] = 24
    slowdown: Duration = 0.0
    cold_slowdown: Annotated[float, Field(ge=1.0)] = 4.0
    fail_fraction: Fraction = 0.0
    drop_fraction: Fraction = 0.0
    drop_by: Literal["close", "hang"] = "close"
    late_ms: Duration = 0.0
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
    report_lag_ms: Duration = 500.0
    versions: tuple[str, ...] = ()
    version_faults: Mapping[str, VersionFault] = field(default_factory=dict)
    checks_fencing: bool = False
    load_ms: Duration = 200.0
    cache_blocks: Count = 512
    prefill_ms: Duration = 2.0
    cache_lag_ms: Duration = 500.0
    cache_gap_fraction: Fraction = 0.0
    leave: bool = False
    seed: int = 0


PLATFORM: TypeAdapter[PlatformControl] = TypeAdapter(PlatformControl)
UPSTREAM: TypeAdapter[UpstreamControl] = TypeAdapter(UpstreamControl)


@dataclass
class Controlled(Generic[T]):
    """Hold the present control values.

    Parameters
    ----------
    adapter : TypeAdapter
        Checks new values.
    values : data class
        The present values.
    on_change : callable
        Called with the values before and after a change.
    """

    adapter: TypeAdapter[T]
    values: T
    on_change: Callable[[T, T], None] = lambda before, after: None

    def change(self, changes: Mapping[str, Any]) -> tuple[str, ...]:
        """Apply some new values; return what is wrong with them, changing nothing."""
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
    """Return the values of the flag `--control`, which fire may have parsed.

    Raises
    ------
    pydantic.ValidationError
        If a value is wrong.
    """
    data = json.loads(control) if isinstance(control, str) else control
    return adapter.validate_python({**defaults, **data})


def control_route(controlled: Controlled[T]) -> Route:
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
    """Return the values with every one-time action reset."""
    return dataclasses.replace(values, turn_cold=False)

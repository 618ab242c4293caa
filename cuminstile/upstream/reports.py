"""Fetch the load report of an upstream."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import anyio
import httpcore
import orjson
from pydantic import TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass

from ..const import CONNECT_TIMEOUT_MS
from ..objects.model import Upstream
from .evidence import LoadReport
from .ranking import compact_id
from .table import Condition

if TYPE_CHECKING:
    from ..runtime import Vm

FETCH_TIMEOUT_MS = 500
CONDITIONS = {"cold": Condition.COLD, "warm": Condition.WARM}

FetchLoad = Callable[["Vm", Upstream], Awaitable[LoadReport | None]]


@dataclass(frozen=True)
class LoadBody:
    """The JSON body of a load report."""

    incarnation: str
    state: str
    in_flight: int
    capacity: int
    report_age_ms: float
    leaving: bool = False
    versions: tuple[str, ...] = ()


LOAD_BODY: TypeAdapter[LoadBody] = TypeAdapter(LoadBody)


async def fetch_load(vm: Vm, upstream: Upstream) -> LoadReport | None:
    """Return the load report of an upstream, or None if there is no valid one."""
    requested_ms = vm.clock.now_ms()
    try:
        with anyio.fail_after(FETCH_TIMEOUT_MS / 1000.0):
            response = await vm.upstream_pool.request(
                "GET",
                upstream.address,
                "/load",
                extensions={"timeout": {"connect": CONNECT_TIMEOUT_MS / 1000.0}},
            )
        body = LOAD_BODY.validate_python(orjson.loads(response.content))
    except (
        OSError,
        TimeoutError,
        ValueError,
        ValidationError,
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ):
        return None
    return LoadReport(
        compact_id(body.incarnation),
        condition_of(body),
        max(0, body.in_flight),
        max(0, body.capacity),
        requested_ms - max(0.0, body.report_age_ms),
        body.incarnation,
        frozenset(body.versions),
    )


def condition_of(body: LoadBody) -> Condition:
    """Return the condition in a report; a leaving upstream is unavailable."""
    if body.leaving:
        return Condition.UNAVAILABLE
    return CONDITIONS.get(body.state, Condition.UNAVAILABLE)

"""Choose the upstream for the next send of a request."""

from __future__ import annotations

from collections.abc import Collection

from .chain import Result
from .sending import Call
from .state import Gateway
from .upstreams import (
    UpstreamState,
    acquire_cold_token,
    by_load,
    by_session,
    choose,
)


def input_bytes(results: tuple[Result, ...]) -> dict[str, int]:
    """Return the size of the results by the data centre in which they lie."""
    sizes: dict[str, int] = {}
    for result in results:
        sizes[result.zone] = sizes.get(result.zone, 0) + result.size
    return sizes


def preferred_upstream(
    vm: Gateway, call: Call, results: tuple[Result, ...], tried: Collection[str]
) -> UpstreamState | None:
    """Return the upstream that suits a request best, if there is one.

    Parameters
    ----------
    results : tuple of Result
        The inputs that it has so far.
    tried : collection of str
        Upstreams that are left out.
    """
    now_ms = vm.clock.now_ms()
    usable = vm.table.usable(call.service.name)
    if call.service.engine is not None:
        sizes = input_bytes(results)
        cost = by_session(call.fields.parts, usable, sizes, now_ms)
    else:
        cost = by_load(now_ms, vm.settings.data_centre)
    return choose(usable, cost, now_ms, tried)


def acquire_upstream(
    vm: Gateway, call: Call, results: tuple[Result, ...], tried: Collection[str]
) -> UpstreamState | None:
    """Return the best upstream that may get a request now.

    A cold upstream is passed over unless this VM still has a share of what it bears.
    """
    left_out = set(tried)
    while True:
        state = preferred_upstream(vm, call, results, left_out)
        if state is None:
            return None
        if acquire_cold_token(state, call.service, vm.vm_count(), vm.clock.now_ms()):
            return state
        left_out.add(state.info.id)

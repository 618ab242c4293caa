"""Choose the upstream for the next send of a request."""

from __future__ import annotations

from collections.abc import Collection

from .chain import Result
from .crash_guard import is_suspected
from .send_state import Call
from .state import Gateway
from .upstream_costs import choose, load_cost, session_cost
from .upstreams import UpstreamState, acquire_cold_token


def input_bytes(results: tuple[Result, ...]) -> dict[str, int]:
    """Return the total size of the results by the data centre that stores them."""
    sizes: dict[str, int] = {}
    for result in results:
        sizes[result.data_centre] = sizes.get(result.data_centre, 0) + result.size
    return sizes


def preferred_upstream(
    vm: Gateway, call: Call, results: tuple[Result, ...], tried: Collection[str]
) -> UpstreamState | None:
    """Return the upstream with the lowest cost for a request, if there is one.

    A suspected request goes to the one with the least load, as it may end that.

    Parameters
    ----------
    results : tuple of Result
        The inputs that it has so far.
    tried : collection of str
        Ids of upstreams to exclude.
    """
    now_ms = vm.clock.now_ms()
    usable = vm.table.open(call.service.name, now_ms)
    if call.service.engine is not None and not is_suspected(vm, call):
        sizes = input_bytes(results)
        hint = call.fields.output_hint
        cost = session_cost(call.fields.parts, usable, sizes, now_ms, hint)
    else:
        cost = load_cost(now_ms, vm.settings.data_centre)
    return choose(usable, cost, now_ms, tried)


def acquire_upstream(
    vm: Gateway, call: Call, results: tuple[Result, ...], tried: Collection[str]
) -> UpstreamState | None:
    """Return the best upstream that can get a request now, if there is one.

    A cold upstream is skipped unless this VM has a token for it.
    """
    excluded = set(tried)
    while True:
        state = preferred_upstream(vm, call, results, excluded)
        if state is None:
            return None
        if acquire_cold_token(state, call.service, vm.vm_count(), vm.clock.now_ms()):
            return state
        excluded.add(state.info.id)

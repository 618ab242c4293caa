"""Retract the crashes of upstreams that turn out to live."""

from __future__ import annotations

from .crash_evidence import is_gone, retract_crash
from .state import Gateway
from .upstream_checks import LISTENS_ON_MS, MAX_CHECKED, living


async def run_crash_check_loop(vm: Gateway) -> None:
    """Retract the crashes of upstreams that turn out to live, without end."""
    while True:
        await vm.clock.sleep_ms(LISTENS_ON_MS)
        if vm.crash_guard.unchecked:
            await check_crashes(vm)


async def check_crashes(vm: Gateway) -> None:
    """Retract the crashes of the unchecked upstreams that live."""
    guard = vm.crash_guard
    states = list(guard.unchecked.values())[:MAX_CHECKED]
    for state in states:
        del guard.unchecked[state.process]
    for state in await living(guard, states):
        process = state.process
        crashed_ms = guard.table.crashed_at_ms(state.info.service, process)
        if crashed_ms is not None and not is_gone(vm, state):
            retract_crash(vm, process, crashed_ms)

"""Mark the upstreams of a data centre that is out as cold, so that they ramp up again.

When the data centre returns, their caches are stale, and a lagging load report may
still report an upstream as warm that has turned cold. Calls in flight continue.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..events import Event
from ..objects.model import DataCentreState
from .evidence import mark_cold
from .peers import is_owner
from .table import Condition

if TYPE_CHECKING:
    from ..runtime import Vm


def is_data_centre_out(vm: Vm) -> bool:
    """Return whether operators have taken this VM's data centre out."""
    if vm.configuration.current is None:
        return False
    centre = vm.objects.data_centres.get(vm.settings.data_centre)
    return centre is not None and centre.state is not DataCentreState.IN


def mark_cold_while_out(vm: Vm) -> None:
    """Mark each warm upstream of this data centre cold while the data centre is out.

    Its lease is kept meanwhile, so that it starts to ramp up as soon as the data centre
    returns.
    """
    if not is_data_centre_out(vm):
        return
    now_ms = vm.clock.now_ms()
    for state in vm.upstreams.by_name.values():
        if state.condition is not Condition.WARM:
            continue
        mark_cold(state, now_ms, cold_observed=True)
        if is_owner(vm, state.name):
            vm.journal.record(
                Event.UPSTREAM_COLD, upstream=state.name, reason="data centre out"
            )

"""Learn from the heartbeats of other VMs which versions are held back."""

from __future__ import annotations

from ..events import Event
from .conversions import marks_from_entries
from .messages import Heartbeat
from .state import Gateway


def learn_marks(vm: Gateway, heartbeat: Heartbeat) -> None:
    """Merge what another VM knows of versions, and whether the store has it."""
    if not heartbeat.marks and not heartbeat.marks_known:
        return
    marks = marks_from_entries(heartbeat.marks)
    if vm.rollouts.learn(marks, heartbeat.marks_known, vm.clock.now_ms()):
        vm.journal.record(Event.VERSIONS_LEARNED, source=heartbeat.name)
    if set(marks) == set(vm.rollouts.all()):
        stored_era = max(vm.rollouts.stored_era, heartbeat.marks_era)
        vm.rollouts.stored_era = stored_era

"""Run the duties of a VM in endless loops."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from .desk import DutyDesk
from .messages import DutyBeat, DutyReport

STEP_MS = 100.0
"""Interval of the steps; a step that has nothing to do costs little."""

Job = Callable[[], Awaitable[None]]


def duty_jobs(desk: DutyDesk | None) -> tuple[Job, ...]:
    """Return the loops of the duties; none where there are no duties."""
    if desk is None:
        return ()
    return (lambda: run_lease_loop(desk), lambda: run_report_loop(desk))


async def run_lease_loop(desk: DutyDesk) -> None:
    """Hold or await the lease and tell the counts, without end."""
    while True:
        await desk.step()
        await desk.clock.sleep_ms(STEP_MS)


async def run_report_loop(desk: DutyDesk) -> None:
    """Send the reports of usage while this VM holds the lease, without end."""
    while True:
        await desk.send_reports()
        await desk.clock.sleep_ms(STEP_MS)


def on_duty_message(desk: DutyDesk, message: DutyBeat | DutyReport) -> None:
    """Handle a message of another VM."""
    if isinstance(message, DutyBeat):
        desk.on_beat(message)
    else:
        desk.on_report(message)

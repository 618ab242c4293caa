"""Free results of stages at the upstreams that store them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from ..clock import Clock
from ..events import Event, Journal
from .answers import ConnectionLostError
from .batch_planner import BatchPlanner
from .chain import Result
from .stage_calls import StageAnswer, StageCaller, by_upstream

FREE_INTERVAL_MS = 40.0
"""How long released results are collected before they are freed together: a tenth of a
call, as the result memory holds about two calls."""


@dataclass
class ResultFrees:
    """Results that are to be freed, and the tasks that free them.

    Parameters
    ----------
    addresses : dict of str to str
        Addresses of the known upstreams, by id.
    on_answer : callable
        Called with the id of an upstream and its answer to a free.
    pending : list of Result
        Results to be freed at their upstreams with the next run of `run_free_loop`.
    """

    clock: Clock
    journal: Journal
    caller: StageCaller
    planner: BatchPlanner
    on_answer: Callable[[str, StageAnswer], None]
    addresses: dict[str, str] = field(default_factory=dict)
    pending: list[Result] = field(default_factory=list)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def collect_released(self) -> None:
        """Move the results that the planner released to those to be freed."""
        self.pending += self.planner.released
        self.planner.released = []

    async def run_free_loop(self) -> None:
        """Free released results at their upstreams, without end."""
        while True:
            await self.clock.sleep_ms(FREE_INTERVAL_MS)
            self.collect_released()
            results, self.pending = self.pending, []
            for upstream_id, group in by_upstream(results).items():
                address = self.addresses.get(upstream_id)
                if address is not None:
                    self.start(upstream_id, address, group)

    def start(self, upstream_id: str, address: str, results: list[Result]) -> None:
        """Free results at one upstream in a task."""
        job = self.free_at(upstream_id, address, results)
        task = asyncio.get_running_loop().create_task(job)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def free_at(
        self, upstream_id: str, address: str, results: list[Result]
    ) -> None:
        """Free results at one upstream; if that fails, they expire there."""
        handles = [result.handle for result in results]
        failure = ""
        try:
            answer = await self.caller.free(upstream_id, address, handles)
        except ConnectionLostError as error:
            failure = str(error)
        else:
            self.on_answer(upstream_id, answer)
            failure = "" if answer.status == 200 else f"status {answer.status}"
        if failure:
            self.journal.record(
                Event.STAGE_FREE_FAILED,
                upstream=upstream_id,
                results=len(results),
                reason=failure,
            )
        self.planner.record_freed(results)

"""Calls to the upstreams of stages: run work items and free their results."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

from ..clock import Clock
from ..estimates.report import LoadReport
from .answers import ConnectionLostError
from .chain import Result
from .connection_pool import ConnectionPool
from .http_client import HttpConnection, open_connection
from .spare_connections import SpareConnections
from .stage_queue import Worker
from .upstream_protocol import (
    ItemRequest,
    StageOutcome,
    StageProtocol,
    UpstreamProtocol,
)

CALL_TIMEOUT_FACTOR = 2.2
"""A call is abandoned after this many times its expected duration. A slow upstream
continues the call, so abandoning it early wastes its work; its items can be recomputed
elsewhere and still be in time."""
CALL_TIMEOUT_EXTRA_MS = 300.0
"""Time added to that for fetching inputs over slow network links."""
FREE_TIMEOUT_MS = 1_000.0
"""How long an upstream may take to free results; they expire without that too."""


@dataclass(frozen=True, slots=True)
class StageAnswer:
    """An upstream's answer to a call.

    Parameters
    ----------
    not_run : bool
        Whether the upstream states that it has not run the call.
    outcomes : tuple of StageOutcome
        The outcome of each item, empty unless the status is 200.
    leaving : bool
        Whether the upstream states that it is shutting down.
    closed_ms : float
        For how long the upstream wants no calls, 0 if it says nothing.
    load : LoadReport or None
        The load that the upstream reports, None if it reports none.
    """

    status: int
    not_run: bool
    outcomes: tuple[StageOutcome, ...]
    leaving: bool = False
    closed_ms: float = 0.0
    load: LoadReport | None = None


@dataclass
class StageCaller:
    """Client for the upstreams of stages.

    Answers have no id. A call gets a connection of its own, on which no other answer
    can be due: a second answer to another call would give it the results of others.
    It is opened ahead, while the call before runs.
    Frees share connections, as their answers say nothing that matters.
    """

    clock: Clock
    protocol: UpstreamProtocol
    stage_protocol: StageProtocol
    pool: ConnectionPool = field(default_factory=lambda: ConnectionPool({}))

    def __post_init__(self) -> None:
        """Keep a spare connection to each upstream that is called."""
        self.spares = SpareConnections(self.clock)

    async def run(
        self, worker: Worker, items: Sequence[ItemRequest], expected_ms: float
    ) -> StageAnswer:
        """Run work items at an upstream.

        Parameters
        ----------
        expected_ms : float
            Duration of the call at an upstream of nominal speed.

        Raises
        ------
        ConnectionLostError
            If the upstream can't be reached, does not answer in time, or its answer
            does not have one outcome for each item.
        """
        slowness = max(1.0, worker.slowness_at(self.clock.now_ms()))
        limit_ms = expected_ms * slowness * CALL_TIMEOUT_FACTOR + CALL_TIMEOUT_EXTRA_MS
        request = self.stage_protocol.run_request(worker.id, items)
        try:
            async with asyncio.timeout(limit_ms / 1000.0):
                answer = await self.call(worker, request)
        except TimeoutError as error:
            raise ConnectionLostError(
                "upstream did not answer the call in time", sent=True
            ) from error
        if answer.status == 200:
            check_outcomes(items, answer.outcomes)
        return answer

    async def call(self, worker: Worker, request: bytes) -> StageAnswer:
        """Send a call on a connection opened ahead, or else on a new one.

        It is sent once: a reset may come from an upstream that dropped the connection
        before, or from one that the call ended.

        Raises
        ------
        ConnectionLostError
            If the upstream can't be reached or the connection ends before the answer.
        """
        connection = self.spares.take(worker.id)
        if connection is None:
            connection = await open_connection(worker.address)
        if worker.usable:
            self.spares.refill(worker.id, worker.address)
        try:
            answer = await self.exchange(connection, request)
            self.spares.limit_age(worker.id, connection.parser.keep_alive_ms)
            return answer
        finally:
            connection.close("the call is over")

    async def free(
        self, upstream_id: str, address: str, handles: list[str]
    ) -> StageAnswer:
        """Free results at an upstream; return its answer, which has no outcomes.

        Raises
        ------
        ConnectionLostError
            If the upstream does not answer in time; the results expire there then.
        """
        request = self.stage_protocol.free_request(handles)
        try:
            async with asyncio.timeout(FREE_TIMEOUT_MS / 1000.0):
                key = f"{upstream_id} free"
                opened = self.pool.connection(key, address, self.clock.now_ms)
                async with opened as connection:
                    return await self.exchange(connection, request)
        except TimeoutError as error:
            raise ConnectionLostError(
                "upstream did not confirm in time that results are freed", sent=True
            ) from error

    def drop(self, upstream_id: str) -> None:
        """Close the idle connections to an upstream that is gone."""
        self.spares.drop(upstream_id)
        self.pool.drop(f"{upstream_id} free")

    async def exchange(self, connection: HttpConnection, request: bytes) -> StageAnswer:
        """Send a request; return the first answer that comes.

        Raises
        ------
        ConnectionLostError
            If the connection ends before.
        """
        connection.send(request)
        head = await connection.receive_head()
        body = await connection.receive_rest()
        fields = self.protocol.read_answer(head.status, head.headers)
        outcomes: tuple[StageOutcome, ...] = ()
        if head.status == 200:
            outcomes = self.stage_protocol.read_outcomes(body)
        return StageAnswer(
            head.status,
            fields.not_run,
            outcomes,
            fields.leaving,
            fields.closed_ms,
            fields.load,
        )


def check_outcomes(
    items: Sequence[ItemRequest], outcomes: Sequence[StageOutcome]
) -> None:
    """Check that there is one outcome for each work item, and no handle twice.

    Raises
    ------
    ConnectionLostError
        If that is not so.
    """
    if len(outcomes) != len(items):
        raise ConnectionLostError(
            "answer does not have one outcome for each work item", sent=True
        )
    handles = [outcome.handle for outcome in outcomes if outcome.handle]
    if len(set(handles)) < len(handles):
        raise ConnectionLostError("answer has one handle for two items", sent=True)


def by_upstream(results: Sequence[Result]) -> dict[str, list[Result]]:
    """Return results grouped by the upstream that stores them."""
    groups: dict[str, list[Result]] = {}
    for result in results:
        groups.setdefault(result.upstream_id, []).append(result)
    return groups

"""Calls to the upstreams of stages: run work items and free their results."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from weakref import WeakKeyDictionary

from ..clock import Clock
from ..recency import remember
from .chain import Result
from .connection_pool import ConnectionPool
from .http_client import (
    ConnectionLostError,
    HttpConnection,
    open_connection,
)
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
MAX_HANDLES = 4_096
"""Handles that are remembered of a connection: those of some hundred calls."""
EARLY_SHARE = 0.75
"""Share of the duration of any call before which an answer with results is not the
call's own. Of a second answer and the one that it displaces, one comes that soon if
items take little of the time and the next call follows at once."""
MIN_EARLY_MS = 2.0
"""Such times below this say nothing: the network may take as long."""
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
    """

    status: int
    not_run: bool
    outcomes: tuple[StageOutcome, ...]
    leaving: bool = False
    closed_ms: float = 0.0


@dataclass
class StageCaller:
    """Client for the upstreams of stages; has separate connections for frees.

    Parameters
    ----------
    first_ms : dict of str to float
        Duration of the last call of each upstream that was the first one on its
        connection, so that no other answer could be due.
    on_doubt : callable
        Called with an upstream's id and the handles of an answer which turns out to be
        that to another call, as another answer came after it.
    repeating : set of str
        The upstreams that were seen to answer twice. Each call to them gets a
        connection of its own.
    unproven : mapping of HttpConnection to tuple of str
        The handles of the last answer on each connection, unless it was the first.
    """

    clock: Clock
    protocol: UpstreamProtocol
    stage_protocol: StageProtocol
    pool: ConnectionPool = field(default_factory=lambda: ConnectionPool({}))
    first_ms: dict[str, float] = field(default_factory=dict)
    on_doubt: Callable[[str, tuple[str, ...]], None] = field(default=lambda *_: None)
    repeating: set[str] = field(default_factory=set)
    unproven: WeakKeyDictionary[HttpConnection, tuple[str, ...]] = field(
        default_factory=WeakKeyDictionary
    )

    async def run(
        self,
        worker: Worker,
        items: Sequence[ItemRequest],
        expected_ms: float,
        least_ms: float = 0.0,
    ) -> StageAnswer:
        """Run work items at an upstream.

        Parameters
        ----------
        expected_ms, least_ms : float
            Duration of the call at an upstream of nominal speed, and of any call
            whatever its items are, 0 if that is not known.

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
            async with (
                asyncio.timeout(limit_ms / 1000.0),
                self.connection_to(worker.id, worker.address) as connection,
            ):
                began_ms = self.clock.now_ms()
                answer = await self.exchange(connection, request)
                took_ms = self.clock.now_ms() - began_ms
                self.check_own_answer(
                    worker, connection, items, answer, least_ms, took_ms
                )
                if worker.id in self.repeating:
                    connection.close("the upstream was seen to answer twice")
            self.doubt_if_another_comes(worker.id, connection, answer)
        except TimeoutError as error:
            raise ConnectionLostError(
                "upstream did not answer the call in time", sent=True
            ) from error
        return answer

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
                async with self.connection_to(f"{upstream_id} free", address) as free:
                    return await self.exchange(free, request)
        except TimeoutError as error:
            raise ConnectionLostError(
                "upstream did not confirm in time that results are freed", sent=True
            ) from error

    def drop(self, upstream_id: str) -> None:
        """Close the idle connections to an upstream that is gone."""
        self.first_ms.pop(upstream_id, None)
        self.repeating.discard(upstream_id)
        self.pool.drop(upstream_id)
        self.pool.drop(f"{upstream_id} free")

    @asynccontextmanager
    async def connection_to(
        self, key: str, address: str
    ) -> AsyncIterator[HttpConnection]:
        """Yield a connection pooled under a key; it is closed after an error.

        Raises
        ------
        ConnectionLostError
            If none can be opened.
        """
        connection = self.pool.acquire(key, self.clock.now_ms())
        if connection is None:
            connection = await open_connection(address)
        try:
            yield connection
        except BaseException:
            connection.close("call aborted")
            raise
        self.pool.release(key, connection, self.clock.now_ms())

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
            head.status, fields.not_run, outcomes, fields.leaving, fields.closed_ms
        )

    def check_own_answer(
        self,
        worker: Worker,
        connection: HttpConnection,
        items: Sequence[ItemRequest],
        answer: StageAnswer,
        least_ms: float,
        took_ms: float,
    ) -> None:
        """Check that an answer is not that to an earlier call on its connection.

        Answers to calls have no id. A copy of an earlier one has handles that the
        upstream returned for other items, or comes sooner than the work can be done.

        Raises
        ------
        ConnectionLostError
            If it is, or it does not have one outcome for each work item.
        """
        if answer.status == 200:
            check_outcomes(connection, items, answer.outcomes)
        elif answer.status == 421 and connection.requests > 1:
            raise ConnectionLostError("another upstream on one connection", sent=True)
        if not any(outcome.handle for outcome in answer.outcomes):
            connection.close("a copy of the answer could not be recognized")
            return
        if connection.requests == 1:
            self.first_ms[worker.id] = took_ms
            return
        if has_more(connection):
            self.repeating.add(worker.id)
            raise ConnectionLostError("another answer came with it", sent=True)
        early_ms = min(least_ms, self.first_ms.get(worker.id, 0.0)) * EARLY_SHARE
        if early_ms >= MIN_EARLY_MS and took_ms < early_ms:
            self.repeating.add(worker.id)
            self.doubt_last_answer(worker.id, connection)
            raise ConnectionLostError("answer is sooner than the work", sent=True)

    def doubt_if_another_comes(
        self, upstream_id: str, connection: HttpConnection, answer: StageAnswer
    ) -> None:
        """Have an answer doubted if bytes come before the next call."""
        if connection.requests > 1:
            handles = tuple(o.handle for o in answer.outcomes if o.handle)
            self.unproven[connection] = handles
        log_unexpected = connection.on_unexpected

        def on_unexpected(data: bytes) -> None:
            log_unexpected(data)
            self.repeating.add(upstream_id)
            self.doubt_last_answer(upstream_id, connection)

        connection.on_unexpected = on_unexpected

    def doubt_last_answer(self, upstream_id: str, connection: HttpConnection) -> None:
        """Report that the last answer on a connection may be that to another call."""
        handles = self.unproven.pop(connection, ())
        if handles:
            self.on_doubt(upstream_id, handles)


def has_more(connection: HttpConnection) -> bool:
    """Return whether bytes came after the answer that was read."""
    ended_here = connection.lost is not None and not connection.ended_by_peer
    return bool(connection.incoming) or ended_here


def check_outcomes(
    connection: HttpConnection,
    items: Sequence[ItemRequest],
    outcomes: Sequence[StageOutcome],
) -> None:
    """Check that there is one outcome for each work item, and no handle of another.

    Raises
    ------
    ConnectionLostError
        If that is not so.
    """
    if len(outcomes) != len(items):
        raise ConnectionLostError(
            "answer does not have one outcome for each work item", sent=True
        )
    for item, outcome in zip(items, outcomes, strict=True):
        if outcome.handle is None:
            continue
        name = f"{item.request_id} {item.stage} {item.number}"
        if connection.handles.get(outcome.handle, name) != name:
            raise ConnectionLostError("answer to an earlier call", sent=True)
        remember(connection.handles, outcome.handle, name, MAX_HANDLES)


def by_upstream(results: Sequence[Result]) -> dict[str, list[Result]]:
    """Return results grouped by the upstream that stores them."""
    groups: dict[str, list[Result]] = {}
    for result in results:
        groups.setdefault(result.upstream_id, []).append(result)
    return groups

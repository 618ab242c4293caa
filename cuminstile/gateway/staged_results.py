"""Get the results of a request's stages from the VM that schedules them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace

from ..events import Event
from ..shutdown.in_progress import Phase, RequestInProgress
from .chain import ChainSpec, CompletedItem, Result
from .conversions import (
    completed_from_entry,
    message_from_spec,
    result_from_entry,
    result_to_entry,
)
from .handing_over import prepare_to_schedule
from .messages import (
    ChainAdmitted,
    ChainCancel,
    ChainDone,
    ChainMoved,
    ChainRefused,
    FreeResults,
    Message,
)
from .peer_sessions import RUN_CHAIN_ANSWER_MS, PeerSession, SessionLostError
from .refusals import DEFAULT_RETRY_MS
from .staging import ChainAnswer
from .state import Gateway

MAX_SCHEDULERS = 4
"""How many VMs are tried one after the other while schedulers fail or leave."""


@dataclass
class ChainRefusedError(Exception):
    """The staged work of a request was refused or failed."""

    reason: str
    retry_after_ms: float


@dataclass
class ChainMovedError(Exception):
    """Another scheduler has to continue the work.

    Parameters
    ----------
    completed : tuple of CompletedItem
        The work items that need not be recomputed.
    successor : str
        Address of that scheduler, empty if it isn't known.
    """

    completed: tuple[CompletedItem, ...]
    successor: str = ""


async def staged_results(
    vm: Gateway,
    spec: ChainSpec,
    again: bool,
    progress: RequestInProgress | None = None,
) -> tuple[Result, ...]:
    """Return the results that a request needs.

    If a scheduler is lost or does not answer, the next one is tried and repeats the
    work that the first one had admitted. A scheduler that shuts down in order hands
    over the completed items.

    Parameters
    ----------
    again : bool
        Whether the work was admitted before, and its results were lost.
    progress : RequestInProgress or None
        Where to note which scheduler has the work, and how often it moved.

    Raises
    ------
    ChainRefusedError
        If the work is refused or fails.
    """
    progress = progress or RequestInProgress()
    named = ""
    for _ in range(MAX_SCHEDULERS):
        address = scheduler_address(vm, named)
        progress.enter(Phase.STAGES, address, vm.clock.now_ms())
        try:
            if address == vm.settings.peer_address:
                return await run_locally(vm, spec, again, address == named)
            return await run_on_peer(vm, address, spec, again, address == named)
        except ChainMovedError as moved:
            spec = record_moved(vm, spec, address, moved)
            named = moved.successor
        except SessionLostError as error:
            spec = record_scheduler_lost(vm, spec, address, error)
            named = ""
        again = True
        progress.moves += 1
    progress.enter(Phase.STAGES, vm.settings.peer_address, vm.clock.now_ms())
    try:
        return await run_locally(vm, spec, again)
    except ChainMovedError as moved:
        raise ChainRefusedError("schedulers_left", DEFAULT_RETRY_MS) from moved


def scheduler_address(vm: Gateway, named: str = "") -> str:
    """Return the address of the VM that schedules.

    Parameters
    ----------
    named : str
        Whom the scheduler before it named: it knows that earlier than the heartbeats
        tell.
    """
    if is_usable(vm, named):
        return named
    return vm.membership.scheduler_address(vm.own_heartbeat(), vm.clock.now_ms())


def is_usable(vm: Gateway, address: str) -> bool:
    """Return whether a VM that was named, or this one, can schedule."""
    if address == vm.settings.peer_address:
        return not vm.leaving or vm.role.is_open
    return vm.membership.can_be_reached(address, vm.clock.now_ms())


def record_moved(
    vm: Gateway, spec: ChainSpec, address: str, moved: ChainMovedError
) -> ChainSpec:
    """Log that a scheduler leaves; return the work with completed items.

    The scheduler is suspected if it named no other one that is known here.
    """
    if not is_usable(vm, moved.successor):
        vm.membership.suspect(address, vm.clock.now_ms())
    vm.journal.record(
        Event.CHAIN_MOVED,
        request=spec.request_id,
        peer=address,
        made=len(moved.completed),
        pieces=sum(stage.count for stage in spec.stages),
    )
    return replace(spec, completed=moved.completed)


def record_scheduler_lost(
    vm: Gateway, spec: ChainSpec, address: str, error: SessionLostError
) -> ChainSpec:
    """Log and suspect a lost scheduler; return the work without completed items."""
    vm.membership.suspect(address, vm.clock.now_ms())
    vm.journal.record(
        Event.SCHEDULER_LOST,
        request=spec.request_id,
        peer=address,
        error=str(error),
    )
    return replace(spec, completed=())


async def run_locally(
    vm: Gateway, spec: ChainSpec, again: bool, named: bool = False
) -> tuple[Result, ...]:
    """Run the work with this VM's own scheduler.

    Parameters
    ----------
    named : bool
        Whether the previous scheduler named this VM as the next one.

    Raises
    ------
    ChainMovedError
        If this VM leaves.
    ChainRefusedError
        If the work is refused or fails.
    """
    future: asyncio.Future[ChainAnswer] = asyncio.get_running_loop().create_future()

    def reply(answer: ChainAnswer) -> None:
        if not future.done():
            future.set_result(answer)

    prepare_to_schedule(vm, named)
    verdict = vm.scheduler.submit(spec, again, reply)
    record_verdict(vm, spec, verdict.reason, verdict.ready_ms, "here")
    if not verdict.admitted:
        raise ChainRefusedError(verdict.reason, verdict.retry_after_ms)
    try:
        answer = await future
    except asyncio.CancelledError:
        vm.scheduler.cancel(spec.id)
        raise
    if answer.moved is not None:
        raise ChainMovedError(answer.moved, vm.scheduler.successor)
    if answer.refusal:
        raise ChainRefusedError(answer.refusal, answer.retry_after_ms)
    return answer.results


async def run_on_peer(
    vm: Gateway, address: str, spec: ChainSpec, again: bool, named: bool = False
) -> tuple[Result, ...]:
    """Run the work with another VM's scheduler.

    Parameters
    ----------
    named : bool
        Whether the previous scheduler named the other VM as the next one.

    Raises
    ------
    ChainMovedError
        If the other VM leaves.
    ChainRefusedError
        If the work is refused or fails.
    SessionLostError
        If the other VM can't be reached or does not answer.
    """
    session = await vm.sessions.get_session(address)
    call = session.begin_call()
    try:
        now_ms = vm.clock.now_ms()
        session.send(message_from_spec(spec, call, again, now_ms, named))
        message = await first_reply(session, call)
        if isinstance(message, ChainAdmitted):
            record_verdict(vm, spec, "admitted", message.forecast_ms, session.address)
            message = await session.reply(call)
    except asyncio.CancelledError:
        if not session.lost:
            session.send(ChainCancel(call))
        raise
    finally:
        session.end_call(call)
    if isinstance(message, ChainMoved):
        now_ms = vm.clock.now_ms()
        completed = tuple(
            completed_from_entry(item, now_ms) for item in message.completed
        )
        raise ChainMovedError(completed, message.successor)
    if isinstance(message, ChainRefused):
        record_verdict(vm, spec, message.reason, 0.0, session.address)
        raise ChainRefusedError(message.reason, message.retry_after_ms)
    if not isinstance(message, ChainDone):
        raise SessionLostError(
            f"{address} sent {type(message).__name__} as the outcome"
        )
    return tuple(map(result_from_entry, message.results))


async def first_reply(session: PeerSession, call: int) -> Message:
    """Return the first message about a call; a scheduler sends it immediately.

    Raises
    ------
    SessionLostError
        If no message arrives in time.
    """
    try:
        async with asyncio.timeout(RUN_CHAIN_ANSWER_MS / 1000.0):
            return await session.reply(call)
    except TimeoutError as error:
        raise SessionLostError(f"{session.address} did not answer in time") from error


def record_verdict(
    vm: Gateway, spec: ChainSpec, reason: str, ready_ms: float, where: str
) -> None:
    """Log whether the staged work was admitted, and the forecast."""
    vm.journal.record(
        Event.CHAIN_JUDGED,
        request=spec.request_id,
        verdict=reason,
        priority=spec.priority,
        stages=len(spec.stages),
        ready_ms=round(ready_ms),
        target_left_ms=round(spec.target_at_ms - vm.clock.now_ms()),
        scheduler=where,
    )


def free_results(vm: Gateway, results: tuple[Result, ...]) -> None:
    """Free results that have been used, through the current scheduler."""
    if not results:
        return
    session = vm.sessions.open_sessions.get(scheduler_address(vm))
    if session is None or session.lost:
        vm.scheduler.free(results)
        return
    session.send(FreeResults(tuple(map(result_to_entry, results))))

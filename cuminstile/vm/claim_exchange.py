"""Request the outcome of a claim from the VM that made it, and serve such requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from ..exceptions import CuminstileError
from ..wire import Message
from .messages import ClaimOutcomeRequest, ClaimOutcomeResponse
from .sessions import Session

if TYPE_CHECKING:
    from ..runtime import Vm


async def request_claim_outcome(
    vm: Vm, name: str, incarnation: str, claim: bytes
) -> bytes:
    """Return the outcome that a claimant reports, or empty bytes if it reports none.

    The claimant isn't asked if another incarnation runs under its name, because that
    one has no record of the claim.
    """
    session = vm.sessions.by_name.get(name)
    if session is None or session.incarnation != incarnation:
        return b""
    number = next(session.numbers)
    responses, incoming = anyio.create_memory_object_stream[Message](1)
    session.calls[number] = responses
    try:
        await session.send(ClaimOutcomeRequest(number, claim))
        async for message in incoming:
            if isinstance(message, ClaimOutcomeResponse):
                return message.outcome
    except CuminstileError:
        return b""
    finally:
        session.calls.pop(number, None)
        responses.close()
    return b""


async def on_claim_outcome_request(
    vm: Vm, session: Session, message: ClaimOutcomeRequest
) -> None:
    """Start a task that responds once the claim's run has ended."""
    session.tasks.start_soon(send_claim_outcome, vm, session, message)


async def send_claim_outcome(
    vm: Vm, session: Session, message: ClaimOutcomeRequest
) -> None:
    """Send the outcome of a claim of this VM, or empty bytes if it has none."""
    held = vm.claims.held.get(message.claim)
    outcome = b""
    if held is not None:
        await held.finished.wait()
        outcome = held.recorded
    try:
        await session.send(ClaimOutcomeResponse(message.call, outcome))
    except CuminstileError:
        # The session closed; the other VM detects that itself.
        return

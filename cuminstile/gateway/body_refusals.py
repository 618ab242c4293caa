"""Refuse requests before their bodies, by their head or for want of memory."""

from __future__ import annotations

from ..events import Event
from ..exceptions import ErrorCode
from ..memory.account import Kind
from .accepting import accept
from .http_server import CallerConnection, Handler, HeadCheck, HeadVerdict, Request
from .http_server import Server as CallerServer
from .refusals import DEFAULT_RETRY_MS, Refusal, shut_down, write_refusal
from .state import Gateway


def make_head_check(vm: Gateway) -> HeadCheck:
    """Return the check of a request whose body is still to come.

    It refuses what `accept` refuses whatever the body is: a path without a route, an
    unknown key, a repeated field.
    """

    def check_head(head: Request, out: CallerConnection) -> HeadVerdict:
        try:
            call = accept(vm, head, out)
        except Refusal as refusal:
            return HeadVerdict(refuse=make_refusing(vm, refusal))
        return HeadVerdict("" if call.organisation is None else call.organisation.name)

    return check_head


def make_refusing(vm: Gateway, refusal: Refusal) -> Handler:
    """Return the handler that answers a request with a refusal."""

    async def refuse(request: Request, out: CallerConnection) -> None:
        vm.requests += 1
        try:
            await write_refusal(vm, request, out, refusal, "")
        finally:
            vm.requests -= 1

    return refuse


def make_body_refusal(vm: Gateway) -> Handler:
    """Return the handler that refuses requests for whose bodies there is no memory."""
    refusal = Refusal(ErrorCode.OVERLOADED, "no memory for the body", DEFAULT_RETRY_MS)
    return make_refusing(vm, refusal)


def make_stop_refusal(vm: Gateway) -> Handler:
    """Return the handler that refuses requests that aren't whole before the VM ends."""
    return make_refusing(vm, shut_down(maybe_ran=False))


def record_shortage(vm: Gateway, server: CallerServer) -> None:
    """Set the metrics of the account, and log what was refused or closed since."""
    account = server.account
    metrics = vm.metrics
    for kind in Kind:
        metrics.held_bytes.set({"kind": kind.value}, account.by_kind[kind])
    metrics.waiting_bodies.set({}, len(account.waiting))
    metrics.caller_connections.set({}, len(server.connections))
    new = account.take_counts()
    if any(new):
        refused, closed = new
        metrics.bodies_total.add({"result": "refused"}, refused)
        metrics.bodies_total.add({"result": "closed"}, closed)
        vm.journal.record(
            Event.MEMORY_SHORT,
            refused=refused,
            closed=closed,
            waiting=len(account.waiting),
            held=account.held,
            size=round(account.size),
        )
    displaced, server.displaced = server.displaced, 0
    if displaced:
        metrics.displaced_total.add({}, displaced)
        vm.journal.record(
            Event.CONNECTIONS_FULL, closed=displaced, open=len(server.connections)
        )

"""Hold what a running scenario has done and seen."""

import json
import secrets
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any

import anyio
from anyio.abc import TaskGroup

from cuminstile.commands.timeline import Entry, Selection, read_logs
from cuminstile.objects.collection import ObjectSet, index_objects
from cuminstile.objects.model import OBJECT, AnyObject

from .arrangement import OPERATOR_KEY
from .balancer import Balancer
from .caller import CallerRequest, Reply, Result, send, wall_ms
from .fleet import Fleet
from .http import exchange_json
from .load import LoadRecord

RESEND_PAUSE_MS = 200
NO_VERSION = -1

Sender = Callable[[CallerRequest], Awaitable[Reply]]


@dataclass(frozen=True)
class UpstreamRun:
    """Hold one run of an upstream, as it recorded it itself."""

    upstream: str
    attempt: str
    at_ms: int
    ended_ms: int
    stage: str
    version: str
    idempotency_key: str | None
    outcome: str


@dataclass(frozen=True)
class Note:
    """Hold one step of the scenario with its time of day in ms."""

    at_ms: int
    text: str


@dataclass
class Sent:
    """Hold the requests that went out under one name.

    Parameters
    ----------
    done : anyio.Event
        Set when each has its last reply.
    """

    record: LoadRecord = field(default_factory=LoadRecord)
    done: anyio.Event = field(default_factory=anyio.Event)

    @property
    def replies(self) -> list[Reply]:
        """Return the last reply of each request."""
        return self.record.replies


@dataclass
class Session:
    """Hold a running scenario.

    Parameters
    ----------
    version : int
        The version that was accepted last.
    every : list of Reply
        Every reply, those that were followed by a resend among them.
    marks : dict of str to int
        Times of day in ms at which something was done to a name.
    issued : dict of str to int
        When each idempotency key was issued, ms since 1970 UTC.
    leaving : set of str
        The VMs that were asked to end.
    """

    fleet: Fleet
    tasks: TaskGroup
    balancer: Balancer
    objects: tuple[AnyObject, ...]
    version: int = NO_VERSION
    sent: dict[str, Sent] = field(default_factory=dict)
    every: list[Reply] = field(default_factory=list)
    marks: dict[str, int] = field(default_factory=dict)
    issued: dict[str, int] = field(default_factory=dict)
    leaving: set[str] = field(default_factory=set)
    notes: list[Note] = field(default_factory=list)

    @property
    def index(self) -> ObjectSet:
        """Return the objects by kind and name."""
        return index_objects(self.objects)

    def note(self, text: str) -> None:
        """Put a line of the scenario's own into the time line."""
        self.notes.append(Note(wall_ms(), text))

    def entries(self) -> tuple[Entry, ...]:
        """Return the merged events of every VM."""
        return read_logs(self.fleet.logs(), Selection()).entries

    def answering_vms(self) -> list[str]:
        """Return the VMs that run and are not frozen."""
        programs = self.fleet.programs.by_name
        return [
            name
            for name in self.fleet.vms
            if programs[name].is_running() and not programs[name].frozen
        ]


async def ask_operator(
    session: Session, vm: str, method: str, path: str, body: Any = None
) -> Any:
    """Exchange JSON with the operators' port of a VM.

    Raises
    ------
    ControlError
        With the refusal, if it is one.
    """
    fleet = session.fleet
    port = fleet.vms[vm].operator
    headers = [("authorization", f"Bearer {OPERATOR_KEY}")]
    return await exchange_json(fleet.pool, method, port, path, body, headers)


def publication(base: int, objects: tuple[AnyObject, ...]) -> dict[str, Any]:
    """Return the body of a publication."""
    rows = [OBJECT.dump_python(item, mode="json") for item in objects]
    return {"base": base, "nonce": secrets.token_hex(16), "objects": rows}


def sender(session: Session, via: str, resend: int) -> Sender:
    """Return how a caller sends: through a VM or the balancer, with resends."""

    async def once(request: CallerRequest) -> Reply:
        if not via:
            return await session.balancer.send(request)
        port = session.fleet.vms[via].caller
        try:
            return await send(session.fleet.pool, via, port, request)
        except ConnectionRefusedError:
            faults = ("the VM accepts no connection",)
            return Reply(request, via, Result.LOST, ran="not_run", faults=faults)

    async def send_to_the_end(request: CallerRequest) -> Reply:
        reply = await once(request)
        session.every.append(reply)
        for _ in range(resend):
            if reply.result is Result.ANSWERED:
                break
            await anyio.sleep(RESEND_PAUSE_MS / 1000.0)
            reply = await once(
                replace(request, is_resend=bool(request.idempotency_key))
            )
            session.every.append(reply)
        return reply

    return send_to_the_end


async def told_by(session: Session, upstream: str) -> dict[str, Any] | None:
    """Return what an upstream tells about its runs, or None if it cannot."""
    fleet = session.fleet
    program = fleet.programs.by_name[upstream]
    if not program.is_running() or program.frozen:
        return None
    told: dict[str, Any] = await fleet.exchange_json(
        "GET", fleet.upstream_ports[upstream], "/runs"
    )
    return told


async def runs_of(session: Session, upstream: str) -> list[UpstreamRun]:
    """Return the runs of an upstream, from its file if it has ended."""
    told = await told_by(session, upstream)
    rows = told["runs"] if told else list(rows_in_file(session, upstream))
    return [run_of(upstream, row) for row in rows]


def rows_in_file(session: Session, upstream: str) -> Iterator[dict[str, Any]]:
    """Yield the runs that an upstream has written down."""
    path = session.fleet.folder / f"{upstream}.runs"
    if path.exists():
        for line in path.read_text("utf-8").splitlines():
            yield json.loads(line)


def run_of(upstream: str, row: dict[str, Any]) -> UpstreamRun:
    """Return a run from its row."""
    return UpstreamRun(
        upstream,
        row["attempt"],
        row["at_ms"],
        row["ended_ms"],
        row["stage"],
        row["version"],
        row["idempotency_key"],
        row["outcome"],
    )


async def all_runs(session: Session) -> list[UpstreamRun]:
    """Return the runs of every upstream."""
    runs: list[UpstreamRun] = []
    for name in session.fleet.upstream_ports:
        runs += await runs_of(session, name)
    return runs

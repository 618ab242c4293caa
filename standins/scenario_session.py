"""State of a running scenario, and access to VMs and upstreams."""

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
    """One run of an upstream, as recorded by the upstream itself."""

    upstream: str
    attempt: str
    at_ms: int
    ended_ms: int
    stage: str
    version: str
    idempotency_key: str | None
    outcome: str


@dataclass(frozen=True)
class TimelineNote:
    """One line of the scenario in the time line; `at_ms` is in ms since 1970 UTC."""

    at_ms: int
    text: str


@dataclass
class SentRequests:
    """The requests that a scenario sent under one name.

    Parameters
    ----------
    done : anyio.Event
        Set when each request has its last reply.
    """

    record: LoadRecord = field(default_factory=LoadRecord)
    done: anyio.Event = field(default_factory=anyio.Event)

    @property
    def replies(self) -> list[Reply]:
        """Return the last reply of each request."""
        return self.record.replies


@dataclass
class Session:
    """State of a running scenario.

    Parameters
    ----------
    version : int
        The configuration version that was accepted last.
    requests : dict of str to SentRequests
        The requests sent so far, by the name that the scenario gives them.
    all_replies : list of Reply
        All replies, including those that were followed by a resend.
    mark_times_ms : dict of str to int
        When a step last acted on each name, in ms since 1970 UTC.
    issue_times_ms : dict of str to int
        When each idempotency key was issued, in ms since 1970 UTC.
    stopping_vms : set of str
        The programs that were asked to shut down.
    """

    fleet: Fleet
    tasks: TaskGroup
    balancer: Balancer
    objects: tuple[AnyObject, ...]
    version: int = NO_VERSION
    requests: dict[str, SentRequests] = field(default_factory=dict)
    all_replies: list[Reply] = field(default_factory=list)
    mark_times_ms: dict[str, int] = field(default_factory=dict)
    issue_times_ms: dict[str, int] = field(default_factory=dict)
    stopping_vms: set[str] = field(default_factory=set)
    notes: list[TimelineNote] = field(default_factory=list)

    @property
    def index(self) -> ObjectSet:
        """Return the objects by kind and name."""
        return index_objects(self.objects)

    def add_note(self, text: str) -> None:
        """Add a line of the scenario to the time line."""
        self.notes.append(TimelineNote(wall_ms(), text))

    def entries(self) -> tuple[Entry, ...]:
        """Return the merged events of every VM."""
        return read_logs(self.fleet.logs(), Selection()).entries

    def responsive_vms(self) -> list[str]:
        """Return the VMs that are running and not frozen."""
        programs = self.fleet.programs.by_name
        return [
            name
            for name in self.fleet.vms
            if programs[name].is_running() and not programs[name].frozen
        ]


async def call_operator_api(
    session: Session, vm: str, method: str, path: str, body: Any = None
) -> Any:
    """Send a JSON request to the operator port of a VM and return the answer.

    Raises
    ------
    ControlError
        If the VM refuses the request; carries the refusal.
    """
    fleet = session.fleet
    port = fleet.vms[vm].operator
    headers = [("authorization", f"Bearer {OPERATOR_KEY}")]
    return await exchange_json(fleet.pool, method, port, path, body, headers)


def make_publication(base: int, objects: tuple[AnyObject, ...]) -> dict[str, Any]:
    """Return the request body that publishes objects over version `base`."""
    rows = [OBJECT.dump_python(item, mode="json") for item in objects]
    return {"base": base, "nonce": secrets.token_hex(16), "objects": rows}


def make_sender(session: Session, via: str, resend: int) -> Sender:
    """Return a function that sends a request and resends it until it is answered.

    Parameters
    ----------
    via : str
        The VM to send to; empty for the balancer.
    resend : int
        Maximum number of resends.
    """

    async def send_once(request: CallerRequest) -> Reply:
        if not via:
            return await session.balancer.send(request)
        port = session.fleet.vms[via].caller
        try:
            return await send(session.fleet.pool, via, port, request)
        except ConnectionRefusedError:
            faults = ("VM refused the connection",)
            return Reply(request, via, Result.LOST, ran="not_run", faults=faults)

    async def send_with_resends(request: CallerRequest) -> Reply:
        reply = await send_once(request)
        session.all_replies.append(reply)
        for _ in range(resend):
            if reply.result is Result.ANSWERED:
                break
            await anyio.sleep(RESEND_PAUSE_MS / 1000.0)
            reply = await send_once(
                replace(request, is_resend=bool(request.idempotency_key))
            )
            session.all_replies.append(reply)
        return reply

    return send_with_resends


async def fetch_run_report(session: Session, upstream: str) -> dict[str, Any] | None:
    """Return an upstream's report of its runs; None if it is stopped or frozen."""
    fleet = session.fleet
    program = fleet.programs.by_name[upstream]
    if not program.is_running() or program.frozen:
        return None
    report: dict[str, Any] = await fleet.exchange_json(
        "GET", fleet.upstream_ports[upstream], "/runs"
    )
    return report


async def fetch_runs(session: Session, upstream: str) -> list[UpstreamRun]:
    """Return the runs of an upstream, from its file if it cannot be asked."""
    report = await fetch_run_report(session, upstream)
    rows = report["runs"] if report else list(read_run_rows(session, upstream))
    return [parse_run(upstream, row) for row in rows]


def read_run_rows(session: Session, upstream: str) -> Iterator[dict[str, Any]]:
    """Yield the runs that an upstream has written to its file."""
    path = session.fleet.folder / f"{upstream}.runs"
    if path.exists():
        for line in path.read_text("utf-8").splitlines():
            yield json.loads(line)


def parse_run(upstream: str, row: dict[str, Any]) -> UpstreamRun:
    """Return a run from its JSON row."""
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


async def fetch_all_runs(session: Session) -> list[UpstreamRun]:
    """Return the runs of all upstreams."""
    runs: list[UpstreamRun] = []
    for name in session.fleet.upstream_ports:
        runs += await fetch_runs(session, name)
    return runs

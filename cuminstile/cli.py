"""Check, publish and watch a system of VMs: the program `cuminstile`."""

from __future__ import annotations

import hashlib
import sys
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
from pathlib import Path

import anyio
import fire
from fire import decorators

from .clock import Clock
from .commands import publish as publishing
from .commands import send as sending
from .commands import show, survey, timeline
from .commands.client import UsageError, make_target
from .commands.output import (
    EXIT_BAD_INPUT,
    EXIT_FAILED,
    EXIT_GOOD,
    guarded,
    note,
    put,
    put_json,
)
from .objects.checks import check_directory

OPERATOR_KEY = "CUMINSTILE_OPERATOR_KEY"
CALLER_KEY = "CUMINSTILE_CALLER_KEY"
# Fire lists a function's attributes in its help, but for names like this one.
decorators.FIRE_METADATA = "__fire_metadata__"
AS_TEXT = {"vm": str, "key_file": str, "authority": str}


@dataclass(frozen=True)
class Prepared:
    """Hold a command whose arguments have all been read.

    Commands run only after the whole command line has been understood, so that a
    misspelt option never follows a publication.
    """

    run: Callable[[], Awaitable[int]]


def check(directory: str, *, json: bool = False) -> Prepared:
    """Check the objects in a directory of JSON files.

    Prints every finding, one a line: file, place, message, code. Needs no VM.

    Parameters
    ----------
    directory : str
        Where the *.json files are; each holds one object or a list of objects.
    json : bool
        Print the findings as one JSON list.
    """

    async def run() -> int:
        found = check_directory(Path(directory))
        if json:
            put_json([asdict(finding) for finding in found.findings])
        else:
            put(str(finding) for finding in found.findings)
            kinds = "no findings" if not found.findings else "findings above"
            note(f"{len(found.objects)} valid objects, {kinds}")
        return EXIT_FAILED if found.findings else EXIT_GOOD

    return Prepared(run)


def publish(
    directory: str,
    *,
    vm: str,
    base: int | None = None,
    wait_s: float = 10.0,
    key_file: str = "",
    authority: str = "",
    json: bool = False,
) -> Prepared:
    """Publish the objects in a directory and wait until they are in force.

    The whole set is checked first. Status 1 means that it was refused, or that it
    is not in force on every VM yet; the output says which.

    Parameters
    ----------
    directory : str
        Where the *.json files are.
    vm : str
        HOST:PORT of a VM's operator port, or several with commas between.
    base : int
        The version that the objects replace; by default the one in force. Give the
        version you have seen, so that nobody else's change is lost.
    wait_s : float
        How long to wait until every VM has the version, in seconds.
    key_file : str
        File with the operators' key; else CUMINSTILE_OPERATOR_KEY is used.
    authority : str
        File with the certificate authority, where the VMs use TLS.
    json : bool
        Print the outcome as JSON.
    """

    async def run() -> int:
        target = make_target(vm, key_file, OPERATOR_KEY, authority)
        objects = publishing.load_checked(Path(directory))
        progress = publishing.changes_only(publishing.progress_line)
        try:
            outcome = await publishing.publish(
                target, objects, base, wait_s * 1000.0, Clock(), progress
            )
        finally:
            publishing.finish_progress()
        if json:
            put_json(asdict(outcome))
        else:
            done = "published" if outcome.changed else "in force already"
            put([f"version {outcome.version} {done}"])
            put(f"not in force yet on {name}" for name in outcome.lagging)
        return EXIT_FAILED if outcome.lagging else EXIT_GOOD

    return Prepared(guarded(run, json))


def status(
    *, vm: str, key_file: str = "", authority: str = "", json: bool = False
) -> Prepared:
    """Show what is wrong, then every VM with the version in force on it.

    The first line is `ok: ...` or the number of problems. Status 1 if there is one.

    Parameters
    ----------
    vm : str
        HOST:PORT of a VM's operator port, or several with commas between.
    key_file : str
        File with the operators' key; else CUMINSTILE_OPERATOR_KEY is used.
    authority : str
        File with the certificate authority, where the VMs use TLS.
    json : bool
        Print the status as JSON.
    """

    async def run() -> int:
        target = make_target(vm, key_file, OPERATOR_KEY, authority)
        report = await survey.whole_status(target)
        if json:
            put_json(asdict(report))
        else:
            put(show.show_status(report))
        return EXIT_GOOD if report.ok else EXIT_FAILED

    return Prepared(guarded(run, json))


def moves(
    *, vm: str, key_file: str = "", authority: str = "", json: bool = False
) -> Prepared:
    """Show the traffic moves: share, state and the reason for it.

    Parameters
    ----------
    vm : str
        HOST:PORT of a VM's operator port, or several with commas between.
    key_file : str
        File with the operators' key; else CUMINSTILE_OPERATOR_KEY is used.
    authority : str
        File with the certificate authority, where the VMs use TLS.
    json : bool
        Print the moves as JSON.
    """

    async def run() -> int:
        target = make_target(vm, key_file, OPERATOR_KEY, authority)
        report = await survey.whole_status(target)
        if json:
            put_json([asdict(move) for move in report.moves])
        else:
            put(show.show_moves(report.moves))
        return EXIT_GOOD

    return Prepared(guarded(run, json))


def show_timeline(
    *logs: str,
    vm: str = "",
    request: str = "",
    event: str = "",
    after_ms: int = 0,
    limit: int = 20_000,
    key_file: str = "",
    authority: str = "",
    json: bool = False,
) -> Prepared:
    """Show the events of all VMs, or those in log files, in one order.

    Parameters
    ----------
    logs : str
        Log files of VMs; their events are shown instead of asking VMs.
    vm : str
        HOST:PORT of a VM's operator port, or several with commas between.
    request : str
        Show only the events of this request.
    event : str
        Show only these events: names or numbers with commas between.
    after_ms : int
        Show only events after this time, in ms since 1970 UTC.
    limit : int
        How many events to ask of each VM, the newest.
    key_file : str
        File with the operators' key; else CUMINSTILE_OPERATOR_KEY is used.
    authority : str
        File with the certificate authority, where the VMs use TLS.
    json : bool
        Print one JSON object a line.
    """

    async def run() -> int:
        numbers = timeline.parse_events(event)
        selection = timeline.Selection(request, numbers, after_ms)
        if logs:
            found = timeline.read_logs((Path(log) for log in logs), selection)
        else:
            target = make_target(vm, key_file, OPERATOR_KEY, authority)
            found = await timeline.fetch(target, selection, limit)
        form = timeline.format_json if json else timeline.format_line
        put(form(entry) for entry in found.entries)
        for finding in found.findings:
            note(str(finding))
        return EXIT_FAILED if found.findings else EXIT_GOOD

    return Prepared(guarded(run, json))


def send(
    pipeline: str,
    *,
    vm: str,
    input: str = "{}",
    deadline_ms: int | None = None,
    stream: bool = False,
    idempotency_key: str = "",
    issued_at_ms: int | None = None,
    resend: bool = False,
    key_file: str = "",
    authority: str = "",
    json: bool = False,
) -> Prepared:
    """Send one request to a pipeline and show its answer.

    Parameters
    ----------
    pipeline : str
        The name of the pipeline.
    vm : str
        HOST:PORT of a VM's caller port, or several with commas between.
    input : str
        The input as JSON; @FILE reads it from a file.
    deadline_ms : int
        The time for the whole answer in ms; by default the pipeline's own.
    stream : bool
        Show tokens as they come.
    idempotency_key : str
        Give the same key when you send the same request again.
    issued_at_ms : int
        When the key was issued, in ms since 1970 UTC; by default now. Give the
        same time when you send the same request again.
    resend : bool
        Say that the key was sent before, so that no refusal denies its run.
    key_file : str
        File with the caller's key; else CUMINSTILE_CALLER_KEY is used.
    authority : str
        File with the certificate authority, where the VMs use TLS.
    json : bool
        Print one JSON object a line: the parts of a stream, then the answer.
    """

    async def run() -> int:
        target = make_target(vm, key_file, CALLER_KEY, authority)
        issued = issued_at_ms
        if idempotency_key and issued is None:
            issued = Clock().wall_ms()
            note(f"the key is issued at {issued}")
        request = sending.Request(
            pipeline,
            sending.read_input(input),
            deadline_ms,
            stream,
            idempotency_key or None,
            issued,
            resend,
        )
        async for received in sending.send(target, request):
            if json:
                put_json(asdict(received))
            elif received.event == "tokens":
                print("".join(received.data["tokens"]), end="", flush=True)
            else:
                put(show.show_answer(received.data))
        return EXIT_GOOD

    return Prepared(guarded(run, json))


def digest(key: str = "") -> Prepared:
    """Print the SHA-256 of a caller's key, for `key_digests` of an organisation.

    Parameters
    ----------
    key : str
        The key. Without it the key is read from the standard input, where other
        users of the machine can't see it.
    """

    async def run() -> int:
        text = key or sys.stdin.readline().strip()
        if not text:
            raise UsageError("a key is expected")
        put([hashlib.sha256(text.encode()).hexdigest()])
        return EXIT_GOOD

    return Prepared(guarded(run, False))


COMMANDS = {
    "check": decorators.SetParseFns(directory=str)(check),
    "publish": decorators.SetParseFns(directory=str, **AS_TEXT)(publish),
    "status": decorators.SetParseFns(**AS_TEXT)(status),
    "moves": decorators.SetParseFns(**AS_TEXT)(moves),
    "timeline": decorators.SetParseFns(request=str, event=str, **AS_TEXT)(
        show_timeline
    ),
    "send": decorators.SetParseFns(
        pipeline=str, input=str, idempotency_key=str, **AS_TEXT
    )(send),
    "digest": decorators.SetParseFns(key=str)(digest),
}


def main(arguments: list[str] | None = None) -> None:
    """Start the program; exit with 0 for good, 1 for failed, 2 for bad input."""
    given = sys.argv[1:] if arguments is None else arguments
    prepared = fire.Fire(
        COMMANDS,
        command=given or ["--help"],
        name="cuminstile",
        serialize=lambda result: None,
    )
    if isinstance(prepared, Prepared):
        sys.exit(anyio.run(prepared.run))
    sys.exit(EXIT_BAD_INPUT)


if __name__ == "__main__":
    main()

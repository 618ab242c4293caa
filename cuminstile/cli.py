"""The program `cuminstile`: check and publish objects, and watch a system of VMs."""

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
    EXIT_OK,
    print_json,
    print_lines,
    print_to_stderr,
    with_exit_status,
)
from .objects.checks import check_directory

OPERATOR_KEY_VARIABLE = "CUMINSTILE_OPERATOR_KEY"
CALLER_KEY_VARIABLE = "CUMINSTILE_CALLER_KEY"
# Fire's help lists a function's attributes, unless their names start with `__`.
decorators.FIRE_METADATA = "__fire_metadata__"
TEXT_FLAGS = {"vm": str, "key_file": str, "authority": str}


@dataclass(frozen=True)
class ParsedCommand:
    """A command whose arguments have all been parsed.

    A command runs only after the whole command line has been parsed, so that nothing
    is published before a misspelt option is found.
    """

    run: Callable[[], Awaitable[int]]


def check(directory: str, *, json: bool = False) -> ParsedCommand:
    """Check the objects in a directory of JSON files.

    Prints one finding per line: file, path, message, code. Needs no VM.

    Parameters
    ----------
    directory : str
        Directory with the *.json files; each holds one object or a list of objects.
    json : bool
        Print the findings as one JSON list.
    """

    async def run() -> int:
        found = check_directory(Path(directory))
        if json:
            print_json([asdict(finding) for finding in found.findings])
        else:
            print_lines(str(finding) for finding in found.findings)
            summary = "no findings" if not found.findings else "findings above"
            print_to_stderr(f"{len(found.objects)} valid objects, {summary}")
        return EXIT_FAILED if found.findings else EXIT_OK

    return ParsedCommand(run)


def publish(
    directory: str,
    *,
    vm: str,
    base: int | None = None,
    wait_s: float = 10.0,
    key_file: str = "",
    authority: str = "",
    json: bool = False,
) -> ParsedCommand:
    """Publish the objects in a directory and wait until they are in force.

    The complete set is checked first. Exit status 1 means that it was refused, or
    that it is not in force on every VM yet; the output says which.

    Parameters
    ----------
    directory : str
        Directory with the *.json files.
    vm : str
        HOST:PORT of a VM's operator port, or a comma-separated list of them.
    base : int
        The version that the objects replace; by default the one in force. Give the
        version that you have seen, so that no other operator's change is lost.
    wait_s : float
        How long to wait until every VM has the version, in seconds.
    key_file : str
        File with the operators' key; by default CUMINSTILE_OPERATOR_KEY is used.
    authority : str
        File with the certificate authority, if the VMs use TLS.
    json : bool
        Print the outcome as JSON.
    """

    async def run() -> int:
        target = make_target(vm, key_file, OPERATOR_KEY_VARIABLE, authority)
        objects = publishing.load_checked(Path(directory))
        progress = publishing.without_repeats(publishing.show_progress)
        try:
            outcome = await publishing.publish(
                target, objects, base, wait_s * 1000.0, Clock(), progress
            )
        finally:
            publishing.end_progress_line()
        if json:
            print_json(asdict(outcome))
        else:
            done = "published" if outcome.changed else "in force already"
            print_lines([f"version {outcome.version} {done}"])
            print_lines(f"not in force yet on {name}" for name in outcome.lagging)
        return EXIT_FAILED if outcome.lagging else EXIT_OK

    return ParsedCommand(with_exit_status(run, json))


def status(
    *, vm: str, key_file: str = "", authority: str = "", json: bool = False
) -> ParsedCommand:
    """Show the problems, then every VM with the version in force on it.

    The first line is `ok: ...` or the number of problems. The exit status is 1 if
    there is a problem.

    Parameters
    ----------
    vm : str
        HOST:PORT of a VM's operator port, or a comma-separated list of them.
    key_file : str
        File with the operators' key; by default CUMINSTILE_OPERATOR_KEY is used.
    authority : str
        File with the certificate authority, if the VMs use TLS.
    json : bool
        Print the status as JSON.
    """

    async def run() -> int:
        target = make_target(vm, key_file, OPERATOR_KEY_VARIABLE, authority)
        report = await survey.fetch_status(target)
        if json:
            print_json(asdict(report))
        else:
            print_lines(show.show_status(report))
        return EXIT_OK if report.ok else EXIT_FAILED

    return ParsedCommand(with_exit_status(run, json))


def moves(
    *, vm: str, key_file: str = "", authority: str = "", json: bool = False
) -> ParsedCommand:
    """Show the traffic moves with their state, share and reason.

    Parameters
    ----------
    vm : str
        HOST:PORT of a VM's operator port, or a comma-separated list of them.
    key_file : str
        File with the operators' key; by default CUMINSTILE_OPERATOR_KEY is used.
    authority : str
        File with the certificate authority, if the VMs use TLS.
    json : bool
        Print the moves as JSON.
    """

    async def run() -> int:
        target = make_target(vm, key_file, OPERATOR_KEY_VARIABLE, authority)
        report = await survey.fetch_status(target)
        if json:
            print_json([asdict(move) for move in report.moves])
        else:
            print_lines(show.show_moves(report.moves))
        return EXIT_OK

    return ParsedCommand(with_exit_status(run, json))


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
) -> ParsedCommand:
    """Show the events of all VMs, or those in log files, as one timeline.

    Parameters
    ----------
    logs : str
        Log files of VMs; if given, their events are shown and no VM is called.
    vm : str
        HOST:PORT of a VM's operator port, or a comma-separated list of them.
    request : str
        Show only the events of this request.
    event : str
        Show only these events: a comma-separated list of names or numbers.
    after_ms : int
        Show only events after this time, in ms since 1970 UTC.
    limit : int
        Maximum number of events from each VM; the newest are shown.
    key_file : str
        File with the operators' key; by default CUMINSTILE_OPERATOR_KEY is used.
    authority : str
        File with the certificate authority, if the VMs use TLS.
    json : bool
        Print one JSON object per line.
    """

    async def run() -> int:
        numbers = timeline.parse_events(event)
        selection = timeline.Selection(request, numbers, after_ms)
        if logs:
            found = timeline.read_logs((Path(log) for log in logs), selection)
        else:
            target = make_target(vm, key_file, OPERATOR_KEY_VARIABLE, authority)
            found = await timeline.fetch(target, selection, limit)
        form = timeline.format_json if json else timeline.format_line
        print_lines(form(entry) for entry in found.entries)
        for finding in found.findings:
            print_to_stderr(str(finding))
        return EXIT_FAILED if found.findings else EXIT_OK

    return ParsedCommand(with_exit_status(run, json))


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
) -> ParsedCommand:
    """Send one request to a pipeline and show its answer.

    Parameters
    ----------
    pipeline : str
        The name of the pipeline.
    vm : str
        HOST:PORT of a VM's caller port, or a comma-separated list of them.
    input : str
        The input as JSON; @FILE reads it from a file.
    deadline_ms : int
        The time for the complete answer in ms; by default the pipeline's own deadline.
    stream : bool
        Show tokens as they arrive.
    idempotency_key : str
        Give the same key when you send the same request again.
    issued_at_ms : int
        When the key was issued, in ms since 1970 UTC; by default now. Give the
        same time when you send the same request again.
    resend : bool
        Say that the key was sent before, so that a refusal does not say `not run`:
        the earlier attempt may have run.
    key_file : str
        File with the caller's key; by default CUMINSTILE_CALLER_KEY is used.
    authority : str
        File with the certificate authority, if the VMs use TLS.
    json : bool
        Print one JSON object per line: the events of a stream, then the answer.
    """

    async def run() -> int:
        target = make_target(vm, key_file, CALLER_KEY_VARIABLE, authority)
        issued = issued_at_ms
        if idempotency_key and issued is None:
            issued = Clock().wall_ms()
            print_to_stderr(f"issued_at_ms of the idempotency key: {issued}")
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
                print_json(asdict(received))
            elif received.event == "tokens":
                print("".join(received.data["tokens"]), end="", flush=True)
            else:
                print_lines(show.show_answer(received.data))
        return EXIT_OK

    return ParsedCommand(with_exit_status(run, json))


def digest(key: str = "") -> ParsedCommand:
    """Print the SHA-256 of a caller's key, for `key_digests` of an organisation.

    Parameters
    ----------
    key : str
        The key. By default it is read from standard input, where other users of the
        machine cannot see it.
    """

    async def run() -> int:
        text = key or sys.stdin.readline().strip()
        if not text:
            raise UsageError(
                "no key given; pass it as an argument or on standard input"
            )
        print_lines([hashlib.sha256(text.encode()).hexdigest()])
        return EXIT_OK

    return ParsedCommand(with_exit_status(run, False))


COMMANDS = {
    "check": decorators.SetParseFns(directory=str)(check),
    "publish": decorators.SetParseFns(directory=str, **TEXT_FLAGS)(publish),
    "status": decorators.SetParseFns(**TEXT_FLAGS)(status),
    "moves": decorators.SetParseFns(**TEXT_FLAGS)(moves),
    "timeline": decorators.SetParseFns(request=str, event=str, **TEXT_FLAGS)(
        show_timeline
    ),
    "send": decorators.SetParseFns(
        pipeline=str, input=str, idempotency_key=str, **TEXT_FLAGS
    )(send),
    "digest": decorators.SetParseFns(key=str)(digest),
}


def main(arguments: list[str] | None = None) -> None:
    """Run the program; the exit status is 0 if good, 1 if failed, 2 on bad input."""
    given = sys.argv[1:] if arguments is None else arguments
    parsed = fire.Fire(
        COMMANDS,
        command=given or ["--help"],
        name="cuminstile",
        serialize=lambda result: None,
    )
    if isinstance(parsed, ParsedCommand):
        sys.exit(anyio.run(parsed.run))
    sys.exit(EXIT_BAD_INPUT)


if __name__ == "__main__":
    main()

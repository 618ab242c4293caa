"""Publish a directory of objects and wait until it is in force everywhere."""

import secrets
import sys
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from pydantic import TypeAdapter

from ..clock import Clock
from ..exceptions import CuminstileError, ErrorCode, RunStatus
from ..objects.checks import check_directory
from ..objects.model import AnyObject
from .client import Target, UnreachableError, call, call_any, checked
from .survey import SPEAKING, Survey, merge, survey

POLL_INTERVAL_MS = 200
PUBLISH_TIMEOUT_MS = 15_000
OBJECTS: TypeAdapter[tuple[AnyObject, ...]] = TypeAdapter(tuple[AnyObject, ...])

Progress = Callable[[str], None]


@dataclass(frozen=True)
class Outcome:
    """Hold what came of a publication.

    Parameters
    ----------
    version : int
        The version that holds the objects.
    changed : bool
        Whether it was published now; it was in force already otherwise.
    lagging : tuple of str
        The VMs on which it isn't in force yet, and addresses without an answer.
    """

    version: int
    changed: bool
    lagging: tuple[str, ...]


def load_checked(directory: Path) -> tuple[AnyObject, ...]:
    """Return the objects of a directory.

    Raises
    ------
    CuminstileError
        With `BAD_OBJECTS` and every finding.
    """
    found = check_directory(directory)
    if found.findings:
        message = f"{len(found.findings)} findings in {directory}"
        raise CuminstileError(ErrorCode.BAD_OBJECTS, message, findings=found.findings)
    return found.objects


def canonical(objects: tuple[AnyObject, ...]) -> list[dict[str, Any]]:
    """Return objects as plain data in an order that files don't change."""
    plain = [asdict(item) for item in objects]
    return sorted(plain, key=lambda item: (item["kind"], item["name"]))


async def publish(
    target: Target,
    objects: tuple[AnyObject, ...],
    base: int | None,
    wait_ms: float,
    clock: Clock,
    progress: Progress,
) -> Outcome:
    """Publish objects over a base, then wait until every VM has them.

    Publishing what is in force already changes nothing, so that a command whose
    outcome was lost can be given again.

    Raises
    ------
    CuminstileError
        If the publication is refused or its outcome stays unknown.
    UnreachableError
        If no VM answers.
    """
    in_force = await call_any(target, "/operator/objects")
    present = OBJECTS.validate_python(in_force["objects"])
    if in_force["version"] >= 0 and canonical(present) == canonical(objects):
        version = in_force["version"]
    else:
        base = in_force["version"] if base is None else base
        version = await ask(target, objects, base, progress)
    behind = await wait_in_force(target, version, wait_ms, clock, progress)
    return Outcome(version, version != in_force["version"], behind)


async def ask(
    target: Target, objects: tuple[AnyObject, ...], base: int, progress: Progress
) -> int:
    """Ask one VM after another, with one nonce, and return the version."""
    body = {
        "base": base,
        "nonce": secrets.token_hex(16),
        "objects": OBJECTS.dump_python(objects, mode="json"),
    }
    failure: Exception | None = None
    lost = False
    for address in target.addresses:
        progress(f"publishing over version {base} through {address}")
        try:
            answer = await call(
                target, address, "POST", "/operator/publish", body, PUBLISH_TIMEOUT_MS
            )
            return int(checked(answer)["version"])
        except UnreachableError as error:
            failure = error
            lost = lost or error.sent
        except CuminstileError as error:
            if not may_retry(error):
                raise
            failure = error
            lost = lost or error.ran == RunStatus.UNKNOWN
    if not lost and failure is not None:
        raise failure
    raise CuminstileError(
        ErrorCode.PLATFORM_AWAY,
        f"it is not known whether the objects were published ({failure});"
        " give the command again, that does no harm",
        RunStatus.UNKNOWN,
    )


def may_retry(error: CuminstileError) -> bool:
    """Return whether another VM may do better with the same publication."""
    return error.code in (
        ErrorCode.PLATFORM_AWAY,
        ErrorCode.SHUTTING_DOWN,
        ErrorCode.NO_CONFIGURATION,
    )


async def wait_in_force(
    target: Target, version: int, wait_ms: float, clock: Clock, progress: Progress
) -> tuple[str, ...]:
    """Wait until a version is in force everywhere; return who lags at the end."""
    end_ms = clock.now_ms() + wait_ms
    while True:
        found = await survey(target)
        behind = lagging(found, version)
        merged = merge(found)
        live = [vm for vm in merged.vms if vm.state in SPEAKING] if merged else []
        total = len(live) + len(found.failures)
        progress(f"version {version} is in force on {total - len(behind)} of {total}")
        if not behind or clock.now_ms() >= end_ms:
            return behind
        await clock.sleep_ms(POLL_INTERVAL_MS)


def lagging(found: Survey, version: int) -> tuple[str, ...]:
    """Return the VMs below a version, and the addresses that gave no answer."""
    merged = merge(found)
    vms = merged.vms if merged else ()
    behind = [vm.name for vm in vms if vm.version < version and vm.state in SPEAKING]
    return (*behind, *sorted(found.failures))


def progress_line(text: str) -> None:
    """Show progress on the standard error, on one line where it is a terminal."""
    if sys.stderr.isatty():
        print(f"\r\x1b[K{text}", end="", file=sys.stderr, flush=True)
    else:
        print(text, file=sys.stderr)


def changes_only(show: Progress) -> Progress:
    """Return a progress function that shows each text once in a row."""
    last = ""

    def shown(text: str) -> None:
        nonlocal last
        if text != last:
            last = text
            show(text)

    return shown


def finish_progress() -> None:
    """End the progress line of a terminal."""
    if sys.stderr.isatty():
        print(file=sys.stderr)

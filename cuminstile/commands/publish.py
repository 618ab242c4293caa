"""Publish the objects in a directory and wait until they are in force on every VM."""

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
from .client import Target, UnreachableError, call, call_any, checked_body
from .survey import RESPONDING_STATES, Survey, merge_reports, survey

POLL_INTERVAL_MS = 200
PUBLISH_TIMEOUT_MS = 15_000
OBJECTS: TypeAdapter[tuple[AnyObject, ...]] = TypeAdapter(tuple[AnyObject, ...])

Progress = Callable[[str], None]


@dataclass(frozen=True)
class Outcome:
    """Outcome of a publication.

    Parameters
    ----------
    version : int
        The version that contains the objects.
    changed : bool
        Whether this command published it; if not, it was already in force.
    lagging : tuple of str
        The VMs on which it is not in force yet, and addresses without a response.
    """

    version: int
    changed: bool
    lagging: tuple[str, ...]


def load_checked(directory: Path) -> tuple[AnyObject, ...]:
    """Return the checked objects of a directory.

    Raises
    ------
    CuminstileError
        With `BAD_OBJECTS` and every finding if the set is not valid.
    """
    found = check_directory(directory)
    if found.findings:
        message = f"{len(found.findings)} findings in {directory}"
        raise CuminstileError(ErrorCode.BAD_OBJECTS, message, findings=found.findings)
    return found.objects


def canonical(objects: tuple[AnyObject, ...]) -> list[dict[str, Any]]:
    """Return objects as plain data, sorted independently of the order of files."""
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
    """Publish objects over a base, then wait until they are in force on every VM.

    Publishing objects that are already in force changes nothing, so a command whose
    outcome was lost can be repeated.

    Raises
    ------
    CuminstileError
        If the publication is refused or its outcome stays unknown.
    UnreachableError
        If no VM responds.
    """
    in_force = await call_any(target, "/operator/objects")
    present = OBJECTS.validate_python(in_force["objects"])
    if in_force["version"] >= 0 and canonical(present) == canonical(objects):
        version = in_force["version"]
    else:
        base = in_force["version"] if base is None else base
        version = await publish_to_any(target, objects, base, progress)
    lagging_names = await wait_until_in_force(target, version, wait_ms, clock, progress)
    return Outcome(version, version != in_force["version"], lagging_names)


async def publish_to_any(
    target: Target, objects: tuple[AnyObject, ...], base: int, progress: Progress
) -> int:
    """Publish through one VM after another, with one nonce, and return the version.

    Raises
    ------
    CuminstileError
        If a VM refuses the publication, or the outcome is unknown.
    UnreachableError
        If the last VM cannot be reached and none can have published.
    """
    body = {
        "base": base,
        "nonce": secrets.token_hex(16),
        "objects": OBJECTS.dump_python(objects, mode="json"),
    }
    last_error: Exception | None = None
    maybe_published = False
    for address in target.addresses:
        progress(f"publishing over version {base} through {address}")
        try:
            answer = await call(
                target, address, "POST", "/operator/publish", body, PUBLISH_TIMEOUT_MS
            )
            return int(checked_body(answer)["version"])
        except UnreachableError as error:
            last_error = error
            maybe_published = maybe_published or error.sent
        except CuminstileError as error:
            if not can_retry_elsewhere(error):
                raise
            last_error = error
            maybe_published = maybe_published or error.ran == RunStatus.UNKNOWN
    if not maybe_published and last_error is not None:
        raise last_error
    raise CuminstileError(
        ErrorCode.PLATFORM_AWAY,
        f"it is not known whether the objects were published ({last_error});"
        " repeat the command, which is safe",
        RunStatus.UNKNOWN,
    )


def can_retry_elsewhere(error: CuminstileError) -> bool:
    """Return whether the publication can be retried on another VM after this error."""
    return error.code in (
        ErrorCode.PLATFORM_AWAY,
        ErrorCode.SHUTTING_DOWN,
        ErrorCode.NO_CONFIGURATION,
    )


async def wait_until_in_force(
    target: Target, version: int, wait_ms: float, clock: Clock, progress: Progress
) -> tuple[str, ...]:
    """Wait until a version is in force everywhere, at most `wait_ms`.

    Returns the VMs and addresses on which it is still not known to be in force.
    """
    end_ms = clock.now_ms() + wait_ms
    while True:
        found = await survey(target)
        lagging_names = lagging_vms(found, version)
        merged = merge_reports(found)
        live = (
            [vm for vm in merged.vms if vm.state in RESPONDING_STATES] if merged else []
        )
        total = len(live) + len(found.failures)
        progress(
            f"version {version} is in force on {total - len(lagging_names)} of {total}"
        )
        if not lagging_names or clock.now_ms() >= end_ms:
            return lagging_names
        await clock.sleep_ms(POLL_INTERVAL_MS)


def lagging_vms(found: Survey, version: int) -> tuple[str, ...]:
    """Return the VMs with an older version, and the addresses without a response."""
    merged = merge_reports(found)
    vms = merged.vms if merged else ()
    lagging_names = [
        vm.name for vm in vms if vm.version < version and vm.state in RESPONDING_STATES
    ]
    return (*lagging_names, *sorted(found.failures))


def show_progress(text: str) -> None:
    """Print progress to standard error; on a terminal it overwrites one line."""
    if sys.stderr.isatty():
        print(f"\r\x1b[K{text}", end="", file=sys.stderr, flush=True)
    else:
        print(text, file=sys.stderr)


def without_repeats(show: Progress) -> Progress:
    """Return a progress function that skips a text equal to the one before."""
    last = ""

    def show_if_changed(text: str) -> None:
        nonlocal last
        if text != last:
            last = text
            show(text)

    return show_if_changed


def end_progress_line() -> None:
    """End the progress line if standard error is a terminal."""
    if sys.stderr.isatty():
        print(file=sys.stderr)

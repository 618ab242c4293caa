"""Print what commands give, and turn their errors into exit statuses."""

import json as jsonlib
import sys
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import asdict
from typing import Any

from ..exceptions import CuminstileError, Finding
from .client import UnreachableError, UsageError

EXIT_GOOD = 0
EXIT_FAILED = 1
EXIT_BAD_INPUT = 2


def guarded(run: Callable[[], Awaitable[int]], json: bool) -> Callable[..., Any]:
    """Return the command with its errors shown and turned into a status."""

    async def guarded_run() -> int:
        try:
            return await run()
        except UsageError as error:
            note(str(error))
            return EXIT_BAD_INPUT
        except UnreachableError as error:
            fail(json, str(error), "unreachable", ())
        except CuminstileError as error:
            text = f"{error.message} ({error.ran.value.replace('_', ' ')})"
            fail(json, text, error.code.value, error.findings)
        return EXIT_FAILED

    return guarded_run


def fail(json: bool, message: str, code: str, findings: tuple[Finding, ...]) -> None:
    """Show why a command failed."""
    if json:
        found = [asdict(finding) for finding in findings]
        put_json({"error": {"code": code, "message": message, "findings": found}})
        return
    for finding in findings:
        note(str(finding))
    note(f"{message} [{code}]")


def put(lines: Iterable[str]) -> None:
    """Print lines on the standard output."""
    for line in lines:
        print(line)


def put_json(value: Any) -> None:
    """Print one line of JSON on the standard output."""
    print(jsonlib.dumps(value), flush=True)


def note(line: str) -> None:
    """Print one line on the standard error."""
    print(line, file=sys.stderr)

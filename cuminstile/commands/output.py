"""Print the output of commands and turn their errors into exit statuses."""

import json as jsonlib
import sys
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import asdict
from typing import Any

from ..exceptions import CuminstileError, Finding
from .client import UnreachableError, UsageError

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_INPUT = 2


def with_exit_status(
    run: Callable[[], Awaitable[int]], json: bool
) -> Callable[..., Any]:
    """Return the command with its errors printed and turned into an exit status."""

    async def run_and_report() -> int:
        try:
            return await run()
        except UsageError as error:
            print_to_stderr(str(error))
            return EXIT_BAD_INPUT
        except UnreachableError as error:
            print_failure(json, str(error), "unreachable", ())
        except CuminstileError as error:
            text = f"{error.message} ({error.ran.value.replace('_', ' ')})"
            print_failure(json, text, error.code.value, error.findings)
        return EXIT_FAILED

    return run_and_report


def print_failure(
    json: bool, message: str, code: str, findings: tuple[Finding, ...]
) -> None:
    """Print the error and the findings of a failed command."""
    if json:
        found = [asdict(finding) for finding in findings]
        print_json({"error": {"code": code, "message": message, "findings": found}})
        return
    for finding in findings:
        print_to_stderr(str(finding))
    print_to_stderr(f"{message} [{code}]")


def print_lines(lines: Iterable[str]) -> None:
    """Print lines to standard output."""
    for line in lines:
        print(line)


def print_json(value: Any) -> None:
    """Print a value as one line of JSON to standard output."""
    print(jsonlib.dumps(value), flush=True)


def print_to_stderr(line: str) -> None:
    """Print one line to standard error."""
    print(line, file=sys.stderr)

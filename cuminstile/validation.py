"""Validate plain data into typed data classes, collecting every finding."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from pydantic import TypeAdapter, ValidationError

from .exceptions import Finding

T = TypeVar("T")
MAX_LOCATION_CHARS = 200


@dataclass(frozen=True)
class ValidationOutcome(Generic[T]):
    """A typed value, or None and the findings about the data."""

    value: T | None
    findings: tuple[Finding, ...] = ()


def format_location(location: Iterable[int | str]) -> str:
    """Return a validation location in the form `steps[2].name`."""
    text = ""
    for part in location:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text


def findings_of(error: ValidationError, file: str = "") -> tuple[Finding, ...]:
    """Return every finding of a validation error with its location."""
    return tuple(
        Finding(
            file,
            format_location(item["loc"])[:MAX_LOCATION_CHARS],
            item["type"],
            item["msg"],
        )
        for item in error.errors(include_url=False, include_input=False)
    )


def validate(
    adapter: TypeAdapter[T], data: Any, file: str = ""
) -> ValidationOutcome[T]:
    """Return the typed value and no findings, or `None` and all findings."""
    try:
        return ValidationOutcome(adapter.validate_python(data))
    except ValidationError as error:
        return ValidationOutcome(None, findings_of(error, file))

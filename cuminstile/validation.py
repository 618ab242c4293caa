"""Turn plain data into typed data classes, collecting every finding."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from pydantic import TypeAdapter, ValidationError

from .exceptions import Finding

T = TypeVar("T")
MAX_PLACE_LENGTH = 200


@dataclass(frozen=True)
class Checked(Generic[T]):
    """Hold a typed value, or the findings that speak against it."""

    value: T | None
    findings: tuple[Finding, ...] = ()


def place(location: Iterable[int | str]) -> str:
    """Return a validation location as `steps[2].name`."""
    text = ""
    for part in location:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text


def findings_of(error: ValidationError, file: str = "") -> tuple[Finding, ...]:
    """Return every finding of a validation error with its place."""
    return tuple(
        Finding(file, place(item["loc"])[:MAX_PLACE_LENGTH], item["type"], item["msg"])
        for item in error.errors(include_url=False, include_input=False)
    )


def validate(adapter: TypeAdapter[T], data: Any, file: str = "") -> Checked[T]:
    """Return the typed value and no findings, or `None` and all findings."""
    try:
        return Checked(adapter.validate_python(data))
    except ValidationError as error:
        return Checked(None, findings_of(error, file))

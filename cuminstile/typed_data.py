"""Check plain data against the annotations of data classes.

Builds no schemas at import, so that a process starts fast. Supported annotations are
`bool`, `int`, `float`, `str`, `bytes`, `X | None`, `tuple[X, ...]`, `tuple[X, Y]` and
data classes of these.
"""

from __future__ import annotations

import dataclasses
import math
import types
from collections.abc import Callable, Sequence
from functools import cache
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

Check = Callable[[Any], Any]
"""Returns the typed value of plain data, or raises `InvalidDataError`."""
T = TypeVar("T")


@dataclasses.dataclass(frozen=True)
class Problem:
    """One problem of plain data: where it is, and what is wrong there."""

    location: str
    text: str

    def within(self, part: str) -> Problem:
        """Return the problem as seen from an enclosing value."""
        separator = "." if self.location and not self.location.startswith("[") else ""
        return Problem(f"{part}{separator}{self.location}", self.text)


class InvalidDataError(ValueError):
    """Plain data does not have the annotated types."""

    def __init__(self, problems: Sequence[Problem]) -> None:
        super().__init__("; ".join(f"{p.location}: {p.text}" for p in problems))
        self.problems = tuple(problems)


def invalid(text: str) -> InvalidDataError:
    """Return the error for a value without parts."""
    return InvalidDataError([Problem("", text)])


def check_exact(kind: type) -> Check:
    """Return a check that a value has exactly one type; `True` is no integer."""

    def check(value: Any) -> Any:
        if type(value) is not kind:
            raise invalid(f"must be {kind.__name__}, not {type(value).__name__}")
        return value

    return check


def check_float(value: Any) -> float:
    """Return a finite number as a float."""
    if type(value) is not float and type(value) is not int:
        raise invalid(f"must be a number, not {type(value).__name__}")
    try:
        number = float(value)
    except OverflowError as error:
        raise invalid("must be a smaller number") from error
    if not math.isfinite(number):
        raise invalid("must be finite")
    return number


def check_optional(check_value: Check) -> Check:
    """Return a check for a value that may be None."""

    def check(value: Any) -> Any:
        return None if value is None else check_value(value)

    return check


def check_sequence(value: Any) -> Sequence[Any]:
    """Return a list or tuple."""
    if not isinstance(value, list | tuple):
        raise invalid(f"must be a list, not {type(value).__name__}")
    return value


def check_parts(parts: Sequence[tuple[str, Check, Any]]) -> list[Any]:
    """Return the typed parts of a value; all problems of all parts are reported.

    Parameters
    ----------
    parts : sequence of tuple
        Location, check and plain value of each part.
    """
    values: list[Any] = []
    problems: list[Problem] = []
    for location, check, value in parts:
        try:
            values.append(check(value))
        except InvalidDataError as error:
            problems += [problem.within(location) for problem in error.problems]
    if problems:
        raise InvalidDataError(problems)
    return values


def check_tuple(arguments: tuple[Any, ...]) -> Check:
    """Return a check for a tuple, of any length if the second argument is `...`."""
    if len(arguments) == 2 and arguments[1] is Ellipsis:
        check_item = check_for(arguments[0])

        def check_all(value: Any) -> Any:
            items = check_sequence(value)
            return tuple(
                check_parts([(f"[{n}]", check_item, v) for n, v in enumerate(items)])
            )

        return check_all
    checks = [check_for(argument) for argument in arguments]

    def check_each(value: Any) -> Any:
        items = check_sequence(value)
        if len(items) != len(checks):
            raise invalid(f"must have {len(checks)} items, not {len(items)}")
        pairs = enumerate(zip(checks, items, strict=True))
        return tuple(check_parts([(f"[{n}]", c, v) for n, (c, v) in pairs]))

    return check_each


@dataclasses.dataclass(frozen=True)
class FieldCheck:
    """Name and check of one field of a data class, and whether it has a default."""

    name: str
    check: Check
    optional: bool


@cache
def field_checks(kind: Any) -> tuple[FieldCheck, ...]:
    """Return the checks of the fields of a data class."""
    hints = get_type_hints(kind)
    return tuple(
        FieldCheck(
            field.name,
            check_for(hints[field.name]),
            field.default is not dataclasses.MISSING,
        )
        for field in dataclasses.fields(kind)
    )


def check_data_class(kind: type[T]) -> Callable[[Any], T]:
    """Return a check for a data class in the form of an object or an array.

    Fields that an object has in addition, or that follow in an array, are ignored: a
    newer program may send more.
    """
    hashable_kind: Any = kind

    def check(value: Any) -> T:
        fields = field_checks(hashable_kind)
        if isinstance(value, dict):
            return kind(**check_object(fields, value))
        return kind(*check_array(fields, value))

    return check


def check_object(fields: Sequence[FieldCheck], value: dict[str, Any]) -> dict[str, Any]:
    """Return the typed fields of an object by name."""
    parts = [(f.name, f.check, value[f.name]) for f in fields if f.name in value]
    missing = [f.name for f in fields if f.name not in value and not f.optional]
    problems = [Problem(name, "is missing") for name in missing]
    try:
        values = check_parts(parts)
    except InvalidDataError as error:
        raise InvalidDataError([*problems, *error.problems]) from error
    if problems:
        raise InvalidDataError(problems)
    return dict(zip((part[0] for part in parts), values, strict=True))


def check_array(fields: Sequence[FieldCheck], value: Any) -> list[Any]:
    """Return the typed fields of an array in order."""
    items = check_sequence(value)
    required = sum(1 for field in fields if not field.optional)
    if len(items) < required:
        raise invalid(f"must have {required} fields, not {len(items)}")
    pairs = zip(fields, items, strict=False)
    return check_parts([(field.name, field.check, item) for field, item in pairs])


@cache
def check_for(annotation: Any) -> Check:
    """Return the check for an annotation.

    Raises
    ------
    TypeError
        If the annotation is not supported.
    """
    if annotation is float:
        return check_float
    if annotation in (bool, int, str, bytes):
        return check_exact(annotation)
    if get_origin(annotation) is tuple:
        return check_tuple(get_args(annotation))
    if get_origin(annotation) is types.UnionType:
        known = [item for item in get_args(annotation) if item is not type(None)]
        if len(known) == 1:
            return check_optional(check_for(known[0]))
    if dataclasses.is_dataclass(annotation) and isinstance(annotation, type):
        return check_data_class(annotation)
    raise TypeError(f"unsupported annotation: {annotation}")

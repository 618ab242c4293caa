"""Read the fields of a record, and tell absent, empty and mistyped ones apart.

Functions for required fields raise `KeyError` if one is absent. All raise `TypeError`
or `ValueError` if one has another type or value.
"""

from __future__ import annotations

import math
from typing import Any


def items_at(raw: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Return a list of objects."""
    value = raw[name]
    if not isinstance(value, list) or not all(isinstance(one, dict) for one in value):
        raise TypeError(f"{name} must be a list of objects")
    return value


def text_at(raw: dict[str, Any], name: str) -> str:
    """Return a string that is not empty and can be part of a header."""
    return printable(raw[name], name)


def texts_at(raw: dict[str, Any], name: str) -> list[str]:
    """Return a list of such strings, an empty one if it is absent or null."""
    value = raw.get(name)
    if value is None:
        return []
    if not isinstance(value, list):
        raise TypeError(f"{name} must be a list of strings")
    return [printable(one, name) for one in value]


def printable(value: Any, name: str) -> str:
    """Return a value that must be a printable string, not an empty one."""
    if not isinstance(value, str):
        raise TypeError(f"{name} must be a string")
    if not value or not value.isprintable():
        raise ValueError(f"{name} must be printable and not empty")
    return value


def flag_at(raw: dict[str, Any], name: str) -> bool:
    """Return a boolean, False if it is absent or null."""
    value = raw.get(name)
    if value is None:
        return False
    if not isinstance(value, bool):
        raise TypeError(f"{name} must be true or false")
    return value


def number_at(raw: dict[str, Any], name: str) -> float:
    """Return a finite number."""
    value = raw[name]
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{name} must be a number")
    if not math.isfinite(value):
        raise ValueError(f"{name} must be finite")
    return value


def optional_number_at(raw: dict[str, Any], name: str, default: float) -> float:
    """Return a finite number, a default if it is absent or null."""
    return default if raw.get(name) is None else number_at(raw, name)


def integer_at(raw: dict[str, Any], name: str) -> int:
    """Return an integer."""
    value = raw[name]
    if type(value) is not int:
        raise TypeError(f"{name} must be an integer")
    return value


def integers_at(raw: dict[str, Any], name: str) -> list[int]:
    """Return a list of integers."""
    value = raw[name]
    if not isinstance(value, list) or not all(type(one) is int for one in value):
        raise TypeError(f"{name} must be a list of integers")
    return value


def optional_integer_at(raw: dict[str, Any], name: str) -> int | None:
    """Return an integer, None if it is absent or null."""
    return None if raw.get(name) is None else integer_at(raw, name)

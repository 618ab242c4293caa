"""Strict JSON decoder; it accepts what every component can pass on unchanged."""

import json
import math
from collections.abc import Iterable
from typing import Any, NoReturn

import orjson

MAX_SHOWN_KEY_CHARS = 64
# A value is nested inside others: an upstream's call, a step's input, an answer.
ENCLOSING_LEVELS = 8


def loads(data: bytes | str) -> Any:
    """Return the value in JSON text.

    Besides invalid JSON, it rejects duplicate keys in an object, NaN and infinities,
    numbers beyond 64 bits, lone surrogates, and values nested more deeply than the
    encoders allow.

    Raises
    ------
    ValueError
        If the text is rejected; the message says why.
    """
    text = data.decode("utf-8") if isinstance(data, bytes) else data
    try:
        value = json.loads(
            text,
            object_pairs_hook=reject_duplicate_keys,
            parse_float=parse_finite,
            parse_constant=reject_constant,
        )
    except RecursionError as error:
        raise ValueError("the value is nested too deeply") from error
    check_encodable(value)
    return value


def check_encodable(value: Any) -> None:
    """Reject a decoded value that cannot be encoded inside other values.

    Raises
    ------
    ValueError
        If it is nested too deeply or holds something that JSON cannot represent.
    """
    for _ in range(ENCLOSING_LEVELS):
        value = [value]
    try:
        orjson.dumps(value)
    except orjson.JSONEncodeError as error:
        raise ValueError(f"the value cannot be encoded: {error}") from error


def reject_duplicate_keys(pairs: Iterable[tuple[str, Any]]) -> dict[str, Any]:
    """Return a JSON object; duplicate keys are rejected.

    Raises
    ------
    ValueError
        If a key occurs twice; Python's decoder would drop the first value silently.
    """
    result: dict[str, Any] = {}
    for key, value in pairs:
        if key in result:
            shown = repr(key[:MAX_SHOWN_KEY_CHARS])
            raise ValueError(f"duplicate key {shown} in one object")
        result[key] = value
    return result


def parse_finite(text: str) -> float:
    """Return a finite number; one too large for a float raises `ValueError`."""
    value = float(text)
    if math.isinf(value):
        raise ValueError("a number is too large")
    return value


def reject_constant(text: str) -> NoReturn:
    """Reject `NaN` and `Infinity`, which are not JSON."""
    raise ValueError(f"{text} is not JSON")

"""Read JSON that every part of the system carries without changing it."""

import json
import math
from collections.abc import Iterable
from typing import Any, NoReturn

import orjson

SHOWN_KEY_LENGTH = 64
# A value is carried inside others: an upstream's call, another step's input, an answer.
ENCLOSING_LEVELS = 8


def loads(data: bytes | str) -> Any:
    """Return the value in JSON text.

    Refused besides what is no JSON: keys that stand twice in one object, NaN and
    infinities, numbers beyond 64 bits, lone surrogates, and values nested more
    deeply than the encoders allow.

    Raises
    ------
    ValueError
        With what is wrong with the text.
    """
    text = data.decode("utf-8") if isinstance(data, bytes) else data
    try:
        value = json.loads(
            text,
            object_pairs_hook=unique_keys,
            parse_float=finite,
            parse_constant=refuse_constant,
        )
    except RecursionError as error:
        raise ValueError("the value is nested too deeply") from error
    check_encodable(value)
    return value


def check_encodable(value: Any) -> None:
    """Refuse a decoded value that could not be passed on inside others.

    Raises
    ------
    ValueError
        If it is nested too deeply, or holds what JSON can't.
    """
    for _ in range(ENCLOSING_LEVELS):
        value = [value]
    try:
        orjson.dumps(value)
    except orjson.JSONEncodeError as error:
        raise ValueError(f"the value can't be carried: {error}") from error


def unique_keys(pairs: Iterable[tuple[str, Any]]) -> dict[str, Any]:
    """Return a JSON object whose keys differ.

    Raises
    ------
    ValueError
        If a key stands twice; JSON itself would drop the first value silently.
    """
    result: dict[str, Any] = {}
    for key, value in pairs:
        if key in result:
            shown = repr(key[:SHOWN_KEY_LENGTH])
            raise ValueError(f"the key {shown} stands twice in one object")
        result[key] = value
    return result


def finite(text: str) -> float:
    """Return a number unless it is too large for one."""
    value = float(text)
    if math.isinf(value):
        raise ValueError("a number is too large")
    return value


def refuse_constant(text: str) -> NoReturn:
    """Refuse `NaN` and `Infinity`, which are not JSON."""
    raise ValueError(f"{text} is not JSON")

"""Encode typed messages as CBOR arrays; decode and check them."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from enum import Enum
from typing import Any

import cbor2

from .exceptions import CuminstileError, ErrorCode
from .typed_data import Check, InvalidDataError, check_data_class

MAX_MESSAGE_BYTES = 4 * 1024 * 1024


def to_array(value: Any) -> Any:
    """Return a message as nested arrays of CBOR's own types."""
    if dataclasses.is_dataclass(value):
        names = (field.name for field in dataclasses.fields(value))
        return [to_array(getattr(value, name)) for name in names]
    if isinstance(value, tuple | list):
        return [to_array(item) for item in value]
    if isinstance(value, Enum):
        return value.value
    return value


def bad_message(text: str) -> CuminstileError:
    """Return the error for bytes that are not a valid message."""
    return CuminstileError(ErrorCode.BAD_MESSAGE, text)


@dataclasses.dataclass(frozen=True)
class Codec:
    """Encoder and decoder of a fixed set of numbered message types.

    Parameters
    ----------
    numbers : dict of type to int
        The number of each message type on the wire.
    checks : dict of int to callable
        By number, returns the typed message of its fields.
    """

    numbers: dict[type[Any], int]
    checks: dict[int, Check]

    def encode(self, message: Any) -> bytes:
        """Return `[number, field, ...]` in CBOR."""
        return cbor2.dumps([self.numbers[type(message)], *to_array(message)])

    def decode(self, data: bytes) -> Any:
        """Return the typed message.

        Raises
        ------
        CuminstileError
            With `BAD_MESSAGE` if the bytes are not one known message.
        """
        if len(data) > MAX_MESSAGE_BYTES:
            raise bad_message("the message exceeds the maximum size")
        try:
            number, *fields = cbor2.loads(data)
            return self.checks[number](fields)
        except CuminstileError:
            raise
        except InvalidDataError as error:
            raise bad_message(f"{len(error.problems)} fields are wrong") from error
        except Exception as error:
            raise bad_message(f"decoding failed with {type(error).__name__}") from error


def make_data_codec(types: Iterable[tuple[int, type[Any]]]) -> Codec:
    """Return a codec for pairs of number and message type."""
    pairs = tuple(types)
    return Codec(
        {message: number for number, message in pairs},
        {number: check_data_class(message) for number, message in pairs},
    )

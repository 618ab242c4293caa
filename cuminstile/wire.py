"""Encode typed messages as CBOR arrays; decode and validate them with pydantic.

For the messages of the product's own interface, with constraints on fields.
"""

import dataclasses
from collections.abc import Iterable
from typing import Any

import cbor2
from pydantic import TypeAdapter, ValidationError, model_validator
from pydantic.dataclasses import dataclass
from pydantic_core import ArgsKwargs

from .message_codec import MAX_MESSAGE_BYTES, bad_message, to_array


@dataclass(frozen=True)
class Message:
    """Base class of messages; fields are sent as an array in their order."""

    @model_validator(mode="before")
    @classmethod
    def from_array(cls, value: Any) -> Any:
        """Accept the array form that `to_array` returns."""
        if isinstance(value, list | tuple):
            return ArgsKwargs(tuple(value))
        return value


@dataclasses.dataclass(frozen=True)
class Codec:
    """Encoder and decoder of a fixed set of numbered message types.

    Parameters
    ----------
    numbers : dict of type to int
        The number of each message type on the wire.
    adapters : dict of int to TypeAdapter
        The validator for each number.
    """

    numbers: dict[type[Message], int]
    adapters: dict[int, TypeAdapter[Any]]

    def encode(self, message: Message) -> bytes:
        """Return `[number, field, ...]` in CBOR."""
        number = self.numbers[type(message)]
        return cbor2.dumps([number, *to_array(message)])

    def decode(self, data: bytes) -> Any:
        """Return the typed message.

        Raises
        ------
        CuminstileError
            With `BAD_MESSAGE` if the bytes are not exactly one known message.
        """
        if len(data) > MAX_MESSAGE_BYTES:
            raise bad_message("the message exceeds the maximum size")
        try:
            number, *fields = cbor2.loads(data)
            return self.adapters[number].validate_python(fields)
        except ValidationError as error:
            raise bad_message(f"{error.error_count()} fields are wrong") from error
        except Exception as error:
            raise bad_message(f"decoding failed with {type(error).__name__}") from error


def make_codec(types: Iterable[tuple[int, type[Message]]]) -> Codec:
    """Return a codec for pairs of number and message type."""
    pairs = tuple(types)
    return Codec(
        {message: number for number, message in pairs},
        {number: TypeAdapter(message) for number, message in pairs},
    )

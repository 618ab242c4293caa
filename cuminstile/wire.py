"""Encode typed messages as CBOR arrays; decode and validate them with pydantic.

For the messages of the product's own interface, with constraints on fields.
"""

from collections.abc import Iterable
from typing import Any

from pydantic import TypeAdapter, ValidationError, model_validator
from pydantic.dataclasses import dataclass
from pydantic_core import ArgsKwargs

from .message_codec import Codec, bad_message
from .typed_data import Check


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


def check_with(adapter: TypeAdapter[Any]) -> Check:
    """Return a check that reports the wrong fields of a message as `BAD_MESSAGE`."""

    def check(fields: Any) -> Any:
        try:
            return adapter.validate_python(fields)
        except ValidationError as error:
            raise bad_message(f"{error.error_count()} fields are wrong") from error

    return check


def make_codec(types: Iterable[tuple[int, type[Message]]]) -> Codec:
    """Return a codec for pairs of number and message type."""
    pairs = tuple(types)
    return Codec(
        {message: number for number, message in pairs},
        {number: check_with(TypeAdapter(message)) for number, message in pairs},
    )

"""Fold the platform's `config` stream into the configuration in force."""

import hashlib
from dataclasses import dataclass

import cbor2
from pydantic import TypeAdapter
from pydantic.dataclasses import dataclass as wire_dataclass

from ..const import FORMAT
from ..objects.collection import ObjectSet, collect
from ..objects.model import AnyObject
from ..wire import Message, make_codec

OBJECTS: TypeAdapter[tuple[AnyObject, ...]] = TypeAdapter(tuple[AnyObject, ...])


@wire_dataclass(frozen=True)
class ConfigRecord(Message):
    """Hold one publication as it stands in the log.

    Parameters
    ----------
    format : int
        The format of `objects`; a reader that does not know it keeps what it has.
    version : int
        -1 for a publication; the version in force when it is written again.
    base : int
        The version that the publication replaces; -1 for none.
    nonce : str
        The same in every append of one publication.
    checksum : str
        SHA-256 of `objects`, in hexadecimal.
    objects : bytes
        The objects as CBOR.
    """

    format: int
    version: int
    base: int
    nonce: str
    checksum: str
    objects: bytes


RECORDS = make_codec(((1, ConfigRecord),))


@dataclass(frozen=True)
class Configuration:
    """Hold a configuration in force; its version is the offset of its record."""

    version: int
    objects: ObjectSet
    record: ConfigRecord


@dataclass
class ConfigurationState:
    """Hold the configuration in force on this VM; it never goes back.

    Parameters
    ----------
    current : Configuration or None
        What is in force.
    next_offset : int
        Where to go on reading the stream.
    """

    current: Configuration | None = None
    next_offset: int = 0


def make_record(base: int, nonce: str, objects: tuple[AnyObject, ...]) -> ConfigRecord:
    """Return the record that publishes `objects` over version `base`."""
    body = cbor2.dumps(OBJECTS.dump_python(objects, mode="json"), canonical=True)
    checksum = hashlib.sha256(body).hexdigest()
    return ConfigRecord(FORMAT, -1, base, nonce, checksum, body)


def accept(state: ConfigurationState, offset: int, payload: bytes) -> bool:
    """Apply one record of the stream; return whether it came into force.

    A record comes into force iff its base is the version in force.

    Raises
    ------
    CuminstileError
        With `BAD_MESSAGE` if the record is no usable configuration.
    """
    state.next_offset = max(state.next_offset, offset + 1)
    record: ConfigRecord = RECORDS.decode(payload)
    in_force = state.current.version if state.current else -1
    if record.base != in_force or offset <= in_force:
        return False
    objects = OBJECTS.validate_python(cbor2.loads(record.objects))
    state.current = Configuration(offset, collect(objects), record)
    return True

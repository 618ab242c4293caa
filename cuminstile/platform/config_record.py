"""Define the records of the platform's `config` stream."""

import hashlib

import cbor2
from pydantic import TypeAdapter
from pydantic.dataclasses import dataclass

from ..const import FORMAT
from ..exceptions import CuminstileError, ErrorCode
from ..objects.model import AnyObject
from ..wire import Message, bad_message, make_codec

NO_VERSION = -1
ANY_BASE = -2
OBJECTS: TypeAdapter[tuple[AnyObject, ...]] = TypeAdapter(tuple[AnyObject, ...])


@dataclass(frozen=True)
class ConfigRecord(Message):
    """Hold one publication, or one copy of it, as it stands in the log.

    These fields are the same in every release, so that all releases accept the
    same records; what a newer release changes is `format` and with it `objects`.

    Parameters
    ----------
    format : int
        The format of `objects`; a reader that does not know it keeps what it has.
    version : int
        -1 for a publication; in a copy the version that it copies.
    base : int
        For a publication the version that it replaces: -1 for none; -2 - N for
        whichever is in force, which counts at offset N alone. For a copy the offset
        up to which its writer had read when `version` was in force; -1 if the
        writer had not read without a gap.
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


def make_record(base: int, nonce: str, objects: tuple[AnyObject, ...]) -> ConfigRecord:
    """Return the record that publishes `objects` over version `base`."""
    body = cbor2.dumps(OBJECTS.dump_python(objects, mode="json"), canonical=True)
    return ConfigRecord(FORMAT, NO_VERSION, base, nonce, checksum_of(body), body)


def reset_base(next_offset: int) -> int:
    """Return the base of a publication over whichever version is in force.

    Such a record counts only at `next_offset`, the end of the stream that its
    writer had read to, so that one that lands late can't take back a version.
    """
    return ANY_BASE - next_offset


def checksum_of(body: bytes) -> str:
    """Return the SHA-256 of encoded objects, in hexadecimal."""
    return hashlib.sha256(body).hexdigest()


def decode(payload: bytes) -> ConfigRecord:
    """Return the record in a payload.

    Raises
    ------
    CuminstileError
        With `BAD_MESSAGE` if it is malformed or its checksum is wrong.
    """
    record: ConfigRecord = RECORDS.decode(payload)
    if checksum_of(record.objects) != record.checksum:
        raise bad_message("the checksum is wrong")
    return record


def read_objects(record: ConfigRecord) -> tuple[AnyObject, ...]:
    """Return the objects of a record.

    Raises
    ------
    CuminstileError
        With `BAD_MESSAGE` if this release can't read them.
    """
    if record.format != FORMAT:
        raise bad_message(f"format {record.format} is not known, only {FORMAT}")
    try:
        return OBJECTS.validate_python(cbor2.loads(record.objects))
    except Exception as error:
        raise CuminstileError(
            ErrorCode.BAD_MESSAGE, f"{type(error).__name__} in the objects"
        ) from error

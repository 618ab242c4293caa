"""Records of the platform's `config` stream."""

import dataclasses
import hashlib
from collections.abc import Iterable
from typing import TypeVar

import cbor2
from pydantic import TypeAdapter
from pydantic.dataclasses import dataclass

from ..const import CHANGES_FORMAT, FULL_FORMAT
from ..exceptions import CuminstileError, ErrorCode
from ..message_codec import bad_message
from ..objects.model import AnyObject
from ..wire import Message, make_codec

NO_VERSION = -1
ANY_BASE = -2
OBJECTS: TypeAdapter[tuple[AnyObject, ...]] = TypeAdapter(tuple[AnyObject, ...])


@dataclass(frozen=True)
class ConfigRecord(Message):
    """One publication in the log, or one copy of it.

    These fields are the same in every release, so that all releases accept the
    same records. A newer release may only change `format`, and `objects` with it.

    Parameters
    ----------
    format : int
        The format of `objects`. A reader that does not support it accepts the record
        but keeps its current objects.
    version : int
        -1 for a publication; for a copy the version that it copies.
    base : int
        For a publication, the version that it replaces: -1 for none; -2 - N for
        whichever is in force, which is accepted only at offset N. For a copy, the
        offset up to which its writer had read while `version` was in force; -1 if
        the writer had a gap in what it read.
    nonce : str
        The same in every append of one publication.
    checksum : str
        SHA-256 of `objects`, in hexadecimal.
    objects : bytes
        As CBOR: the whole set of objects, or the changes to that of `base`.
    """

    format: int
    version: int
    base: int
    nonce: str
    checksum: str
    objects: bytes


RECORD_CODEC = make_codec(((1, ConfigRecord),))


@dataclasses.dataclass(frozen=True, order=True)
class ObjectKey:
    """Key of one object in a set."""

    kind: str
    name: str


@dataclasses.dataclass(frozen=True)
class Changes:
    """The difference between two sets of objects."""

    put: tuple[AnyObject, ...]
    removed: tuple[ObjectKey, ...]


Decoded = TypeVar("Decoded")
CHANGES: TypeAdapter[Changes] = TypeAdapter(Changes)


def key_of(item: AnyObject) -> ObjectKey:
    """Return the key of an object."""
    return ObjectKey(item.kind, item.name)


def by_key(objects: Iterable[AnyObject]) -> dict[ObjectKey, AnyObject]:
    """Return objects by key."""
    return {key_of(item): item for item in objects}


def make_record(base: int, nonce: str, objects: tuple[AnyObject, ...]) -> ConfigRecord:
    """Return the record that publishes the whole set in place of version `base`."""
    body = encode_whole(objects)
    return ConfigRecord(FULL_FORMAT, NO_VERSION, base, nonce, checksum_of(body), body)


def encode_whole(objects: tuple[AnyObject, ...]) -> bytes:
    """Return a whole set of objects as CBOR."""
    return cbor2.dumps(OBJECTS.dump_python(objects, mode="json"), canonical=True)


def make_changes_record(
    base: int,
    nonce: str,
    before: Iterable[AnyObject],
    after: Iterable[AnyObject],
) -> ConfigRecord:
    """Return the record that publishes only the changes to version `base`."""
    changes = compare(before, after)
    body = cbor2.dumps(CHANGES.dump_python(changes, mode="json"), canonical=True)
    checksum = checksum_of(body)
    return ConfigRecord(CHANGES_FORMAT, NO_VERSION, base, nonce, checksum, body)


def compare(before: Iterable[AnyObject], after: Iterable[AnyObject]) -> Changes:
    """Return the changes from one set of objects to another."""
    old, new = by_key(before), by_key(after)
    put = tuple(item for key, item in new.items() if old.get(key) != item)
    return Changes(put, tuple(sorted(old.keys() - new.keys())))


def apply_changes(
    before: Iterable[AnyObject], changes: Changes
) -> tuple[AnyObject, ...]:
    """Return the set of objects after the changes."""
    objects = by_key(before)
    for key in changes.removed:
        objects.pop(key, None)
    objects.update(by_key(changes.put))
    return tuple(objects.values())


def reset_base(next_offset: int) -> int:
    """Return the base of a publication that replaces whichever version is in force.

    Such a record is accepted only at `next_offset`, the end of the stream as its
    writer had read it, so that one that is appended late can't undo a newer version.
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
    record: ConfigRecord = RECORD_CODEC.decode(payload)
    if checksum_of(record.objects) != record.checksum:
        raise bad_message("the checksum does not match the objects")
    return record


def read_objects(
    record: ConfigRecord, before: tuple[AnyObject, ...] | None
) -> tuple[AnyObject, ...]:
    """Return the whole set of objects of a record, sorted by key.

    Parameters
    ----------
    before : tuple of AnyObject or None
        The objects of the record's base; `None` if this VM does not have them.

    Raises
    ------
    CuminstileError
        With `BAD_MESSAGE` if this VM or this release can't read the objects.
    """
    if record.format == FULL_FORMAT:
        objects = read_body(OBJECTS, record.objects)
    elif record.format != CHANGES_FORMAT:
        raise bad_message(f"format {record.format} is not supported")
    elif before is None:
        raise bad_message("the objects of the base version are not available")
    else:
        objects = apply_changes(before, read_body(CHANGES, record.objects))
    return tuple(sorted(objects, key=key_of))


def read_body(adapter: TypeAdapter[Decoded], body: bytes) -> Decoded:
    """Return the validated contents of a record's body."""
    try:
        return adapter.validate_python(cbor2.loads(body))
    except Exception as error:
        raise CuminstileError(
            ErrorCode.BAD_MESSAGE, f"{type(error).__name__} while decoding the objects"
        ) from error

"""Fold the platform's `config` stream into the configuration in force."""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum

import cbor2
from pydantic import TypeAdapter
from pydantic.dataclasses import dataclass as wire_dataclass

from ..const import FORMAT
from ..exceptions import CuminstileError, ErrorCode
from ..objects.collection import ObjectSet, collect
from ..objects.model import AnyObject
from ..wire import Message, bad_message, make_codec

NO_VERSION = -1
ANY_BASE = -2
KEPT_OUTCOMES = 256
KEPT_VERSIONS = 16
OBJECTS: TypeAdapter[tuple[AnyObject, ...]] = TypeAdapter(tuple[AnyObject, ...])


@wire_dataclass(frozen=True)
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
        For a publication the version that it replaces: -1 for none, -2 for
        whichever is in force. For a copy the offset up to which its writer had read
        when `version` was in force; -1 if the writer had not read without a gap.
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


class Effect(StrEnum):
    """Tell what a record of the stream did.

    `UNUSABLE` means that it was accepted, as on every VM, but holds objects that
    this release can't read, so that the objects in force stay. `UNDECIDED` means
    that this VM can't tell yet, since it has not read what came before.
    """

    IN_FORCE = "in_force"
    UNUSABLE = "unusable"
    CONFLICT = "conflict"
    UNDECIDED = "undecided"
    NOTHING = "nothing"


@dataclass(frozen=True)
class Configuration:
    """Hold a configuration in force; its version is the offset of its record."""

    version: int
    objects: ObjectSet
    record: ConfigRecord
    items: tuple[AnyObject, ...] = ()


@dataclass(frozen=True)
class Outcome:
    """Hold what came of a publication: its offset, and whether it was accepted."""

    offset: int
    accepted: bool


@dataclass
class ConfigurationState:
    """Hold what this VM has folded from the stream; versions only grow.

    Parameters
    ----------
    current : Configuration or None
        What is in force on this VM.
    latest : Configuration or None
        The newest version whose objects this release can read; it comes into force
        once the VM has caught up.
    head : int
        The version accepted last, -1 for none. It is above the version of
        `current` only while its objects can't be read by this release.
    head_record : ConfigRecord or None
        The record of that version.
    next_offset : int
        Where to go on reading the stream.
    first_offset : int
        The oldest offset that could be read since the last gap.
    anchored : bool
        Whether `head` is known to be the version in force at `next_offset`. After a
        gap it is not: what was trimmed may have been accepted.
    caught_up : bool
        Whether the stream has been read to its end once, or another VM has given
        its version. Nothing is in force before, lest a starting VM serve what was
        replaced long ago.
    anchor_offset, anchor_time_ms : int
        From where a new reader can fold exactly, and the platform's time of the
        record that says so: the newest copy, or the first record of the stream.
    trimmed_to : int
        The oldest offset that the platform still keeps, as far as it has said.
    outcomes : dict of str to Outcome
        What came of the latest publications, by nonce.
    history : dict of int to Configuration
        The latest versions, to tell what has changed since.
    """

    current: Configuration | None = None
    latest: Configuration | None = None
    head: int = NO_VERSION
    head_record: ConfigRecord | None = None
    next_offset: int = 0
    first_offset: int = 0
    anchored: bool = True
    caught_up: bool = False
    anchor_offset: int = 0
    anchor_time_ms: int = 0
    trimmed_to: int = 0
    outcomes: "OrderedDict[str, Outcome]" = field(default_factory=OrderedDict)
    history: "OrderedDict[int, Configuration]" = field(default_factory=OrderedDict)

    @property
    def version(self) -> int:
        """Return the version in force on this VM, -1 for none."""
        return self.current.version if self.current else NO_VERSION


def make_record(base: int, nonce: str, objects: tuple[AnyObject, ...]) -> ConfigRecord:
    """Return the record that publishes `objects` over version `base`."""
    body = cbor2.dumps(OBJECTS.dump_python(objects, mode="json"), canonical=True)
    return ConfigRecord(FORMAT, NO_VERSION, base, nonce, checksum_of(body), body)


def checksum_of(body: bytes) -> str:
    """Return the SHA-256 of encoded objects, in hexadecimal."""
    return hashlib.sha256(body).hexdigest()


def make_copy(state: ConfigurationState) -> ConfigRecord | None:
    """Return a copy of the version accepted last, `None` if there is none."""
    record = state.head_record
    if record is None:
        return None
    read_up_to = state.next_offset if state.anchored else NO_VERSION
    return ConfigRecord(
        record.format,
        state.head,
        read_up_to,
        record.nonce,
        record.checksum,
        record.objects,
    )


def note_gap(state: ConfigurationState, first_offset: int) -> None:
    """Go on reading at `first_offset`: what was before it has been trimmed."""
    state.next_offset = first_offset
    state.first_offset = first_offset
    state.trimmed_to = first_offset
    state.anchored = state.head + 1 >= first_offset


def accept(
    state: ConfigurationState, offset: int, payload: bytes, time_ms: int = 0
) -> Effect:
    """Apply one record of the stream, in the order of offsets.

    A publication is accepted iff its base is the version accepted last; this
    depends on its base and its checksum alone, never on the reader's release.

    Parameters
    ----------
    time_ms : int
        The platform's time of the record, in ms since 1970 UTC.

    Raises
    ------
    CuminstileError
        With `BAD_MESSAGE` if it is no whole record; no reader accepts it.
    """
    if offset < state.next_offset:
        return Effect.NOTHING
    state.next_offset = offset + 1
    if offset == 0:
        state.anchor_time_ms = time_ms
    record = decode(payload)
    if record.version > NO_VERSION:
        if record.base > NO_VERSION:
            state.anchor_offset = record.base
            state.anchor_time_ms = time_ms
        return take_copy(state, record)
    if offset <= state.head:
        return Effect.NOTHING
    return take_publication(state, offset, record)


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


def take_publication(
    state: ConfigurationState, offset: int, record: ConfigRecord
) -> Effect:
    """Accept or reject one publication."""
    if record.base != ANY_BASE and not state.anchored:
        return Effect.UNDECIDED
    accepted = record.base in (ANY_BASE, state.head)
    state.outcomes.setdefault(record.nonce, Outcome(offset, accepted))
    while len(state.outcomes) > KEPT_OUTCOMES:
        state.outcomes.popitem(last=False)
    if not accepted:
        return Effect.CONFLICT
    state.anchored = True
    return put_in_force(state, offset, record)


def take_copy(state: ConfigurationState, copy: ConfigRecord) -> Effect:
    """Take over an accepted version from a copy in the stream or from another VM.

    The fold is exact again from where the copy's writer had read to, and from the
    offset after the version itself, if this VM can read on from there.
    """
    if copy.version < state.head or (copy.version == state.head and state.anchored):
        return Effect.NOTHING
    resume = max(copy.base, copy.version + 1)
    if resume >= state.first_offset:
        state.anchored = True
        state.next_offset = resume
    if copy.version == state.head:
        return Effect.NOTHING
    return put_in_force(state, copy.version, copy)


def finish_catching_up(state: ConfigurationState) -> None:
    """Put in force what was read while the VM was starting."""
    state.caught_up = True
    state.current = state.latest


def put_in_force(
    state: ConfigurationState, version: int, record: ConfigRecord
) -> Effect:
    """Make a version the one accepted last and, if it can be read, the current."""
    state.head = version
    state.head_record = record
    try:
        objects = read_objects(record)
    except CuminstileError:
        return Effect.UNUSABLE
    state.latest = Configuration(version, collect(objects), record, objects)
    state.history[version] = state.latest
    if state.caught_up:
        state.current = state.latest
    while len(state.history) > KEPT_VERSIONS:
        state.history.popitem(last=False)
    return Effect.IN_FORCE


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

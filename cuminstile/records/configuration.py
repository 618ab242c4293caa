"""Fold the platform's `config` stream into the configuration in force."""

from collections import OrderedDict
from dataclasses import dataclass, field, replace
from enum import StrEnum

from ..const import CHANGES_FORMAT
from ..exceptions import CuminstileError
from ..objects.collection import ObjectSet, index_objects
from ..objects.model import AnyObject
from ..wire import bad_message
from .config_record import (
    ANY_BASE,
    NO_VERSION,
    ConfigRecord,
    decode,
    make_record,
    read_objects,
    reset_base,
)

KEPT_OUTCOMES = 256
KEPT_VERSIONS = 16


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


@dataclass
class InForce:
    """Hold since when a version has been in force on this VM, in monotonic ms."""

    version: int = NO_VERSION
    since_ms: float = 0.0

    def note(self, version: int, now_ms: float) -> None:
        """Note the version in force; the same one again changes nothing."""
        if version != self.version:
            self.version, self.since_ms = version, now_ms


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
    asked_ms : float
        Monotonic time at which another VM was asked for its version.
    """

    current: Configuration | None = None
    latest: Configuration | None = None
    head: int = NO_VERSION
    head_record: ConfigRecord | None = None
    next_offset: int = 0
    first_offset: int = 0
    head_confirmed: bool = True
    caught_up: bool = False
    anchor_offset: int = 0
    anchor_time_ms: int = 0
    trimmed_to: int = 0
    outcomes: "OrderedDict[str, Outcome]" = field(default_factory=OrderedDict)
    history: "OrderedDict[int, Configuration]" = field(default_factory=OrderedDict)
    asked_ms: float = float("-inf")

    @property
    def has_head_objects(self) -> bool:
        """Return whether this VM has the objects of the version accepted last."""
        return self.latest is not None and self.latest.version == self.head

    @property
    def version(self) -> int:
        """Return the version in force on this VM, -1 for none."""
        return self.current.version if self.current else NO_VERSION


def make_copy(state: ConfigurationState) -> ConfigRecord | None:
    """Return a whole copy of the version accepted last.

    `None` if there is none, or if this VM knows only what changed in it.
    """
    record = state.head_record
    if record is None:
        return None
    if record.format == CHANGES_FORMAT:
        if not state.has_head_objects or state.latest is None:
            return None
        record = make_record(record.base, record.nonce, state.latest.items)
    read_up_to = state.next_offset if state.head_confirmed else NO_VERSION
    return replace(record, version=state.head, base=read_up_to)


def note_gap(state: ConfigurationState, first_offset: int) -> None:
    """Go on reading at `first_offset`: what was before it has been trimmed."""
    state.trimmed_to = max(state.trimmed_to, first_offset)
    if first_offset <= state.next_offset:
        return  # Another read or another VM has brought this one past the gap.
    state.next_offset = first_offset
    state.first_offset = first_offset
    state.head_confirmed = state.head + 1 >= first_offset


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
    if offset != state.next_offset:
        # Another read came first, or a copy has asked for another place to read on.
        return Effect.NOTHING
    state.next_offset = offset + 1
    if offset == 0:
        state.anchor_time_ms = time_ms
    record = decode(payload)
    if record.version > NO_VERSION:
        if record.version >= offset or record.base > offset:
            raise bad_message("a copy of what comes after it")
        if record.base > NO_VERSION:
            state.anchor_offset = record.base
            state.anchor_time_ms = time_ms
        return take_copy(state, record)
    if offset <= state.head:
        return Effect.NOTHING
    return take_publication(state, offset, record)


def take_publication(
    state: ConfigurationState, offset: int, record: ConfigRecord
) -> Effect:
    """Accept or reject one publication."""
    is_reset = record.base <= ANY_BASE
    if not is_reset and not state.head_confirmed:
        return Effect.UNDECIDED
    accepted = record.base in (reset_base(offset), state.head)
    state.outcomes.setdefault(record.nonce, Outcome(offset, accepted))
    while len(state.outcomes) > KEPT_OUTCOMES:
        state.outcomes.popitem(last=False)
    if not accepted:
        return Effect.CONFLICT
    state.head_confirmed = True
    return set_configuration(state, offset, record)


def take_copy(state: ConfigurationState, copy: ConfigRecord) -> Effect:
    """Take over an accepted version from a copy in the stream or from another VM.

    The fold is exact again from where the copy's writer had read to, and from the
    offset after the version itself, if this VM can read on from there.
    """
    if copy.format == CHANGES_FORMAT:
        return Effect.NOTHING  # A copy stands for itself or it is none.
    is_known = copy.version == state.head and is_readable(state)
    if copy.version < state.head or (is_known and state.head_confirmed):
        return Effect.NOTHING
    resume = max(copy.base, copy.version + 1)
    if resume >= state.first_offset:
        state.head_confirmed = True
        state.next_offset = resume
    if is_known:
        return Effect.NOTHING
    return set_configuration(state, copy.version, copy)


def is_readable(state: ConfigurationState) -> bool:
    """Return whether a copy of the version accepted last would tell nothing new.

    It would where this VM has only changes to a version that it does not know.
    """
    record = state.head_record
    return record is None or record.format != CHANGES_FORMAT or state.has_head_objects


def finish_catching_up(state: ConfigurationState) -> None:
    """Put in force what was read while the VM was starting."""
    state.caught_up = True
    state.current = state.latest


def set_configuration(
    state: ConfigurationState, version: int, record: ConfigRecord
) -> Effect:
    """Make a version the one accepted last and, if it can be read, the current."""
    before = state.latest.items if state.latest and state.has_head_objects else None
    state.head = version
    state.head_record = record
    try:
        objects = read_objects(record, before)
    except CuminstileError:
        return Effect.UNUSABLE
    state.latest = Configuration(version, index_objects(objects), record, objects)
    state.history[version] = state.latest
    if state.caught_up:
        state.current = state.latest
    while len(state.history) > KEPT_VERSIONS:
        state.history.popitem(last=False)
    return Effect.IN_FORCE

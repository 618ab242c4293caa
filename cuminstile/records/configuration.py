"""Projection of the platform's `config` stream: the configuration in force."""

from collections import OrderedDict
from dataclasses import dataclass, field, replace
from enum import StrEnum

from ..const import CHANGES_FORMAT
from ..exceptions import CuminstileError
from ..message_codec import bad_message
from ..objects.collection import ObjectSet, index_objects
from ..objects.model import AnyObject
from .config_record import (
    ANY_BASE,
    NO_VERSION,
    ConfigRecord,
    decode,
    make_record,
    read_objects,
    reset_base,
)

MAX_OUTCOMES = 256
MAX_VERSIONS = 16


class Effect(StrEnum):
    """Effect of a record of the stream.

    `UNUSABLE` means that it was accepted, as on every VM, but has objects that this
    release can't read, so that the objects in force stay. `UNDECIDED` means that
    this VM can't decide, because it has not read the records before it.
    """

    IN_FORCE = "in_force"
    UNUSABLE = "unusable"
    CONFLICT = "conflict"
    UNDECIDED = "undecided"
    NOTHING = "nothing"


@dataclass(frozen=True)
class Configuration:
    """A configuration; its version is the offset of its record."""

    version: int
    objects: ObjectSet
    record: ConfigRecord
    items: tuple[AnyObject, ...] = ()


@dataclass
class InForce:
    """The version in force on this VM, and since when, in monotonic ms."""

    version: int = NO_VERSION
    since_ms: float = 0.0

    def update(self, version: int, now_ms: float) -> None:
        """Set the version in force; has no effect if it is the same one."""
        if version != self.version:
            self.version, self.since_ms = version, now_ms


@dataclass(frozen=True)
class Outcome:
    """Outcome of a publication: its offset, and whether it was accepted."""

    offset: int
    accepted: bool


@dataclass
class ConfigurationState:
    """State that this VM has built from the stream; versions only increase.

    Parameters
    ----------
    current : Configuration or None
        The configuration in force on this VM.
    latest : Configuration or None
        The newest version whose objects this release can read; it comes into force
        once the VM has caught up.
    head : int
        The last accepted version, -1 for none. It is above the version of `latest`
        only while this VM can't read its objects.
    head_record : ConfigRecord or None
        The record of that version.
    next_offset : int
        The offset of the next record to read.
    first_offset : int
        The oldest offset that could be read since the last gap.
    head_confirmed : bool
        Whether `head` is known to be the version in force at `next_offset`. It is
        not after a gap, because a trimmed record may have been accepted.
    caught_up : bool
        Whether the stream has been read to its end once, or another VM has sent its
        version. Nothing is in force before that, so that a starting VM does not
        serve a configuration that was replaced long ago.
    replay_offset, replay_offset_time_ms : int
        The offset from which a new reader gets the exact state, and the platform's
        time of the record that provides it: the newest copy, or the first record.
    trimmed_to : int
        The oldest offset that the platform still has, as far as it has reported.
    outcomes : dict of str to Outcome
        The outcomes of the latest publications, by nonce.
    history : dict of int to Configuration
        The latest versions, to compute what has changed since.
    last_request_ms : float
        Monotonic time at which another VM was last asked for its version.
    """

    current: Configuration | None = None
    latest: Configuration | None = None
    head: int = NO_VERSION
    head_record: ConfigRecord | None = None
    next_offset: int = 0
    first_offset: int = 0
    head_confirmed: bool = True
    caught_up: bool = False
    replay_offset: int = 0
    replay_offset_time_ms: int = 0
    trimmed_to: int = 0
    outcomes: "OrderedDict[str, Outcome]" = field(default_factory=OrderedDict)
    history: "OrderedDict[int, Configuration]" = field(default_factory=OrderedDict)
    last_request_ms: float = float("-inf")

    @property
    def has_head_objects(self) -> bool:
        """Return whether this VM has the objects of the last accepted version."""
        return self.latest is not None and self.latest.version == self.head

    @property
    def version(self) -> int:
        """Return the version in force on this VM, -1 for none."""
        return self.current.version if self.current else NO_VERSION


def make_copy(state: ConfigurationState) -> ConfigRecord | None:
    """Return a full copy of the last accepted version.

    `None` if there is none, or if this VM has only the changes to its base.
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


def skip_gap(state: ConfigurationState, first_offset: int) -> None:
    """Continue reading at `first_offset`; the records before it were trimmed."""
    state.trimmed_to = max(state.trimmed_to, first_offset)
    if first_offset <= state.next_offset:
        return  # Another read or a copy from another VM has already passed the gap.
    state.next_offset = first_offset
    state.first_offset = first_offset
    state.head_confirmed = state.head + 1 >= first_offset


def apply_record(
    state: ConfigurationState, offset: int, payload: bytes, time_ms: int = 0
) -> Effect:
    """Apply one record of the stream, in the order of offsets.

    A publication is accepted if and only if its base is the last accepted version.
    This depends on its base and checksum only, never on the reader's release.

    Parameters
    ----------
    time_ms : int
        The platform's time of the record, in ms since 1970 UTC.

    Raises
    ------
    CuminstileError
        With `BAD_MESSAGE` if the record is malformed; no reader accepts it.
    """
    if offset != state.next_offset:
        # Another read has applied it, or a copy has moved the offset to continue from.
        return Effect.NOTHING
    state.next_offset = offset + 1
    if offset == 0:
        state.replay_offset_time_ms = time_ms
    record = decode(payload)
    if record.version > NO_VERSION:
        if record.version >= offset or record.base > offset:
            raise bad_message("the copy refers to itself or to later records")
        if record.base > NO_VERSION:
            state.replay_offset = record.base
            state.replay_offset_time_ms = time_ms
        return apply_copy(state, record)
    if offset <= state.head:
        return Effect.NOTHING
    return apply_publication(state, offset, record)


def apply_publication(
    state: ConfigurationState, offset: int, record: ConfigRecord
) -> Effect:
    """Accept or reject one publication."""
    is_reset = record.base <= ANY_BASE
    if not is_reset and not state.head_confirmed:
        return Effect.UNDECIDED
    accepted = record.base in (reset_base(offset), state.head)
    state.outcomes.setdefault(record.nonce, Outcome(offset, accepted))
    while len(state.outcomes) > MAX_OUTCOMES:
        state.outcomes.popitem(last=False)
    if not accepted:
        return Effect.CONFLICT
    state.head_confirmed = True
    return set_configuration(state, offset, record)


def apply_copy(state: ConfigurationState, copy: ConfigRecord) -> Effect:
    """Apply an accepted version from a copy in the stream or from another VM.

    The state is exact again from the later of two offsets, if this VM can read on
    from there: the one up to which the copy's writer had read, and the one after
    the version itself.
    """
    if copy.format == CHANGES_FORMAT:
        return Effect.NOTHING  # A copy must be a whole set.
    is_known = copy.version == state.head and is_head_readable(state)
    if copy.version < state.head or (is_known and state.head_confirmed):
        return Effect.NOTHING
    resume = max(copy.base, copy.version + 1)
    if resume >= state.first_offset:
        state.head_confirmed = True
        state.next_offset = resume
    if is_known:
        return Effect.NOTHING
    return set_configuration(state, copy.version, copy)


def is_head_readable(state: ConfigurationState) -> bool:
    """Return whether this VM needs no copy of the last accepted version.

    It needs one if it has only the changes to a version whose objects it lacks.
    """
    record = state.head_record
    return record is None or record.format != CHANGES_FORMAT or state.has_head_objects


def finish_catching_up(state: ConfigurationState) -> None:
    """Put in force the latest version read while the VM was starting."""
    state.caught_up = True
    state.current = state.latest


def set_configuration(
    state: ConfigurationState, version: int, record: ConfigRecord
) -> Effect:
    """Set the last accepted version and, if it can be read, the latest and current."""
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
    while len(state.history) > MAX_VERSIONS:
        state.history.popitem(last=False)
    return Effect.IN_FORCE

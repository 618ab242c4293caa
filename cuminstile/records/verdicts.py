"""Projection of the platform's `moves` stream: the first verdict on a move counts."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

from pydantic.dataclasses import dataclass as wire_dataclass

from ..exceptions import CuminstileError
from ..objects.collection import ObjectSet
from ..objects.model import TrafficMove
from ..wire import Message, make_codec
from .client import Record

FROM_PEER_OFFSET = -1
VERDICT_FORMAT = 1
MAX_VERDICTS = 4_096


class Verdict(IntEnum):
    """How a move ended; `NONE` while it has not."""

    NONE = 0
    DONE = 1
    TAKEN_BACK = 2


@wire_dataclass(frozen=True)
class VerdictRecord(Message):
    """The verdict on one move as recorded in the log.

    Parameters
    ----------
    number : int
        The move's number; see `moves.number_of`.
    nonce : str
        Distinguishes the appends of different VMs for readers of the log.
    version_in_use : str
        The version that the stage uses after the move. A move that was void from
        its start leaves the version that was in use before.
    """

    format: int
    number: int
    nonce: str
    verdict: Verdict
    version_in_use: str
    reason: str
    vm: str
    name: str
    stage: str
    from_version: str
    to_version: str
    start_at_ms: int
    finish_by_ms: int


RECORD_CODEC = make_codec(((1, VerdictRecord),))


@dataclass(frozen=True)
class KnownVerdict:
    """The verdict on a move, with the offset of its record.

    Parameters
    ----------
    offset : int
        -1 if the verdict came from another VM and not from the log.
    written_ms : int
        The platform's time of the newest record or copy, in ms since 1970 UTC.
    """

    record: VerdictRecord
    offset: int
    written_ms: int


@dataclass
class VerdictState:
    """Every verdict that this VM knows.

    Parameters
    ----------
    caught_up : bool
        Whether the stream has been read to its end once.
    """

    by_number: dict[int, KnownVerdict] = field(default_factory=dict)
    next_offset: int = 0
    caught_up: bool = False

    def of(self, number: int) -> Verdict:
        """Return the verdict on a move."""
        known = self.by_number.get(number)
        return known.record.verdict if known else Verdict.NONE

    def apply(self, record: Record) -> KnownVerdict | None:
        """Apply one record; return the verdict if it is new to this VM.

        Raises
        ------
        CuminstileError
            With `BAD_MESSAGE` if the record is malformed; every reader skips it.
        """
        self.next_offset = max(self.next_offset, record.offset + 1)
        verdict: VerdictRecord = RECORD_CODEC.decode(record.payload)
        held = self.by_number.get(verdict.number)
        if held is not None and held.offset != FROM_PEER_OFFSET:
            # A copy, or a verdict that another VM appended after the first one.
            first, offset = held.record, held.offset
            self.by_number[verdict.number] = KnownVerdict(first, offset, record.time_ms)
            return None
        known = KnownVerdict(verdict, record.offset, record.time_ms)
        self.by_number[verdict.number] = known
        self.forget_oldest()
        is_same = held is not None and held.record.verdict == verdict.verdict
        return None if is_same else known

    def apply_from_peer(self, record: VerdictRecord) -> bool:
        """Apply a verdict from another VM; return whether it was new."""
        if record.number in self.by_number:
            return False
        self.by_number[record.number] = KnownVerdict(record, FROM_PEER_OFFSET, 0)
        self.forget_oldest()
        return True

    def forget_oldest(self) -> None:
        """Drop the verdicts of the oldest moves when there are too many."""
        while len(self.by_number) > MAX_VERDICTS:
            oldest = min(self.by_number, key=self.start_of)
            del self.by_number[oldest]

    def start_of(self, number: int) -> int:
        """Return the start of a move with a verdict, in ms since 1970 UTC."""
        return self.by_number[number].record.start_at_ms


def make_verdict(
    move: TrafficMove,
    number: int,
    verdict: Verdict,
    version_in_use: str,
    reason: str,
    vm: str,
    nonce: str,
) -> VerdictRecord:
    """Return the record of a verdict on a move."""
    return VerdictRecord(
        VERDICT_FORMAT,
        number,
        nonce,
        verdict,
        version_in_use,
        reason,
        vm,
        move.name,
        move.stage,
        move.from_version,
        move.to_version,
        move.start_at_ms,
        move.finish_by_ms,
    )


def settled_version(
    objects: ObjectSet, verdicts: Iterable[KnownVerdict], stage: str
) -> str:
    """Return the version that a stage uses, leaving aside a move in progress.

    That is its only version, or the one that the last ended move of the stage left
    in use, or the one that its first published move starts from, or the first by
    name. Empty if the stage has no version.
    """
    names = [version.name for version in objects.versions_by_stage.get(stage, ())]
    if len(names) <= 1:
        return names[0] if names else ""
    ended = sorted(
        (known.record.start_at_ms, known.offset, known.record.version_in_use)
        for known in verdicts
        if known.record.stage == stage
    )
    for _, _, version in reversed(ended):
        if version in names:
            return version
    starts = sorted(
        (move.start_at_ms, move.from_version)
        for move in objects.moves.values()
        if move.stage == stage
    )
    return starts[0][1] if starts else sorted(names)[0]


def decode_verdict(payload: bytes) -> VerdictRecord | None:
    """Return the verdict in a payload from another VM, or `None` if malformed."""
    try:
        record: VerdictRecord = RECORD_CODEC.decode(payload)
    except CuminstileError:
        return None
    return record

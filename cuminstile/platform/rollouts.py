"""Translate the marks of versions into records of the platform's store."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import orjson

from ..eras.position import Position
from ..gateway.following import StoreCallError
from ..rollouts.keeper import StoredMarks
from ..rollouts.marks import VersionMark
from .store import StoreClient, framed

MARK_TOPIC = "keyed.versions"
MARK_KEY = "marks"
QUERY = {"topic": MARK_TOPIC, "part": 0}


def encode_marks(marks: Sequence[VersionMark]) -> bytes:
    """Return the value of the record of all marks."""
    return orjson.dumps(
        [
            [one.service, one.version, one.since.era, one.since.offset, one.in_service]
            for one in marks
        ]
    )


def decode_marks(value: bytes) -> tuple[VersionMark, ...]:
    """Return the marks in a value; raises `ValueError`, `TypeError`."""
    return tuple(
        VersionMark(str(service), str(version), Position(int(era), int(offset)), served)
        for service, version, era, offset, served in orjson.loads(value)
    )


@dataclass
class MarkLog:
    """The marks of versions in a topic of the platform's store."""

    store: StoreClient

    async def read(self) -> StoredMarks:
        """Return all marks; a topic that was never written to has none.

        Raises
        ------
        StoreCallError
            If the store doesn't answer.
        """
        page = await self.store.newest(MARK_TOPIC, may_be_missing=True)
        marks: tuple[VersionMark, ...] = ()
        for record in page.records:
            if record.key == MARK_KEY and record.value is not None:
                try:
                    marks = decode_marks(record.value)
                except (TypeError, ValueError):
                    # A record of another writer: the marks are written anew.
                    marks = ()
        return StoredMarks(marks, page.end)

    async def append(self, at: Position, marks: tuple[VersionMark, ...]) -> bool:
        """Append all marks if the log ends at a position; return whether it did.

        Raises
        ------
        StoreCallError
            If the store doesn't answer; the record may still be appended later.
        """
        body = framed(MARK_KEY, encode_marks(marks))
        query = {**QUERY, "at": at.offset}
        head, _ = await self.store.call(
            b"POST", "/api/log-append", query, body, alone=True
        )
        if head.status == 412 or self.store.position(head, 0).era != at.era:
            return False
        if head.status != 200:
            raise StoreCallError(f"append to {MARK_TOPIC}: {head.status}", None)
        return True

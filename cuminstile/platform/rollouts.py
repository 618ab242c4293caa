"""Translate the marks of versions into records of the platform's store."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import orjson

from ..eras.position import Position
from ..rollouts.keeper import StoredMarks
from ..rollouts.marks import VersionMark
from .store import StoreClient, framed

MARK_TOPIC = "keyed.versions"
MARK_KEY = "marks"


def encode_marks(marks: Sequence[VersionMark]) -> bytes:
    """Return the value of the record of all marks."""
    return orjson.dumps(
        [
            [one.service, one.version, one.since.era, one.since.offset, one.in_service]
            for one in marks
        ]
    )


def decode_marks(value: bytes | None) -> tuple[VersionMark, ...]:
    """Return the marks in a value; none in that of another writer."""
    try:
        return tuple(
            VersionMark(
                str(service), str(version), Position(int(era), int(offset)), served
            )
            for service, version, era, offset, served in orjson.loads(value or b"[]")
        )
    except (TypeError, ValueError):
        return ()


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
        values = {record.key: record.value for record in page.records}
        return StoredMarks(decode_marks(values.get(MARK_KEY)), page.end)

    async def append(self, at: Position, marks: tuple[VersionMark, ...]) -> bool:
        """Append all marks if the log ends at a position; return whether it did.

        Raises
        ------
        StoreCallError
            If the store doesn't answer; the record may still be appended later.
        """
        record = framed(MARK_KEY, encode_marks(marks))
        return await self.store.append(MARK_TOPIC, record, at) is not None

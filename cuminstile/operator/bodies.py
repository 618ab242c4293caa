"""Check the bodies that operators send and shape those that they get."""

from dataclasses import dataclass
from typing import Annotated, Any

from pydantic import ConfigDict, Field, TypeAdapter, with_config
from starlette.requests import Request

from ..events import EventRecord
from ..exceptions import Finding
from ..http_body import malformed, parse_body, read_body

MAX_PUBLISH_BYTES = 3 * 1024 * 1024


@with_config(ConfigDict(extra="forbid"))
@dataclass(frozen=True)
class PublishBody:
    """Hold the body of a publication.

    Parameters
    ----------
    base : int
        The version that the objects replace: -1 for none, -2 for any.
    nonce : str
        The same whenever the same publication is asked for again.
    """

    base: Annotated[int, Field(strict=True, ge=-2, le=2**53)]
    nonce: Annotated[str, Field(min_length=8, max_length=64)]
    objects: list[Any]


PUBLISH_BODY: TypeAdapter[PublishBody] = TypeAdapter(PublishBody)


async def read_publish_body(http: Request) -> PublishBody:
    """Read and check the body of a publication.

    Raises
    ------
    CuminstileError
        With `BODY_TOO_LARGE`, `BODY_TIMEOUT`, or `MALFORMED_BODY` and every finding.
    """
    return parse_publish_body(await read_body(http, MAX_PUBLISH_BYTES))


def parse_publish_body(data: bytes) -> PublishBody:
    """Return the checked body of a publication.

    Raises
    ------
    CuminstileError
        With `MALFORMED_BODY` and every finding.
    """
    return parse_body(PUBLISH_BODY, data)


def number_of(http: Request, name: str, default: int, largest: int) -> int:
    """Return a number from the query of a request.

    Raises
    ------
    CuminstileError
        With `MALFORMED_BODY` if it is none from 0 to `largest`.
    """
    text = http.query_params.get(name, str(default))
    if not text.isascii() or not text.isdigit() or len(text) > len(str(largest)):
        message = f"a number from 0 to {largest} is expected"
        raise malformed((Finding("", name, "bad_number", message),))
    return min(int(text), largest)


def event_body(record: EventRecord) -> dict[str, Any]:
    """Return one event as plain data."""
    return {
        "stamp": [record.stamp.wall_ms, record.stamp.count],
        "vm": record.vm,
        "event": record.event.value,
        "name": record.event.name.lower(),
        "fields": dict(record.fields),
    }

"""Parse the bodies of operators' requests and build the bodies of responses."""

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
    """Body of a request to publish a set of objects.

    Parameters
    ----------
    base : int
        The version that the objects replace: -1 for none, -2 for any.
    nonce : str
        Identifies the publication; a retry has the same nonce.
    objects : list
        Every object of the new version, as plain data.
    """

    base: Annotated[int, Field(strict=True, ge=-2, le=2**53)]
    nonce: Annotated[str, Field(min_length=8, max_length=64)]
    objects: list[Any]


PUBLISH_BODY: TypeAdapter[PublishBody] = TypeAdapter(PublishBody)


async def read_publish_body(http: Request) -> PublishBody:
    """Read, parse and validate the body of a publication.

    Raises
    ------
    CuminstileError
        With `BODY_TOO_LARGE`, `BODY_TIMEOUT`, or `MALFORMED_BODY` and every finding.
    """
    return parse_publish_body(await read_body(http, MAX_PUBLISH_BYTES))


def parse_publish_body(data: bytes) -> PublishBody:
    """Parse and validate the body of a publication.

    Raises
    ------
    CuminstileError
        With `MALFORMED_BODY` and every finding.
    """
    return parse_body(PUBLISH_BODY, data)


def query_number(http: Request, name: str, default: int, largest: int) -> int:
    """Return a number from the query string of a request, at most `largest`.

    Raises
    ------
    CuminstileError
        With `MALFORMED_BODY` if the value is not a decimal number or has more digits
        than `largest`.
    """
    text = http.query_params.get(name, str(default))
    if not text.isascii() or not text.isdigit() or len(text) > len(str(largest)):
        message = f"a number from 0 to {largest} is expected"
        raise malformed((Finding("", name, "bad_number", message),))
    return min(int(text), largest)


def event_body(record: EventRecord) -> dict[str, Any]:
    """Return one event of the journal as plain data."""
    return {
        "stamp": [record.stamp.wall_ms, record.stamp.count],
        "vm": record.vm,
        "event": record.event.value,
        "name": record.event.name.lower(),
        "fields": dict(record.fields),
    }

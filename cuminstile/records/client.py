"""HTTP client of the platform: streams, the VM list and the weight store."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass
from io import BytesIO
from typing import Any
from urllib.parse import quote

import anyio
import cbor2
from pydantic import TypeAdapter, ValidationError

from ..const import CONNECT_TIMEOUT_MS, MAX_BODY_BYTES, PLATFORM_TIMEOUT_MS
from ..exceptions import PlatformUnavailableError, TrimmedError
from ..gateway.answers import ConnectionLostError
from ..gateway.connection_pool import ConnectionPool
from ..gateway.http_client import HttpConnection, open_connection, render_request


@dataclass(frozen=True)
class Record:
    """One record of a stream; `time_ms` is platform time, in ms since 1970 UTC."""

    offset: int
    time_ms: int
    payload: bytes


@dataclass(frozen=True)
class Records:
    """Result of one read.

    Parameters
    ----------
    next_offset : int
        The offset of the next read.
    first_offset : int
        The oldest offset that the stream still has.
    """

    records: tuple[Record, ...]
    next_offset: int
    first_offset: int


@dataclass(frozen=True)
class ListedVm:
    """One entry of the platform's VM list, which lags behind.

    Parameters
    ----------
    address : str
        `host:port` of the VM port.
    state : str
        `live` or `leaving`.
    age_ms : int
        Age of the entry.
    """

    name: str
    data_centre: str
    address: str
    state: str
    age_ms: int


LISTED_VMS: TypeAdapter[tuple[ListedVm, ...]] = TypeAdapter(tuple[ListedVm, ...])
RAW_RECORDS: TypeAdapter[tuple[tuple[int, int, bytes], ...]] = TypeAdapter(
    tuple[tuple[int, int, bytes], ...]
)

MAX_READ_BYTES = 500 * MAX_BODY_BYTES
"""Size of the largest accepted answer: as many records as a read returns."""
Body = dict[str, Any]


@dataclass
class PlatformClient:
    """HTTP client of one platform.

    Answers don't name their request, so a second answer to a call looks like that to
    the next one. Each call gets a connection of its own, on which no other answer can
    be due. Only reads that wait for records share connections, by their stream: their
    answer is checked against what was asked; one without records says what is known.

    Parameters
    ----------
    address : str
        `host:port` of the platform.
    key : str
        Sent as a bearer token; empty for none.
    pool : ConnectionPool
        Idle connections by the stream that is read on them.
    """

    address: str
    key: str
    pool: ConnectionPool

    async def append(self, stream: str, payload: bytes) -> int:
        """Append one record and return its offset.

        Raises
        ------
        PlatformUnavailableError
            If there was no valid answer; the append may have taken effect.
        """
        body = await self.call("POST", f"/streams/{stream}", payload)
        return offset_of(body, "offset")

    async def read(
        self, stream: str, offset: int, limit: int = 500, wait_ms: int = 0
    ) -> Records:
        """Return up to `limit` records from `offset` on.

        Waits up to `wait_ms` if there are none yet.

        Raises
        ------
        TrimmedError
            If the offset is older than the stream's first record.
        PlatformUnavailableError
            If there was no valid answer.
        """
        path = f"/streams/{stream}?offset={offset}&limit={limit}&wait_ms={wait_ms}"
        shared = stream if wait_ms else ""
        limit_ms = PLATFORM_TIMEOUT_MS + wait_ms
        async with self.connection_for(shared, limit_ms) as connection:
            is_used = connection.requests > 0
            body = await self.exchange(connection, "GET", path)
            if is_used and not answers_read(body, offset):
                raise PlatformUnavailableError("the platform answered an earlier read")
        if "records" not in body:
            raise TrimmedError(stream, offset_of(body, "first"))
        return page_of(body)

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return the platform's list of VMs, which lags behind.

        Raises
        ------
        PlatformUnavailableError
            If there was no valid answer.
        """
        body = await self.call("GET", "/vms")
        try:
            return LISTED_VMS.validate_python(field_of(body, "vms"))
        except ValidationError as error:
            raise PlatformUnavailableError(
                "the platform sent a malformed VM list"
            ) from error

    async def acquire_weights(self, name: str) -> int:
        """Request one load of weights; return how long to wait before a retry, in ms.

        0 means that the load is granted.

        Raises
        ------
        PlatformUnavailableError
            If there was no valid answer.
        """
        body = await self.call("POST", f"/weights/{quote(name, safe='')}")
        return offset_of(body, "retry_after_ms") if "granted" not in body else 0

    async def call(self, method: str, path: str, content: bytes = b"") -> Body:
        """Send one request on a connection of its own; return the decoded body.

        Raises
        ------
        PlatformUnavailableError
            If there was no valid answer.
        """
        async with self.connection_for("", PLATFORM_TIMEOUT_MS) as connection:
            return await self.exchange(connection, method, path, content)

    @asynccontextmanager
    async def connection_for(
        self, stream: str, limit_ms: float
    ) -> AsyncIterator[HttpConnection]:
        """Yield a connection for at most a time.

        Calls for the same stream share connections, which are closed after an error.
        Without a stream the connection is new, and closed afterwards.

        Raises
        ------
        PlatformUnavailableError
            If the connection can't be opened or is lost, or if the time is over.
        """
        try:
            with anyio.fail_after(limit_ms / 1000.0):
                async with self.open(stream) as connection:
                    connection.parser.may_quote = True
                    yield connection
        except (ConnectionLostError, TimeoutError) as error:
            raise PlatformUnavailableError(
                f"the platform did not answer: {error}"
            ) from error

    def open(self, stream: str) -> AbstractAsyncContextManager[HttpConnection]:
        """Return a connection shared by the calls for a stream, or one used once."""
        if stream:
            return self.pool.connection(
                stream, self.address, now_ms, CONNECT_TIMEOUT_MS
            )
        return connection_used_once(self.address, CONNECT_TIMEOUT_MS)

    async def exchange(
        self,
        connection: HttpConnection,
        method: str,
        path: str,
        content: bytes = b"",
    ) -> Body:
        """Send one request and return the decoded body of a 200, 410 or 429 response.

        Raises
        ------
        ConnectionLostError
            If the connection ends before the response.
        PlatformUnavailableError
            If the response is not valid.
        """
        headers = [(b"Host", self.address.encode())]
        if self.key:
            headers.append((b"Authorization", b"Bearer " + self.key.encode()))
        target = path.encode()
        connection.send(render_request(method.encode(), target, headers, content))
        head = await connection.receive_head()
        data = await connection.receive_rest(MAX_READ_BYTES)
        if head.status not in (200, 410, 429):
            raise PlatformUnavailableError(
                f"the platform answered with status {head.status}"
            )
        return decode_body(data)


@asynccontextmanager
async def connection_used_once(
    address: str, timeout_ms: float
) -> AsyncIterator[HttpConnection]:
    """Yield a new connection, which is closed afterwards.

    Raises
    ------
    ConnectionLostError
        If it can't be opened.
    """
    connection = await open_connection(address, timeout_ms)
    try:
        yield connection
    finally:
        connection.close("the call is over")


def now_ms() -> float:
    """Return the event loop's time, by which idle connections expire."""
    return anyio.current_time() * 1000.0


def decode_body(data: bytes) -> Body:
    """Return the fields of an answer, which must be the only value in its body.

    A body without a length goes on to the end of the connection, also over the head of
    another answer.

    Raises
    ------
    PlatformUnavailableError
        If the body is not one map in CBOR.
    """
    source = BytesIO(data)
    try:
        body = cbor2.CBORDecoder(source).decode()
    except Exception as error:
        raise PlatformUnavailableError(
            "the platform's answer is not valid CBOR"
        ) from error
    if source.read(1):
        raise PlatformUnavailableError("the platform's answer goes on behind its value")
    if not isinstance(body, dict):
        raise PlatformUnavailableError("the platform's answer is not a map of fields")
    return body


def page_of(body: Body) -> Records:
    """Return the page of records in the platform's answer.

    Raises
    ------
    PlatformUnavailableError
        If it is malformed.
    """
    try:
        raw = RAW_RECORDS.validate_python(field_of(body, "records"))
    except ValidationError as error:
        raise PlatformUnavailableError("the platform sent malformed records") from error
    records = tuple(Record(*item) for item in raw)
    return Records(records, offset_of(body, "next"), offset_of(body, "first"))


def answers_read(body: Body, offset: int) -> bool:
    """Return whether an answer can be that to a read from an offset on.

    An answer to another read of the stream has records from another offset on, or says
    that other records are gone.
    """
    if "records" not in body:
        return offset_of(body, "first") > offset
    page = page_of(body)
    start = page.records[0].offset if page.records else page.next_offset
    return start == offset


def field_of(body: dict[str, Any], name: str) -> Any:
    """Return one field of the platform's answer.

    Raises
    ------
    PlatformUnavailableError
        If the field is missing.
    """
    if name not in body:
        raise PlatformUnavailableError(f"the platform's answer has no field {name}")
    return body[name]


def offset_of(body: dict[str, Any], name: str) -> int:
    """Return an integer field of the platform's answer, such as an offset.

    Raises
    ------
    PlatformUnavailableError
        If the field is missing or not a non-negative integer.
    """
    value = field_of(body, name)
    if type(value) is not int or value < 0:
        raise PlatformUnavailableError(
            f"the platform's {name} is not a non-negative integer"
        )
    return value


def make_platform_client(address: str, key: str) -> PlatformClient:
    """Return a client with its own connection pool."""
    return PlatformClient(address, key, ConnectionPool({}))

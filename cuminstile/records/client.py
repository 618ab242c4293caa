"""HTTP client of the platform: streams, the VM list and the weight store."""

from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import anyio
import cbor2
import httpcore
from pydantic import TypeAdapter, ValidationError

from ..const import CONNECT_TIMEOUT_MS, PLATFORM_TIMEOUT_MS
from ..exceptions import PlatformUnavailableError, TrimmedError


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

NO_ANSWER_ERRORS = (
    TimeoutError,
    OSError,
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


@dataclass
class PlatformClient:
    """HTTP client of one platform.

    Parameters
    ----------
    address : str
        `host:port` of the platform.
    key : str
        Sent as a bearer token; empty for none.
    """

    address: str
    key: str
    pool: httpcore.AsyncConnectionPool

    async def append(self, stream: str, payload: bytes) -> int:
        """Append one record and return its offset.

        Raises
        ------
        PlatformUnavailableError
            If there was no valid answer; the append may have taken effect.
        """
        body = await self.exchange("POST", f"/streams/{stream}", payload)
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
        body = await self.exchange("GET", path, b"", wait_ms)
        first_offset = offset_of(body, "first")
        if "records" not in body:
            raise TrimmedError(stream, first_offset)
        try:
            raw = RAW_RECORDS.validate_python(body["records"])
        except ValidationError as error:
            raise PlatformUnavailableError(
                "the platform sent malformed records"
            ) from error
        records = tuple(Record(*item) for item in raw)
        return Records(records, offset_of(body, "next"), first_offset)

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return the platform's list of VMs, which lags behind.

        Raises
        ------
        PlatformUnavailableError
            If there was no valid answer.
        """
        body = await self.exchange("GET", "/vms", b"")
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
        body = await self.exchange("POST", f"/weights/{quote(name, safe='')}", b"")
        return offset_of(body, "retry_after_ms") if "granted" not in body else 0

    async def exchange(
        self, method: str, path: str, content: bytes, wait_ms: int = 0
    ) -> dict[str, Any]:
        """Send one request and return the decoded body of a 200, 410 or 429 response.

        Raises
        ------
        PlatformUnavailableError
            If there was no valid answer.
        """
        headers = [("authorization", f"Bearer {self.key}")] if self.key else []
        timeout_s = (PLATFORM_TIMEOUT_MS + wait_ms) / 1000.0
        try:
            with anyio.fail_after(timeout_s):
                response = await self.pool.request(
                    method,
                    f"http://{self.address}{path}",
                    headers=headers,
                    content=content,
                    extensions={"timeout": {"connect": CONNECT_TIMEOUT_MS / 1000.0}},
                )
        except NO_ANSWER_ERRORS as error:
            raise PlatformUnavailableError(
                f"the platform did not answer the {method} request"
            ) from error
        if response.status not in (200, 410, 429):
            raise PlatformUnavailableError(
                f"the platform answered with status {response.status}"
            )
        try:
            body = cbor2.loads(response.content)
        except Exception as error:
            raise PlatformUnavailableError(
                "the platform's answer is not valid CBOR"
            ) from error
        if not isinstance(body, dict):
            raise PlatformUnavailableError(
                "the platform's answer is not a map of fields"
            )
        return body


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
    pool = httpcore.AsyncConnectionPool(max_connections=64, keepalive_expiry=30.0)
    return PlatformClient(address, key, pool)

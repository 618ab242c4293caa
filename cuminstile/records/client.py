"""Call the platform: append to streams, read them, list the VMs."""

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
    """Hold one record of a stream; `time_ms` is the platform's time of day."""

    offset: int
    time_ms: int
    payload: bytes


@dataclass(frozen=True)
class Records:
    """Hold the answer to one read.

    Parameters
    ----------
    next_offset : int
        Where to go on reading.
    first_offset : int
        The oldest offset that the stream still keeps.
    """

    records: tuple[Record, ...]
    next_offset: int
    first_offset: int


@dataclass(frozen=True)
class ListedVm:
    """Hold one entry of the platform's lagging VM list.

    Parameters
    ----------
    address : str
        `host:port` of the VM port.
    state : str
        `live` or `leaving`.
    age_ms : int
        How old the entry is.
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
    """Call one platform over HTTP.

    Parameters
    ----------
    address : str
        `host:port` of the platform.
    key : str
        Shown as a bearer token; empty for none.
    """

    address: str
    key: str
    pool: httpcore.AsyncConnectionPool

    async def append(self, stream: str, payload: bytes) -> int:
        """Append one record and return its offset.

        Raises
        ------
        PlatformAwayError
            If no answer came; the append may have taken effect.
        """
        body = await self.exchange("POST", f"/streams/{stream}", payload)
        return offset_of(body, "offset")

    async def read(
        self, stream: str, offset: int, limit: int = 500, wait_ms: int = 0
    ) -> Records:
        """Return up to `limit` records from `offset` on.

        Waits up to `wait_ms` while there is none.

        Raises
        ------
        TrimmedError
            If the offset is older than the stream's first record.
        PlatformAwayError
            If no answer came.
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
                "the platform's records are malformed"
            ) from error
        records = tuple(Record(*item) for item in raw)
        return Records(records, offset_of(body, "next"), first_offset)

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return the platform's list of VMs, which lags.

        Raises
        ------
        PlatformAwayError
            If no answer came.
        """
        body = await self.exchange("GET", "/vms", b"")
        try:
            return LISTED_VMS.validate_python(field_of(body, "vms"))
        except ValidationError as error:
            raise PlatformUnavailableError(
                "the platform's VM list is malformed"
            ) from error

    async def acquire_weights(self, name: str) -> int:
        """Ask the weight store for one load; return how long to wait before, in ms.

        0 means that it is granted.

        Raises
        ------
        PlatformAwayError
            If no answer came.
        """
        body = await self.exchange("POST", f"/weights/{quote(name, safe='')}", b"")
        return offset_of(body, "retry_after_ms") if "granted" not in body else 0

    async def exchange(
        self, method: str, path: str, content: bytes, wait_ms: int = 0
    ) -> dict[str, Any]:
        """Send one request and return the decoded body of 200, 410 or 429."""
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
            raise PlatformUnavailableError(f"{method} got no answer") from error
        if response.status not in (200, 410, 429):
            raise PlatformUnavailableError(f"the platform answered {response.status}")
        try:
            body = cbor2.loads(response.content)
        except Exception as error:
            raise PlatformUnavailableError(
                "the platform's answer is malformed"
            ) from error
        if not isinstance(body, dict):
            raise PlatformUnavailableError("the platform's answer is malformed")
        return body


def field_of(body: dict[str, Any], name: str) -> Any:
    """Return one field of the platform's answer.

    Raises
    ------
    PlatformAwayError
        If the field is missing.
    """
    if name not in body:
        raise PlatformUnavailableError(f"the platform's answer has no {name}")
    return body[name]


def offset_of(body: dict[str, Any], name: str) -> int:
    """Return one field of the platform's answer that holds an offset.

    Raises
    ------
    PlatformAwayError
        If the field is missing or holds something else.
    """
    value = field_of(body, name)
    if type(value) is not int or value < 0:
        raise PlatformUnavailableError(f"the platform's {name} is malformed")
    return value


def make_platform_client(address: str, key: str) -> PlatformClient:
    """Return a client with a connection pool of its own."""
    pool = httpcore.AsyncConnectionPool(max_connections=64, keepalive_expiry=30.0)
    return PlatformClient(address, key, pool)

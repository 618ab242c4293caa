"""Translate the duties into the platform's calls and the records of its store."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

import orjson

from ..clock import Clock
from ..duties.desk import DutyDesk
from ..duties.lease import LeaseRecord
from ..duties.store import DutyCall, LeasePage
from ..duties.types import DutyAnswer
from ..duties.usage import Report, last_window
from ..eras.position import Position
from ..gateway.answers import ConnectionLostError
from ..gateway.duties import duty_key
from ..gateway.following import StoreCallError
from ..gateway.http_client import HttpConnection, open_connection, render_request
from ..gateway.messages import CODEC
from ..gateway.state import Gateway
from .settings import PlatformSettings
from .store import StoreClient, framed

LEASE_TOPIC = "keyed.duties"
LEASE_KEY = "lease"
LEDGER_KEY = "usage"
STORE_TIMEOUT_MS = 700.0
"""Timeout of a call for the lease: a second one fits into what is left of it."""
CONNECT_TIMEOUT_MS = 500.0
USAGE_PATH = b"/usage-reports"
ORDER_PATH = b"/scale"
ABORT_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER on, 0 s: what was not delivered by then is never sent."""


def duty_call(path: bytes, fields: Mapping[str, object]) -> DutyCall:
    """Return a call with an object as its body."""
    return DutyCall(b"POST", path, orjson.dumps(fields))


def order_call(service: str, data_centre: str, wanted: int) -> DutyCall:
    """Return the call that orders the number of upstreams in a data centre."""
    fields = {"service": service, "zone": data_centre, "desired": wanted}
    return duty_call(ORDER_PATH, fields)


def encode_lease(record: LeaseRecord) -> bytes:
    """Return the value of a record of the lease."""
    return orjson.dumps(record)


def decode_lease(value: bytes) -> LeaseRecord:
    """Return the record of the lease in a value; raises `ValueError`, `TypeError`."""
    raw: dict[str, Any] = orjson.loads(value)
    return LeaseRecord(**{**raw, "recent": tuple(raw["recent"])})


def encode_ledger(ledger: Sequence[Report]) -> bytes:
    """Return the value of the ledger's record."""
    rows = [[report.window, report.body, report.accepted] for report in ledger]
    return orjson.dumps(rows)


def decode_ledger(value: bytes) -> tuple[Report, ...]:
    """Return the reports in a value; raises `ValueError`, `TypeError`."""
    return tuple(
        Report(int(row[0]), str(row[1]), bool(row[2])) for row in orjson.loads(value)
    )


@dataclass
class LeaseLog:
    """The lease and the ledger in a topic of the platform's store."""

    store: StoreClient

    async def read(self) -> LeasePage:
        """Return the newest records.

        The end is the one of the same page: no record is newer than it.
        """
        query: dict[str, object] = {"topic": LEASE_TOPIC, "part": 0}
        head, body = await self.store.call(
            b"GET", "/api/log-newest", query, alone=True, timeout_ms=STORE_TIMEOUT_MS
        )
        since_ms = self.store.era.since_ms
        if head.status == 404:
            return LeasePage(self.store.position(head, 0), None, (), since_ms)
        if head.status != 200:
            raise StoreCallError(f"newest of {LEASE_TOPIC}: status {head.status}", None)
        page = decode_lease_page(body)
        end = self.store.position(head, page.end.offset)
        return replace(page, end=end, era_since_ms=since_ms)

    async def append(
        self, at: Position, record: LeaseRecord, ledger: tuple[Report, ...] | None
    ) -> Position | None:
        """Append the lease, and the ledger if it is given, where the log ends."""
        body = framed(LEASE_KEY, encode_lease(record))
        if ledger is not None:
            body += framed(LEDGER_KEY, encode_ledger(ledger))
        return await self.store.append(LEASE_TOPIC, body, at, STORE_TIMEOUT_MS)


def decode_lease_page(body: bytes) -> LeasePage:
    """Return the newest records in an answer of the store, without its era.

    Raises
    ------
    StoreCallError
        If the answer is malformed.
    """
    from base64 import b64decode

    try:
        raw = orjson.loads(body)
        values = {item["key"]: b64decode(item["value"]) for item in raw["items"]}
        lease, ledger = values.get(LEASE_KEY), values.get(LEDGER_KEY)
        page = LeasePage(
            Position(0, int(raw["end"])),
            None if lease is None else decode_lease(lease),
            () if ledger is None else decode_ledger(ledger),
        )
        newest = max((int(item["offset"]) for item in raw["items"]), default=-1)
        if newest + 1 != page.end.offset or not is_consistent(page):
            raise ValueError("the records changed meanwhile")
        return page
    except (KeyError, IndexError, TypeError, ValueError) as error:
        message = f"newest of {LEASE_TOPIC}: malformed: {error!r}"
        raise StoreCallError(message, None) from error


def is_consistent(page: LeasePage) -> bool:
    """Return whether the lease and the ledger are of the same moment."""
    return page.record is None or page.record.reported == last_window(page.ledger)


@dataclass
class PlatformCalls:
    """The platform's calls that are duties.

    Each has a connection of its own, so that what was not delivered when its time is
    over is never sent.
    """

    address: str
    name: str
    clock: Clock

    async def call(
        self,
        call: DutyCall,
        token: int,
        may_send: Callable[[], bool],
        timeout_ms: float,
    ) -> DutyAnswer:
        """Make a call; nothing is sent unless `may_send` right before."""
        headers = (
            (b"Host", self.address.encode()),
            (b"Duty-Holder", self.name.encode()),
            (b"Fencing-Token", b"%d" % token),
            (b"Content-Type", b"application/json"),
        )
        request = render_request(call.method, call.path, headers, call.body)
        connection: HttpConnection | None = None
        sent = False
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                connection = await open_connection(self.address, CONNECT_TIMEOUT_MS)
                abort_on_close(connection, timeout_ms)
                if not may_send():
                    return DutyAnswer(None, False)
                connection.send(request)
                sent = True
                head = await connection.receive_head()
                return DutyAnswer(head.status, True)
        except (ConnectionLostError, TimeoutError):
            return DutyAnswer(None, sent)
        finally:
            if connection is not None:
                connection.close("the call is over")

    def usage_call(self, window: int, counts: Mapping[str, int]) -> DutyCall:
        """Return the call that reports the usage of a window."""
        return duty_call(USAGE_PATH, {"window": window, "counts": counts})

    def usage_repeat(self, body: str) -> DutyCall:
        """Return the call with the bytes of a report."""
        return DutyCall(b"POST", USAGE_PATH, body.encode())


def abort_on_close(connection: HttpConnection, timeout_ms: float) -> None:
    """Have the kernel drop what was not delivered by a timeout, or on the close."""
    if connection.transport is None:
        return
    sock = connection.transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT_ON_CLOSE)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, round(timeout_ms))


@dataclass
class GatewayFleet:
    """The other VMs of a gateway."""

    vm: Gateway

    def order(self) -> Sequence[str]:
        """Return the live VMs that do not leave, in the order for duties."""
        vm = self.vm
        members = [*vm.membership.live(vm.clock.now_ms()), vm.own_heartbeat()]
        staying = [member for member in members if not member.leaving]
        return [member.address for member in sorted(staying, key=duty_key)]

    def live(self) -> Sequence[str]:
        """Return the addresses of the other VMs that are heard of."""
        live = self.vm.membership.live(self.vm.clock.now_ms())
        return [heartbeat.address for heartbeat in live]

    def everyone(self) -> Sequence[str]:
        """Return the addresses of all other VMs."""
        return list(self.vm.membership.peers)

    def send(self, addresses: Sequence[str], message: object) -> None:
        """Send some VMs a message as a datagram."""
        data = CODEC.encode(message)
        for address in addresses:
            self.vm.send_datagram(address, data)


def make_duties(settings: PlatformSettings, vm: Gateway) -> DutyDesk | None:
    """Return the duties of a VM, None where the platform has none."""
    if settings.duties is None:
        return None
    own = settings.gateway
    return DutyDesk(
        settings.duties,
        vm.clock,
        vm.journal,
        own.name,
        own.peer_address,
        vm.incarnation,
        GatewayFleet(vm),
        LeaseLog(StoreClient(settings.store_address, vm.clock, vm.store_era)),
        PlatformCalls(settings.duties_address, own.name, vm.clock),
        lambda: vm.leaving,
        lambda token: vm.metrics.duty_token.set({}, token),
        lambda duty, result: vm.metrics.duty_calls_total.inc(
            {"duty": duty, "result": result}
        ),
    )

"""Simulated platform: log streams, list of VMs and weight store."""

import random
import time
from collections import deque
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import anyio
import cbor2
import fire
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from .control import (
    PLATFORM,
    ControlState,
    ListedVm,
    PlatformControl,
    control_route,
    read_control,
)
from .log import Stream
from .rate import TokenBucket, make_bucket
from .serving import ClosedResponse, serve, wait_for_disconnect

MAX_READ_LIMIT = 10_000
MAX_WAIT_MS = 30_000

Handler = Callable[[Request], Awaitable[Response]]


@dataclass(frozen=True)
class VmListing:
    """List of VMs that is valid from a point in time."""

    since_ms: float
    vms: tuple[ListedVm, ...]


@dataclass
class Platform:
    """State of the simulated platform."""

    control: ControlState[PlatformControl]
    appends: TokenBucket
    weights: TokenBucket
    rng: random.Random
    listings: deque[VmListing]
    streams: dict[str, Stream] = field(default_factory=dict)

    def stream(self, name: str) -> Stream:
        """Return a stream after trimming it to its retention; create it if missing."""
        stream = self.streams.setdefault(name, Stream())
        values = self.control.values
        oldest_ms = None
        if values.retain_ms is not None:
            oldest_ms = wall_ms() - values.retain_ms
        stream.trim(values.retain, oldest_ms)
        return stream

    def change(self, before: PlatformControl, after: PlatformControl) -> None:
        """Apply a change of the control values."""
        now_ms = monotonic_ms()
        if after.appends_per_s != before.appends_per_s:
            self.appends = make_bucket(after.appends_per_s, now_ms)
        if after.weights_per_s != before.weights_per_s:
            self.weights = make_bucket(after.weights_per_s, now_ms)
        if after.seed != before.seed:
            self.rng = random.Random(after.seed)
        if after.vms != before.vms:
            self.listings.append(VmListing(now_ms, after.vms))
        for stream in self.streams.values():
            stream.wake()

    def listed_vms(self) -> tuple[ListedVm, ...]:
        """Return the list of VMs as of `vm_lag_ms` ago."""
        seen_ms = monotonic_ms() - self.control.values.vm_lag_ms
        while len(self.listings) > 1 and self.listings[1].since_ms <= seen_ms:
            self.listings.popleft()
        return self.listings[0].vms


def monotonic_ms() -> float:
    """Return the monotonic time in ms."""
    return time.monotonic() * 1000.0


def wall_ms() -> int:
    """Return the time of day in ms since 1970 UTC."""
    return int(time.time() * 1000)


def make_platform(values: PlatformControl) -> Platform:
    """Return a platform; the first list of VMs is visible without a lag."""
    now_ms = monotonic_ms()
    platform = Platform(
        control=ControlState(PLATFORM, values),
        appends=make_bucket(values.appends_per_s, now_ms),
        weights=make_bucket(values.weights_per_s, now_ms),
        rng=random.Random(values.seed),
        listings=deque([VmListing(float("-inf"), values.vms)]),
    )
    platform.control.on_change = platform.change
    return platform


def answer(body: Mapping[str, Any], status: int = 200) -> Response:
    """Return a CBOR response."""
    return Response(cbor2.dumps(body), status, media_type="application/cbor")


async def wait_ms(duration_ms: float) -> None:
    """Sleep if the duration is positive."""
    if duration_ms > 0.0:
        await anyio.sleep(duration_ms / 1000.0)


async def give_no_answer(request: Request, by: str) -> Response:
    """Close the connection, or keep it open until the client disconnects."""
    if by == "hang":
        await wait_for_disconnect(request)
    return ClosedResponse()


def during_service(platform: Platform, handler: Handler) -> Handler:
    """Return a handler that simulates outages and checks the key."""

    async def handle(request: Request) -> Response:
        values = platform.control.values
        if values.outage == "hang":
            return await give_no_answer(request, "hang")
        if values.outage:
            return answer({"error": "outage"}, 503)
        expected = f"Bearer {values.key}"
        if values.key and request.headers.get("authorization") != expected:
            return answer({"error": "unauthenticated"}, 401)
        return await handler(request)

    return handle


async def after_outage(platform: Platform, request: Request) -> Response | None:
    """Return the response of an outage that began while a request waited, if any."""
    outage = platform.control.values.outage
    if not outage:
        return None
    if outage == "hang":
        return await give_no_answer(request, "hang")
    return answer({"error": "outage"}, 503)


def append_handler(platform: Platform) -> Handler:
    """Return the handler of appends."""

    async def append(request: Request) -> Response:
        payload = await request.body()
        values = platform.control.values
        if wait := platform.appends.try_acquire(monotonic_ms()):
            return answer({"error": "too_many_appends", "retry_after_ms": wait}, 429)
        await wait_ms(values.append_delay_ms)
        if refusal := await after_outage(platform, request):
            return refusal
        stream = platform.stream(request.path_params["stream"])
        offset = stream.append(payload, wall_ms())
        if platform.rng.random() < platform.control.values.lose_answers:
            return await give_no_answer(request, values.lose_by)
        await wait_ms(values.answer_delay_ms)
        return answer({"offset": offset})

    return append


def read_handler(platform: Platform) -> Handler:
    """Return the handler of reads, which long-polls for the next record."""

    async def read(request: Request) -> Response:
        query = request.query_params
        offset = int(query.get("offset", "0"))
        limit = min(int(query.get("limit", "1000")), MAX_READ_LIMIT)
        wait = min(float(query.get("wait_ms", "0")), MAX_WAIT_MS)
        name = request.path_params["stream"]
        await wait_ms(platform.control.values.read_delay_ms)
        with anyio.move_on_after(wait / 1000.0):
            while platform.stream(name).end <= offset:
                await platform.stream(name).arrived.wait()
                if platform.control.values.outage:
                    break
        if refusal := await after_outage(platform, request):
            return refusal
        stream = platform.stream(name)
        if offset < stream.first:
            return answer({"first": stream.first}, 410)
        records = stream.read(offset, limit)
        return answer(
            {
                "records": [[r.offset, r.time_ms, r.payload] for r in records],
                "next": offset + len(records),
                "first": stream.first,
            }
        )

    return read


def list_handler(platform: Platform) -> Handler:
    """Return the handler of the list of VMs, which lags by `vm_lag_ms`."""

    async def list_vms(request: Request) -> Response:
        values = platform.control.values
        await wait_ms(values.read_delay_ms)
        key = request.headers.get("authorization", "").removeprefix("Bearer ")
        seen = values.seen_addresses.get(key, {})
        vms = [
            {
                "name": vm.name,
                "data_centre": vm.data_centre,
                "address": seen.get(vm.name, vm.address),
                "state": vm.state,
                "age_ms": round(values.vm_lag_ms),
            }
            for vm in platform.listed_vms()
        ]
        return answer({"vms": vms})

    return list_vms


def weights_handler(platform: Platform) -> Handler:
    """Return the handler of the rate-limited weight store."""

    async def take_weights(request: Request) -> Response:
        wait = platform.weights.try_acquire(monotonic_ms())
        if wait:
            return answer({"retry_after_ms": wait}, 429)
        return answer({"granted": True})

    return take_weights


def streams_route(platform: Platform) -> Route:
    """Return the route that lists the streams, for tests; outages do not affect it."""

    async def streams(request: Request) -> Response:
        return answer({"streams": sorted(platform.streams)})

    return Route("/streams", streams, methods=["GET"])


def make_routes(platform: Platform) -> list[Route]:
    """Return the routes of the platform."""
    append = during_service(platform, append_handler(platform))
    read = during_service(platform, read_handler(platform))
    list_vms = during_service(platform, list_handler(platform))
    weights = during_service(platform, weights_handler(platform))
    return [
        Route("/streams/{stream:path}", append, methods=["POST"]),
        Route("/streams/{stream:path}", read, methods=["GET"]),
        Route("/vms", list_vms, methods=["GET"]),
        Route("/weights/{name}", weights, methods=["POST"]),
        streams_route(platform),
        control_route(platform.control),
    ]


def main(port: int = 0, control: str = "{}") -> None:
    """Serve the platform's API until SIGTERM.

    Parameters
    ----------
    port : int
        TCP port; 0 selects a free port, which the line `ready PORT` prints.
    control : str
        Initial control values, as JSON.
    """
    platform = make_platform(read_control(PLATFORM, control))
    serve(make_routes(platform), port)


if __name__ == "__main__":
    fire.Fire(main)

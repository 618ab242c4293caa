"""Check the load generator's arrivals and requests."""

import random

from standins.load import Burst, LoadProfile, RequestKind, arrivals, draw_request

LOAD = LoadProfile(
    kinds=(
        RequestKind("chat", 4_000, weight=3.0),
        RequestKind("book", 2_000, unrepeatable=True),
    ),
    organisations=(("small", 1.0), ("large", 4.0)),
    rate_per_s=50.0,
    duration_ms=20_000.0,
    seed=7,
    bursts=(Burst(10_000.0, 5_000.0, 4.0),),
)


def test_arrivals_repeat_with_their_seed_and_follow_the_rate() -> None:
    moments = list(arrivals(LOAD, random.Random(7)))
    assert moments == list(arrivals(LOAD, random.Random(7)))
    assert moments == sorted(moments)
    burst = sum(10_000.0 <= at_ms < 15_000.0 for at_ms in moments)
    # Four standard deviations of a Poisson count around its mean.
    assert abs(burst - 1_000) < 4 * 1_000**0.5
    assert abs(len(moments) - burst - 750) < 4 * 750**0.5


def test_requests_differ_in_mark_and_only_bookings_have_a_key() -> None:
    rng = random.Random(7)
    requests = [draw_request(LOAD, number, rng) for number in range(400)]
    assert len({request.mark for request in requests}) == 400
    assert all(
        bool(request.idempotency_key) == (request.pipeline == "book")
        for request in requests
    )
    keys = [request.idempotency_key for request in requests if request.idempotency_key]
    assert len(set(keys)) == len(keys) > 0

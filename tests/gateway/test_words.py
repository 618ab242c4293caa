"""Test what upstreams say of themselves: the words, and what they rule out."""

import random
from dataclasses import replace

import pytest

from cuminstile.clock import VirtualClock
from cuminstile.gateway.upstreams import MAX_WORDS, UpstreamTable, process_of
from cuminstile.platform.headers import MAX_RETRY_AFTER_MS, read_answer

from .test_state import make_upstream, make_vm


@pytest.mark.parametrize(
    ("value", "closed_ms"),
    [
        (b"4", 4_000.0),
        (b" 0.25 ", 250.0),
        (b"0", 0.0),
        (b"-3", 0.0),
        (b"", 0.0),
        (b"nan", 0.0),
        (b"inf", 0.0),
        (b"soon", 0.0),
        (b"Sat, 05 Dec 2026 08:00:00 GMT", 0.0),
        (b"1e12", MAX_RETRY_AFTER_MS),
    ],
)
def test_time_after_a_refusal_is_read_by_one_rule(
    value: bytes, closed_ms: float
) -> None:
    assert read_answer(503, ((b"retry-after", value),)).closed_ms == closed_ms
    assert read_answer(429, ((b"retry-after", value),)).closed_ms == 0.0


@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_an_answer_of_any_status_can_say_that_the_upstream_leaves(status: int) -> None:
    assert read_answer(status, ((b"server-leaving", b"1"),)).leaving
    assert not read_answer(status, ((b"server-leaving", b"0"),)).leaving


def test_longest_word_counts() -> None:
    table = UpstreamTable()
    assert table.record_closed("u1@1", 5_000.0)
    assert not table.record_closed("u1@1", 2_000.0)
    assert table.closed_until_ms["u1@1"] == 5_000.0


def test_words_are_bounded() -> None:
    table = UpstreamTable()
    for number in range(2 * MAX_WORDS):
        table.record_left(f"u{number}@1", 0.0)
        table.record_closed(f"u{number}@1", 1.0)
    assert len(table.left) == len(table.closed_until_ms) == MAX_WORDS


@pytest.mark.parametrize("seed", range(30))
def test_drawn_words_and_records_never_let_a_request_through(seed: int) -> None:
    """Draw words, records that come, go and repeat, restarts and times."""
    source = random.Random(seed)
    clock = VirtualClock(at_ms=100_000.0)
    vm = make_vm(clock)
    starts = {name: 1 for name in ("u1", "u2", "u3")}
    left: set[str] = set()
    closed: dict[str, float] = {}
    for _ in range(300):
        clock.at_ms += source.uniform(0.0, 400.0)
        name = source.choice(list(starts))
        process = process_of(name, starts[name])
        match source.randrange(5):
            case 0:
                vm.table.record_left(process, clock.at_ms)
                left.add(process)
            case 1:
                until_ms = clock.at_ms + source.uniform(0.0, 3_000.0)
                vm.table.record_closed(process, until_ms)
                closed[process] = max(until_ms, closed.get(process, 0.0))
            case 2:
                starts[name] += 1
            case _:
                pass
        listed = [n for n in starts if source.random() < 0.8]
        records = {n: make_upstream(n, started_ms=starts[n]) for n in listed}
        if source.random() < 0.2 and starts[name] > 1:
            records[name] = replace(make_upstream(name), started_ms=starts[name] - 1)
        vm.apply_upstreams(records, back_ms=0.0)
        for state in vm.table.open("s", clock.at_ms):
            chosen = process_of(state.info.id, state.info.started_ms)
            assert chosen not in left
            assert closed.get(chosen, 0.0) <= clock.at_ms
            assert vm.table.may_get(state, clock.at_ms)

"""Test cuminstile.gateway.event_stream with streams that break off."""

import random

import pytest

from cuminstile.gateway.event_stream import AnswerProgress

EVENTS = tuple(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, 21))


def chunks(data: bytes, rng: random.Random) -> list[bytes]:
    """Return the bytes in chunks of random size, as a connection delivers them."""
    cut: list[bytes] = []
    while data:
        size = rng.randint(1, 40)
        cut.append(data[:size])
        data = data[size:]
    return cut


@pytest.mark.parametrize("seed", range(50))
def test_streams_broken_anywhere_and_resumed_have_each_event_once(seed: int) -> None:
    rng = random.Random(seed)
    answer = AnswerProgress(begun=True)
    got = b""
    while answer.last_event != "20":
        done = int(answer.last_event or 0)
        rest = b"".join(EVENTS[done:])
        broken = rest[: rng.randint(1, len(rest))]
        for chunk in chunks(broken, rng):
            got += answer.add_bytes(chunk)
        answer.drop_partial()
    assert got == b"".join(EVENTS)


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\r\r"])
def test_event_is_buffered_until_its_end(end: bytes) -> None:
    answer = AnswerProgress(begun=True)
    assert answer.add_bytes(b"id: 7") == b""
    assert answer.last_event is None
    assert answer.add_bytes(end + b"id: 8") == b"id: 7" + end
    assert answer.last_event == "7"
    assert answer.flush() == b"id: 8"


def test_answer_is_resumable_only_after_an_event_with_an_id() -> None:
    assert AnswerProgress().resumable
    assert not AnswerProgress(begun=True).resumable
    assert AnswerProgress(begun=True, last_event="3").resumable
    assert not AnswerProgress(begun=True, last_event="3", has_length=True).resumable

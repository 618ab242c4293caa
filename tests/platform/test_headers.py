"""Test cuminstile.platform.headers with repeated and nominated fields."""

import pytest

from cuminstile.gateway.upstream_protocol import Dispatch
from cuminstile.platform.headers import forwarded_headers, read_call

SINGULAR = {
    b"attempt-id": (b"a1", b"a2"),
    b"authorization": (b"Bearer k1", b"Bearer k2"),
    b"deadline-ms": (b"900", b"9000"),
    b"model": (b"m", b"n"),
    b"token-count": (b"100,10", b"1,1"),
    b"prompt-prefix": (b"aa:60,bb:30", b"cc:10"),
    b"pieces": (b"2,1", b"1,1"),
    b"piece-key": (b"k1", b"k2"),
    b"last-event-id": (b"3", b"4"),
}
HEADERS = [(name, values[0]) for name, values in SINGULAR.items()]
MAY_REPEAT = [b"accept", b"cookie", b"via", b"x-foo", b"connection"]


# Guards against a field of which one value is checked and both reach the upstream.
@pytest.mark.parametrize("name", SINGULAR)
@pytest.mark.parametrize("number", [0, 1], ids=["same", "other"])
def test_repeated_field_is_found(name: bytes, number: int) -> None:
    again = (name, SINGULAR[name][number])
    assert read_call([*HEADERS, again]).repeated == name.decode()
    assert read_call([again, (b"host", b"h"), *HEADERS]).repeated == name.decode()


@pytest.mark.parametrize("name", MAY_REPEAT)
def test_other_fields_may_be_repeated(name: bytes) -> None:
    """Guards against a sound request that is refused for a list on two lines."""
    assert read_call(HEADERS).repeated == ""
    assert read_call([*HEADERS, (name, b"a"), (name, b"b")]).repeated == ""


# Guards against a field of one connection that reaches the upstream, and against a
# caller that takes a checked field away by naming it as one of its connection.
@pytest.mark.parametrize(
    "options",
    [
        [b"close, X-Foo, x-bar"],
        [b"close", b"X-FOO ,\tX-Bar"],
        [b", x-foo,,x-bar, host, Attempt-Id, Model, Token-Count, Prompt-Prefix"],
        [b"x-foo, x-bar, pieces, piece-key, last-event-id, authorization"],
    ],
)
def test_nominated_fields_end_here_but_checked_ones_do_not(
    options: list[bytes],
) -> None:
    dispatch = Dispatch("u1", 900.0, "o", None, ())
    sound = [(b"host", b"h"), *HEADERS, (b"x-baz", b"3")]
    nominated = [(b"x-foo", b"1"), (b"x-bar", b"2"), (b"x-foo", b"3")]
    connection = [(b"connection", option) for option in options]
    headers = [*nominated, *sound, *connection]
    assert forwarded_headers(headers, dispatch) == forwarded_headers(sound, dispatch)

"""Test cuminstile.platform.headers with repeated and nominated fields."""

import pytest

from cuminstile.platform.headers import read_call

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

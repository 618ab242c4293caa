"""Let only operators in."""

import hmac

from ..exceptions import CuminstileError, ErrorCode

SCHEME = "bearer"


def is_known(keys: tuple[str, ...], shown: str) -> bool:
    """Return whether a key is among the valid ones, in constant time.

    Every valid key is compared, so that the time tells neither which one fits nor
    how much of it.
    """
    given = shown.encode("utf-8", "surrogateescape")
    matches = [hmac.compare_digest(key.encode(), given) for key in keys]
    return any(matches)


def check_operator(keys: tuple[str, ...], header: str) -> None:
    """Check the `Authorization` header of a request.

    Raises
    ------
    CuminstileError
        With `UNAUTHENTICATED` if it shows no valid key.
    """
    scheme, _, key = header.partition(" ")
    if not is_known(keys, key.strip()) or scheme.lower() != SCHEME:
        raise CuminstileError(
            ErrorCode.UNAUTHENTICATED, "an operators' key is required"
        )

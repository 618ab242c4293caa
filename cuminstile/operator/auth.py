"""Authenticate operators."""

import hmac

from ..exceptions import CuminstileError, ErrorCode

SCHEME = "bearer"


def is_valid_key(keys: tuple[str, ...], shown: str) -> bool:
    """Return whether a key is one of the valid keys, in constant time.

    The key is compared with every valid key, so that the time reveals neither which
    one matches nor how much of it.
    """
    given = shown.encode("utf-8", "surrogateescape")
    matches = [hmac.compare_digest(key.encode(), given) for key in keys]
    return any(matches)


def check_operator(keys: tuple[str, ...], header: str) -> None:
    """Check the `Authorization` header of a request.

    Raises
    ------
    CuminstileError
        With `UNAUTHENTICATED` if it holds no valid key.
    """
    scheme, _, key = header.partition(" ")
    if not is_valid_key(keys, key.strip()) or scheme.lower() != SCHEME:
        raise CuminstileError(
            ErrorCode.UNAUTHENTICATED, "an operators' key is required"
        )

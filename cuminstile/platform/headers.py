"""Decode and encode the headers of the platform's wire."""

from __future__ import annotations

from ..gateway.model import PromptPart
from ..gateway.upstream_protocol import (
    AnswerFields,
    CallFields,
    Dispatch,
    RawHeaders,
    UpstreamProtocol,
)

ATTEMPT_ID = b"attempt-id"
DEADLINE = b"deadline-ms"
AUTHORIZATION = b"authorization"
BEARER = b"bearer "
TOKEN_COUNT = b"token-count"
"""Tokens of the prompt, and the most tokens of the answer: `IN,OUT`."""
PROMPT_PREFIX = b"prompt-prefix"
"""All parts of the prompt in order, not only its beginning: `ID:TOKENS,...`."""
PIECES = b"pieces"
PIECE_KEY = b"piece-key"
LAST_EVENT = b"last-event-id"
SEAL = b"response-seal"
NOT_EXECUTED = b"not-executed"
INSTANCE_LOAD = b"instance-load"
"""Requests that run, requests that wait, slots: `R,W,S`."""
EXPECT_INSTANCE = b"Expect-Instance"
TENANT = b"Tenant"
REQUEST_PRIORITY = b"Request-Priority"
INPUTS = b"Inputs"
LEAST_PRIORITY = 9
MAX_PIECES = 10_000
"""More pieces of one stage than any upstream could hold are taken as a mistake."""

NOT_FORWARDED = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"transfer-encoding",
        b"content-length",
        b"te",
        b"trailer",
        b"upgrade",
        b"expect",
        AUTHORIZATION,
        DEADLINE,
        b"expect-instance",
        b"expect-version",
        b"tenant",
        b"request-priority",
        b"inputs",
        b"hold",
        b"pin-ms",
        b"kv-fetch",
        b"kv-from",
        b"kv-backup",
    }
)
"""Headers of one connection only, and those that only this system sets."""


def read_call(headers: RawHeaders) -> CallFields:
    """Return what a caller says about its request; what is malformed counts as absent.

    The request itself is forwarded as it is, so an upstream judges malformed values.
    """
    values = dict(reversed(headers))
    prompt_tokens, output_tokens = number_pair(values.get(TOKEN_COUNT, b""))
    return CallFields(
        attempt_id=values.get(ATTEMPT_ID, b"").decode("latin-1"),
        deadline_ms=positive_number(values.get(DEADLINE)),
        key=bearer_key(values.get(AUTHORIZATION)),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        parts=prompt_parts(values.get(PROMPT_PREFIX, b"")),
        item_counts=piece_counts(values.get(PIECES, b"")),
        item_key=values.get(PIECE_KEY, b"").decode("latin-1"),
        resumed=LAST_EVENT in values,
    )


def positive_number(value: bytes | None) -> float | None:
    """Return a number of ms above zero, None if it is absent or malformed."""
    try:
        number = float(value or b"")
    except ValueError:
        return None
    return number if 0 < number < 1e9 else None


def bearer_key(value: bytes | None) -> str | None:
    """Return the key in an `Authorization` header, if there is one."""
    if value is None or value[: len(BEARER)].lower() != BEARER:
        return None
    return value[len(BEARER) :].strip().decode("latin-1")


def number_pair(value: bytes) -> tuple[int, int]:
    """Return two whole numbers, zeros if they are malformed."""
    first, _, second = value.partition(b",")
    if first.strip().isdigit() and second.strip().isdigit():
        return int(first), int(second)
    return 0, 0


def prompt_parts(value: bytes) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt, none if one is malformed."""
    parts = []
    for item in value.split(b",") if value else ():
        name, _, tokens = item.strip().partition(b":")
        if not name or not tokens.isdigit():
            return ()
        parts.append(PromptPart(name.decode("latin-1"), int(tokens)))
    return tuple(parts)


def piece_counts(value: bytes) -> tuple[int, ...]:
    """Return how many pieces each stage has, none if that is malformed."""
    counts = []
    for item in value.split(b",") if value else ():
        if not item.strip().isdigit() or int(item) > MAX_PIECES:
            return ()
        counts.append(int(item))
    return tuple(counts)


def forwarded_headers(
    headers: RawHeaders, dispatch: Dispatch
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request to an upstream."""
    forwarded = [(n, v) for n, v in headers if n not in NOT_FORWARDED]
    forwarded.append((DEADLINE, b"%d" % max(1, int(dispatch.left_ms))))
    forwarded.append((EXPECT_INSTANCE, dispatch.upstream_id.encode("latin-1")))
    if dispatch.organisation is not None:
        forwarded.append((TENANT, dispatch.organisation.encode("utf-8")))
    if dispatch.priority is not None:
        priority = max(0, min(LEAST_PRIORITY, dispatch.priority))
        forwarded.append((REQUEST_PRIORITY, b"%d" % priority))
    if dispatch.inputs:
        forwarded.append((INPUTS, ",".join(dispatch.inputs).encode("latin-1")))
    if dispatch.last_event is not None:
        forwarded = [(n, v) for n, v in forwarded if n != LAST_EVENT]
        forwarded.append((LAST_EVENT, dispatch.last_event.encode("latin-1")))
    return forwarded


def read_answer(status: int, headers: RawHeaders) -> AnswerFields:
    """Return what an upstream says about its answer."""
    values = dict(reversed(headers))
    return AnswerFields(
        attempt_id=values.get(ATTEMPT_ID, b"").decode("latin-1"),
        sealed=SEAL in values,
        not_run=NOT_EXECUTED in values or status == 421,
        load=load_of(values.get(INSTANCE_LOAD, b"")),
    )


def load_of(value: bytes) -> tuple[int, int, int] | None:
    """Return the load that an upstream reports, None if it reports none."""
    numbers = value.split(b",")
    if len(numbers) != 3 or not all(n.strip().isdigit() for n in numbers):
        return None
    return int(numbers[0]), int(numbers[1]), int(numbers[2])


PROTOCOL = UpstreamProtocol(read_call, forwarded_headers, read_answer)

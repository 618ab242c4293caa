"""Decode and encode the HTTP headers of the platform's protocol."""

from __future__ import annotations

import math

from ..estimates.report import LoadReport
from ..gateway.connection_headers import nominated_headers
from ..gateway.model import PromptPart
from ..gateway.upstream_protocol import (
    AnswerFields,
    CallFields,
    Dispatch,
    RawHeaders,
    UpstreamProtocol,
)

ATTEMPT_ID = b"attempt-id"
MODEL = b"model"
DEADLINE = b"deadline-ms"
AUTHORIZATION = b"authorization"
BEARER = b"bearer "
TOKEN_COUNT = b"token-count"
"""Tokens of the prompt and maximum tokens of the answer: `IN,OUT`."""
LENGTH_HINT = b"length-hint"
PROMPT_PREFIX = b"prompt-prefix"
"""All parts of the prompt in order, not only its start: `ID:TOKENS,...`."""
ITEM_COUNTS = b"pieces"
ITEM_KEY = b"piece-key"
LAST_EVENT = b"last-event-id"
RESPONSE_SEAL = b"response-seal"
NOT_EXECUTED = b"not-executed"
SERVER_LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
MAX_RETRY_AFTER_MS = 3_600_000.0
"""Longest time for which an upstream is believed to want no requests."""
INSTANCE_LOAD = b"instance-load"
"""Running requests, waiting requests and slots, and how long work takes in percent of
the usual time: `R,W,S` or `R,W,S,P`."""
MAX_LOAD_PERCENT = 100_000.0
"""A larger figure counts as malformed: nothing waits for work that takes so long."""
INSTANCE_ID = b"instance-id"
EXPECT_INSTANCE = b"Expect-Instance"
TENANT = b"Tenant"
REQUEST_PRIORITY = b"Request-Priority"
INPUTS = b"Inputs"
LOWEST_PRIORITY = 9
MAX_ITEMS_PER_STAGE = 10_000
"""A larger number counts as malformed: no upstream could hold so many work items."""

SINGULAR = frozenset(
    {
        ATTEMPT_ID,
        AUTHORIZATION,
        DEADLINE,
        MODEL,
        TOKEN_COUNT,
        PROMPT_PREFIX,
        ITEM_COUNTS,
        ITEM_KEY,
        LAST_EVENT,
    }
)
"""Headers that may stand only once: one value is checked, and an upstream might read
another."""
KEPT = SINGULAR | {b"host"}
"""Headers that were checked: a caller can't keep them from the upstream."""
READ_IN_ANSWERS = frozenset(
    {
        ATTEMPT_ID,
        RESPONSE_SEAL,
        NOT_EXECUTED,
        SERVER_LEAVING,
        RETRY_AFTER,
        INSTANCE_LOAD,
        INSTANCE_ID,
    }
)
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
"""Hop-by-hop headers, and headers that only this system sets."""


def read_call(headers: RawHeaders) -> CallFields:
    """Return the fields of a caller's headers; a malformed value counts as absent.

    The request is forwarded unchanged, so an upstream can reject malformed values.
    """
    values = dict(reversed(headers))
    prompt_tokens, output_tokens = parse_number_pair(values.get(TOKEN_COUNT, b""))
    return CallFields(
        attempt_id=values.get(ATTEMPT_ID, b"").decode("latin-1"),
        deadline_ms=parse_positive_ms(values.get(DEADLINE)),
        key=parse_bearer_key(values.get(AUTHORIZATION)),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        output_hint=parse_count(values.get(LENGTH_HINT, b"")),
        parts=parse_prompt_parts(values.get(PROMPT_PREFIX, b"")),
        item_counts=parse_item_counts(values.get(ITEM_COUNTS, b"")),
        item_key=values.get(ITEM_KEY, b"").decode("latin-1"),
        resumed=LAST_EVENT in values,
        repeated=find_repeated(headers) if len(values) < len(headers) else "",
    )


def find_repeated(headers: RawHeaders) -> str:
    """Return the first name that stands twice and may not, empty if none does."""
    seen: set[bytes] = set()
    for name, _ in headers:
        if name in seen and name in SINGULAR:
            return name.decode("latin-1")
        seen.add(name)
    return ""


def parse_positive_ms(value: bytes | None) -> float | None:
    """Return a positive number of ms below 1e9, None if it is absent or malformed."""
    try:
        number = float(value or b"")
    except ValueError:
        return None
    return number if 0 < number < 1e9 else None


def parse_bearer_key(value: bytes | None) -> str | None:
    """Return the bearer key of an `Authorization` header, None if there is none."""
    if value is None or value[: len(BEARER)].lower() != BEARER:
        return None
    return value[len(BEARER) :].strip().decode("latin-1")


def parse_number_pair(value: bytes) -> tuple[int, int]:
    """Return two integers, both 0 if either is malformed."""
    first, _, second = value.partition(b",")
    if first.strip().isdigit() and second.strip().isdigit():
        return int(first), int(second)
    return 0, 0


def parse_prompt_parts(value: bytes) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt, an empty tuple if one is malformed."""
    parts = []
    for item in value.split(b",") if value else ():
        name, _, tokens = item.strip().partition(b":")
        if not name or not tokens.isdigit():
            return ()
        parts.append(PromptPart(name.decode("latin-1"), int(tokens)))
    return tuple(parts)


def parse_item_counts(value: bytes) -> tuple[int, ...]:
    """Return the number of work items per stage, an empty tuple if one is malformed."""
    counts = []
    for item in value.split(b",") if value else ():
        if not item.strip().isdigit() or int(item) > MAX_ITEMS_PER_STAGE:
            return ()
        counts.append(int(item))
    return tuple(counts)


def forwarded_headers(
    headers: RawHeaders, dispatch: Dispatch
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request that is forwarded to an upstream."""
    dropped = NOT_FORWARDED | (nominated_headers(headers) - KEPT)
    forwarded = [(n, v) for n, v in headers if n not in dropped]
    forwarded.append((DEADLINE, b"%d" % max(1, int(dispatch.left_ms))))
    forwarded.append((EXPECT_INSTANCE, dispatch.upstream_id.encode("latin-1")))
    if dispatch.organisation is not None:
        forwarded.append((TENANT, dispatch.organisation.encode("utf-8")))
    if dispatch.priority is not None:
        priority = max(0, min(LOWEST_PRIORITY, dispatch.priority))
        forwarded.append((REQUEST_PRIORITY, b"%d" % priority))
    if dispatch.inputs:
        forwarded.append((INPUTS, ",".join(dispatch.inputs).encode("latin-1")))
    if dispatch.last_event is not None:
        forwarded = [(n, v) for n, v in forwarded if n != LAST_EVENT]
        forwarded.append((LAST_EVENT, dispatch.last_event.encode("latin-1")))
    return forwarded


def read_answer(status: int, headers: RawHeaders) -> AnswerFields:
    """Return the fields of the headers of an upstream's answer."""
    values = dict(reversed(headers))
    instance = values.get(INSTANCE_ID, b"").decode("latin-1")
    return AnswerFields(
        attempt_id=read_attempt_id(headers),
        sealed=RESPONSE_SEAL in values,
        not_run=NOT_EXECUTED in values,
        misdirected_to=instance if status == 421 else "",
        load=parse_load(values.get(INSTANCE_LOAD, b"")),
        leaving=values.get(SERVER_LEAVING, b"").strip() == b"1",
        closed_ms=parse_retry_after(values.get(RETRY_AFTER)) if status == 503 else 0.0,
    )


def read_attempt_id(headers: RawHeaders) -> str:
    """Return the id of the request that an answer names, "" for none or several."""
    ids = {value for name, value in headers if name == ATTEMPT_ID}
    return ids.pop().decode("latin-1") if len(ids) == 1 else ""


def parse_retry_after(value: bytes | None) -> float:
    """Return a time in seconds as ms, at most `MAX_RETRY_AFTER_MS`.

    A value that is absent, negative, an HTTP date or no finite number counts as 0.
    """
    try:
        seconds = float(value or b"")
    except ValueError:
        return 0.0
    if not math.isfinite(seconds):
        return 0.0
    return min(MAX_RETRY_AFTER_MS, max(0.0, seconds * 1000.0))


def parse_load(value: bytes) -> LoadReport | None:
    """Return the load that an upstream reports, None if it is absent or malformed.

    A malformed fourth figure leaves the first three, and further ones are ignored.
    """
    numbers = value.split(b",")
    if len(numbers) < 3 or not all(map(is_count, numbers[:3])):
        return None
    running, waiting, slots = map(int, numbers[:3])
    slowness = parse_slowness(numbers[3]) if len(numbers) > 3 else None
    return LoadReport(running, waiting, slots, slowness)


def is_count(value: bytes) -> bool:
    """Return whether a value is a whole number below 1e9."""
    digits = value.strip()
    return digits.isdigit() and len(digits) <= 9


def parse_count(value: bytes) -> int:
    """Return a whole number below 1e9, 0 if it is absent or malformed."""
    return int(value) if is_count(value) else 0


def parse_slowness(value: bytes) -> float | None:
    """Return a positive percentage as a factor, None if it is malformed."""
    try:
        percent = float(value)
    except ValueError:
        return None
    return percent / 100.0 if 0.0 < percent <= MAX_LOAD_PERCENT else None


PROTOCOL = UpstreamProtocol(read_call, forwarded_headers, read_answer, READ_IN_ANSWERS)

"""Encode and decode the calls to upstreams that run work items of stages."""

from __future__ import annotations

from collections.abc import Sequence

import orjson

from ..gateway.http_client import render_request
from ..gateway.upstream_protocol import (
    ItemRequest,
    StageFault,
    StageOutcome,
    StageProtocol,
)
from .headers import EXPECT_INSTANCE

RUN_PATH = b"/api/stage-run"
FREE_PATH = b"/api/stage-free"
JSON_HEADER = (b"Content-Type", b"application/json")
HOST_HEADER = (b"Host", b"upstream")
FAULTS = {
    "late": StageFault.LATE,
    "gone": StageFault.INPUT_GONE,
    "room": StageFault.NO_MEMORY,
    "error": StageFault.FAILED,
}


def run_request(upstream_id: str, items: Sequence[ItemRequest]) -> bytes:
    """Return the call that makes an upstream run work items."""
    body = orjson.dumps({"items": [encode_item(item) for item in items]})
    expected = (EXPECT_INSTANCE, upstream_id.encode("latin-1"))
    return render_request(b"POST", RUN_PATH, (HOST_HEADER, JSON_HEADER, expected), body)


def encode_item(item: ItemRequest) -> dict[str, object]:
    """Return one work item in the platform's form."""
    encoded: dict[str, object] = {
        "id": item.request_id,
        "stage": item.stage,
        "piece": item.number,
        "left_ms": int(item.left_ms),
    }
    if item.key is not None:
        encoded["key"] = item.key
    else:
        encoded["inputs"] = list(item.inputs)
    return encoded


def read_outcomes(body: bytes) -> tuple[StageOutcome, ...]:
    """Return the outcomes of a call's work items; a malformed one counts as failed."""
    try:
        items = orjson.loads(body)["items"]
        return tuple(decode_outcome(item) for item in items)
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return ()


def decode_outcome(item: object) -> StageOutcome:
    """Return the outcome of one work item."""
    if isinstance(item, dict):
        handle = item.get("handle")
        if isinstance(handle, str) and handle:
            return StageOutcome(handle, None)
        reason = item.get("reason")
        if isinstance(reason, str):
            return StageOutcome(None, FAULTS.get(reason, StageFault.FAILED))
    return StageOutcome(None, StageFault.FAILED)


def free_request(handles: Sequence[str]) -> bytes:
    """Return the call that frees results at an upstream."""
    body = orjson.dumps({"handles": list(handles)})
    return render_request(b"POST", FREE_PATH, (HOST_HEADER, JSON_HEADER), body)


STAGE_PROTOCOL = StageProtocol(run_request, read_outcomes, free_request)

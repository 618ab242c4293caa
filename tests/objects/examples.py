"""A small valid set of operators' objects for tests."""

from typing import Any

DIGEST_KEY_1 = "a" * 64
DIGEST_KEY_2 = "b" * 64

GOOD_SET: list[dict[str, Any]] = [
    {"kind": "data_centre", "name": "dc1", "region": "r1"},
    {"kind": "stage", "name": "embed", "role": "pool"},
    {"kind": "stage", "name": "draft", "role": "engine", "streams": True},
    {"kind": "upstream_version", "name": "embed-1", "stage": "embed"},
    {"kind": "upstream_version", "name": "draft-1", "stage": "draft"},
    {"kind": "upstream_version", "name": "draft-2", "stage": "draft"},
    {
        "kind": "upstream",
        "name": "engine1",
        "data_centre": "dc1",
        "address": "127.0.0.1:9001",
        "versions": ["draft-1", "draft-2"],
    },
    {
        "kind": "upstream",
        "name": "engine2",
        "data_centre": "dc1",
        "address": "127.0.0.1:9002",
        "versions": ["draft-1"],
    },
    {
        "kind": "upstream",
        "name": "pool1",
        "data_centre": "dc1",
        "address": "127.0.0.1:9003",
        "versions": ["embed-1"],
    },
    {
        "kind": "pipeline",
        "name": "contract",
        "steps": [
            {"name": "embed", "stage": "embed"},
            {"name": "write", "stage": "draft", "needs": ["embed"]},
        ],
    },
    {"kind": "organisation", "name": "south", "key_digests": [DIGEST_KEY_2]},
    {"kind": "organisation", "name": "north", "key_digests": [DIGEST_KEY_1]},
    {
        "kind": "traffic_move",
        "name": "to-2",
        "stage": "draft",
        "from_version": "draft-1",
        "to_version": "draft-2",
        "start_at_ms": 1_000,
        "finish_by_ms": 2_000,
    },
    {
        "kind": "traffic_move",
        "name": "back",
        "stage": "draft",
        "from_version": "draft-2",
        "to_version": "draft-1",
        "start_at_ms": 2_000,
        "finish_by_ms": 3_000,
    },
]

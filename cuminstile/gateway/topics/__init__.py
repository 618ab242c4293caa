"""Newest value of each key of a store's topic, read from the store or another VM.

VMs can pass on what they have read, for a store that is unavailable, slow, or refuses
some of them.
"""

from .applying import (
    CONFIRMED_MAX_AGE_MS,
    MAX_DROPS,
    apply_records,
    apply_snapshot,
    expired_keys,
    record_confirmation,
    settle,
)
from .deltas import (
    TopicDelta,
    apply_delta,
    delta_since,
    is_lagging,
    record_confirmed_by_vm,
    record_reported_end,
)
from .returns import (
    RETURN_GRACE_MS,
)
from .state import (
    KeyedRecord,
    Outage,
    TopicPage,
    TopicState,
)

__all__ = [
    "CONFIRMED_MAX_AGE_MS",
    "KeyedRecord",
    "MAX_DROPS",
    "Outage",
    "RETURN_GRACE_MS",
    "TopicDelta",
    "TopicPage",
    "TopicState",
    "apply_delta",
    "apply_records",
    "apply_snapshot",
    "delta_since",
    "expired_keys",
    "is_lagging",
    "record_confirmation",
    "record_confirmed_by_vm",
    "record_reported_end",
    "settle",
]

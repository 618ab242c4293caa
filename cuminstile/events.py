"""Events of the daemon: their numbers, timestamps and the journal that records them."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import TextIO

import eliot

from .clock import Clock
from .const import EVENT_RING_SIZE

MAX_STAMP_LEAD_MS = 60_000
MAX_STAMP_COUNT = 2**32

Value = str | int | float | bool | None


class Event(IntEnum):
    """Numbers of the events; docs/EVENTS.md describes each."""

    VM_STARTED = 1001
    VM_READY = 1002
    VM_LEAVING = 1003
    VM_STOPPED = 1004
    SETTINGS_REFUSED = 1005
    INTERNAL_ERROR = 1006
    PEER_CONNECTED = 1101
    PEER_LOST = 1102
    PEER_REFUSED = 1103
    PEER_MESSAGE_REFUSED = 1104
    PLATFORM_LOST = 1201
    PLATFORM_BACK = 1202
    CONFIG_IN_FORCE = 1301
    CONFIG_RECORD_REFUSED = 1302
    CONFIG_PUBLISHED = 1303
    CONFIG_CONFLICT = 1304
    CONFIG_GAP = 1305
    CONFIG_COPIED = 1306
    CONFIG_TAKEN_FROM_PEER = 1307
    OPERATOR_REFUSED = 1401
    REQUEST_STARTED = 2001
    REQUEST_ANSWERED = 2002
    REQUEST_REFUSED = 2003
    REQUEST_CANCELLED = 2004
    REQUEST_UNFINISHED = 2005
    REQUEST_UNREAD = 2006
    STAGE_STARTED = 2101
    STAGE_ANSWERED = 2102
    STAGE_FAILED = 2103
    STAGE_FORWARDED = 2104
    ANSWER_DROPPED = 2105
    STAGE_RETRIED = 2106
    STAGE_SPILLED = 2107
    ANSWER_GIVEN_UP = 2108
    UPSTREAM_COLD = 2201
    UPSTREAM_WARM = 2202
    UPSTREAM_EJECTED = 2203
    REQUEST_SUSPECTED = 2204
    REQUEST_QUARANTINED = 2205
    REQUEST_CLEARED = 2206
    REQUEST_ON_TRIAL = 2207
    REQUEST_CUT_OFF = 2208
    SUSPICION_TAKEN = 2209
    CRASH_RETRACTED = 2210
    CLAIM_RECORD_REFUSED = 2301
    CLAIM_REPLAYED = 2302
    MOVE_STARTED = 2401
    MOVE_STEP = 2402
    MOVE_TAKEN_BACK = 2403
    MOVE_VERDICT = 2404
    MOVE_VERDICT_REFUSED = 2405
    ORDER_GIVEN = 2501
    ORDER_RECORD_REFUSED = 2502
    SETTINGS_READ_AGAIN = 3001
    MANIFEST_IN_FORCE = 3002
    STORE_TRIMMED = 3004
    STORE_CALL_FAILED = 3005
    RECORDS_NOT_GIVEN = 3006
    RECORDS_TAKEN = 3007
    STORE_READER_CHANGED = 3008
    STORE_RETURNED = 3009
    UPSTREAM_CHANGED = 3101
    UPSTREAM_GONE = 3102
    UPSTREAM_RECORD_REFUSED = 3103
    DATA_CENTRES_TAKEN_OUT = 3104
    VERSIONS_HELD_BACK = 3105
    UPSTREAM_SAID = 3106
    VERSIONS_LEARNED = 3107
    VERSIONS_STORED = 3108
    VERSIONS_NOT_STORED = 3109
    VM_HEARD = 3201
    VM_FORGOTTEN = 3202
    SCHEDULER_LOST = 3203
    CHAIN_JUDGED = 3301
    STAGE_CALL_ENDED = 3302
    STAGE_CALL_REFUSED = 3303
    STAGE_PIECE_FAILED = 3304
    STAGE_UPSTREAM_LOST = 3305
    STAGE_FREE_FAILED = 3306
    CHAIN_ENDED = 3307
    CHAIN_MOVED = 3308
    WORK_HANDED_OVER = 3309
    WORK_TAKEN_OVER = 3310
    REQUEST_SENT = 3401
    STREAM_BROKEN = 3402
    STREAM_RESUMED = 3403
    ANSWER_UNEXPECTED = 3404
    MEMORY_SHORT = 3501
    CONNECTIONS_FULL = 3502
    DUTIES_TAKEN = 3601
    DUTIES_LOST = 3602
    DUTY_CALL_FAILED = 3603
    DUTY_STORE_FAILED = 3604
    USAGE_REPORTED = 3605
    UPSTREAMS_ORDERED = 3701
    UPSTREAM_SPEED_CHANGED = 3801
    REQUEST_HEDGED = 4001


@dataclass(frozen=True, order=True)
class Stamp:
    """Hybrid logical timestamp, which orders events across processes.

    Parameters
    ----------
    wall_ms : int
        The latest wall-clock time observed, in ms since 1970 UTC.
    count : int
        Orders the events of one millisecond.
    """

    wall_ms: int
    count: int


@dataclass(frozen=True)
class EventRecord:
    """One event of one process."""

    stamp: Stamp
    vm: str
    event: Event
    fields: Mapping[str, Value]


@dataclass
class Journal:
    """Recorder of events, to the log and to a ring buffer for the timeline.

    Parameters
    ----------
    vm : str
        The name of this VM.
    clock : Clock
        Source of the wall-clock time.
    ring : deque of EventRecord
        The latest events; the oldest are dropped at `EVENT_RING_SIZE`.
    last : Stamp
        The latest timestamp issued or observed.
    """

    vm: str
    clock: Clock
    ring: deque[EventRecord] = field(
        default_factory=lambda: deque(maxlen=EVENT_RING_SIZE)
    )
    last: Stamp = Stamp(0, 0)

    def stamp(self) -> Stamp:
        """Return a timestamp later than all that were issued or observed before."""
        wall_ms = self.clock.wall_ms()
        if wall_ms > self.last.wall_ms:
            self.last = Stamp(wall_ms, 0)
        else:
            self.last = Stamp(self.last.wall_ms, self.last.count + 1)
        return self.last

    def observe(self, stamp: Stamp) -> None:
        """Make subsequent timestamps later than one from another process.

        A timestamp too far ahead of this VM's clock is ignored, so that one wrong clock
        does not shift the timeline of all VMs.
        """
        lead_ms = stamp.wall_ms - self.clock.wall_ms()
        if lead_ms <= MAX_STAMP_LEAD_MS and stamp.count <= MAX_STAMP_COUNT:
            self.last = max(self.last, stamp)

    def record(self, event: Event, **fields: Value) -> None:
        """Record one event with its fields in the log and the ring buffer."""
        entry = EventRecord(self.stamp(), self.vm, event, fields)
        self.ring.append(entry)
        eliot.log_message(
            message_type=f"cuminstile:{event.value}",
            event=event.name.lower(),
            vm=self.vm,
            stamp=[entry.stamp.wall_ms, entry.stamp.count],
            **fields,
        )


def log_to(target: TextIO) -> None:
    """Write every event to `target` as one line of JSON."""
    eliot.to_file(target)

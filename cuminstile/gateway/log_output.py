"""Write log lines to a file descriptor without blocking, with bounded memory."""

from __future__ import annotations

import os
import time
from collections import deque
from dataclasses import dataclass, field
from typing import Any

import orjson

from ..clock import Clock

MAX_BUFFERED_BYTES = 512 * 1024
"""Size of the buffer for a slow reader; 0.1 % of a small VM's memory."""
MAX_LINES_PER_S = 2_000
"""Lines per second; about five for each request at a VM's capacity."""
FLUSH_INTERVAL_MS = 200.0
"""How long lines are collected to be written together."""
LAST_FLUSHES = 20
"""How often a slow reader gets the last lines offered before the process ends."""
LAST_FLUSH_PAUSE_MS = 5.0


@dataclass
class LogOutput:
    """Buffer of log lines that are written together.

    Parameters
    ----------
    descriptor : int
        The non-blocking file descriptor to write to.
    dropped_lines : int
        Lines dropped since the last log line that reported their number.
    """

    clock: Clock
    descriptor: int
    buffer: deque[bytes] = field(default_factory=deque)
    buffered_bytes: int = 0
    dropped_lines: int = 0
    second: int = 0
    lines_in_second: int = 0

    def write(self, line: dict[str, Any]) -> None:
        """Buffer one line, or drop it if the rate or the buffer exceeds its limit."""
        second = int(self.clock.now_ms() // 1000)
        if second != self.second:
            self.second, self.lines_in_second = second, 0
        self.lines_in_second += 1
        if (
            self.lines_in_second > MAX_LINES_PER_S
            or self.buffered_bytes > MAX_BUFFERED_BYTES
        ):
            self.dropped_lines += 1
            return
        self.append(line)

    def append(self, line: dict[str, Any]) -> None:
        """Serialise one line and buffer it for the next flush."""
        data = orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)
        self.buffer.append(data)
        self.buffered_bytes += len(data)

    def flush(self) -> None:
        """Write buffered lines, as far as the reader accepts them now."""
        if self.dropped_lines and self.buffered_bytes <= MAX_BUFFERED_BYTES:
            dropped, self.dropped_lines = self.dropped_lines, 0
            self.append({"event": "log_lines_held_back", "lines": dropped})
        if not self.buffer:
            return
        data = b"".join(self.buffer)
        self.buffer.clear()
        try:
            written = os.write(self.descriptor, data)
        except BlockingIOError:
            written = 0
        left = data[written:]
        self.buffered_bytes = len(left)
        if left:
            self.buffer.append(left)

    def flush_all(self) -> None:
        """Write all buffered lines at the end of the process, with a limit on time."""
        for _ in range(LAST_FLUSHES):
            self.flush()
            if not self.buffer:
                return
            time.sleep(LAST_FLUSH_PAUSE_MS / 1_000.0)


def make_log_output(clock: Clock, descriptor: int) -> LogOutput:
    """Return an output to a descriptor, which is set to non-blocking mode."""
    os.set_blocking(descriptor, False)
    return LogOutput(clock, descriptor)

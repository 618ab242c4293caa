"""Test cuminstile.gateway.log_output."""

import os
import threading

from cuminstile.clock import VirtualClock
from cuminstile.gateway.log_output import make_log_output

LINE_BYTES = 300_000
"""More than a pipe takes at once."""


def test_last_lines_reach_a_slow_reader_before_the_process_ends() -> None:
    """Guards against lines of the end that are lost with the process."""
    read_end, write_end = os.pipe()
    output = make_log_output(VirtualClock(), write_end)
    received: list[bytes] = []

    def read() -> None:
        while data := os.read(read_end, 65_536):
            received.append(data)

    output.write({"event": "x" * LINE_BYTES})
    output.write({"event": "last"})
    reader = threading.Thread(target=read)
    reader.start()
    try:
        output.flush_all()
    finally:
        os.close(write_end)
        reader.join()
    os.close(read_end)
    assert b"".join(received).endswith(b'{"event":"last"}\n')

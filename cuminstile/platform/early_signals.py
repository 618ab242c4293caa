"""Keep the signals that come before the program can act on them.

Imports nothing that takes time, as a signal without a handler ends the process.
"""

from __future__ import annotations

import signal

KEPT_SIGNALS = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)


def keep_signals() -> set[int]:
    """Return the set of the signals that come until other handlers are installed."""
    received: set[int] = set()
    for number in KEPT_SIGNALS:
        signal.signal(number, lambda came, frame: received.add(came))
    return received

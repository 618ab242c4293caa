"""Read what this process takes of its machine."""

from __future__ import annotations

import resource
from pathlib import Path


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()

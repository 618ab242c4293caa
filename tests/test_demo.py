"""Check that the demo passes and leaves no process running."""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
LIMIT_S = 58


@pytest.mark.process
def test_the_demo_ends_well_within_a_minute() -> None:
    ended = subprocess.run(
        [sys.executable, "-m", "standins.demo"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=LIMIT_S,
    )
    assert ended.returncode == 0, ended.stdout + ended.stderr
    assert "ran the booking 1 time(s); expected: 1" in ended.stdout
    assert "Stopped all" in ended.stdout

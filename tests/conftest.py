"""Shared fixtures; deselect the tests that KNOWN-RED.txt lists."""

from pathlib import Path

import eliot
import pytest

# The logging library buffers messages until it has a destination and then delivers
# them to it: the log of one test would contain the messages of earlier tests.
eliot.add_destinations(lambda message: None)

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


@pytest.fixture
def anyio_backend() -> str:
    """Run asynchronous tests on asyncio only, as the daemon does."""
    return "asyncio"


def known_red() -> tuple[str, ...]:
    """Return the ids of the tests that are listed as known failures."""
    if not KNOWN_RED.exists():
        return ()
    lines = KNOWN_RED.read_text("utf-8").splitlines()
    return tuple(
        line.removeprefix("test: ") for line in lines if line.startswith("test: ")
    )


def pytest_configure(config: pytest.Config) -> None:
    """Allow the golden file of a listed test to be unused; others must be used."""
    if any("golden" in name for name in known_red()):
        config.option.warn_unused_snapshots = True


def pytest_collection_modifyitems(config: pytest.Config, items: list) -> None:
    """Deselect the listed tests, so that they are counted as deselected."""
    listed = known_red()
    red = [item for item in items if item.nodeid.startswith(listed)] if listed else []
    if red:
        config.hook.pytest_deselected(items=red)
        items[:] = [item for item in items if item not in red]

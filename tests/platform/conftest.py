"""Fixtures of the tests of the program: a site, and one whose upstreams crash."""

from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from .crash_site import CrashSite
from .site import Site, running_site


@pytest.fixture
def vm_count() -> int:
    """Return how many VMs a site has, unless a test gives the number itself."""
    return 1


@pytest.fixture
async def site(
    tmp_path: Path, request: pytest.FixtureRequest, vm_count: int
) -> AsyncIterator[Site]:
    """Run a site with as many VMs as the parameter says, or `vm_count`."""
    async with running_site(tmp_path, getattr(request, "param", vm_count)) as running:
        yield running


@pytest.fixture
async def crash_site(
    tmp_path: Path, request: pytest.FixtureRequest
) -> AsyncIterator[CrashSite]:
    """Run a site with as many VMs as the parameter says, whose upstreams can crash."""
    async with running_site(tmp_path, request.param) as running:
        yield CrashSite(running)

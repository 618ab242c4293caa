"""Which versions an upstream has loaded."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..objects.model import Upstream
    from ..runtime import Vm

REPORT_VALID_MS = 3_000
MISSING_VALID_MS = 1_000


@dataclass
class LoadedVersions:
    """The versions that an upstream has loaded, as far as this VM knows.

    Parameters
    ----------
    versions : frozenset of str
        The versions in its latest report; empty if it does not report them.
    incarnation : str
        Incarnation of the process that reported.
    at_ms : float
        When this VM received the report.
    missing_until_ms : dict of str to float
        Until when a version counts as missing because a call for it was refused.
    """

    versions: frozenset[str] = frozenset()
    incarnation: str = ""
    at_ms: float = float("-inf")
    missing_until_ms: dict[str, float] = field(default_factory=dict)

    def is_fresh(self, now_ms: float) -> bool:
        """Return whether the latest report lists versions and is still valid."""
        return bool(self.versions) and now_ms < self.at_ms + REPORT_VALID_MS

    def lacks(self, version: str, now_ms: float) -> bool:
        """Return whether a version is known to be missing."""
        if self.is_fresh(now_ms):
            return version not in self.versions
        return now_ms < self.missing_until_ms.get(version, float("-inf"))

    def apply_report(
        self, versions: frozenset[str], incarnation: str, now_ms: float
    ) -> None:
        """Apply a load report."""
        self.versions = versions
        self.incarnation = incarnation
        self.at_ms = now_ms
        self.missing_until_ms.clear()

    def record_missing(self, version: str, now_ms: float) -> None:
        """Record that a call was refused because its version is not loaded."""
        self.missing_until_ms[version] = now_ms + MISSING_VALID_MS
        # A report that lists the version is older than the refusal.
        self.versions = self.versions - {version}


def is_possibly_loaded(vm: Vm, upstream: Upstream, version: str) -> bool:
    """Return whether an upstream is not known to lack a version."""
    state = vm.upstreams.by_name.get(upstream.name)
    return state is None or not state.loaded.lacks(version, vm.clock.now_ms())

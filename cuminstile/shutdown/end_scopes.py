"""Cancel what is in progress when a process ends, early enough to answer it."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio


@dataclass
class EndScopes:
    """Scopes of the work that is cancelled when its process ends.

    Parameters
    ----------
    ended : bool
        Whether they were cancelled; work that begins later is cancelled at once.
    """

    scopes: set[anyio.CancelScope] = field(default_factory=set)
    ended: bool = False

    @contextmanager
    def scope(self) -> Iterator[anyio.CancelScope]:
        """Run a block in a scope; `cancelled_caught` tells that it was cut short."""
        with anyio.CancelScope() as scope:
            self.scopes.add(scope)
            if self.ended:
                scope.cancel()
            try:
                yield scope
            finally:
                self.scopes.discard(scope)

    def cancel_all(self) -> None:
        """Cancel all that is in progress, and what begins from now on."""
        self.ended = True
        for scope in tuple(self.scopes):
            scope.cancel()

"""Command-line programs of the simulated upstreams."""

from collections.abc import Callable
from pathlib import Path

from starlette.routing import Route

from .calls import RunLog
from .control import UPSTREAM, UpstreamControl, read_control
from .upstream import Upstream
from .upstream_http import serve_upstream

Make = Callable[[str, UpstreamControl, RunLog], Upstream]
MoreRoutes = Callable[[Upstream], list[Route]]


def no_routes(upstream: Upstream) -> list[Route]:
    """Return no additional routes."""
    return []


def make_program(
    kind: str, make: Make, slowdown: float = 0.0, more: MoreRoutes = no_routes
) -> Callable[[int, str, str, str], None]:
    """Return the command-line entry point for one kind of upstream.

    Parameters
    ----------
    kind : str
        Default name of the upstream.
    make : callable
        Creates the upstream from its name, control values and run log.
    slowdown : float
        Default of the control value `slowdown`.
    more : callable
        Returns the additional routes of this kind.
    """

    def main(
        port: int = 0, control: str = "{}", name: str = kind, runs: str = ""
    ) -> None:
        """Serve an upstream until SIGTERM.

        Parameters
        ----------
        port : int
            TCP port; 0 selects a free port, which the line `ready PORT` prints.
        control : str
            Initial control values, as JSON.
        name : str
            Name of the upstream.
        runs : str
            File that stores the runs across restarts; empty for none.
        """
        values = read_control(UPSTREAM, control, slowdown=slowdown)
        log = RunLog(Path(runs) if runs else None)
        upstream = make(name, values, log)
        serve_upstream(upstream, port, more(upstream))

    return main
